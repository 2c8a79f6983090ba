//! Limits of the dispatch decisions.

use std::time::Duration;

use smol_str::SmolStr;

/// Limits of a dispatcher.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Time within which the first task of a job has to start.
    pub start_limit: Duration,
    /// A submission is refused when the work ahead of it takes longer than this many targets.
    pub overload_factor: f64,
    /// A class is long when its run time exceeds this many of the shortest target.
    pub long_factor: f64,
    /// One slot in this many is kept for short classes.
    pub reserve_divisor: u32,
    /// The reserve is kept for this long after the last arrival of a short class.
    pub reserve_time: Duration,
    /// Least time between two demand frames to one agent.
    pub demand_interval: Duration,
    /// Time without waiting tasks after which a demand ends; shorter gaps send no frames.
    pub demand_hold: Duration,
    /// Zone of this process; empty when unknown.
    pub zone: SmolStr,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            start_limit: Duration::from_secs(30),
            overload_factor: 4.0,
            long_factor: 4.0,
            reserve_divisor: 8,
            reserve_time: Duration::from_secs(10),
            demand_interval: Duration::from_millis(20),
            demand_hold: Duration::from_millis(20),
            zone: SmolStr::default(),
        }
    }
}
