//! Figures of the trial.

use std::io::{self, Write};

use knapweedwall_core::dispatch::{FastestFirst, Limits, Placement};

use super::baselines::{PushRandom, PushTwoChoices};
use super::model::{Outcome, Policy, RunResult, run};
use super::reference::run_reference;
use super::scenario::{Scenario, class_names, scenarios, target_s};

/// Seeds whose runs are pooled.
const SEEDS: std::ops::Range<u64> = 1..6;

/// Outcomes of the jobs of one class under one policy.
#[derive(Debug, Clone, Default)]
pub struct Figures {
    responses_s: Vec<f64>,
    failed: u32,
    refused: u32,
    open: u32,
}

impl Figures {
    fn add(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Complete(response_s) => self.responses_s.push(response_s),
            Outcome::Failed => self.failed += 1,
            Outcome::Refused => self.refused += 1,
            Outcome::Open => self.open += 1,
        }
    }

    /// Mean response in seconds.
    #[must_use]
    pub fn mean_s(&self) -> f64 {
        self.responses_s.iter().sum::<f64>() / self.responses_s.len().max(1) as f64
    }

    /// 99th percentile of the response in seconds.
    #[must_use]
    pub fn p99_s(&self) -> f64 {
        let mut sorted = self.responses_s.clone();
        sorted.sort_by(f64::total_cmp);
        let place = (sorted.len() * 99).div_ceil(100).saturating_sub(1);
        sorted.get(place).copied().unwrap_or_default()
    }

    /// Share of the answered jobs that took longer than `target_s`, in percent.
    #[must_use]
    pub fn late_percent(&self, target_s: f64) -> f64 {
        let late = self.responses_s.iter().filter(|r| **r > target_s).count();
        100.0 * late as f64 / self.responses_s.len().max(1) as f64
    }
}

/// Figures of all classes and the frames that moved credits, pooled over all seeds.
#[derive(Debug, Default)]
struct Pool {
    classes: Vec<Figures>,
    starts: u64,
    start_frames: u64,
    demands: u64,
    moves: u64,
}

/// Makes a policy for one run.
type MakePolicy = fn() -> Policy;

/// Policies under trial, by name.
fn policies() -> Vec<(&'static str, MakePolicy)> {
    vec![
        ("random", || push(Box::new(PushRandom))),
        ("two-choices", || push(Box::new(PushTwoChoices))),
        ("dispatch", || dispatch(1, patient())),
        ("dispatch-3", || dispatch(3, patient())),
        ("dispatch-refusing", || dispatch(1, Limits::default())),
    ]
}

/// One entry process that pushes tasks to workers' queues.
fn push(placement: Box<dyn Placement>) -> Policy {
    Policy {
        placements: vec![placement],
        limits: patient(),
        push: true,
    }
}

/// The dispatcher in this many entry processes.
fn dispatch(entries: usize, limits: Limits) -> Policy {
    let placement = || Box::new(FastestFirst) as Box<dyn Placement>;
    Policy {
        placements: (0..entries).map(|_| placement()).collect(),
        limits,
        push: false,
    }
}

/// Limits without overload refusal, so that all policies serve the same jobs.
fn patient() -> Limits {
    Limits {
        overload_factor: f64::INFINITY,
        ..Limits::default()
    }
}

/// Runs all scenarios, or only one, and writes one line per scenario, class and policy.
///
/// # Errors
/// The error of `out`.
pub fn write_report(out: &mut impl Write, only: Option<&str>) -> io::Result<()> {
    for scenario in scenarios() {
        if only.is_some_and(|name| name != scenario.name) {
            continue;
        }
        let reference = pooled(&scenario, &|workload, _| RunResult {
            outcomes: run_reference(workload),
            ..RunResult::default()
        });
        write_lines(out, scenario.name, "reference", &reference, &reference)?;
        for (name, policy) in policies() {
            let pool = pooled(&scenario, &|workload, seed| run(workload, policy(), seed));
            write_lines(out, scenario.name, name, &pool, &reference)?;
        }
    }
    Ok(())
}

type Runner<'a> = &'a dyn Fn(&super::scenario::Workload, u64) -> RunResult;

fn pooled(scenario: &Scenario, runner: Runner<'_>) -> Pool {
    let mut pool = Pool {
        classes: vec![Figures::default(); class_names().count()],
        ..Pool::default()
    };
    for seed in SEEDS {
        let workload = scenario.workload(seed);
        let result = runner(&workload, seed);
        pool.starts += result.starts;
        pool.start_frames += result.start_frames;
        pool.demands += result.demands;
        pool.moves += result.moves;
        for (job, outcome) in workload.jobs.iter().zip(result.outcomes) {
            pool.classes[job.class].add(outcome);
        }
    }
    pool
}

fn write_lines(
    out: &mut impl Write,
    scenario: &str,
    policy: &str,
    pool: &Pool,
    reference: &Pool,
) -> io::Result<()> {
    for (class, name) in class_names().enumerate() {
        let (own, ideal) = (&pool.classes[class], &reference.classes[class]);
        if ideal.responses_s.is_empty() {
            continue;
        }
        writeln!(
            out,
            "{scenario:8} {name:6} {policy:18} mean/ref {:6.2} p99/ref {:6.2} mean {:7.0} ms \
             p99 {:7.0} ms late {:5.1}% jobs {:6} failed {:5} refused {:5} open {}",
            own.mean_s() / ideal.mean_s(),
            own.p99_s() / ideal.p99_s(),
            own.mean_s() * 1e3,
            own.p99_s() * 1e3,
            own.late_percent(target_s(class)),
            own.responses_s.len(),
            own.failed,
            own.refused,
            own.open,
        )?;
    }
    let starts = pool.starts.max(1) as f64;
    if pool.demands + pool.moves == 0 {
        return Ok(());
    }
    // Every task has a report.
    let total = pool.starts + pool.start_frames + pool.demands + pool.moves;
    writeln!(
        out,
        "{scenario:8} frames {policy:18} start {:.2} demand {:.2} grant, recall, return {:.2} \
         total with reports {:.2} per start",
        pool.start_frames as f64 / starts,
        pool.demands as f64 / starts,
        pool.moves as f64 / starts,
        total as f64 / starts,
    )
}
