//! `knapweedwall-lab`: demonstration and measurements with real processes on this machine.

mod args;
mod demo;
mod error;
mod measure;
mod print;
mod run;
mod sample;
mod table;

pub use args::Args;
pub use run::run;
