//! Limits and tuning parameters of the dispatcher.

use std::time::Duration;

use smol_str::SmolStr;

/// Limits and tuning parameters of a dispatcher.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Time within which the first task of a job must start. If jobs of the class have more time
    /// than this until their deadline, that longer time applies.
    pub start_limit: Duration,
    /// A submission is refused if its estimated wait exceeds this factor times the target response
    /// time of its class.
    pub overload_factor: f64,
    /// A class is long if its typical run time exceeds the shortest target of all classes by this
    /// factor.
    pub long_factor: f64,
    /// One in this many usable slots is reserved for short classes.
    pub reserve_divisor: u32,
    /// Time after the last arrival in a short class during which slots stay reserved.
    pub reserve_time: Duration,
    /// Shortest time between two demand frames to the same agent.
    pub demand_interval: Duration,
    /// Delay before an announced demand is reduced, so that short changes cause no frames. A demand
    /// is ended when no tasks have been waiting for this long. A less urgent demand is announced at
    /// the earliest this long after the last demand frame.
    pub demand_reduction_delay: Duration,
    /// Zone of this process; empty if unknown.
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
            demand_reduction_delay: Duration::from_millis(20),
            zone: SmolStr::default(),
        }
    }
}
