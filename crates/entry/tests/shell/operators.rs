//! Conversion of operators' requests to inputs of the decisions.

use rstest::rstest;
use serde_json::json;

use crate::fixture::TestProcess;

const OPERATOR_HEADER: &str = "operator: ann\r\n";

// Guards against operations that reach the decisions with wrong content.
#[rstest]
#[case("PUT", "/v1/classes/short?version=7", r#"{"target":"250ms"}"#,
    &["SetClass(\"short\", Class { target: 250ms })", "expected: Some(7)", "who: \"ann\"", "origin: \"127.0.0.1:"])]
#[case("DELETE", "/v1/classes/short", "", &["DeleteClass(\"short\")", "expected: None"])]
#[case("PUT", "/v1/teams/blue", r#"{"slots":8}"#, &["SetTeam(\"blue\", Team { slots: 8 })"])]
#[case("DELETE", "/v1/teams/blue?version=1", "", &["DeleteTeam(\"blue\")", "expected: Some(1)"])]
#[case("GET", "/v1/config", "", &["Show"])]
#[case("GET", "/v1/status", "", &["Status"])]
fn operation_reaches_decisions(
    #[case] method: &str,
    #[case] path: &str,
    #[case] body: &str,
    #[case] parts: &[&str],
) {
    let entry = TestProcess::start();
    let (status, response) = entry.call_with(method, path, OPERATOR_HEADER, body);
    assert_eq!(status, 200);
    let operation = response["operation"].as_str().unwrap();
    for part in parts {
        assert!(operation.contains(part), "{part} is not in {operation}");
    }
}

// Guards against a limit that does not reach the decisions.
#[rstest]
#[case("/v1/history", 1_000)]
#[case("/v1/history?limit=5", 5)]
fn history_is_limited(#[case] path: &str, #[case] limit: u32) {
    let entry = TestProcess::start();
    assert_eq!(entry.call("GET", path, "").1, json!({"limit": limit}));
}

// Guards against changes without the name of their operator, and against invalid values.
#[rstest]
#[case("PUT", "/v1/classes/short", "", r#"{"target":"250ms"}"#)]
#[case("DELETE", "/v1/classes/short", "operator: \r\n", "")]
#[case("PUT", "/v1/classes/short", OPERATOR_HEADER, r#"{"target":250}"#)]
#[case("PUT", "/v1/classes/short", OPERATOR_HEADER, r#"{"target":"soon"}"#)]
#[case(
    "PUT",
    "/v1/classes/short",
    OPERATOR_HEADER,
    r#"{"target":"1s","weight":2}"#
)]
#[case("PUT", "/v1/classes/Short", OPERATOR_HEADER, r#"{"target":"1s"}"#)]
#[case("PUT", "/v1/teams/blue", OPERATOR_HEADER, r#"{"slots":-1}"#)]
#[case("PUT", "/v1/teams/blue", OPERATOR_HEADER, r#"{"slots":"8"}"#)]
fn bad_change_is_refused(
    #[case] method: &str,
    #[case] path: &str,
    #[case] headers: &str,
    #[case] body: &str,
) {
    let entry = TestProcess::start();
    let (status, response) = entry.call_with(method, path, headers, body);
    assert_eq!(status, 400, "{response}");
    assert_eq!(response["error"]["code"], "bad_field");
    assert!(entry.inputs.is_empty());
}

// Guards against metrics and readiness that do not reflect the state of the process.
#[rstest]
fn admin_shows_health_readiness_and_metrics() {
    let entry = TestProcess::start();
    assert_eq!(entry.get_admin("/healthz").0, 200);
    assert_eq!(entry.get_admin("/readyz").0, 503);
    assert_eq!(entry.call("GET", "/v1/status", "").0, 200);
    let (status, text) = entry.get_admin("/metrics");
    assert_eq!(status, 200);
    for line in [
        "knapweedwall_http_requests_total{status=\"200\"} 1",
        "knapweedwall_http_calls_open 0",
        "knapweedwall_ring_length{source=\"http\"} 0",
        "knapweedwall_link_frames_total{direction=\"in\",kind=\"report\"} 0",
    ] {
        assert!(text.contains(line), "{line} is not in\n{text}");
    }
}
