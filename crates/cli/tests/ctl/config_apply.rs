//! Guards `config apply` against changes that were not shown, not confirmed or based on an old
//! version.

use std::path::PathBuf;

use serde_json::json;

use crate::server::{Server, failure, output};

fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

fn server(put: (u16, serde_json::Value)) -> Server {
    let present = json!({"version": 4, "classes": {"console": {"target": "250ms"}, "old": {"target": "1s"}},
        "teams": {"east": {"slots": 4}}});
    Server::open(vec![
        ("GET /v1/config", 200, present),
        ("PUT", put.0, put.1),
        ("DELETE", 200, json!({"version": 6})),
    ])
}

const WANTED: &str = "classes:\n  console: {target: 300ms}\nteams:\n  east: {slots: 4}\n";

#[test]
fn difference_alone_changes_nothing() {
    let server = server((200, json!({"version": 5})));
    let path = file("difference.yaml", WANTED);
    let text = output(
        &mut server.ctl(&["config", "apply", path.to_str().unwrap()]),
        0,
    );
    assert!(
        text.contains("~ class console  target 250ms -> 300ms"),
        "{text}"
    );
    assert!(text.contains("- class old"), "{text}");
    assert!(
        server.seen().iter().all(|s| s.line.starts_with("GET")),
        "{:?}",
        server.seen()
    );
}

#[test]
fn confirmed_changes_chain_versions() {
    let server = server((200, json!({"version": 5})));
    let path = file("confirmed.yaml", WANTED);
    let args = [
        "config",
        "apply",
        path.to_str().unwrap(),
        "--yes",
        "--as",
        "mei",
    ];
    output(&mut server.ctl(&args), 0);
    let seen = server.seen();
    let lines: Vec<&str> = seen.iter().map(|s| s.line.as_str()).collect();
    let expected = [
        "GET /v1/config",
        "PUT /v1/classes/console?version=4",
        "DELETE /v1/classes/old?version=5",
    ];
    assert_eq!(lines, expected);
    assert_eq!(seen[1].body, json!({"target": "300ms"}).to_string());
    assert_eq!(seen[1].operator, "mei");
}

#[test]
fn conflict_stops_the_rest() {
    let reply = json!({"error": {"code": "conflict", "text": "changed", "ran": "none"}, "current": {"version": 9}});
    let server = server((409, reply));
    let path = file("conflict.yaml", WANTED);
    let text = failure(
        &mut server.ctl(&["config", "apply", path.to_str().unwrap(), "--yes"]),
        3,
    );
    assert!(
        text.contains("version is now 9") && text.contains("0 of 2 changes"),
        "{text}"
    );
    assert_eq!(server.seen().len(), 2);
}

#[test]
fn wrong_value_changes_nothing() {
    let server = server((200, json!({"version": 5})));
    let path = file(
        "wrong.yaml",
        "classes:\n  a: {target: 1s}\n  b: {target: 1ms}\n",
    );
    failure(
        &mut server.ctl(&["config", "apply", path.to_str().unwrap(), "--yes"]),
        2,
    );
    assert!(server.seen().iter().all(|s| s.line.starts_with("GET")));
}
