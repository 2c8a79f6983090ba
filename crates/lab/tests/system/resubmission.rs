//! Guards promise 1: the same id at all entry processes at once starts each task once.

use hyper::Method;
use knapweedwall_lab::cluster::{Cluster, Spec};
use serde_json::json;

use crate::end_to_end::{job, send};
use crate::place;

#[tokio::test]
async fn same_id_at_all_entries_at_once() {
    let _place = place::take();
    let cluster = Cluster::open(&Spec::default()).await.unwrap();
    for n in 0..20 {
        let id = format!("same-{n}");
        let job = job(&id, 2, 30);
        let path = "/v1/jobs?wait=10s";
        let submit = |entry: &'static str| send(&cluster, entry, Method::POST, path, &job);
        let answers = tokio::join!(
            submit("entry-1"),
            submit("entry-2"),
            submit("entry-3"),
            submit("entry-1")
        );
        for (status, body) in [&answers.0, &answers.1, &answers.2, &answers.3] {
            assert_eq!(*status, 200, "{body}");
            assert_eq!(
                body["results"],
                json!([format!("{id}/0"), format!("{id}/1")]),
                "{body}"
            );
        }
        assert_eq!(cluster.ledgers().await.unwrap().started(&id), 2);
    }
    let ledgers = cluster.ledgers().await.unwrap();
    assert_eq!(ledgers.doubled(), Vec::<String>::new());
}
