//! Guards that the shards of a killed entry process are served again by the others.

use std::time::Duration;

use knapweedwall_lab::cluster::{Cluster, Spec, eventually};

use crate::place;

/// Time within which the shards must be served, with room for a busy machine; the limit of 3 s is
/// measured by `scripts/measure takeover`.
const LIMIT: Duration = Duration::from_secs(15);

#[tokio::test]
async fn shards_of_killed_entry_are_served() {
    let _place = place::take();
    let spec = Spec {
        agents: vec![],
        ..Spec::default()
    };
    let mut cluster = Cluster::open(&spec).await.unwrap();
    cluster.kill("entry-1").unwrap();
    let look = || async {
        let mut served = 0;
        for name in ["entry-2", "entry-3"] {
            let status = cluster.status(name).await.map_err(|e| e.to_string())?;
            served += status["shards_served"].as_u64().unwrap_or_default();
        }
        if served == 16 {
            Ok(())
        } else {
            Err(format!("{served} of 16 shards are served"))
        }
    };
    eventually("all shards served", LIMIT, look).await.unwrap();
}
