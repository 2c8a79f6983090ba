//! Guards against events that are logged and missing in `docs/events-jobs.md`, or listed there with
//! another text.
#![allow(clippy::unwrap_used, reason = "a failure in a helper fails its test")]

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

use rstest::rstest;

/// Text of events by number.
type Events = BTreeMap<u16, String>;

fn workspace() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn listed() -> Events {
    let page = fs::read_to_string(workspace().join("docs/events-jobs.md")).unwrap();
    let mut events = Events::new();
    for line in page.lines() {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        let Some(number) = cells.get(1).and_then(|cell| cell.parse().ok()) else {
            continue;
        };
        let former = events.insert(number, cells[3].to_owned());
        assert_eq!(former, None, "{number} is listed twice");
    }
    events
}

fn sources(folder: &str) -> Vec<String> {
    let files = fs::read_dir(workspace().join(folder)).unwrap();
    let files = files
        .map(|file| file.unwrap().path())
        .filter(|path| path.is_file());
    files
        .map(|path| fs::read_to_string(path).unwrap())
        .collect()
}

/// The calls `log(out, NUMBER, "TEXT", ...)` of the decisions.
fn logged_by_decisions() -> Events {
    let mut events = Events::new();
    let folders = ["crates/core/src/scheduler", "crates/core/src/executor"];
    for source in folders.into_iter().flat_map(sources) {
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

/// The calls `info!(log, "TEXT"; "event" => NUMBER)` of the adapter.
fn logged_by_adapter() -> Events {
    let mut events = Events::new();
    for source in sources("platform/src") {
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
fn every_event_is_listed() {
    let mut logged = logged_by_decisions();
    let adapter = logged_by_adapter();
    assert!(logged.len() > 20 && !adapter.is_empty());
    logged.extend(adapter);
    assert_eq!(logged, listed());
}
