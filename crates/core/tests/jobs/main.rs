//! Decisions of entry processes and agents together, against a model of workers and connections.
#![allow(clippy::unwrap_used, reason = "a failed expectation ends the test")]
#![allow(clippy::print_stdout, reason = "the log of a run that is looked into")]

mod agent;
mod callers;
mod callers_back;
mod calls;
mod clocks;
mod fleet;
mod links;
mod peers;
mod processes;
mod store;
mod worker;

mod acknowledgements;
mod bad_workers;
mod bounded_room;
mod callers_gone;
mod calm_jobs;
mod capacity_changes;
mod config_age;
mod config_repair;
mod crashing_tasks;
mod declined_orders;
mod durable_jobs;
mod earlier_start_times;
mod foreign_heartbeats;
mod kept_jobs;
mod lifetimes;
mod lost_agents;
mod lost_starts;
mod malformed_messages;
mod many_entries;
mod odd_rows;
mod orphaned_runs;
mod other_kinds;
mod overload;
mod planned_stops;
mod presumed_owners;
mod random_faults;
mod refusal_log_values;
mod refused_connections;
mod registrations;
mod restarted_workers;
mod restarts;
mod shard_handovers;
mod silent_crashes;
mod silent_owners;
mod slow_answers;
mod superseded_ends;
mod superseded_failures;
mod times_of_day;
mod unanswered_starts;
mod unstored_jobs;
mod worker_lives;
