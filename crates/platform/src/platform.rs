//! Interface to the platform's table service and object store.

use std::fmt::Debug;
use std::future::Future;
use std::pin::Pin;

use knapweedwall_core::store::{Outcome, Request};

/// Future returned by [`Platform::call`].
pub type CallFuture<'a> = Pin<Box<dyn Future<Output = Outcome> + Send + 'a>>;

/// Access to the platform's table service and object store.
pub trait Platform: Debug + Send + Sync {
    /// Sends a request at most once; never retries a write.
    fn call(&self, request: Request) -> CallFuture<'_>;
}
