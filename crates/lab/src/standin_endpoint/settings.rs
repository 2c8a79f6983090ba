//! Settings of the stand-in endpoint.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

use crate::Chance;

/// Settings at start.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Address for tasks, the ledger and the control API.
    pub listen: SocketAddr,
    /// Second address for the ledger and the control API; it is never refused.
    pub control: SocketAddr,
    /// Requests that may run at once; more are served and counted as violations.
    pub slots: u32,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Behaviour, which can be changed at run time.
    pub controls: Controls,
}

impl Default for Settings {
    fn default() -> Self {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            listen: any,
            control: any,
            slots: 8,
            seed: 0,
            controls: Controls::default(),
        }
    }
}

/// A speed is not a positive number.
#[derive(Debug, Snafu)]
#[snafu(display("a speed is a positive number, found {found}"))]
pub struct SpeedError {
    found: f64,
}

/// Speed of an endpoint; run times are divided by it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Speed(f64);

impl Speed {
    /// Run time at this speed of a task that takes `time` at speed 1.
    #[must_use]
    pub fn scale(self, time: Duration) -> Duration {
        Duration::try_from_secs_f64(time.as_secs_f64() / self.0).unwrap_or(Duration::MAX)
    }
}

impl Default for Speed {
    fn default() -> Self {
        Self(1.0)
    }
}

impl TryFrom<f64> for Speed {
    type Error = SpeedError;

    fn try_from(found: f64) -> Result<Self, SpeedError> {
        ensure!(found.is_finite() && found > 0.0, SpeedSnafu { found });
        Ok(Self(found))
    }
}

impl From<Speed> for f64 {
    fn from(speed: Speed) -> Self {
        speed.0
    }
}

impl std::str::FromStr for Speed {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let number: f64 = text.parse().map_err(|e| format!("{e}"))?;
        Self::try_from(number).map_err(|e| e.to_string())
    }
}

/// Regular stalls: at the end of each period, no task ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Stall {
    /// Period, from the start of the endpoint; zero for no stalls.
    #[serde(with = "humantime_serde")]
    pub every: Duration,
    /// Length of each stall.
    #[serde(with = "humantime_serde")]
    pub length: Duration,
}

impl Stall {
    /// Time until the present stall is over, `elapsed` after the start of the endpoint.
    #[must_use]
    pub fn remaining(self, elapsed: Duration) -> Option<Duration> {
        if self.every.is_zero() {
            return None;
        }
        let phase = elapsed.as_nanos() % self.every.as_nanos();
        let left = self.every.as_nanos() - phase;
        let left = Duration::from_nanos(u64::try_from(left).unwrap_or(u64::MAX));
        (left <= self.length).then_some(left)
    }
}

/// Behaviour that can be changed at run time.
///
/// When several faults meet one request, the first in the order of the fields counts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Controls {
    /// Speed; run times are divided by it.
    pub speed: Speed,
    /// Run time at speed 1 of a task whose payload names none.
    #[serde(with = "humantime_serde")]
    pub run_time: Duration,
    /// Regular stalls.
    pub stall: Stall,
    /// Whether connections are refused.
    pub refuse: bool,
    /// Tasks whose request is received and never taken up: they do not start.
    pub ignore: Chance,
    /// Tasks that fail at once.
    pub fail: Chance,
    /// Tasks that run and whose connection is then reset.
    pub reset: Chance,
    /// Tasks that run, as far as the client can see, forever.
    pub hang: Chance,
    /// Tasks that are answered with bytes that are no HTTP response.
    pub garbage: Chance,
    /// Tasks whose result is not UTF-8.
    pub mangled: Chance,
    /// Tasks that are answered twice.
    pub twice: Chance,
    /// Tasks whose answer is held back by `late_by` after they ended.
    pub late: Chance,
    /// Delay of late answers.
    #[serde(with = "humantime_serde")]
    pub late_by: Duration,
}

impl Default for Controls {
    fn default() -> Self {
        Self {
            speed: Speed::default(),
            run_time: Duration::from_millis(10),
            stall: Stall::default(),
            refuse: false,
            ignore: Chance::default(),
            fail: Chance::default(),
            reset: Chance::default(),
            hang: Chance::default(),
            garbage: Chance::default(),
            mangled: Chance::default(),
            twice: Chance::default(),
            late: Chance::default(),
            late_by: Duration::from_secs(1),
        }
    }
}
