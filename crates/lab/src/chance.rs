//! How often a fault occurs.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;
use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

/// A share is not between 0 and 1.
#[derive(Debug, Snafu)]
#[snafu(display("a share lies between 0 and 1, found {found}"))]
pub struct ShareError {
    found: f64,
}

/// Share of requests, from 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Share(f64);

impl TryFrom<f64> for Share {
    type Error = ShareError;

    fn try_from(found: f64) -> Result<Self, ShareError> {
        ensure!((0.0..=1.0).contains(&found), ShareSnafu { found });
        Ok(Self(found))
    }
}

impl From<Share> for f64 {
    fn from(share: Share) -> Self {
        share.0
    }
}

/// Occurrence of a fault: the next requests, then a random share of the following ones.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Chance {
    /// Requests that certainly meet the fault, from now on.
    pub next: u32,
    /// Share of the other requests that meet the fault.
    pub share: Share,
}

impl Chance {
    /// A fault that the next `next` requests meet.
    #[must_use]
    pub fn next(next: u32) -> Self {
        Self {
            next,
            ..Self::default()
        }
    }

    /// A fault that every request meets.
    #[must_use]
    pub fn always() -> Self {
        Self {
            next: 0,
            share: Share(1.0),
        }
    }

    /// Whether the present request meets the fault.
    pub fn draw(&mut self, rng: &mut ChaCha8Rng) -> bool {
        if self.next > 0 {
            self.next -= 1;
            return true;
        }
        let Share(share) = self.share;
        share >= 1.0 || (share > 0.0 && unit(rng) < share)
    }
}

/// Uniform random number in `[0, 1)`, from the upper 32 bits of a draw.
fn unit(rng: &mut ChaCha8Rng) -> f64 {
    f64::from(rng.next_u32()) / (f64::from(u32::MAX) + 1.0)
}
