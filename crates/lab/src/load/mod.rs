//! Load generator: seeded jobs from many callers, and checks of every answer.

mod arrivals;
mod caller;
mod ending;
mod figures;
mod ledger;
mod mix;
mod plan;
mod run;

pub use arrivals::Arrivals;
pub use caller::Entries;
pub use ending::{Ending, Record};
pub use figures::{ClassFigures, Figures};
pub use ledger::Ledgers;
pub use mix::{Kind, Mix};
pub use plan::{Job, jobs};
pub use run::{Plan, run};
