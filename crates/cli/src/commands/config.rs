//! Commands on classes, teams and the whole configuration.

use std::fs;
use std::path::Path;

use knapweedwall_core::config::{Change, Class, Document, Team};
use serde_json::{Value, json};

use super::change::{document, send};
use crate::api::Client;
use crate::args::{ClassCommand, ConfigCommand, TeamCommand};
use crate::diff::{self, Wanted};
use crate::error::{Error, RefusedSnafu, Result, UsageSnafu};
use crate::output::Output;
use crate::table;

/// Runs a command on classes.
pub(crate) async fn class(client: &Client<'_>, command: &ClassCommand) -> Result<Output> {
    match command {
        ClassCommand::List => {
            let document = document(client).await?;
            Ok(Output::new(json!(document.classes), classes(&document)))
        }
        ClassCommand::Show { name } => {
            let mut document = document(client).await?;
            document.classes.retain(|n, _| n == name);
            let class = document.classes.values().next();
            let class = class.map_or_else(|| missing("class", name), |c| Ok(json!(c)))?;
            Ok(Output::new(class, classes(&document)))
        }
        ClassCommand::Set {
            name,
            target,
            guard,
        } => {
            let change = Change::SetClass(name.into(), Class { target: *target });
            one(client, change, guard.if_version).await
        }
        ClassCommand::Delete { name, guard } => {
            one(client, Change::DeleteClass(name.into()), guard.if_version).await
        }
    }
}

/// Runs a command on teams.
pub(crate) async fn team(client: &Client<'_>, command: &TeamCommand) -> Result<Output> {
    match command {
        TeamCommand::List => {
            let document = document(client).await?;
            Ok(Output::new(json!(document.teams), teams(&document)))
        }
        TeamCommand::Show { name } => {
            let mut document = document(client).await?;
            document.teams.retain(|n, _| n == name);
            let team = document.teams.values().next();
            let team = team.map_or_else(|| missing("team", name), |t| Ok(json!(t)))?;
            Ok(Output::new(team, teams(&document)))
        }
        TeamCommand::Set { name, slots, guard } => {
            let change = Change::SetTeam(name.into(), Team { slots: *slots });
            one(client, change, guard.if_version).await
        }
        TeamCommand::Delete { name, guard } => {
            one(client, Change::DeleteTeam(name.into()), guard.if_version).await
        }
    }
}

/// Runs a command on the whole configuration.
pub(crate) async fn config(client: &Client<'_>, command: &ConfigCommand) -> Result<Output> {
    match command {
        ConfigCommand::Show => {
            let document = document(client).await?;
            let text = format!(
                "version {}\n\n{}\n{}",
                document.version,
                classes(&document),
                teams(&document)
            );
            Ok(Output::new(json!(document), text))
        }
        ConfigCommand::Apply { file, yes } => apply(client, file, *yes).await,
    }
}

async fn one(client: &Client<'_>, change: Change, expected: Option<u64>) -> Result<Output> {
    if let Change::SetClass(..) | Change::SetTeam(..) = &change {
        diff::validate(&Document::default(), std::slice::from_ref(&change))?;
    }
    let version = send(client, &change, expected).await?;
    let text = format!("done, the version is now {version}\n");
    Ok(Output::new(json!({ "version": version }), text))
}

async fn apply(client: &Client<'_>, file: &Path, yes: bool) -> Result<Output> {
    let wanted = read(file)?;
    let present = document(client).await?;
    let changes = wanted.changes(&present);
    diff::validate(&present, &changes)?;
    let mut text = diff::text(&present, &changes);
    if changes.is_empty() {
        text += "nothing to change\n";
    } else if !yes {
        text += "nothing was changed; repeat with --yes to make these changes\n";
    }
    let mut version = present.version;
    let mut made = 0;
    for change in changes.iter().filter(|_| yes) {
        // Each change names the version that the one before it made, so that a change by
        // somebody else in between stops the rest.
        version = send(client, change, Some(version))
            .await
            .map_err(|e| partly(e, made, &changes))?;
        made += 1;
    }
    if made > 0 {
        text += &format!("done, the version is now {version}\n");
    }
    let json = json!({ "version": version, "changes": changes, "made": made });
    Ok(Output::new(json, text))
}

fn partly(error: Error, made: usize, changes: &[Change]) -> Error {
    let note = |text: String| {
        format!(
            "{text}; {made} of {} changes were made before",
            changes.len()
        )
    };
    match error {
        Error::Refused { code, text } => Error::Refused {
            code,
            text: note(text),
        },
        Error::Conflict { text } => Error::Conflict { text: note(text) },
        Error::Unreachable { text } => Error::Unreachable { text: note(text) },
        Error::Unknown { text } => Error::Unknown { text: note(text) },
        other @ Error::Usage { .. } => other,
    }
}

fn read(file: &Path) -> Result<Wanted> {
    let wrong = |e: String| Error::Usage {
        text: format!("{}: {e}", file.display()),
    };
    let text = fs::read_to_string(file).map_err(|e| wrong(e.to_string()))?;
    let wanted = serde_saphyr::from_str::<Wanted>(&text);
    wanted.or_else(|e| {
        UsageSnafu {
            text: wrong(e.to_string()).to_string(),
        }
        .fail()
    })
}

fn classes(document: &Document) -> String {
    let time = |c: &Class| humantime::format_duration(c.target).to_string();
    let rows = document
        .classes
        .iter()
        .map(|(n, c)| vec![n.to_string(), time(c)]);
    table::columns(&["CLASS", "TARGET"], &rows.collect::<Vec<_>>())
}

fn teams(document: &Document) -> String {
    let rows = document
        .teams
        .iter()
        .map(|(n, t)| vec![n.to_string(), t.slots.to_string()]);
    table::columns(&["TEAM", "SLOTS"], &rows.collect::<Vec<_>>())
}

fn missing(kind: &str, name: &str) -> Result<Value> {
    RefusedSnafu {
        code: "not_found",
        text: format!("there is no {kind} {name}"),
    }
    .fail()
}
