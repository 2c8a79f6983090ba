//! A model of a worker that keeps to the published rules: fences, leases, numbered ends.

use std::collections::BTreeMap;

use knapweedwall_core::executor::{
    EndCause, EndedRun, Refusal, RenewalOutcome, RunLists, RunningRun, StartOutcome, StartRequest,
    StopOutcome,
};
use knapweedwall_core::job::{RunId, TaskId};

use crate::clocks::time_of_day;

/// Longest lease.
pub const LEASE_MS: u64 = 1_000;

/// Time that a stop takes.
const STOP_MS: u64 = 50;

/// Offset of the worker's clock, to tell it apart from others.
const CLOCK_OFFSET_MS: u64 = 77_000;

/// Time from the start of a deadly task to the crash of its worker.
const DEADLY_MS: u64 = 10;

/// Time until a crashed worker is back.
const BACK_MS: u64 = 3_200;

/// Time after which a smaller capacity counts: a heartbeat and its way.
const SHRINK_MS: u64 = 600;

/// How the tasks of a job end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    Done = 0,
    Failed = 1,
    /// The first task crashes its worker, the others are done.
    Deadly = 2,
    /// The same, before the worker answers the start request.
    DeadlyAtOnce = 3,
}

/// What a specification of the tests asks for: processor, run time at speed 1, ending.
pub fn spec(cpu: u32, run_ms: u64, ending: Ending) -> String {
    format!("{cpu}:{run_ms}:{}", ending as u8)
}

/// Ends that one list holds.
const LISTED_ENDS: usize = 500;

/// A run on the worker.
#[derive(Debug, Clone)]
pub struct WorkerRun {
    pub cpu: u32,
    pub started_ms: u64,
    pub ends_ms: u64,
    fails: bool,
    stopped_ms: Option<u64>,
}

/// A worker.
#[derive(Debug)]
pub struct Worker {
    pub cpu: u32,
    pub speed: f64,
    /// Time of day at which the lifetime began.
    pub born: u64,
    /// Simulated time at which it began.
    since_ms: u64,
    /// By how much the time of day of its machine is ahead.
    pub ahead_ms: i64,
    /// Whether the clock of the worker is 2% slow, the most that is allowed.
    pub slow_clock: bool,
    /// Number in the instance id.
    id: u64,
    pub up: bool,
    /// Capacity before the last change, and until when it counts.
    earlier: (u32, u64),
    /// When a crashed worker is back, and whether with its instance id.
    back_ms: Option<u64>,
    back_with_id: bool,
    /// When a deadly task crashes the worker.
    crash_ms: Option<u64>,
    /// Runs that were on the worker when one of its lifetimes ended.
    pub crashed: Vec<RunId>,
    /// Starts fail at once.
    pub broken: bool,
    /// Runs make no progress.
    pub hangs: bool,
    pub runs: BTreeMap<RunId, WorkerRun>,
    barred: BTreeMap<TaskId, u32>,
    fence: u64,
    lease_ms: u64,
    ended: Vec<EndedRun>,
    last_end: u64,
    pub starts: u64,
    /// Tasks that were started, with the time.
    pub started: Vec<(TaskId, u64)>,
    /// Tasks with an end by themselves that is listed: number, time, whether the lease lapsed since and
    /// whether they failed.
    listed: BTreeMap<u64, (TaskId, u64, bool, bool)>,
    /// Ends `done` that were taken note of.
    pub noted: Vec<(TaskId, u64)>,
    /// Ends `failed` that were taken note of.
    pub noted_failures: Vec<(TaskId, u64)>,
    /// Broken rules, in words.
    pub faults: Vec<String>,
}

impl Worker {
    pub fn new(cpu: u32, speed: f64, since_ms: u64, ahead_ms: i64) -> Self {
        Self {
            cpu,
            speed,
            born: time_of_day(since_ms, ahead_ms),
            since_ms,
            ahead_ms,
            slow_clock: false,
            id: since_ms,
            up: true,
            earlier: (0, 0),
            back_ms: None,
            back_with_id: false,
            crash_ms: None,
            crashed: Vec::new(),
            broken: false,
            hangs: false,
            runs: BTreeMap::new(),
            barred: BTreeMap::new(),
            fence: 0,
            lease_ms: 0,
            ended: Vec::new(),
            last_end: 0,
            starts: 0,
            started: Vec::new(),
            listed: BTreeMap::new(),
            noted: Vec::new(),
            noted_failures: Vec::new(),
            faults: Vec::new(),
        }
    }

