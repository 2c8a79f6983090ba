//! Guards promise 7: a planned stop of a process under load interrupts no request.

use std::time::Duration;

use knapweedwall_lab::cluster::{Cluster, Spec};
use knapweedwall_lab::load::{Arrivals, Ending, Figures, Mix, Plan, Record, run};
use rstest::rstest;
use tokio::sync::watch;

use crate::end_to_end::LIMIT;
use crate::place;

/// Stops `name` after a third of the jobs and returns all records.
async fn stop_under_load(cluster: &mut Cluster, name: &str) -> Vec<Record> {
    let plan = Plan {
        seed: 5,
        prefix: "s".into(),
        mix: Mix::single("console", 2, (40, 120)),
        arrivals: Arrivals::Open { rate: 60.0 },
        jobs: 240,
        limit: LIMIT,
    };
    let (sender, mut ended) = watch::channel(0);
    let entries = cluster.entries();
    let load = async {
        run(&plan, entries, |count| {
            sender.send_replace(count);
        })
        .await
    };
    let stop = async {
        ended.wait_for(|count| *count >= 80).await.unwrap();
        cluster.terminate(name).unwrap();
    };
    let (records, ()) = tokio::join!(load, stop);
    records
}

#[rstest]
#[case::entry("entry-2")]
#[case::agent("agent-2")]
#[tokio::test]
async fn stop_interrupts_no_request(#[case] name: &str) {
    let _place = place::take();
    let mut cluster = Cluster::open(&Spec::default()).await.unwrap();
    let records = stop_under_load(&mut cluster, name).await;
    let status = cluster.wait_end(name, Duration::from_secs(40)).unwrap();
    assert_eq!(status.code(), Some(0), "{name}");
    let figures = Figures::new(&records, &cluster.ledgers().await.unwrap());
    assert!(figures.sound(), "{}", figures.faults());
    let open: Vec<_> = records
        .iter()
        .filter(|r| r.ending != Ending::Complete)
        .collect();
    assert!(open.is_empty(), "{open:?}");
}
