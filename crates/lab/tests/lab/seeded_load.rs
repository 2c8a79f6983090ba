//! Guards that a seed stands for the same jobs, and that callers judge replies rightly.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use knapweedwall_lab::load::{Arrivals, Ending, Entries, Mix, Plan, jobs, run};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use serde_json::{Value, json};

#[test]
fn same_seed_gives_same_jobs() {
    let bodies = |seed| {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let jobs = jobs(&mut rng, &Mix::single("console", 3, (1, 50)), "p", 20);
        jobs.into_iter().map(|job| job.body).collect::<Vec<_>>()
    };
    assert_eq!(bodies(7), bodies(7));
    assert_ne!(bodies(7), bodies(8));
}

/// Answers every submission of two tasks with the reply that `kind` stands for.
async fn reply(
    kind: &'static str,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let bytes = request.into_body().collect().await.unwrap().to_bytes();
    let job: Value = serde_json::from_slice(&bytes).unwrap_or_default();
    let result = |index: u32| format!("{}/{index}", job["id"].as_str().unwrap_or_default());
    let (status, body) = match kind {
        "right" => (
            200,
            json!({"state": "complete", "results": [result(0), result(1)]}),
        ),
        "swapped" => (
            200,
            json!({"state": "complete", "results": [result(1), result(0)]}),
        ),
        "short" => (200, json!({"state": "complete", "results": [result(0)]})),
        "doubtful" => (200, json!({"state": "failed", "code": "in_doubt"})),
        _ => (
            503,
            json!({"error": {"code": kind, "text": "", "ran": "none"}}),
        ),
    };
    let response = Response::builder().status(status);
    Ok(response
        .body(Full::new(Bytes::from(body.to_string())))
        .unwrap())
}

async fn serve(kind: &'static str) -> String {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let service = service_fn(move |request| reply(kind, request));
            let server = hyper::server::conn::http1::Builder::new();
            tokio::spawn(server.serve_connection(TokioIo::new(stream), service));
        }
    });
    url
}

#[rstest]
#[case("right", Ending::Complete)]
#[case("swapped", Ending::Mismatched)]
#[case("short", Ending::Partial)]
#[case("doubtful", Ending::Failed { code: "in_doubt".into(), started: None })]
#[case("overloaded", Ending::Refused("overloaded".into()))]
#[tokio::test]
async fn reply_is_judged(
    #[case] kind: &'static str,
    #[case] ending: Ending,
    #[values(Arrivals::Open { rate: 500.0 }, Arrivals::Closed { callers: 3 })] arrivals: Arrivals,
) {
    let entries = Entries::new(vec![serve(kind).await]);
    let plan = Plan {
        seed: 1,
        prefix: "p".into(),
        mix: Mix::single("console", 2, (1, 2)),
        arrivals,
        jobs: 10,
        limit: Duration::from_secs(20),
    };
    let records = run(&plan, entries, |_| ()).await;
    assert_eq!(records.len(), 10);
    assert!(records.iter().all(|r| r.ending == ending), "{records:?}");
}

/// An entry process that is down must not end the job: the next one takes it.
#[tokio::test]
async fn refused_connection_leads_to_next_entry() {
    let entries = Entries::new(vec!["http://127.0.0.1:1".into(), serve("right").await]);
    let plan = Plan {
        seed: 1,
        prefix: "p".into(),
        mix: Mix::single("console", 2, (1, 2)),
        arrivals: Arrivals::Closed { callers: 1 },
        jobs: 4,
        limit: Duration::from_secs(20),
    };
    let records = run(&plan, entries, |_| ()).await;
    assert!(
        records.iter().all(|r| r.ending == Ending::Complete),
        "{records:?}"
    );
}
