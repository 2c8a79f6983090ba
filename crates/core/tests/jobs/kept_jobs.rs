//! Durable jobs that wait beside free workers, whatever is confined, suspect or reserved.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use knapweedwall_core::scheduler::Answer;
use rstest::rstest;

use crate::callers::{Caller, Job};
use crate::fleet::{Fleet, Host};

/// Looks at the fleet in 3 s. For that long a job may wait while a worker could run it, by the rule
/// LOST.
const LOOKS: usize = 3_000 / STEP_MS as usize;

/// Time after the loss of an entry process until its shards have another owner and its runs have
/// ended.
const TAKEOVER_MS: u64 = 9_000;

/// Time after the loss of an agent until its runs are known to have ended.
const AGENT_LOSS_MS: u64 = 3_500;

/// Time in which shards have owners after the start.
const CLAIM_MS: u64 = 3_000;

/// Time between two looks at the fleet.
const STEP_MS: u64 = 20;

/// Length of the traffic.
const TRAFFIC_MS: u64 = 14_000;

/// Most jobs with a fatal task.
const FATAL_JOBS: u32 = 30;

/// Time after the traffic in which all jobs must have ended. Two crashes of 3.2 s for each fatal job
/// take 24 s on 8 workers; the rest is for the loss of processes.
const FINISH_MS: u64 = 40_000;

const ENTRIES: usize = 3;

const WORKERS: [(u32, f64); 8] = [
    (16_000, 0.7),
    (16_000, 0.7),
    (24_000, 1.7),
    (16_000, 0.7),
    (16_000, 0.7),
    (24_000, 1.7),
    (16_000, 0.7),
    (16_000, 1.0),
];

/// What a scenario consists of.
#[derive(Debug, Clone, Copy)]
struct Faults {
    /// Entry processes and agents are lost and come back.
    losses: bool,
    /// Some jobs need a label that two workers have, or a worker for each task.
    constraints: bool,
}

/// Watches jobs that wait though they could run.
#[derive(Default)]
struct Watch {
    /// Looks in a row, up to the last one, in which a job could run and did not.
    waits: BTreeMap<usize, usize>,
    /// Processor in use and in total at each look, since the last disturbance.
    room: VecDeque<(u32, u32)>,
    /// Nothing is judged before this time.
    calm_ms: u64,
    found: Vec<String>,
}

impl Watch {
    fn disturb(&mut self, fleet: &Fleet, ms: u64) {
        self.calm_ms = self.calm_ms.max(fleet.now_ms + ms);
    }

    /// Notes jobs that have waited for too long while less than half of the room was in use.
    fn look(&mut self, fleet: &Fleet) {
        let mut running: BTreeSet<&str> = BTreeSet::new();
        let mut sound: Vec<(&Host, u32)> = Vec::new();
        for host in fleet.hosts.iter().filter(|host| host.worker.up) {
            running.extend(host.worker.runs.keys().map(|run| run.task.job.as_str()));
            let used = host.worker.runs.values().map(|run| run.cpu).sum();
            sound.extend(host.agent.is_some().then_some((host, used)));
        }
        let used = sound.iter().map(|(_, used)| used).sum();
        let room = sound.iter().map(|(host, _)| host.worker.cpu).sum();
        self.room.push_back((used, room));
        if self.room.len() > LOOKS {
            self.room.pop_front();
        }
        let used: u32 = self.room.iter().map(|(used, _)| used).sum();
        let room: u32 = self.room.iter().map(|(_, room)| room).sum();
        for (number, caller) in fleet.callers.iter().enumerate() {
            let id = &caller.request.id;
            let accepted = caller.answer == Some(Answer::Accepted) && !fleet.ended.contains_key(id);
            if !accepted || running.contains(id.as_str()) || fleet.now_ms < self.calm_ms {
                self.waits.remove(&number);
                continue;
            }
            let spec = &caller.request.phases[0];
            let suits = |host: &Host| {
                let label = spec.label.as_ref();
                label.is_none_or(|label| host.labels.contains(label))
            };
            let fits = |(host, used): &&(&Host, u32)| {
                suits(host) && host.worker.cpu >= used + spec.resources.cpu
            };
            if sound.iter().filter(fits).count() < 2 {
                self.waits.remove(&number);
                continue;
            }
            let looks = self.waits.entry(number).or_default();
            *looks += 1;
            if *looks >= LOOKS && used * 2 < room {
                *looks = 0;
                self.found.push(format!("{} ms: job {id}", fleet.now_ms));
            }
        }
    }
}

/// A job of the queue that crashes workers, or of another one.
fn submit(fleet: &mut Fleet, faults: Faults, deadly: bool) {
    let entry = usize::try_from(fleet.random(ENTRIES as u64)).unwrap();
    if !fleet.has_entry(entry) {
        return;
    }
    let tasks = 1 + u32::try_from(fleet.random(8)).unwrap();
    let confined = deadly || fleet.random(5) > 1;
    let run_ms = if confined {
        20 + fleet.random(80)
    } else {
        50 + fleet.random(800)
    };
    let job = Job::new(tasks, 1_600, run_ms);
    let job = if deadly { job.deadly() } else { job };
    let kind = if faults.constraints {
        fleet.random(8)
    } else {
        8
    };
    let job = match kind {
        0 => job.label("b"),
        1 => job.spread(1),
        _ => job,
    };
    if confined {
        fleet.submit(entry, "patient", job.durable());
    } else {
        fleet.submit(entry, "checks", job);
    }
}

