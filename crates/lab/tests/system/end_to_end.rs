//! Guards the path of a job from the caller to the endpoints and back, through every entry process.

use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use knapweedwall_lab::cluster::{Cluster, Role, Spec};
use knapweedwall_lab::load::{Arrivals, Ending, Figures, Mix, Plan, run};
use serde_json::{Value, json};

use crate::place;

/// Limit of one request.
pub const LIMIT: Duration = Duration::from_secs(40);

/// A job of `count` tasks that run for `ms`.
pub fn job(id: &str, count: u32, ms: u64) -> Value {
    let task = |index: u32| {
        let payload = json!({ "ms": ms, "result": format!("{id}/{index}") });
        json!({ "payload": payload.to_string() })
    };
    json!({ "id": id, "class": "console", "tasks": (0..count).map(task).collect::<Vec<_>>() })
}

/// Sends a request to an entry process and returns status and body.
pub async fn send(
    cluster: &Cluster,
    entry: &str,
    method: Method,
    path: &str,
    body: &Value,
) -> (u16, Value) {
    let url = format!("{}{path}", cluster.node(entry).unwrap().url());
    let body = if body.is_null() {
        Bytes::new()
    } else {
        body.to_string().into()
    };
    let reply = cluster
        .http()
        .send(method, &url, body, LIMIT)
        .await
        .unwrap();
    (reply.status, reply.json())
}

#[tokio::test]
async fn every_entry_serves_every_job() {
    let _place = place::take();
    let cluster = Cluster::open(&Spec::default()).await.unwrap();
    let names: Vec<&str> = cluster.names(Role::Entry).collect();
    for entry in &names {
        for n in 0..6 {
            let id = format!("{entry}-{n}");
            let path = "/v1/jobs?wait=10s";
            let (status, body) = send(&cluster, entry, Method::POST, path, &job(&id, 3, 10)).await;
            let results = json!([format!("{id}/0"), format!("{id}/1"), format!("{id}/2")]);
            assert_eq!(
                (status, &body["state"], &body["results"]),
                (200, &json!("complete"), &results)
            );
            for other in &names {
                let path = format!("/v1/jobs/{id}?wait=10s");
                let (_, again) = send(&cluster, other, Method::GET, &path, &Value::Null).await;
                assert_eq!(again, body, "{id} asked for at {other}");
            }
        }
    }
    assert_eq!(cluster.ledgers().await.unwrap().total(), 3 * 6 * 3);
}

/// Many callers at once: each gets the whole answer to its own job.
#[tokio::test]
async fn parallel_jobs_get_their_own_results() {
    let _place = place::take();
    let cluster = Cluster::open(&Spec::default()).await.unwrap();
    let plan = Plan {
        seed: 3,
        prefix: "p".into(),
        mix: Mix::single("console", 4, (5, 20)),
        arrivals: Arrivals::Closed { callers: 8 },
        jobs: 300,
        limit: LIMIT,
    };
    let records = run(&plan, cluster.entries(), |_| ()).await;
    let figures = Figures::new(&records, &cluster.ledgers().await.unwrap());
    assert!(figures.sound(), "{}", figures.faults());
    assert!(records.iter().all(|r| r.ending == Ending::Complete));
}
