//! Guards the answer to a cancelled job: it says how many tasks started, and that is true.

use std::time::Duration;

use hyper::Method;
use knapweedwall_lab::cluster::{AgentSpec, Cluster, Spec, eventually};
use serde_json::{Value, json};

use crate::end_to_end::{LIMIT, job, send};
use crate::place;

#[tokio::test]
async fn waiting_tasks_are_dropped() {
    let _place = place::take();
    let spec = Spec {
        agents: vec![AgentSpec {
            slots: 2,
            speed: 1.0,
        }],
        ..Spec::default()
    };
    let cluster = Cluster::open(&spec).await.unwrap();
    let wide = job("wide", 12, 400);
    let (status, body) = send(
        &cluster,
        "entry-1",
        Method::POST,
        "/v1/jobs?wait=0ms",
        &wide,
    )
    .await;
    assert_eq!(status, 202, "{body}");
    let look = || async {
        let started = cluster
            .ledgers()
            .await
            .map_err(|e| e.to_string())?
            .started("wide");
        if started > 0 {
            Ok(())
        } else {
            Err("no start".to_owned())
        }
    };
    eventually("a task runs", LIMIT, look).await.unwrap();
    let (status, body) = send(
        &cluster,
        "entry-2",
        Method::DELETE,
        "/v1/jobs/wide?wait=20s",
        &Value::Null,
    )
    .await;
    assert_eq!(
        (status, &body["state"], &body["code"]),
        (200, &json!("failed"), &json!("cancelled")),
        "{body}"
    );
    let started = cluster.ledgers().await.unwrap().started("wide");
    assert!(started < 12, "all tasks started");
    assert_eq!(body["started"], json!(started), "{body}");
    assert_eq!(body["not_started"], json!(12 - started), "{body}");
    // The answer does not change afterwards, and nothing else starts.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let (_, again) = send(
        &cluster,
        "entry-3",
        Method::GET,
        "/v1/jobs/wide",
        &Value::Null,
    )
    .await;
    assert_eq!(again, body);
    assert_eq!(cluster.ledgers().await.unwrap().started("wide"), started);
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
