//! Guards the two forms of output: columns for people, unchanged JSON for programs.

use serde_json::{Value, json};

use crate::server::{Server, ctl, output};

#[test]
fn classes_as_table() {
    let body = json!({"version": 1, "classes": {"console": {"target": "250ms"}}, "teams": {}});
    let server = Server::open(vec![("GET /v1/config", 200, body)]);
    let text = output(&mut server.ctl(&["class", "list"]), 0);
    assert_eq!(text, "CLASS    TARGET\nconsole  250ms\n");
}

#[test]
fn status_in_both_forms() {
    let body =
        json!({"name": "entry-1", "shards": [{"shard": 0, "epoch": 3}], "queues": {"console": 2}});
    let server = Server::open(vec![("GET /v1/status", 200, body.clone())]);
    let text = output(&mut server.ctl(&["status"]), 0);
    assert!(
        text.contains("entry-1") && text.contains("SHARDS"),
        "{text}"
    );
    let text = output(&mut server.ctl(&["status", "--output", "json"]), 0);
    assert_eq!(serde_json::from_str::<Value>(&text).unwrap(), body);
}

#[test]
fn history_as_table() {
    let body = json!([{"version": 2, "at_ms": 1_000_000, "who": "mei", "origin": "10.0.0.9:1",
        "token": "t", "change": {"set_team": ["east", {"slots": 4}]}, "before": null}]);
    let server = Server::open(vec![("GET /v1/history?limit=5", 200, body)]);
    let text = output(&mut server.ctl(&["history", "--limit", "5"]), 0);
    assert!(
        text.contains("1970-01-01T00:16:40Z") && text.contains("set team east"),
        "{text}"
    );
}

#[test]
fn help_names_exit_codes() {
    let text = output(&mut ctl(&["--help"]), 0);
    assert!(
        text.contains("Exit codes") && text.contains("KNAPWEEDWALL_ENTRY"),
        "{text}"
    );
    let text = output(&mut ctl(&["--version"]), 0);
    assert!(text.starts_with("knapweedctl "), "{text}");
}
