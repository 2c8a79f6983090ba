//! Conversion of callers' requests to inputs of the decisions, and their responses.

use rstest::rstest;
use serde_json::json;

use crate::fixture::{HttpClient, TestProcess};

const JOB: &str = r#"{"id":"e1","class":"short","team":"blue","expires":77,
    "tasks":[{"payload":"a","non_idempotent":true},{"payload":"\u00e4\n"}]}"#;

// Guards against content that is altered between the caller and the decisions.
#[rstest]
fn submission_reaches_decisions_and_is_answered() {
    let entry = TestProcess::start();
    let (status, body) = entry.call("POST", "/v1/jobs", JOB);
    assert_eq!(status, 200);
    let expected = json!({"id": "e1", "state": "complete", "results": ["a", "\u{e4}\n"]});
    assert_eq!(body, expected);
    let input = entry.wait_for_input("Submit");
    for part in [
        "class: \"short\"",
        "team: \"blue\"",
        "expires_ms: 77",
        "non_idempotent: true",
        "wait: 30s",
    ] {
        assert!(input.contains(part), "{part} is not in {input}");
    }
}

// Guards against equal digests of different contents: the second submission would get the result
// of the first.
#[rstest]
fn different_contents_have_different_digests() {
    let entry = TestProcess::start();
    let contents = [
        r#""class":"a","tasks":[{"payload":"b"}]"#,
        r#""class":"ab","tasks":[{"payload":""}]"#,
        r#""class":"a","team":"b","tasks":[{"payload":""}]"#,
        r#""class":"a","tasks":[{"payload":"b","non_idempotent":true}]"#,
        r#""class":"a","tasks":[{"payload":"b"},{"payload":""}]"#,
        r#""class":"a","tasks":[{"payload":""},{"payload":"b"}]"#,
    ];
    let mut digests = Vec::new();
    for content in contents {
        let body = format!("{{\"id\":\"e1\",{content}}}");
        assert_eq!(entry.call("POST", "/v1/jobs", &body).0, 200);
        let input = entry.wait_for_input("Submit");
        let digest = input.split("digest: ").nth(1).unwrap();
        digests.push(digest.split(',').next().unwrap().to_owned());
    }
    digests.sort();
    digests.dedup();
    assert_eq!(digests.len(), contents.len());
}

// Guards against a resubmission that is treated as different content because its JSON is written
// differently.
#[rstest]
fn digest_ignores_json_form_and_expiry() {
    let entry = TestProcess::start();
    let forms = [
        r#"{"id":"e1","class":"a","tasks":[{"payload":"b"}]}"#,
        r#"{ "tasks": [{"non_idempotent":false,"payload":"\u0062"}], "class":"a","id":"e1","expires":5,"team":"" }"#,
    ];
    let digests = forms.map(|body| {
        assert_eq!(entry.call("POST", "/v1/jobs", body).0, 200);
        let input = entry.wait_for_input("Submit");
        let digest = input.split("digest: ").nth(1).unwrap().to_owned();
        digest.split(',').next().unwrap().to_owned()
    });
    assert_eq!(digests[0], digests[1]);
}

// Guards against waits that are parsed incorrectly.
#[rstest]
#[case("", 0)]
#[case("?wait=0", 0)]
#[case("?wait=250ms", 250)]
#[case("?wait=60s", 60_000)]
#[case("?wait=1m", 60_000)]
fn query_wait_is_parsed(#[case] parameter: &str, #[case] wait_ms: u64) {
    let entry = TestProcess::start();
    let (status, body) = entry.call("GET", &format!("/v1/jobs/e.1:x{parameter}"), "");
    assert_eq!(
        (status, body),
        (202, json!({"id": "e.1:x", "wait_ms": wait_ms}))
    );
}

// Guards against a 404 of the decisions being replaced by the 404 for unknown paths.
#[rstest]
fn cancel_reaches_decisions() {
    let entry = TestProcess::start();
    let (status, body) = entry.call("DELETE", "/v1/jobs/e1", "");
    assert_eq!((status, body), (404, json!({"cancelled": "e1"})));
    assert!(entry.wait_for_input("Cancel").contains("wait: 5s"));
}

// Guards against decisions that are not told of a lost connection and keep its call.
#[rstest]
fn lost_connection_is_reported() {
    let entry = TestProcess::start();
    let mut client = HttpClient::connect(entry.http_address());
    client.request("POST", "/v1/jobs", "", &JOB.replace("e1", "h1"));
    entry.wait_for_input("Submit");
    drop(client);
    entry.wait_for_input("CallGone");
}

// Guards against inputs that do not wake the event loop: each request would wait for the tick of
// 10 ms. The limit of 5 ms per request is many times what one takes on a busy machine.
#[rstest]
fn requests_do_not_wait_for_the_tick() {
    let entry = TestProcess::start();
    let mut client = HttpClient::connect(entry.http_address());
    let start = std::time::Instant::now();
    for _ in 0..1_000 {
        client.request("GET", "/v1/jobs/e1", "", "");
        assert_eq!(client.read_json().0, 202);
    }
    let time = start.elapsed();
    assert!(time < std::time::Duration::from_secs(5), "{time:?}");
}

// Guards against connections that are closed after each response.
#[rstest]
fn connection_is_kept_between_requests() {
    let entry = TestProcess::start();
    let mut client = HttpClient::connect(entry.http_address());
    for _ in 0..3 {
        client.request("POST", "/v1/jobs", "", JOB);
        assert_eq!(client.read_json().0, 200);
    }
}
