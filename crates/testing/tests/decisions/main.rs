//! Failures that the decisions of entry processes and agents must survive together.

mod admission;
mod cancels;
mod config_race;
mod driver;
mod lost_agents;
mod planned_stop;
mod store_faults;
mod takeover;
