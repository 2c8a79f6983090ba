//! Restarts of the stand-in worker.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::Method;
use knapweedwall_lab::client::Http;
use knapweedwall_lab::site::{RunKey, SiteWorker, Watcher, WorkerSpec};
use rstest::rstest;
use serde_json::{Value, json};

const LIMIT: Duration = Duration::from_secs(2);

/// Collects the runs that were lost in crashes.
#[derive(Debug, Default)]
struct Losses(Mutex<Vec<RunKey>>);

impl Watcher for Losses {
    fn started(&self, _worker: usize, _run: &RunKey, _spec: &str) {}
    fn ended(&self, _worker: usize, _run: &RunKey, _cause: &'static str) {}
    fn crashed(&self, _worker: usize, lost: &[RunKey]) {
        self.0.lock().unwrap().extend_from_slice(lost);
    }
    fn noted(&self, _run: &RunKey) {}
    fn leaving(&self, _worker: usize) {}
    fn renewed(&self, _worker: usize) {}
}

fn open(losses: &Arc<Losses>) -> SiteWorker {
    let spec = WorkerSpec {
        index: 0,
        service: "svc",
        zone: "z1".to_owned(),
        cpu: 16_000,
        memory: 4_096,
        speed: 1.0,
        rate: 1.0,
        // Nobody listens there: heartbeats are not acknowledged.
        agent: "127.0.0.1:1".parse().unwrap(),
    };
    let any = "127.0.0.1:0".parse().unwrap();
    let watcher: Arc<dyn Watcher> = Arc::<Losses>::clone(losses);
    SiteWorker::open(spec, any, 1, watcher).unwrap()
}

async fn call(worker: &SiteWorker, path: &str, body: Value) -> Option<(u16, Value)> {
    let url = format!("http://{}{path}", worker.address());
    let http = Http::default();
    let reply = http.send(Method::POST, &url, body.to_string(), LIMIT);
    let reply = reply.await.ok()?;
    Some((reply.status, reply.json()))
}

fn start(index: u64, ms: u64, fence: u64) -> Value {
    json!({
        "Task": format!("5c0e7a21d94b36f8.0.0.{index}"), "Attempt": 1,
        "Spec": json!({"ms": ms}).to_string(), "DeadlineMs": 1_000_000, "Fence": fence,
    })
}

/// Guards against a stand-in whose new lifetime still knows of the one before, or that accepts
/// connections while it is down.
#[rstest]
#[tokio::test]
async fn a_restarted_worker_knows_nothing() {
    let worker = open(&Arc::default());
    let (status, before) = call(&worker, "/-/run-start", start(1, 60_000, 7))
        .await
        .unwrap();
    assert_eq!(status, 200);
    assert!(worker.kill().await);
    assert!(!worker.kill().await, "it is down already");
    assert!(worker.running().is_empty());
    assert_eq!(call(&worker, "/-/hold", json!({"Fence": 7})).await, None);
    worker.restart().await;
    // A lower fence than that of the lifetime before is accepted, as is a run that had started there.
    let (status, after) = call(&worker, "/-/run-start", start(1, 60_000, 3))
        .await
        .unwrap();
    assert_eq!(status, 200);
    assert!(after["born"].as_u64() > before["born"].as_u64());
    let (_, lists) = call(&worker, "/-/hold", json!({"Fence": 3})).await.unwrap();
    assert_eq!(lists["Running"].as_array().map(Vec::len), Some(1));
    assert_eq!(lists["Finished"], json!([]));
}

/// Guards against a crash that is not told of runs whose end nobody has learned of.
#[rstest]
#[tokio::test]
async fn unknown_ends_are_lost() {
    let losses = Arc::<Losses>::default();
    let worker = open(&losses);
    for (index, ms) in [(1, 1), (2, 60_000)] {
        let (status, _) = call(&worker, "/-/run-start", start(index, ms, 1))
            .await
            .unwrap();
        assert_eq!(status, 200);
    }
    while worker.running().len() > 1 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    worker.kill().await;
    let lost = losses.0.lock().unwrap().clone();
    let mut tasks: Vec<&str> = lost.iter().map(|run| run.0.as_str()).collect();
    tasks.sort_unstable();
    assert_eq!(tasks, ["5c0e7a21d94b36f8.0.0.1", "5c0e7a21d94b36f8.0.0.2"]);
}
