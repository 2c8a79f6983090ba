//! Fences, their answers and where results go.

use bytes::Bytes;
use knapweedwall_core::agent::{Input, RunEnd};
use knapweedwall_wire::{Fence, Outcome, Settled, Start, frame::Body};
use prost::Message;
use rstest::rstest;

use crate::bench::{Bench, done, job, task};

#[rstest]
fn fence_report_lists_the_shard() {
    let mut bench = Bench::new(8);
    let (old, new) = (bench.link(1), bench.link(2));
    let ended = bench.run(old, task(1, 0, 1));
    bench.run(old, task(1, 1, 1));
    bench.run(old, task(101, 0, 1));
    bench.end(ended, done("result"));
    let parts = bench.fence(new, 0, 2);
    assert_eq!(parts.len(), 1);
    assert!(parts[0].last);
    assert_eq!((parts[0].shard, parts[0].epoch), (0, 2));
    let mut tasks = parts[0].tasks.clone();
    tasks.sort_by_key(|t| t.index);
    assert_eq!(tasks.len(), 2);
    assert_eq!(tasks[0].outcome(), Outcome::Done);
    assert_eq!(tasks[0].payload, "result");
    assert_eq!(tasks[1].outcome(), Outcome::Running);
}

/// Guards against results that go to an owner that was replaced.
#[rstest]
fn results_go_to_the_link_of_the_last_fence() {
    let mut bench = Bench::new(8);
    let (old, new) = (bench.link(1), bench.link(2));
    let run = bench.run(old, task(1, 0, 1));
    bench.fence(new, 0, 2);
    let turn = bench.end(run, done("result"));
    assert_eq!(turn.reports(old), []);
    assert_eq!(turn.outcomes(new), [Outcome::Done]);
}

/// Guards against a replaced owner that fences itself back in.
#[rstest]
fn lower_fence_is_told_the_higher_epoch() {
    let mut bench = Bench::new(8);
    let (old, new) = (bench.link(1), bench.link(2));
    let run = bench.run(old, task(1, 0, 1));
    bench.fence(new, 0, 7);
    let parts = bench.fence(old, 0, 3);
    assert_eq!(parts.len(), 1);
    assert_eq!((parts[0].epoch, parts[0].last), (7, true));
    assert_eq!(parts[0].tasks, []);
    let turn = bench.end(run, done("result"));
    assert_eq!(turn.outcomes(new), [Outcome::Done]);
}

/// Guards against a lost outcome while the owner's link is down.
#[rstest]
fn outcome_waits_for_the_next_fence() {
    let mut bench = Bench::new(2);
    let first = bench.link(1);
    let run = bench.run(first, task(1, 0, 1));
    bench.turn(vec![Input::LinkDown(first)]);
    let other = bench.link(9);
    let turn = bench.end(run, done("kept"));
    assert_eq!(turn.reports(other), []);
    let again = bench.link(1);
    let parts = bench.fence(again, 0, 1);
    assert_eq!(parts[0].tasks[0].payload, "kept");
}

/// Guards against a refusal that arrives after the fence report and is taken for a refusal of a
/// later start of the same task.
#[rstest]
fn refusals_are_sent_before_the_fence_report() {
    let mut bench = Bench::new(1);
    let link = bench.link(1);
    bench.run(link, task(1, 0, 1));
    let tasks = vec![task(2, 0, 1)];
    let turn = bench.turn(vec![
        Input::Frame(link, Body::Start(Start { tasks })),
        Input::Frame(link, Body::Fence(Fence { shard: 0, epoch: 1 })),
    ]);
    assert!(matches!(turn.sent[0].1, Body::Report(_)));
    assert!(matches!(turn.sent[1].1, Body::FenceReport(_)));
}

/// Guards against a fence report that is larger than a frame may be.
#[rstest]
fn large_fence_report_is_split() {
    let mut bench = Bench::new(1);
    let link = bench.link(1);
    for index in 0..3000 {
        let run = bench.run(link, task(1, index, 1));
        bench.end(run, RunEnd::Done(Bytes::from(vec![b'x'; 1024])));
    }
    let parts = bench.fence(link, 0, 1);
    assert!(parts.len() >= 3, "3 MB of results need 3 parts or more");
    let (last, others) = parts.split_last().unwrap();
    assert!(last.last && others.iter().all(|part| !part.last));
    assert!(parts.iter().all(|part| part.encoded_len() < 1024 * 1024));
    let tasks = parts.iter().map(|part| part.tasks.len()).sum::<usize>();
    assert_eq!(tasks, 3000);
}

#[rstest]
fn settled_tasks_are_not_listed() {
    let mut bench = Bench::new(4);
    let link = bench.link(1);
    let run = bench.run(link, task(1, 0, 1));
    bench.run(link, task(2, 0, 1));
    bench.end(run, done("x"));
    let jobs = vec![job(1).to_bytes()];
    bench.frame(link, Body::Settled(Settled { jobs }));
    let parts = bench.fence(link, 0, 1);
    assert_eq!(parts[0].tasks.len(), 1);
    assert_eq!(parts[0].tasks[0].job, job(2).to_bytes());
}
