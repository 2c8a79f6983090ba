//! Infrastructure shared by the long-running processes: settings, log, admin listener, links and
//! signals.

pub mod admin;
pub mod links;
pub mod log;
pub mod server;
pub mod settings;
pub mod signals;

mod backoff;
mod bytesize;
mod random;

pub use backoff::Backoff;
pub use bytesize::ByteSize;
pub use random::{random_instance, random_seed};
