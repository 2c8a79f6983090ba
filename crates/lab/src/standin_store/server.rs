//! The running store.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use snafu::{ResultExt, Snafu};

use super::control::{Control, Main};
use super::state::State;
use super::{Controls, Outage, Settings, Stats};
use crate::http::{Gate, Server};

/// Reasons why the store cannot start.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub enum OpenError {
    /// The address cannot be listened on.
    #[snafu(display("listen on {address}: {source}"))]
    Listen {
        /// Address of the settings.
        address: SocketAddr,
        /// Reason.
        source: std::io::Error,
    },
    /// The histogram of latencies cannot be created.
    #[snafu(display("histogram: {source}"))]
    Histogram {
        /// Reason.
        source: hdrhistogram::CreationError,
    },
}

/// A running store; dropping it stops it.
#[derive(Debug)]
pub struct StandinStore {
    state: Arc<State>,
    main: Server,
    control: Server,
}

impl StandinStore {
    /// Starts an empty store on the present tokio runtime.
    ///
    /// # Errors
    /// [`OpenError`] when an address cannot be listened on.
    pub async fn open(settings: &Settings) -> Result<Self, OpenError> {
        let state = Arc::new(State::new(settings).context(HistogramSnafu)?);
        let main = Arc::new(Main(Arc::clone(&state)));
        let address = settings.listen;
        let main = Server::open(address, main, Arc::clone(&state.gate))
            .context(ListenSnafu { address })?;
        let control = Arc::new(Control(Arc::clone(&state)));
        let address = settings.control;
        let control = Server::open(address, control, Arc::new(Gate::default()))
            .context(ListenSnafu { address })?;
        state
            .gate
            .set(settings.controls.outage != Outage::Refuse)
            .await;
        Ok(Self {
            state,
            main,
            control,
        })
    }

    /// Address for the platform's protocol.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.main.address()
    }

    /// Address for the control API that outages do not affect.
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

    /// Counts and latencies.
    #[must_use]
    pub fn stats(&self) -> Stats {
        self.state.stats()
    }

    /// Waits until the store ends because one of its ports cannot be used again.
    pub async fn join(mut self) {
        tokio::select! {
            () = self.main.join() => {}
            () = self.control.join() => {}
        }
    }
}
