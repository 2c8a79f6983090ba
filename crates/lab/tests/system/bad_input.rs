//! Guards that bad input is refused with a clear error, runs nothing and harms nobody else.

use bytes::Bytes;
use hyper::Method;
use knapweedwall_lab::cluster::{Cluster, Spec};
use serde_json::{Value, json};

use crate::end_to_end::{LIMIT, job, send};
use crate::place;

/// Body, and the status that refuses it.
fn bodies() -> Vec<(Bytes, u16)> {
    let with = |name: &str, value: Value| {
        let mut job = job("bad", 1, 5);
        job[name] = value;
        Bytes::from(job.to_string())
    };
    vec![
        (Bytes::from_static(b""), 400),
        (Bytes::from_static(b"{"), 400),
        (Bytes::from_static(b"\xff\xfe"), 400),
        (Bytes::from_static(b"[]"), 400),
        (Bytes::from("[".repeat(10_000)), 400),
        (with("id", json!("a b")), 400),
        (with("id", json!("x".repeat(129))), 400),
        (with("tasks", json!([])), 400),
        (with("tasks", json!([{"payload": 7}])), 400),
        (with("surprise", json!(1)), 400),
        (with("class", json!("nobody")), 404),
        (
            with("tasks", json!([{"payload": "x".repeat(17 * 1024)}])),
            413,
        ),
    ]
}

#[tokio::test]
async fn bad_submissions_are_refused() {
    let _place = place::take();
    let cluster = Cluster::open(&Spec::default()).await.unwrap();
    let url = format!("{}/v1/jobs?wait=1s", cluster.node("entry-1").unwrap().url());
    for (body, expected) in bodies() {
        let start = String::from_utf8_lossy(&body[..body.len().min(80)]).into_owned();
        let reply = cluster
            .http()
            .send(Method::POST, &url, body, LIMIT)
            .await
            .unwrap();
        let json = reply.json();
        assert_eq!(reply.status, expected, "{start}: {json}");
        assert_eq!(json["error"]["ran"], "none", "{start}: {json}");
        assert!(
            json["error"]["text"]
                .as_str()
                .is_some_and(|t| !t.is_empty()),
            "{start}: {json}"
        );
    }
    assert_eq!(cluster.ledgers().await.unwrap().total(), 0);
    let (status, _) = send(
        &cluster,
        "entry-1",
        Method::POST,
        "/v1/jobs?wait=10s",
        &job("good", 1, 5),
    )
    .await;
    assert_eq!(status, 200);
}

#[tokio::test]
async fn unknown_paths_and_jobs() {
    let _place = place::take();
    let cluster = Cluster::open(&Spec::default()).await.unwrap();
    for (method, path, expected) in [
        (Method::GET, "/v1/jobs/nobody", 404),
        (Method::GET, "/v1/jobs/nobody?wait=soon", 400),
        (Method::GET, "/v2/jobs", 404),
        (Method::PUT, "/v1/jobs", 405),
        (Method::PUT, "/v1/classes/UPPER", 400),
    ] {
        let body = json!({ "target": "250ms" });
        let (status, json) = send(&cluster, "entry-1", method.clone(), path, &body).await;
        assert_eq!(status, expected, "{method} {path}: {json}");
    }
}
