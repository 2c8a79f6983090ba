//! The state machine of an entry process, free of I/O.

mod agents;
mod checkpoint;
mod claims;
mod commit;
mod io;
mod jobs;
mod journal;
mod links;
mod machine;
mod metrics;
mod operate;
mod ownership;
mod peers;
mod recovery;
mod release;
mod replies;
mod routing;
mod settings;
mod shards;
mod store_keys;
mod submit;
mod takeover;
mod tasks;
mod waiters;

pub use io::{Action, CallKey, Input, Operation, ReplyBody, StateMachine, StoreOpId};
pub use machine::Machine;
pub use metrics::Metrics;
pub use replies::{StartedTasks, error_reply};
pub use settings::Settings;
