//! Properties of starts, fences and the ledger under any order of events.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use knapweedwall_core::LinkKey;
use knapweedwall_core::agent::{Input, RunEnd, RunKey};
use knapweedwall_wire::{FenceReport, Outcome, Start, TaskReport, frame::Body};
use proptest::prelude::*;

use crate::bench::{Bench, done, job, shard_of, task};

/// A task: number of its job (jobs 1, 2 in shard 0, 101 in shard 1) and index.
type Task = (u128, u32);

#[derive(Debug, Clone)]
enum Step {
    Link(u64),
    Start { from: u64, task: Task, epoch: u64 },
    Fence { from: u64, shard: u32, epoch: u64 },
    End { nth: usize, how: u8 },
    Cancel { from: u64, job: u128 },
    Settle { from: u64, job: u128 },
    Tick(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let from = || 0..3_u64;
    let job = || prop::sample::select(vec![1_u128, 2, 101]);
    let epoch = || 1..6_u64;
    prop_oneof![
        1 => from().prop_map(Step::Link),
        8 => (from(), job(), 0..3_u32, epoch())
            .prop_map(|(from, job, index, epoch)| Step::Start { from, task: (job, index), epoch }),
        2 => (from(), 0..2_u32, epoch())
            .prop_map(|(from, shard, epoch)| Step::Fence { from, shard, epoch }),
        5 => (0..4_usize, 0..4_u8).prop_map(|(nth, how)| Step::End { nth, how }),
        1 => (from(), job()).prop_map(|(from, job)| Step::Cancel { from, job }),
        1 => (from(), job()).prop_map(|(from, job)| Step::Settle { from, job }),
        1 => (1..30_000_u64).prop_map(Step::Tick),
    ]
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Known {
    Running(RunKey),
    /// Running, and forgotten when it ends.
    Settled(RunKey),
    Ended,
}

impl Known {
    fn run(self) -> Option<RunKey> {
        match self {
            Self::Running(run) | Self::Settled(run) => Some(run),
            Self::Ended => None,
        }
    }
}

struct Model {
    bench: Bench,
    links: BTreeMap<u64, LinkKey>,
    epochs: BTreeMap<u32, u64>,
    known: BTreeMap<Task, Known>,
    settled: BTreeMap<u128, Duration>,
    running: Vec<(RunKey, Task)>,
}

impl Model {
    fn link(&mut self, n: u64) -> LinkKey {
        if let Some(link) = self.links.get(&n) {
            return *link;
        }
        let link = self.bench.link(n);
        self.links.insert(n, link);
        link
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Link(n) => {
                let link = self.bench.link(n);
                self.links.insert(n, link);
            }
            Step::Start { from, task, epoch } => self.start(from, task, epoch),
            Step::Fence { from, shard, epoch } => self.fence(from, shard, epoch),
            Step::End { nth, how } if nth < self.running.len() => self.end(nth, how),
            Step::End { .. } => {}
            Step::Cancel { from, job } => {
                let link = self.link(from);
                let turn = self.bench.cancel(link, job);
                for run in turn.aborts {
                    let (_, task) = self.running.iter().find(|(r, _)| *r == run).unwrap();
                    assert_eq!(task.0, job);
                    let task = *task;
                    self.ended(task);
                }
            }
            Step::Settle { from, job } => {
                let link = self.link(from);
                self.bench.settle(link, job);
                self.settle(job);
            }
            Step::Tick(ms) => {
                self.bench.now += Duration::from_millis(ms);
                let turn = self.bench.turn(vec![Input::Tick]);
                let gone = turn.closed.iter().map(|(link, _)| *link);
                let gone = gone.collect::<BTreeSet<_>>();
                self.links.retain(|_, link| !gone.contains(link));
            }
        }
        let credits = self.bench.agent.credits();
        assert!(credits.granted() + credits.busy() <= credits.slots());
        assert_eq!(credits.busy() as usize, self.running.len());
    }

    fn start(&mut self, from: u64, id: Task, epoch: u64) {
        let link = self.link(from);
        let credits = self.bench.agent.credits().granted_to(link);
        let highest = self.epochs.entry(shard_of(id.0)).or_default();
        let superseded = epoch < *highest;
        *highest = epoch.max(*highest);
        let tasks = vec![task(id.0, id.1, epoch)];
        let turn = self.bench.frame(link, Body::Start(Start { tasks }));
        let refusals = turn.outcomes(link);
        assert_eq!(turn.runs.len() + refusals.len(), 1, "one answer to a start");
        if self.known.contains_key(&id) {
            assert_eq!(refusals, [Outcome::Duplicate]);
            return;
        }
        if refusals == [Outcome::Duplicate] {
            assert!(
                self.settled.contains_key(&id.0),
                "never started, yet a duplicate"
            );
            return;
        }
        if superseded {
            assert_eq!(refusals, [Outcome::Superseded]);
            return;
        }
        if let Some(at) = self.settled.get(&id.0) {
            assert!(
                self.bench.now >= *at + Duration::from_secs(60),
                "settled key dropped early"
            );
        }
        if credits == 0 {
            assert_eq!(refusals, [Outcome::NoSlot]);
            return;
        }
        self.settled.remove(&id.0);
        self.known.insert(id, Known::Running(turn.runs[0]));
        self.running.push((turn.runs[0], id));
    }

    fn fence(&mut self, from: u64, shard: u32, epoch: u64) {
        let link = self.link(from);
        let parts = self.bench.fence(link, shard, epoch);
        let [
            FenceReport {
                epoch: told,
                tasks,
                last: true,
                ..
            },
        ] = &parts[..]
        else {
            panic!("one part is expected");
        };
        let highest = self.epochs.entry(shard).or_default();
        if epoch < *highest {
            assert_eq!((*told, tasks.len()), (*highest, 0));
            return;
        }
        *highest = epoch;
        assert_eq!(*told, epoch);
        let running = |t: &TaskReport| t.outcome() == Outcome::Running;
        let told = tasks.iter().map(|t| (t.job.clone(), t.index, running(t)));
        let of_shard = self.known.iter().filter(|(id, _)| shard_of(id.0) == shard);
        let known = of_shard.map(|(id, known)| {
            let running = *known != Known::Ended;
            (job(id.0).to_bytes(), id.1, running)
        });
        let told = told.collect::<BTreeSet<_>>();
        assert_eq!(
            told,
            known.collect::<BTreeSet<_>>(),
            "the report is the ledger"
        );
    }

    fn end(&mut self, nth: usize, how: u8) {
        let (run, id) = self.running.swap_remove(nth);
        let end = match how {
            0 | 1 => done("x"),
            2 => RunEnd::Lost("reset".into()),
            _ => RunEnd::NotStarted("refused".into()),
        };
        let unsent = matches!(end, RunEnd::NotStarted(_));
        let turn = self.bench.end(run, end);
        assert!(turn.runs.is_empty(), "an end never starts anything");
        if unsent
            && self
                .known
                .get(&id)
                .is_some_and(|known| known.run() == Some(run))
        {
            self.known.remove(&id);
        } else if self
            .known
            .get(&id)
            .is_some_and(|known| known.run() == Some(run))
        {
            self.ended(id);
        }
    }

    /// A task has ended: it is forgotten if its job is settled.
    fn ended(&mut self, id: Task) {
        if let Some(Known::Settled(_)) = self.known.get(&id) {
            self.known.remove(&id);
        } else {
            self.known.insert(id, Known::Ended);
        }
    }

    fn settle(&mut self, job: u128) {
        self.settled.entry(job).or_insert(self.bench.now);
        self.known.retain(|id, known| {
            if id.0 != job {
                return true;
            }
            if let Some(run) = known.run() {
                *known = Known::Settled(run);
            }
            *known != Known::Ended
        });
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a second start, a start of a superseded owner, and a fence report that
    /// leaves something out.
    #[test]
    fn starts_and_fences_follow_the_ledger(
        steps in prop::collection::vec(step(), 1..300),
    ) {
        let mut model = Model {
            bench: Bench::new(4),
            links: BTreeMap::new(),
            epochs: BTreeMap::new(),
            known: BTreeMap::new(),
            settled: BTreeMap::new(),
            running: Vec::new(),
        };
        for step in steps {
            model.apply(&step);
        }
    }
}