/// Loses an entry process or an agent, or replaces a worker.
fn lose(fleet: &mut Fleet, watch: &mut Watch) {
    let entry = usize::try_from(fleet.random(ENTRIES as u64)).unwrap();
    let host = usize::try_from(fleet.random(WORKERS.len() as u64)).unwrap();
    match fleet.random(3) {
        0 => {
            fleet.kill_entry(entry);
            watch.disturb(fleet, TAKEOVER_MS);
        }
        1 => {
            fleet.kill_agent(host);
            watch.disturb(fleet, AGENT_LOSS_MS);
        }
        _ => {
            fleet.kill_agent(host);
            let now_ms = fleet.now_ms;
            fleet.worker(host).crash(now_ms);
            watch.disturb(fleet, AGENT_LOSS_MS);
        }
    }
}

fn revive(fleet: &mut Fleet, share: u64) {
    for at in 0..ENTRIES {
        if !fleet.has_entry(at) && fleet.random(share) == 0 {
            fleet.start_entry(at);
        }
    }
    for at in 0..WORKERS.len() {
        if !fleet.has_agent(at) && fleet.random(share) == 0 {
            fleet.start_agent(at);
        }
    }
}

/// Number of accepted durable jobs that have not ended.
fn open(fleet: &Fleet) -> usize {
    let accepted = |caller: &&Caller| caller.answer == Some(Answer::Accepted);
    let jobs = fleet.callers.iter().filter(accepted);
    jobs.filter(|job| !fleet.ended.contains_key(&job.request.id))
        .count()
}

fn play(seed: u64, zones: usize, faults: Faults) {
    let mut fleet = Fleet::in_zones(zones, ENTRIES, &WORKERS, seed);
    if faults.constraints {
        for at in [2, 5] {
            fleet.hosts[at].labels = vec!["b".into()];
        }
    }
    fleet.run(CLAIM_MS);
    let mut watch = Watch::default();
    let bursts: Vec<u64> = (0..3).map(|_| fleet.random(TRAFFIC_MS - 2_000)).collect();
    let crest = fleet.random(TRAFFIC_MS - 3_000);
    let mut fatal = 0;
    for at_ms in (0..TRAFFIC_MS).step_by(STEP_MS as usize) {
        let in_burst = bursts
            .iter()
            .any(|start| (*start..start + 600).contains(&at_ms));
        let in_crest = (crest..crest + 3_000).contains(&at_ms);
        let arrive = 1 + u64::from(in_crest) * fleet.random(2);
        for _ in 0..arrive {
            let deadly = in_burst && fatal < FATAL_JOBS && fleet.random(3) == 0;
            fatal += u32::from(deadly);
            submit(&mut fleet, faults, deadly);
        }
        if fleet.random(150) == 0 {
            let host = usize::try_from(fleet.random(WORKERS.len() as u64)).unwrap();
            let now_ms = fleet.now_ms;
            fleet.worker(host).crash(now_ms);
        }
        if faults.losses && fleet.random(200) == 0 {
            lose(&mut fleet, &mut watch);
        }
        revive(&mut fleet, 25);
        fleet.run(STEP_MS);
        watch.look(&fleet);
    }

    revive(&mut fleet, 1);
    let end_ms = fleet.now_ms + FINISH_MS;
    while open(&fleet) > 0 && fleet.now_ms < end_ms {
        fleet.run(STEP_MS);
        watch.look(&fleet);
    }
    assert_eq!(watch.found, Vec::<String>::new(), "seed {seed}");
    assert_eq!(open(&fleet), 0, "seed {seed}");
    fleet.assert_rules();
}

fn seeds(default: &str) -> std::ops::Range<u64> {
    let seeds = std::env::var("KNAPWEEDWALL_SEEDS").unwrap_or_else(|_| default.to_owned());
    let (first, end) = seeds.split_once("..").unwrap();
    first.parse().unwrap()..end.parse().unwrap()
}

/// Guards against durable jobs that stand still beside free workers because their queue is confined,
/// they are suspects, or workers are reserved.
#[rstest]
#[case::crashes("4..6", 1, false, false)]
#[case::losses("0..2", 1, true, false)]
#[case::constraints("3..5", 3, true, true)]
// Suspects of a confined queue found no idle worker.
#[case::no_idle_worker("22..23", 3, true, true)]
fn free_workers_are_used(
    #[case] range: &str,
    #[case] zones: usize,
    #[case] losses: bool,
    #[case] constraints: bool,
) {
    let faults = Faults {
        losses,
        constraints,
    };
    for seed in seeds(range) {
        play(seed, zones, faults);
    }
}
