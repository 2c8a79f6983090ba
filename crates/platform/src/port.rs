//! Port to the platform's table service and object store.

use std::fmt::Debug;
use std::future::Future;
use std::pin::Pin;

use knapweedwall_core::store::{Outcome, Request};

/// The future of one call.
pub type Calls<'a> = Pin<Box<dyn Future<Output = Outcome> + Send + 'a>>;

/// The platform's table service and object store.
pub trait Platform: Debug + Send + Sync {
    /// Carries out one request, once. Never repeats a write by itself.
    fn call(&self, request: Request) -> Calls<'_>;
}
