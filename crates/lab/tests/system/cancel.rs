//! Guards the answer to a cancelled job: it says how many tasks may have started, and that is true.

use std::time::Duration;

use hyper::Method;
use knapweedwall_lab::cluster::{AgentSpec, Cluster, Spec, eventually};
use serde_json::{Value, json};

use crate::end_to_end::{LIMIT, job, send};
use crate::place;

/// Run time of tasks that do not end before they are cancelled, in milliseconds.
const LONG_MS: u64 = 20_000;

/// A cluster with room for two tasks.
async fn two_slots() -> Cluster {
    let spec = Spec {
        agents: vec![AgentSpec {
            slots: 2,
            speed: 1.0,
        }],
        ..Spec::default()
    };
    Cluster::open(&spec).await.unwrap()
}

/// Submits a job of twelve long tasks, and waits until the agent has sent two of them to its endpoint and
/// `recorded` are in the endpoint's ledger.
async fn submit_wide(cluster: &Cluster, recorded: u64) {
    let path = "/v1/jobs?wait=0ms";
    let wide = job("wide", 12, LONG_MS);
    let (status, body) = send(cluster, "entry-1", Method::POST, path, &wide).await;
    assert_eq!(status, 202, "{body}");
    let look = || async {
        let ledgers = cluster.ledgers().await.map_err(|e| e.to_string())?;
        let metrics = cluster.metrics("agent-1").await;
        let metrics = metrics.map_err(|e| e.to_string())?;
        let sent = metrics
            .iter()
            .find(|sample| sample.name.ends_with("agent_started_total"));
        let found = (
            sent.map_or(0.0, |sample| sample.value),
            ledgers.started("wide"),
        );
        if found == (2.0, recorded) {
            Ok(())
        } else {
            Err(format!("sent and recorded: {found:?}"))
        }
    };
    eventually("two tasks are sent", LIMIT, look).await.unwrap();
}

/// Cancels the job and returns the answer.
async fn cancel_wide(cluster: &Cluster) -> Value {
    let path = "/v1/jobs/wide?wait=20s";
    let (status, body) = send(cluster, "entry-2", Method::DELETE, path, &Value::Null).await;
    assert_eq!(
        (status, &body["state"], &body["code"]),
        (200, &json!("failed"), &json!("cancelled")),
        "{body}"
    );
    body
}

/// Checks that the answer does not change afterwards and nothing else starts.
async fn check_final(cluster: &Cluster, body: &Value, recorded: u64) {
    tokio::time::sleep(Duration::from_millis(500)).await;
    let path = "/v1/jobs/wide";
    let (_, again) = send(cluster, "entry-3", Method::GET, path, &Value::Null).await;
    assert_eq!(again, *body);
    assert_eq!(cluster.ledgers().await.unwrap().started("wide"), recorded);
}

/// Guards against an answer that counts other tasks than those that have started.
#[tokio::test]
async fn waiting_tasks_are_dropped() {
    let _place = place::take();
    let cluster = two_slots().await;
    submit_wide(&cluster, 2).await;
    let body = cancel_wide(&cluster).await;
    assert_eq!(body["started"], json!(2), "{body}");
    assert_eq!(body["not_started"], json!(10), "{body}");
    assert_eq!(cluster.ledgers().await.unwrap().started("wide"), 2);
    check_final(&cluster, &body, 2).await;
}

/// Guards against an answer that calls a task not started whose request is on its way to the endpoint:
/// nobody can tell whether it will be taken up.
#[tokio::test]
async fn starts_on_their_way_are_counted() {
    let _place = place::take();
    let cluster = two_slots().await;
    let ignore = json!({"ignore": {"next": 1}});
    cluster.control("endpoint-1", &ignore).await.unwrap();
    submit_wide(&cluster, 1).await;
    let body = cancel_wide(&cluster).await;
    assert_eq!(body["started"], json!(2), "{body}");
    assert_eq!(body["not_started"], json!(10), "{body}");
    check_final(&cluster, &body, 1).await;
}

#[tokio::test]
async fn ended_job_keeps_its_answer() {
    let _place = place::take();
    let cluster = Cluster::open(&Spec::default()).await.unwrap();
    let (_, complete) = send(
        &cluster,
        "entry-1",
        Method::POST,
        "/v1/jobs?wait=10s",
        &job("done", 2, 5),
    )
    .await;
    assert_eq!(complete["state"], "complete", "{complete}");
    let (_, body) = send(
        &cluster,
        "entry-2",
        Method::DELETE,
        "/v1/jobs/done?wait=5s",
        &Value::Null,
    )
    .await;
    assert_eq!(body, complete);
}
