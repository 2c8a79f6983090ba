//! A higher attempt of a task that runs on the same worker.

use std::sync::Arc;
use std::time::Duration;

use hyper::Method;
use knapweedwall_lab::client::Http;
use knapweedwall_lab::site::{SiteWorker, Watcher, WorkerSpec};
use knapweedwall_lab::soak::{Answer, Calm, Job, Phase, Rule, Witness};
use rstest::rstest;
use serde_json::json;

const ID: &str = "5c0e7a21d94b36f8";

/// Guards against a run that the stand-in has replaced and that the witness counts as running for good:
/// its room would be missed, and later runs would be reported beside it.
#[rstest]
#[tokio::test]
async fn a_replaced_run_is_reported_once() {
    let witness = Arc::new(Witness::new(Calm::default(), (2_000, 1_000)));
    let phase = Phase {
        count: 1,
        cpu: 1_500,
        memory: 64,
        spread: 0,
    };
    let job = Job {
        id: ID.to_owned(),
        queue: "slot",
        spec: json!({"ms": 100}).to_string(),
        estimate_ms: 100,
        phases: vec![phase],
        fails: false,
        durable: false,
    };
    witness.submits(&job);
    let spec = WorkerSpec {
        index: 0,
        service: "svc",
        zone: "z1".to_owned(),
        cpu: 2_000,
        memory: 1_000,
        speed: 1.0,
        rate: 1.0,
        // Nobody listens there: heartbeats are not acknowledged.
        agent: "127.0.0.1:1".parse().unwrap(),
    };
    let watcher: Arc<dyn Watcher> = Arc::<Witness>::clone(&witness);
    let worker = SiteWorker::open(spec, "127.0.0.1:0".parse().unwrap(), 1, watcher).unwrap();
    let http = Http::default();
    let url = format!("http://{}/-/run-start", worker.address());
    for attempt in [1, 2] {
        let body = json!({
            "Task": format!("{ID}.0.0.0"), "Attempt": attempt, "Spec": job.spec,
            "DeadlineMs": 1_000_000, "Fence": 1,
        });
        let limit = Duration::from_secs(2);
        let reply = http.send(Method::POST, &url, body.to_string(), limit);
        assert_eq!(reply.await.unwrap().status, 200);
    }
    while !worker.running().is_empty() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    witness.answered(ID, Answer::Completed);
    let found = witness.finish();
    let rules: Vec<Rule> = found.iter().map(|found| found.rule).collect();
    // The second run takes more room while the first is at work.
    assert_eq!(rules, [Rule::Twice, Rule::Room], "{found:?}");
}
