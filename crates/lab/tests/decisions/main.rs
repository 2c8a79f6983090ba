//! Failures that the decisions of entry processes and agents must survive together.

mod admission;
mod cancels;
mod config_race;
mod double_trouble;
mod driver;
mod journal_guards;
mod lost_agents;
mod planned_stop;
mod store_faults;
mod takeover;
