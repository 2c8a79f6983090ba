//! Difference between the present configuration and a file.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use knapweedwall_core::config::{Change, Class, Document, Team};
use serde::Deserialize;
use smol_str::SmolStr;

use crate::error::{Result, UsageSnafu};

/// Contents of a configuration file.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Wanted {
    classes: BTreeMap<SmolStr, Class>,
    teams: BTreeMap<SmolStr, Team>,
}

impl Wanted {
    /// Changes that lead from `present` to this file: first what is set, then what is deleted.
    pub(crate) fn changes(&self, present: &Document) -> Vec<Change> {
        let mut changes = Vec::new();
        for (name, class) in &self.classes {
            if present.classes.get(name) != Some(class) {
                changes.push(Change::SetClass(name.clone(), *class));
            }
        }
        for (name, team) in &self.teams {
            if present.teams.get(name) != Some(team) {
                changes.push(Change::SetTeam(name.clone(), *team));
            }
        }
        let gone = present
            .classes
            .keys()
            .filter(|name| !self.classes.contains_key(*name));
        changes.extend(gone.cloned().map(Change::DeleteClass));
        let gone = present
            .teams
            .keys()
            .filter(|name| !self.teams.contains_key(*name));
        changes.extend(gone.cloned().map(Change::DeleteTeam));
        changes
    }
}

/// Checks all changes in order before the first is sent.
///
/// # Errors
/// [`crate::Error::Usage`] with the field at fault.
pub(crate) fn validate(present: &Document, changes: &[Change]) -> Result<()> {
    let mut document = present.clone();
    for change in changes {
        document = document.apply(change).or_else(|e| {
            UsageSnafu {
                text: e.to_string(),
            }
            .fail()
        })?;
    }
    Ok(())
}

/// One line for each change: `+` new, `~` changed, `-` deleted.
pub(crate) fn text(present: &Document, changes: &[Change]) -> String {
    let mut out = String::new();
    for change in changes {
        let _ = writeln!(out, "{}", line(present, change));
    }
    out
}

fn line(present: &Document, change: &Change) -> String {
    match change {
        Change::SetClass(name, class) => {
            let after = time(class);
            match present.classes.get(name) {
                Some(before) => format!("~ class {name}  target {} -> {after}", time(before)),
                None => format!("+ class {name}  target {after}"),
            }
        }
        Change::SetTeam(name, team) => match present.teams.get(name) {
            Some(before) => format!("~ team {name}  slots {} -> {}", before.slots, team.slots),
            None => format!("+ team {name}  slots {}", team.slots),
        },
        Change::DeleteClass(name) => format!("- class {name}"),
        Change::DeleteTeam(name) => format!("- team {name}"),
    }
}

fn time(class: &Class) -> String {
    humantime::format_duration(class.target).to_string()
}
