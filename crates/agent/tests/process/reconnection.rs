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
    let mut restarted_entry = FakeEntry::start("entry-1", 12, &listen);
    restarted_entry.wait_until("the link", |entry| entry.link.0 > 0);
    let mut outcome = Outcome::Running;
    while outcome == Outcome::Running {
        restarted_entry.send(Body::Fence(Fence { shard: 0, epoch: 2 }));
        restarted_entry.wait_until("the fence report", |entry| !entry.fence_reports.is_empty());
        let report = restarted_entry.fence_reports.pop_front().unwrap();
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
    assert_eq!(
        restarted_entry.run_task(duplicate).outcome(),
        Outcome::Duplicate
    );
    assert_eq!(harness.endpoint.summary().doubled, 0);
}

/// Guards against an agent that connects only to its seeds and not to the entry processes announced
/// in heartbeats.
#[rstest]
fn agent_connects_to_announced_entry_process() {
    let harness = Harness::start(2);
    let mut second_entry = FakeEntry::start("entry-2", 22, "127.0.0.1:0");
    let entries = vec![EntryAddress {
        name: "entry-2".into(),
        address: second_entry.address().to_string(),
    }];
    let heartbeat = Heartbeat {
        entries,
        ..Heartbeat::default()
    };
    harness.entry.send(Body::Heartbeat(heartbeat));
    second_entry.wait_until("the link", |entry| entry.link.0 > 0);
    second_entry.wait_until("a heartbeat", |entry| entry.last_heartbeat.slots == 2);
}