    pub fn instance(&self) -> String {
        format!("w-{}", self.id)
    }

    pub fn clock(&self, now_ms: u64) -> u64 {
        let age_ms = now_ms - self.since_ms;
        let lag_ms = if self.slow_clock { age_ms / 50 } else { 0 };
        age_ms - lag_ms + CLOCK_OFFSET_MS
    }

    /// Ends the lifetime and begins another.
    pub fn restart(&mut self, now_ms: u64) {
        self.crashed.extend(self.runs.keys().cloned());
        let faults = std::mem::take(&mut self.faults);
        let (starts, started) = (self.starts, std::mem::take(&mut self.started));
        let noted = std::mem::take(&mut self.noted);
        let noted_failures = std::mem::take(&mut self.noted_failures);
        let crashed = std::mem::take(&mut self.crashed);
        let slow_clock = self.slow_clock;
        *self = Self::new(self.cpu, self.speed, now_ms, self.ahead_ms);
        self.slow_clock = slow_clock;
        self.faults = faults;
        self.starts = starts;
        self.started = started;
        self.noted = noted;
        self.noted_failures = noted_failures;
        self.crashed = crashed;
    }

    /// Ends the lifetime and begins another with the same instance id.
    pub fn restart_with_id(&mut self, now_ms: u64) {
        let id = self.id;
        self.restart(now_ms);
        self.id = id;
    }

    /// Changes the capacity while the worker runs.
    pub fn resize(&mut self, now_ms: u64, cpu: u32) {
        self.earlier = (self.cpu, now_ms + SHRINK_MS);
        self.cpu = cpu;
    }

    /// Ends the lifetime; another begins some seconds later. No process listens meanwhile.
    pub fn crash(&mut self, now_ms: u64) {
        self.crashed.extend(self.runs.keys().cloned());
        self.runs.clear();
        self.up = false;
        self.back_ms = Some(now_ms + BACK_MS);
    }

    /// The same, but the worker is back after `down_ms` with its instance id.
    pub fn crash_with_id(&mut self, now_ms: u64, down_ms: u64) {
        self.crash(now_ms);
        self.back_ms = Some(now_ms + down_ms);
        self.back_with_id = true;
    }

    /// Ends the lifetime for good.
    pub fn lose(&mut self, now_ms: u64) {
        self.crash(now_ms);
        self.back_ms = Some(u64::MAX);
    }

    /// Whether the worker has crashed and is not back yet.
    pub fn is_gone(&self) -> bool {
        self.back_ms.is_some()
    }

    fn extend(&mut self, now_ms: u64, lease_ms: Option<u64>) {
        let longest = self.clock(now_ms) + LEASE_MS;
        if let Some(lease_ms) = lease_ms {
            self.lease_ms = self.lease_ms.max(lease_ms.min(longest));
        }
    }

    fn end(&mut self, run: &RunId, cause: EndCause) {
        self.runs.remove(run);
        self.last_end += 1;
        let barred = self.barred.entry(run.task.clone()).or_default();
        *barred = (*barred).max(run.attempt);
        self.ended.push(EndedRun {
            number: self.last_end,
            run: run.clone(),
            cause,
        });
    }

    /// Lets time pass. Returns whether a run ended.
    pub fn pass(&mut self, now_ms: u64) -> bool {
        if self.back_ms.is_some_and(|at| now_ms >= at) {
            if self.back_with_id {
                self.restart_with_id(now_ms);
            } else {
                self.restart(now_ms);
            }
        }
        if self.crash_ms.take_if(|at| now_ms >= *at).is_some() && self.up {
            self.crash(now_ms);
        }
        let lapsed = self.clock(now_ms) > self.lease_ms;
        for end in self.listed.values_mut() {
            end.2 |= lapsed;
        }
        let runs = self.runs.clone();
        let mut any = false;
        for (id, run) in runs {
            let stopped = run.stopped_ms.is_some_and(|at| now_ms >= at + STOP_MS);
            let cause = if lapsed {
                EndCause::Lapsed
            } else if stopped {
                EndCause::Stopped
            } else if !self.hangs && now_ms >= run.ends_ms {
                if run.fails {
                    EndCause::Failed
                } else {
                    EndCause::Done
                }
            } else {
                continue;
            };
            self.end(&id, cause);
            if matches!(cause, EndCause::Done | EndCause::Failed) {
                let failed = cause == EndCause::Failed;
                self.listed
                    .insert(self.last_end, (id.task, now_ms, false, failed));
            }
            any = true;
        }
        any
    }

