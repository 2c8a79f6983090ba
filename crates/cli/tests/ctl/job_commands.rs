//! Guards that the state of a job, as the exit code tells it, is what the system answered.

use rstest::rstest;
use serde_json::{Value, json};

use crate::server::{Server, failure, output};

const JOB: &str = r#"{"id":"j1","class":"console","tasks":[{"payload":"a"},{"payload":"b"}]}"#;

#[rstest]
#[case(200, json!({"id": "j1", "state": "complete", "results": ["x", "y"]}), 0)]
#[case(200, json!({"id": "j1", "state": "failed", "code": "in_doubt", "text": "t", "ran": "unknown"}), 1)]
#[case(200, json!({"id": "j1", "state": "collected", "outcome": "complete"}), 0)]
#[case(202, json!({"id": "j1", "state": "pending"}), 5)]
fn submit_from_standard_input(#[case] status: u16, #[case] reply: Value, #[case] exit: i32) {
    let server = Server::open(vec![("POST /v1/jobs", status, reply)]);
    let mut command = server.ctl(&["job", "submit", "-", "--wait", "2s"]);
    output(command.write_stdin(JOB), exit);
    let seen = server.seen();
    assert_eq!(seen[0].line, "POST /v1/jobs?wait=2000ms");
    assert_eq!(seen[0].body, JOB);
}

#[test]
fn show_of_open_job_succeeds() {
    let server = Server::open(vec![(
        "GET /v1/jobs/j1",
        202,
        json!({"id": "j1", "state": "running"}),
    )]);
    let text = output(&mut server.ctl(&["job", "show", "j1"]), 0);
    assert!(text.contains("running"), "{text}");
}

#[test]
fn cancel_sends_delete() {
    let reply =
        json!({"id": "j1", "state": "failed", "code": "cancelled", "started": 1, "not_started": 1});
    let server = Server::open(vec![("DELETE /v1/jobs/j1", 200, reply)]);
    let text = output(&mut server.ctl(&["job", "cancel", "j1"]), 1);
    assert!(text.contains("cancelled"), "{text}");
}

#[test]
fn incomplete_file_is_not_sent() {
    let server = Server::open(vec![]);
    let text = failure(
        server
            .ctl(&["job", "submit", "-"])
            .write_stdin("{\"id\":\"j\"}"),
        2,
    );
    assert!(text.contains("class"), "{text}");
    assert_eq!(server.seen(), vec![]);
}
