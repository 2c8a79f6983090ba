//! Requests that are refused before they reach the decisions.

use rstest::rstest;
use serde_json::Value;

use crate::fixture::{HttpClient, TestProcess};

fn assert_refused(status: u16, body: &Value, expected: (u16, &str)) {
    let error = &body["error"];
    assert_eq!(
        (status, error["code"].as_str().unwrap()),
        expected,
        "{body}"
    );
    assert_eq!(error["ran"], "none");
    assert!(!error["text"].as_str().unwrap().is_empty());
}

// Guards against malformed or mistyped bodies that are accepted, or refused without a reason.
#[rstest]
#[case("", "bad_json")]
#[case("{", "bad_json")]
#[case("nonsense", "bad_json")]
#[case(r#"{"id":"e1","class":"a","tasks":[{"payload":"x"}]} x"#, "bad_json")]
#[case("[]", "bad_field")]
#[case("null", "bad_field")]
#[case(r#"{"class":"a","tasks":[{"payload":"x"}]}"#, "bad_field")]
#[case(r#"{"id":7,"class":"a","tasks":[{"payload":"x"}]}"#, "bad_field")]
#[case(r#"{"id":"e1","class":"a","tasks":"x"}"#, "bad_field")]
#[case(r#"{"id":"e1","class":"a","tasks":[]}"#, "bad_field")]
#[case(r#"{"id":"e1","class":"a","tasks":[{}]}"#, "bad_field")]
#[case(
    r#"{"id":"e1","class":"a","tasks":[{"payload":{"x":1}}]}"#,
    "bad_field"
)]
#[case(
    r#"{"id":"e1","class":"a","tasks":[{"payload":"x","mark":true}]}"#,
    "bad_field"
)]
#[case(
    r#"{"id":"e1","class":"a","weight":3,"tasks":[{"payload":"x"}]}"#,
    "bad_field"
)]
#[case(
    r#"{"id":"e1","id":"e2","class":"a","tasks":[{"payload":"x"}]}"#,
    "bad_field"
)]
#[case(r#"{"id":"","class":"a","tasks":[{"payload":"x"}]}"#, "bad_field")]
#[case(r#"{"id":"a b","class":"a","tasks":[{"payload":"x"}]}"#, "bad_field")]
#[case(r#"{"id":"e1","class":"A","tasks":[{"payload":"x"}]}"#, "bad_field")]
#[case(r#"{"id":"e1","class":"","tasks":[{"payload":"x"}]}"#, "bad_field")]
#[case(
    r#"{"id":"e1","class":"a","team":"a b","tasks":[{"payload":"x"}]}"#,
    "bad_field"
)]
#[case(
    r#"{"id":"e1","class":"a","expires":-1,"tasks":[{"payload":"x"}]}"#,
    "bad_field"
)]
fn bad_body_is_refused(#[case] body: &str, #[case] code: &str) {
    let entry = TestProcess::start();
    let (status, response) = entry.call("POST", "/v1/jobs", body);
    assert_refused(status, &response, (400, code));
    assert!(entry.inputs.is_empty());
}

// Guards against stack exhaustion by deeply nested JSON.
#[rstest]
#[case("[", "bad_field")]
#[case(r#"{"id":"#, "bad_field")]
#[case(r#"{"id":"e1","class":"a","tasks":[{"payload":"#, "bad_field")]
fn deep_nesting_is_refused(#[case] start: &str, #[case] code: &str) {
    let entry = TestProcess::start();
    let body = format!("{start}{}", "[".repeat(500_000));
    let (status, response) = entry.call("POST", "/v1/jobs", &body);
    assert_refused(status, &response, (400, code));
}