    pub fn start(
        &mut self,
        now_ms: u64,
        order: &StartRequest,
        lease_ms: u64,
        fence: u64,
    ) -> StartOutcome {
        if fence < self.fence {
            return StartOutcome::Refused(Refusal::Fence);
        }
        self.fence = fence;
        let run = &order.run;
        if self.runs.contains_key(run) {
            self.extend(now_ms, Some(lease_ms));
            return StartOutcome::Started;
        }
        if self
            .barred
            .get(&run.task)
            .is_some_and(|barred| run.attempt <= *barred)
        {
            self.extend(now_ms, Some(lease_ms));
            return StartOutcome::Refused(Refusal::OldAttempt);
        }
        if lease_ms < self.clock(now_ms) {
            return StartOutcome::Refused(Refusal::Late);
        }
        self.extend(now_ms, Some(lease_ms));
        let mut parts = order
            .spec
            .split(':')
            .map(|part| part.parse::<u64>().unwrap());
        let (cpu, run_ms) = (parts.next().unwrap(), parts.next().unwrap());
        let ending = parts.next().unwrap();
        let fails = ending == 1 || self.broken;
        if ending == 2 && run.task.index == 0 {
            self.crash_ms = self.crash_ms.or(Some(now_ms + DEADLY_MS));
        }
        let run_ms = if self.broken { 3 } else { run_ms };
        self.starts += 1;
        self.started.push((run.task.clone(), now_ms));
        self.runs.insert(
            run.clone(),
            WorkerRun {
                cpu: u32::try_from(cpu).unwrap(),
                started_ms: now_ms,
                ends_ms: now_ms + (run_ms as f64 / self.speed) as u64,
                fails,
                stopped_ms: None,
            },
        );
        let used: u32 = self.runs.values().map(|run| run.cpu).sum();
        let (earlier, until_ms) = self.earlier;
        let earlier = if now_ms < until_ms { earlier } else { 0 };
        if used > self.cpu.max(earlier) {
            self.faults
                .push(format!("{now_ms} ms: {used} of {} in use", self.cpu));
        }
        if ending == 3 && run.task.index == 0 {
            self.crash(now_ms);
            return StartOutcome::NoAnswer("connection closed".into());
        }
        StartOutcome::Started
    }

    pub fn stop(&mut self, now_ms: u64, run: &RunId, fence: u64) -> StopOutcome {
        if fence < self.fence {
            return StopOutcome::Fence;
        }
        self.fence = fence;
        let barred = self.barred.entry(run.task.clone()).or_default();
        *barred = (*barred).max(run.attempt);
        if let Some(run) = self.runs.get_mut(run) {
            run.stopped_ms = run.stopped_ms.or(Some(now_ms));
        }
        StopOutcome::Accepted
    }

    /// Number of ends that the worker keeps until they are acknowledged.
    pub fn listed_ends(&self) -> usize {
        self.ended.len()
    }

    /// Whether a hold would be answered without waiting: with ends that have not been forgotten.
    pub fn has_news(&self, acknowledged: u64) -> bool {
        self.ended.iter().any(|row| row.number > acknowledged)
    }

    pub fn hold(
        &mut self,
        now_ms: u64,
        lease_ms: Option<u64>,
        fence: u64,
        acknowledged: u64,
    ) -> RenewalOutcome {
        if fence < self.fence {
            return RenewalOutcome::Fence;
        }
        self.fence = fence;
        self.extend(now_ms, lease_ms);
        self.ended.retain(|row| row.number > acknowledged);
        while let Some(end) = self.listed.first_entry() {
            if *end.key() > acknowledged {
                break;
            }
            match end.remove() {
                (_, _, true, _) => {}
                (task, at_ms, false, false) => self.noted.push((task, at_ms)),
                (task, at_ms, false, true) => self.noted_failures.push((task, at_ms)),
            }
        }
        let percent = |run: &WorkerRun| {
            let span = (run.ends_ms - run.started_ms).max(1);
            let done = if self.hangs {
                0
            } else {
                now_ms - run.started_ms
            };
            u32::try_from(done * 100 / span).unwrap().min(100)
        };
        let running = self.runs.iter().map(|(id, run)| RunningRun {
            run: id.clone(),
            percent: percent(run),
        });
        RenewalOutcome::Renewed(RunLists {
            incarnation: Some(self.born),
            running: running.collect(),
            ended: self.ended.iter().take(LISTED_ENDS).cloned().collect(),
        })
    }
}
