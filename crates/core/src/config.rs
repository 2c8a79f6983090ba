//! The configuration document that operators edit: job classes with response-time targets, and
//! team quotas.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use snafu::{Snafu, ensure};

/// Maximum length of a class or team name, in characters.
const MAX_NAME_CHARS: usize = 64;

/// Minimum and maximum response-time target of a class.
const TARGET_RANGE: (Duration, Duration) = (Duration::from_millis(10), Duration::from_hours(24));

/// Maximum quota of a team, in slots.
const MAX_QUOTA_SLOTS: u32 = 1_000_000;

/// Result of applying a change.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Errors that reject a change.
#[derive(Debug, Clone, Snafu)]
#[non_exhaustive]
pub enum Error {
    /// The value of a field is not allowed.
    #[snafu(display("{field}: found {found}, allowed is {allowed}"))]
    Value {
        /// Name of the invalid field.
        field: &'static str,
        /// The rejected value.
        found: String,
        /// Description of the allowed values.
        allowed: &'static str,
    },
    /// The class or team to delete does not exist.
    #[snafu(display("there is no {kind} {name}"))]
    Missing {
        /// `class` or `team`.
        kind: &'static str,
        /// Name in the request.
        name: SmolStr,
    },
}

/// The configuration document.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Version number, incremented by each accepted change; 0 before the first.
    pub version: u64,
    /// Job classes, by name.
    pub classes: BTreeMap<SmolStr, Class>,
    /// Teams that have a quota, by name.
    pub teams: BTreeMap<SmolStr, Team>,
}

/// A class of jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Target response time of the jobs in the class.
    #[serde(with = "humantime_serde")]
    pub target: Duration,
}

/// Quota of a team.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Slots that the team may use while other teams have waiting tasks. A slot is the capacity of an
    /// endpoint to run one task.
    pub slots: u32,
}

/// A change to the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Creates the class, or sets its target.
    SetClass(SmolStr, Class),
    /// Deletes the class. Jobs that are already admitted continue; new ones are rejected.
    DeleteClass(SmolStr),
    /// Creates the team, or sets its quota.
    SetTeam(SmolStr, Team),
    /// Deletes the team's quota.
    DeleteTeam(SmolStr),
}

/// Audit record of a change, written in the same transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// Version of the document after the change.
    pub version: u64,
    /// Time of the change, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Operator named in the request.
    pub who: SmolStr,
    /// Remote address of the operator's connection.
    pub origin: SmolStr,
    /// Random token of the request, by which the writer recognizes its own record after a write with
    /// an unknown outcome.
    pub token: SmolStr,
    /// The change itself.
    pub change: Change,
    /// Previous value, if any.
    pub before: Option<serde_json::Value>,
}

impl Document {
    /// Returns a copy of the document with `change` applied and the version incremented.
    ///
    /// # Errors
    /// Returns [`Error`] if the change is not allowed.
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
                let removed = next.classes.remove(name);
                ensure!(
                    removed.is_some(),
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
                let removed = next.teams.remove(name);
                ensure!(
                    removed.is_some(),
                    MissingSnafu {
                        kind: "team",
                        name: name.clone()
                    }
                );
            }
        }
        Ok(next)
    }

    /// Returns the current value of the class or team that `change` affects, as JSON.
    #[must_use]
    pub fn current_value(&self, change: &Change) -> Option<serde_json::Value> {
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
    let valid = (1..=MAX_NAME_CHARS).contains(&name.len()) && name.chars().all(allowed);
    ensure!(
        valid,
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
