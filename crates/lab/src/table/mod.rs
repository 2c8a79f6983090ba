//! In-memory table service and object store.

mod engine;
mod memory;

pub use engine::{Engine, Invalid};
pub use memory::{Fault, MemoryPlatform};
