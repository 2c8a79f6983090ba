//! Reconnection after a lost link, and discovery of entry processes.

use knapweedwall_wire::{EntryAddress, Fence, Heartbeat, Outcome, frame::Body};
use rstest::rstest;

use crate::harness::{FakeEntry, Harness, task_start};

/// Guards against losing a result when the link to the owner of the task's shard is lost.
#[rstest]
fn result_survives_link_loss() {
    let mut harness = Harness::start(1);
    let listen = harness.entry.address().to_string();
    harness
        .entry
        .start_tasks(vec![task_start(1, 0, r#"{"ms":100,"result":"kept"}"#)]);
    harness.endpoint.wait_until("the start", |s| s.running == 1);
    harness.entry.close();
    harness.endpoint.wait_until("the end", |s| s.running == 0);
    let mut next = FakeEntry::start("entry-1", 12, &listen);
    next.wait_until("the link", |entry| entry.link.0 > 0);
    let mut outcome = Outcome::Running;
    while outcome == Outcome::Running {
        next.send(Body::Fence(Fence { shard: 0, epoch: 2 }));
        next.wait_until("the fence report", |entry| !entry.fence_reports.is_empty());
        let report = next.fence_reports.pop_front().unwrap();
        assert_eq!(
            (report.epoch, report.last, report.tasks.len()),
            (2, true, 1)
        );
        outcome = report.tasks[0].outcome();
        assert!(outcome == Outcome::Running || report.tasks[0].payload == "kept");
    }
    assert_eq!(outcome, Outcome::Done);
    let mut duplicate = task_start(1, 0, "");
    duplicate.epoch = 2;
    assert_eq!(next.run_task(duplicate).outcome(), Outcome::Duplicate);
    assert_eq!(harness.endpoint.summary().doubled, 0);
}

/// Guards against an agent that connects only to its seeds and not to the entry processes announced
/// in heartbeats.
#[rstest]
fn agent_connects_to_announced_entry_process() {
    let harness = Harness::start(2);
    let mut other = FakeEntry::start("entry-2", 22, "127.0.0.1:0");
    let entries = vec![EntryAddress {
        name: "entry-2".into(),
        address: other.address().to_string(),
    }];
    let heartbeat = Heartbeat {
        entries,
        ..Heartbeat::default()
    };
    harness.entry.send(Body::Heartbeat(heartbeat));
    other.wait_until("the link", |entry| entry.link.0 > 0);
    other.wait_until("a heartbeat", |entry| entry.last_heartbeat.slots == 2);
}
