//! Links that are lost and entry processes that are learned of.

use knapweedwall_wire::{EntryAddress, Fence, Heartbeat, Outcome, frame::Body};
use rstest::rstest;

use crate::bench::{Bench, Entry, task};

/// Guards against a result that is lost with the link of the shard's owner.
#[rstest]
fn result_survives_the_loss_of_the_link() {
    let mut bench = Bench::open(1);
    let listen = bench.entry.address().to_string();
    bench
        .entry
        .start(vec![task(1, 0, r#"{"ms":100,"result":"kept"}"#)]);
    bench.endpoint.until("the start", |s| s.running == 1);
    bench.entry.close();
    bench.endpoint.until("the end", |s| s.running == 0);
    let mut next = Entry::open("entry-1", 12, &listen);
    next.until("the link", |entry| entry.link.0 > 0);
    let mut outcome = Outcome::Running;
    while outcome == Outcome::Running {
        next.send(Body::Fence(Fence { shard: 0, epoch: 2 }));
        next.until("the fence report", |entry| !entry.fences.is_empty());
        let report = next.fences.pop_front().unwrap();
        assert_eq!(
            (report.epoch, report.last, report.tasks.len()),
            (2, true, 1)
        );
        outcome = report.tasks[0].outcome();
        assert!(outcome == Outcome::Running || report.tasks[0].payload == "kept");
    }
    assert_eq!(outcome, Outcome::Done);
    let mut again = task(1, 0, "");
    again.epoch = 2;
    assert_eq!(next.run(again).outcome(), Outcome::Duplicate);
    assert_eq!(bench.endpoint.summary().doubled, 0);
}

/// Guards against an agent that knows only its seeds.
#[rstest]
fn named_entry_process_is_linked_to() {
    let bench = Bench::open(2);
    let mut other = Entry::open("entry-2", 22, "127.0.0.1:0");
    let entries = vec![EntryAddress {
        name: "entry-2".into(),
        address: other.address().to_string(),
    }];
    let beat = Heartbeat {
        entries,
        ..Heartbeat::default()
    };
    bench.entry.send(Body::Heartbeat(beat));
    other.until("the link", |entry| entry.link.0 > 0);
    other.until("a heartbeat", |entry| entry.beat.slots == 2);
}
