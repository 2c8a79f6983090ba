//! Guards against log events that are missing in `docs/events-entry.md`, or listed there with a
//! different level or text.
#![allow(clippy::unwrap_used, reason = "a failure in a helper fails its test")]

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

use rstest::rstest;

/// Whether an event is a warning, and its text, by number.
type Events = BTreeMap<u16, (bool, String)>;

fn workspace() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Parses the rows of the table in `docs/events-entry.md`.
fn documented_events() -> Events {
    let page = fs::read_to_string(workspace().join("docs/events-entry.md")).unwrap();
    let mut events = Events::new();
    for line in page.lines() {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        let Some(number) = cells.get(1).and_then(|cell| cell.parse().ok()) else {
            continue;
        };
        let warning = match cells[2] {
            "warning" => true,
            "info" => false,
            level => panic!("{number} has the level {level}"),
        };
        let previous = events.insert(number, (warning, cells[3].to_owned()));
        assert_eq!(previous, None, "{number} is listed twice");
    }
    events
}

/// Finds the calls `self.log(out, NUMBER, "TEXT", WARNING, ...)` in the sources of the decisions.
fn decision_events() -> Events {
    let (mut events, mut actions) = (Events::new(), 0);
    let folder = workspace().join("crates/core/src/entry");
    for file in fs::read_dir(folder).unwrap() {
        let source = fs::read_to_string(file.unwrap().path()).unwrap();
        actions += source.matches("Action::Log(").count();
        for call in source.split(".log(").skip(1) {
            let mut parts = call.splitn(5, ',').map(str::trim).skip(1);
            let (number, text) = (parts.next().unwrap(), parts.next().unwrap());
            let warning = parts.next().unwrap().parse().unwrap();
            let text = text.trim_matches('"').to_owned();
            events.insert(number.parse().unwrap(), (warning, text));
        }
    }
    assert_eq!(actions, 1, "an event bypasses the method `log`");
    events
}

/// Finds the values `Event { number, text, warning, .. }` in `events.rs` of this crate.
fn thread_events() -> Events {
    let source = fs::read_to_string(workspace().join("crates/entry/src/events.rs")).unwrap();
    let mut events = Events::new();
    for event in source.split("Event {\n").skip(1) {
        let field = |name: &str| {
            let start = format!("{name}: ");
            let found = event.lines().find_map(|l| l.trim().strip_prefix(&start));
            found.map(|value| value.trim_end_matches(',').to_owned())
        };
        let Some(number) = field("number") else {
            continue;
        };
        let text = field("text").unwrap().trim_matches('"').to_owned();
        let warning = field("warning").unwrap().parse().unwrap();
        events.insert(number.parse().unwrap(), (warning, text));
    }
    events
}

#[rstest]
fn every_event_is_documented() {
    let (decisions, threads) = (decision_events(), thread_events());
    assert!(!decisions.is_empty() && !threads.is_empty());
    let mut logged = decisions;
    logged.extend(threads);
    assert_eq!(logged, documented_events());
}
