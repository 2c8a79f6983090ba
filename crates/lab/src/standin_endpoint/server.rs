//! The running endpoint.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use snafu::{ResultExt, Snafu};

use super::control::{Control, Main};
use super::state::State;
use super::{Controls, Settings, Start, Summary};
use crate::http::{Gate, Server};

/// An address of the endpoint cannot be listened on.
#[derive(Debug, Snafu)]
#[snafu(display("listen on {address}: {source}"))]
pub struct OpenError {
    address: SocketAddr,
    source: std::io::Error,
}

/// A running endpoint; dropping it stops it.
#[derive(Debug)]
pub struct StandinEndpoint {
    state: Arc<State>,
    main: Server,
    control: Server,
}

impl StandinEndpoint {
    /// Starts an endpoint on the present tokio runtime.
    ///
    /// # Errors
    /// [`OpenError`] when an address cannot be listened on.
    pub async fn open(settings: &Settings) -> Result<Self, OpenError> {
        let state = Arc::new(State::new(settings));
        let main = Arc::new(Main(Arc::clone(&state)));
        let address = settings.listen;
        let main =
            Server::open(address, main, Arc::clone(&state.gate)).context(OpenSnafu { address })?;
        let control = Arc::new(Control(Arc::clone(&state)));
        let address = settings.control;
        let control = Server::open(address, control, Arc::new(Gate::default()))
            .context(OpenSnafu { address })?;
        state.gate.set(!settings.controls.refuse).await;
        Ok(Self {
            state,
            main,
            control,
        })
    }

    /// Address for tasks.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.main.address()
    }

    /// Address for the ledger and the control API that is never refused.
    #[must_use]
    pub fn control_address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Changes the behaviour; returns when the change is in effect.
    pub async fn change(&self, change: impl FnOnce(&mut Controls)) {
        let changed = self.state.change(|present| {
            let mut controls = present.clone();
            change(&mut controls);
            Ok::<_, Infallible>(controls)
        });
        let _ = changed.await;
    }

    /// All starts in their order.
    #[must_use]
    pub fn ledger(&self) -> Vec<Start> {
        self.state.lock().ledger.list()
    }

    /// Counts of the ledger.
    #[must_use]
    pub fn summary(&self) -> Summary {
        self.state.lock().ledger.summary()
    }

    /// Waits until the endpoint ends because one of its ports cannot be used again.
    pub async fn join(mut self) {
        tokio::select! {
            () = self.main.join() => {}
            () = self.control.join() => {}
        }
    }
}
