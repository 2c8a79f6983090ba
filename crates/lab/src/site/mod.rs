//! Stand-ins of the users' platform: its store of rows and its workers, with faults that a test
//! switches on and off. They speak the protocol of the platform's pages; objects, gangs, pacing and
//! advice, which the product does not use, are left out.

mod clock;
mod lives;
mod rows;
mod runs;
mod store;
mod watcher;
mod worker;

pub use clock::WorkerClock;
pub use rows::{Change, Condition, Conflict, HistoryGone, Row, RowKey, Rows};
pub use runs::{End, Holding, Refusal, Run, RunKey, Runs, Start};
pub use store::{Outage, SiteStore, StoreFaults};
pub use watcher::Watcher;
pub use worker::{SiteWorker, WorkerFaults, WorkerSpec};
