//! Settings of the stand-in store.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::Chance;

/// Settings at start.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Address for the platform's protocol and the control API.
    pub listen: SocketAddr,
    /// Second address for the control API; it is not affected by outages.
    pub control: SocketAddr,
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
            seed: 0,
            controls: Controls::default(),
        }
    }
}

/// Whether the store is in service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// In service.
    #[default]
    None,
    /// Connections are refused, and existing ones are closed.
    Refuse,
    /// Requests are answered with 503 and the statement that nothing was applied.
    Unavailable,
    /// Requests are neither applied nor answered.
    Silent,
}

/// What becomes of a connection whose reply is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LostAs {
    /// It is reset.
    #[default]
    Reset,
    /// It stays open, and nothing is sent.
    Silent,
}

/// Behaviour that can be changed at run time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Controls {
    /// Time that a write takes; writes overlap.
    #[serde(with = "humantime_serde")]
    pub write_time: Duration,
    /// Time that a read takes; reads overlap.
    #[serde(with = "humantime_serde")]
    pub read_time: Duration,
    /// Added time of each write and read.
    #[serde(with = "humantime_serde")]
    pub slowness: Duration,
    /// Writes per second; those above are declined.
    pub write_rate: u32,
    /// Reads per second; those above are declined.
    pub read_rate: u32,
    /// Outage.
    pub outage: Outage,
    /// Writes whose reply is lost after they took effect.
    pub lost: Chance,
    /// What becomes of the connection of a lost reply.
    pub lost_as: LostAs,
}

impl Default for Controls {
    fn default() -> Self {
        Self {
            write_time: Duration::from_millis(5),
            read_time: Duration::from_millis(1),
            slowness: Duration::ZERO,
            write_rate: 300,
            read_rate: 2_000,
            outage: Outage::None,
            lost: Chance::default(),
            lost_as: LostAs::Reset,
        }
    }
}
