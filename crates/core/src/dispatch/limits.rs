//! Limits and tuning parameters of the dispatcher.

use std::time::Duration;

use smol_str::SmolStr;

/// Limits and tuning parameters of a dispatcher.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Time within which the first task of a job must start. It is extended to the deadline of the
    /// class if that is later.
    pub start_limit: Duration,
    /// A submission is refused if the work ahead of it takes longer than this many targets of its
    /// class.
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
    /// Delay before an announced demand is reduced, so that short changes cause no frames: the time
    /// without waiting tasks after which the demand is ended, and the shortest time after a demand
    /// frame before a less urgent demand is announced.
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
