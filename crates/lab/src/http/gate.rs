//! Whether a server accepts connections.

use tokio::sync::watch;

/// Opens and closes a server at run time.
#[derive(Debug)]
pub struct Gate {
    wanted: watch::Sender<bool>,
    actual: watch::Sender<bool>,
}

impl Default for Gate {
    fn default() -> Self {
        Self {
            wanted: watch::Sender::new(true),
            actual: watch::Sender::new(true),
        }
    }
}

impl Gate {
    /// Opens or closes the server and waits until this has taken effect.
    pub async fn set(&self, open: bool) {
        self.wanted.send_replace(open);
        let mut actual = self.actual.subscribe();
        // The sender is a field of `self`, so that waiting cannot fail.
        let _ = actual.wait_for(|actual| *actual == open).await;
    }

    /// Waits until the server is to be open or closed.
    pub(super) async fn wanted(&self, open: bool) {
        let mut wanted = self.wanted.subscribe();
        let _ = wanted.wait_for(|wanted| *wanted == open).await;
    }

    /// Reports that the server is open or closed.
    pub(super) fn report(&self, open: bool) {
        self.actual.send_replace(open);
    }
}
