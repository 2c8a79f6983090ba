//! Interface of an endpoint client, independent of the protocol.

use std::fmt::Debug;
use std::future::Future;
use std::pin::Pin;

use knapweedwall_core::agent::{RunEnd, RunTask};

/// Future of a run. Dropping it aborts the request to the endpoint.
pub type RunFuture<'a> = Pin<Box<dyn Future<Output = RunEnd> + Send + 'a>>;

/// Future of a reachability check.
pub type CheckFuture<'a> = Pin<Box<dyn Future<Output = bool> + Send + 'a>>;

/// Client of an endpoint.
pub trait EndpointClient: Debug + Send + Sync {
    /// Sends a task to the endpoint at most once and waits for the response.
    ///
    /// Returns [`RunEnd::NotStarted`] only if no byte of the task was sent.
    fn run(&self, task: RunTask) -> RunFuture<'_>;

    /// Checks whether the endpoint accepts connections.
    fn check(&self) -> CheckFuture<'_>;
}
