//! Port to the endpoint.

use std::fmt::Debug;
use std::future::Future;
use std::pin::Pin;

use knapweedwall_core::agent::{RunEnd, RunTask};

/// The future of one run. Dropping it ends the exchange with the endpoint.
pub type Runs<'a> = Pin<Box<dyn Future<Output = RunEnd> + Send + 'a>>;

/// The future of one check.
pub type Checks<'a> = Pin<Box<dyn Future<Output = bool> + Send + 'a>>;

/// An endpoint, whatever protocol it speaks.
pub trait Endpoint: Debug + Send + Sync {
    /// Sends the task to the endpoint at most once and waits for the answer.
    ///
    /// [`RunEnd::NotStarted`] is returned only when no byte of the task was sent.
    fn run(&self, task: RunTask) -> Runs<'_>;

    /// Whether the endpoint accepts connections.
    fn check(&self) -> Checks<'_>;
}
