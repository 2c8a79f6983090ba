//! Ports that are refused and opened again.

use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use knapweedwall_lab::standin_endpoint::Controls;
use rstest::rstest;
use tokio::runtime::Handle;

use crate::client::{Client, endpoint};

/// Guards against a port that is lost when the endpoint refuses connections while a process is being
/// started, which inherits the listener for a moment.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn starting_processes_keep_no_port() {
    let endpoint = endpoint(1, Controls::default()).await;
    let ended = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for _ in 0..2 {
            scope.spawn(|| {
                while !ended.load(Ordering::Relaxed) {
                    Command::new("true").status().unwrap();
                }
            });
        }
        let toggles = async {
            for _ in 0..300 {
                endpoint.change(|c| c.refuse = true).await;
                endpoint.change(|c| c.refuse = false).await;
            }
        };
        let limit = Duration::from_secs(30);
        let toggled = tokio::task::block_in_place(|| {
            Handle::current().block_on(tokio::time::timeout(limit, toggles))
        });
        ended.store(true, Ordering::Relaxed);
        toggled.unwrap();
    });
    let mut client = Client::open(endpoint.address()).await;
    assert_eq!(client.run(1, 1, r#"{"ms": 0}"#).await.0, 200);
}
