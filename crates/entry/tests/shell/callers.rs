//! Requests of callers as the decisions see them.

use rstest::rstest;
use serde_json::json;

use crate::fixture::{Caller, Node};

const JOB: &str = r#"{"id":"e1","class":"short","team":"blue","expires":77,
    "tasks":[{"payload":"a","non_idempotent":true},{"payload":"\u00e4\n"}]}"#;

// Guards against content that changes on its way to the decisions or back.
#[rstest]
fn submission_is_passed_on_and_answered() {
    let node = Node::open();
    let (status, body) = node.call("POST", "/v1/jobs", JOB);
    assert_eq!(status, 200);
    let expected = json!({"id": "e1", "state": "complete", "results": ["a", "\u{e4}\n"]});
    assert_eq!(body, expected);
    let seen = node.sees("Submit");
    for part in [
        "class: \"short\"",
        "team: \"blue\"",
        "expires_ms: 77",
        "non_idempotent: true",
        "wait: 30s",
    ] {
        assert!(seen.contains(part), "{part} is not in {seen}");
    }
}

// Guards against two contents with one digest: the second would get the answer of the first.
#[rstest]
fn digest_tells_contents_apart() {
    let node = Node::open();
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
        assert_eq!(node.call("POST", "/v1/jobs", &body).0, 200);
        let seen = node.sees("Submit");
        let digest = seen.split("digest: ").nth(1).unwrap();
        digests.push(digest.split(',').next().unwrap().to_owned());
    }
    digests.sort();
    digests.dedup();
    assert_eq!(digests.len(), contents.len());
}

// Guards against a resubmission that is taken for another content because of its form.
#[rstest]
fn digest_ignores_form_and_expiry() {
    let node = Node::open();
    let forms = [
        r#"{"id":"e1","class":"a","tasks":[{"payload":"b"}]}"#,
        r#"{ "tasks": [{"non_idempotent":false,"payload":"\u0062"}], "class":"a","id":"e1","expires":5,"team":"" }"#,
    ];
    let digests = forms.map(|body| {
        assert_eq!(node.call("POST", "/v1/jobs", body).0, 200);
        let seen = node.sees("Submit");
        let digest = seen.split("digest: ").nth(1).unwrap().to_owned();
        digest.split(',').next().unwrap().to_owned()
    });
    assert_eq!(digests[0], digests[1]);
}

// Guards against waits that are read wrongly.
#[rstest]
#[case("", 0)]
#[case("?wait=0", 0)]
#[case("?wait=250ms", 250)]
#[case("?wait=60s", 60_000)]
#[case("?wait=1m", 60_000)]
fn query_waits_as_asked(#[case] parameter: &str, #[case] wait_ms: u64) {
    let node = Node::open();
    let (status, body) = node.call("GET", &format!("/v1/jobs/e.1:x{parameter}"), "");
    assert_eq!(
        (status, body),
        (202, json!({"id": "e.1:x", "wait_ms": wait_ms}))
    );
}

// Guards against a 404 of the decisions that is replaced by the one for unknown paths.
#[rstest]
fn cancel_is_passed_on() {
    let node = Node::open();
    let (status, body) = node.call("DELETE", "/v1/jobs/e1", "");
    assert_eq!((status, body), (404, json!({"cancelled": "e1"})));
    assert!(node.sees("Cancel").contains("wait: 5s"));
}

// Guards against decisions that keep a caller whose connection is gone.
#[rstest]
fn lost_caller_is_reported() {
    let node = Node::open();
    let mut caller = Caller::connect(node.http());
    caller.request("POST", "/v1/jobs", "", &JOB.replace("e1", "h1"));
    node.sees("Submit");
    drop(caller);
    node.sees("CallGone");
}

// Guards against a connection that is closed after each answer.
#[rstest]
fn connection_is_kept_between_requests() {
    let node = Node::open();
    let mut caller = Caller::connect(node.http());
    for _ in 0..3 {
        caller.request("POST", "/v1/jobs", "", JOB);
        assert_eq!(caller.answer().0, 200);
    }
}
