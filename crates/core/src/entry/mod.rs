//! Decisions of the entry process.

mod io;

pub use io::{Action, AnswerBody, CallKey, Decisions, Input, Operation, StoreKey};