fn job(tasks: usize, payload: usize) -> String {
    let task = format!(r#"{{"payload":"{}"}}"#, "x".repeat(payload));
    let tasks = vec![task; tasks].join(",");
    format!(r#"{{"id":"e1","class":"a","tasks":[{tasks}]}}"#)
}

// Guards against off-by-one errors in the limits.
#[rstest]
#[case(500, 1)]
#[case(1, 16 * 1024)]
#[case(60, 16 * 1024)]
fn largest_jobs_are_accepted(#[case] tasks: usize, #[case] payload: usize) {
    let entry = TestProcess::start();
    let (status, response) = entry.call("POST", "/v1/jobs", &job(tasks, payload));
    assert_eq!(status, 200);
    let results = response["results"].as_array().unwrap();
    assert_eq!(results.len(), tasks);
    assert!(
        results
            .iter()
            .all(|result| result.as_str().unwrap().len() == payload)
    );
}

// Guards against missing size limits, and against a reset before the client reads the error.
#[rstest]
#[case(501, 1, "too_many_tasks")]
#[case(1, 16 * 1024 + 1, "too_large")]
#[case(65, 16 * 1024, "too_large")]
#[case(300, 16 * 1024, "too_large")]
fn larger_jobs_are_refused(#[case] tasks: usize, #[case] payload: usize, #[case] code: &str) {
    let entry = TestProcess::start();
    let (status, response) = entry.call("POST", "/v1/jobs", &job(tasks, payload));
    assert_refused(status, &response, (413, code));
    assert!(entry.inputs.is_empty());
}

// Guards against waiting for the rest of a body whose declared length exceeds the limit.
#[rstest]
fn huge_declared_length_is_refused_at_once() {
    use std::io::Write;
    let entry = TestProcess::start();
    let mut client = HttpClient::connect(entry.http_address());
    let head = "POST /v1/jobs HTTP/1.1\r\nhost: e\r\ncontent-length: 99999999999\r\n\r\n{";
    client.socket.write_all(head.as_bytes()).unwrap();
    let (status, response) = client.read_json();
    assert_refused(status, &response, (413, "too_large"));
}

// Guards against unknown paths, methods and parameters that are ignored, or refused without a
// body.
#[rstest]
#[case("GET", "/", 404, "unknown_path")]
#[case("GET", "/v1/other", 404, "unknown_path")]
#[case("GET", "/v1/jobs/a/b", 404, "unknown_path")]
#[case("GET", "/v1/jobs", 405, "unknown_method")]
#[case("PATCH", "/v1/jobs/e1", 405, "unknown_method")]
#[case("GET", "/v1/jobs/e1?wait=61s", 400, "bad_field")]
#[case("GET", "/v1/jobs/e1?wait=soon", 400, "bad_field")]
#[case("GET", "/v1/jobs/e1?wait=-1s", 400, "bad_field")]
#[case("GET", "/v1/jobs/e1?pause=1s", 400, "bad_field")]
#[case("GET", "/v1/jobs/e%201", 400, "bad_field")]
#[case("GET", "/v1/jobs/%ff", 405, "unknown_method")]
#[case("GET", "/v1/history?limit=0", 400, "bad_field")]
#[case("GET", "/v1/history?limit=1001", 400, "bad_field")]
#[case("GET", "/v1/history?limit=x", 400, "bad_field")]
#[case("PUT", "/v1/classes/a?version=x", 400, "bad_field")]
fn bad_path_method_or_parameter_is_refused(
    #[case] method: &str,
    #[case] path: &str,
    #[case] status: u16,
    #[case] code: &str,
) {
    let entry = TestProcess::start();
    let (found, response) = entry.call(method, path, "");
    assert_refused(found, &response, (status, code));
    assert!(entry.inputs.is_empty());
}

// Guards against a panic in gotham on a request id that is not UTF-8.
#[rstest]
fn request_id_may_be_invalid_utf8() {
    use std::io::Write;
    let entry = TestProcess::start();
    let mut client = HttpClient::connect(entry.http_address());
    let request = b"GET /v1/jobs/e1 HTTP/1.1\r\nhost: e\r\nx-request-id: \xff\r\n\r\n";
    client.socket.write_all(request).unwrap();
    assert_eq!(client.read_json().0, 202);
}

// Guards against an error on one connection that affects others.
#[rstest]
#[case(b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03")]
#[case(b"GET / HTTP/9.9\r\n\r\n")]
#[case(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\ngarbage that is no frame")]
#[case(b"POST /v1/jobs HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n")]
fn invalid_protocol_data_closes_only_its_connection(#[case] bytes: &[u8]) {
    use std::io::Write;
    let entry = TestProcess::start();
    let mut client = HttpClient::connect(entry.http_address());
    client.socket.write_all(bytes).unwrap();
    client.socket.shutdown(std::net::Shutdown::Write).unwrap();
    client.wait_closed();
    assert_eq!(entry.call("GET", "/v1/jobs/e1", "").0, 202);
}
