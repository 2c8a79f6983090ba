//! The configuration document that operators change: classes with their targets, team quotas.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use snafu::{Snafu, ensure};

/// Longest name of a class or team, in characters.
const MAX_NAME_CHARS: usize = 64;

/// Smallest and largest target of a class.
const TARGET_RANGE: (Duration, Duration) = (Duration::from_millis(10), Duration::from_hours(24));

/// Largest quota of a team, in slots.
const MAX_QUOTA_SLOTS: u32 = 1_000_000;

/// Result of a change.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Reasons why a change is not accepted.
#[derive(Debug, Clone, Snafu)]
#[non_exhaustive]
pub enum Error {
    /// A field has a value that is not allowed.
    #[snafu(display("{field}: found {found}, allowed is {allowed}"))]
    Value {
        /// Field at fault.
        field: &'static str,
        /// Value found.
        found: String,
        /// What is allowed.
        allowed: &'static str,
    },
    /// The class or team to delete does not exist.
    #[snafu(display("there is no {kind} {name}"))]
    Missing {
        /// `class` or `team`.
        kind: &'static str,
        /// Name given.
        name: SmolStr,
    },
}

/// The configuration document.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Grows by one with each accepted change; 0 before the first.
    pub version: u64,
    /// Classes by name.
    pub classes: BTreeMap<SmolStr, Class>,
    /// Teams with a quota, by name.
    pub teams: BTreeMap<SmolStr, Team>,
}

/// A class of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Response time within which its jobs are to be answered.
    #[serde(with = "humantime_serde")]
    pub target: Duration,
}

/// A team with a quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Slots that the team may use while others wait.
    pub slots: u32,
}

/// A change of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Creates the class or sets its target.
    SetClass(SmolStr, Class),
    /// Deletes the class. Its admitted jobs go on; new ones are refused.
    DeleteClass(SmolStr),
    /// Creates the team or sets its quota.
    SetTeam(SmolStr, Team),
    /// Deletes the quota of the team.
    DeleteTeam(SmolStr),
}

/// Audit record of a change, written in the same transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Audit {
    /// Version that the change made.
    pub version: u64,
    /// Milliseconds since 1970.
    pub at_ms: u64,
    /// Operator as given by the request.
    pub who: SmolStr,
    /// Address of the operator's connection.
    pub origin: SmolStr,
    /// Random token of the request, by which its writer recognises it.
    pub token: SmolStr,
    /// The change.
    pub change: Change,
    /// Value before, if there was one.
    pub before: Option<serde_json::Value>,
}

impl Document {
    /// The document after `change`, with the next version.
    ///
    /// # Errors
    /// [`Error`] when the change is not allowed.
    pub fn apply(&self, change: &Change) -> Result<Self> {
        let mut next = self.clone();
        next.version += 1;
        match change {
            Change::SetClass(name, class) => {
                check_name("class", name)?;
                check_target(class.target)?;
                next.classes.insert(name.clone(), *class);
            }
            Change::DeleteClass(name) => {
                let gone = next.classes.remove(name);
                ensure!(
                    gone.is_some(),
                    MissingSnafu {
                        kind: "class",
                        name: name.clone()
                    }
                );
            }
            Change::SetTeam(name, team) => {
                check_name("team", name)?;
                check_quota(team.slots)?;
                next.teams.insert(name.clone(), *team);
            }
            Change::DeleteTeam(name) => {
                let gone = next.teams.remove(name);
                ensure!(
                    gone.is_some(),
                    MissingSnafu {
                        kind: "team",
                        name: name.clone()
                    }
                );
            }
        }
        Ok(next)
    }

    /// The present value of what `change` changes, as JSON.
    #[must_use]
    pub fn before(&self, change: &Change) -> Option<serde_json::Value> {
        let value = match change {
            Change::SetClass(name, _) | Change::DeleteClass(name) => {
                serde_json::to_value(self.classes.get(name)?)
            }
            Change::SetTeam(name, _) | Change::DeleteTeam(name) => {
                serde_json::to_value(self.teams.get(name)?)
            }
        };
        value.ok()
    }
}

fn check_name(field: &'static str, name: &str) -> Result<()> {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '_';
    let fits = (1..=MAX_NAME_CHARS).contains(&name.len()) && name.chars().all(allowed);
    ensure!(
        fits,
        ValueSnafu {
            field,
            found: name,
            allowed: "1 to 64 characters of a-z 0-9 - _"
        }
    );
    Ok(())
}

fn check_target(target: Duration) -> Result<()> {
    ensure!(
        (TARGET_RANGE.0..=TARGET_RANGE.1).contains(&target),
        ValueSnafu {
            field: "target",
            found: format!("{target:?}"),
            allowed: "10ms to 24h"
        }
    );
    Ok(())
}

fn check_quota(slots: u32) -> Result<()> {
    ensure!(
        (1..=MAX_QUOTA_SLOTS).contains(&slots),
        ValueSnafu {
            field: "slots",
            found: slots.to_string(),
            allowed: "1 to 1000000"
        }
    );
    Ok(())
}
