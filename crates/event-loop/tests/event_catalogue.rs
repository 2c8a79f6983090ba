//! Checks that `docs/events-jobs.md` lists exactly the events that the code logs, with the same
//! texts.
#![allow(clippy::unwrap_used, reason = "a panic in a helper fails its test")]

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

use rstest::rstest;

/// Event texts by event number.
type EventTexts = BTreeMap<u16, String>;

fn workspace_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn documented_events() -> EventTexts {
    let page = fs::read_to_string(workspace_root().join("docs/events-jobs.md")).unwrap();
    let mut events = EventTexts::new();
    for line in page.lines() {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        let Some(number) = cells.get(1).and_then(|cell| cell.parse().ok()) else {
            continue;
        };
        let previous = events.insert(number, cells[3].to_owned());
        assert_eq!(previous, None, "{number} is listed twice");
    }
    events
}

fn read_sources(folder: &str) -> Vec<String> {
    let files = fs::read_dir(workspace_root().join(folder)).unwrap();
    let files = files
        .map(|file| file.unwrap().path())
        .filter(|path| path.is_file());
    files
        .map(|path| fs::read_to_string(path).unwrap())
        .collect()
}

/// Finds the calls `log(out, NUMBER, "TEXT", ...)` in the state machines.
fn events_of_state_machines() -> EventTexts {
    let mut events = EventTexts::new();
    let folders = ["crates/core/src/scheduler", "crates/core/src/executor"];
    for source in folders.into_iter().flat_map(read_sources) {
        for call in source.split("log(").skip(1) {
            let mut parts = call.splitn(4, ',').map(str::trim).skip(1);
            let Some(number) = parts.next().and_then(|number| number.parse().ok()) else {
                continue;
            };
            events.insert(number, parts.next().unwrap().trim_matches('"').to_owned());
        }
    }
    events
}

/// Finds the calls `info!(log, "TEXT"; "event" => NUMBER)` in the platform adapter.
fn events_of_adapter() -> EventTexts {
    let mut events = EventTexts::new();
    for source in read_sources("platform/src") {
        for (at, marker) in source.match_indices("\"event\" => ") {
            let number = source[at + marker.len()..].chars();
            let number: String = number.take_while(char::is_ascii_digit).collect();
            let text = source[..at].rsplit('"').nth(1).unwrap();
            events.insert(number.parse().unwrap(), text.to_owned());
        }
    }
    events
}

#[rstest]
fn logged_events_match_documentation() {
    let mut logged = events_of_state_machines();
    let adapter = events_of_adapter();
    assert!(logged.len() > 20 && !adapter.is_empty());
    logged.extend(adapter);
    assert_eq!(logged, documented_events());
}
