//! Measures the CPU time of the agent per task, including all threads and HTTP requests.
//!
//! `cargo bench -p knapweedwall-agent --bench cpu_per_task -- [TASKS] [SLOTS] [RUN_MS]` runs the
//! agent as a process with a simulated entry process and the stand-in endpoint, for jobs of 1, 10
//! and 500 tasks.
#![allow(
    clippy::unwrap_used,
    clippy::print_stdout,
    reason = "failures abort the benchmark, and its results are printed"
)]

#[path = "../tests/process/harness.rs"]
#[allow(dead_code, reason = "the benchmark uses a part of the harness")]
mod harness;

use std::fs;
use std::path::Path;
use std::process::{Child, Command};
use std::time::Instant;

use harness::{FakeEndpoint, FakeEntry, job_key, task_start};
use knapweedwall_wire::{Outcome, Settled, frame::Body};

/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_SECOND: u64 = 100;

/// Number of jobs settled by a frame, for jobs of up to 50 tasks.
const JOBS_PER_SETTLED_FRAME: usize = 50;

struct Args {
    tasks: u32,
    slots: u32,
    run_ms: u64,
}

fn main() {
    let numbers = std::env::args().filter_map(|arg| arg.parse::<u64>().ok());
    let numbers = numbers.collect::<Vec<_>>();
    let number_at = |index: usize, default| numbers.get(index).copied().unwrap_or(default);
    let args = Args {
        tasks: u32::try_from(number_at(0, 100_000)).unwrap(),
        slots: u32::try_from(number_at(1, 8)).unwrap(),
        run_ms: number_at(2, 1),
    };
    for job_tasks in [1, 10, 500] {
        measure(&args, job_tasks);
    }
}

fn measure(args: &Args, job_tasks: u32) {
    let endpoint = FakeEndpoint::start(args.slots);
    let run_time = std::time::Duration::from_millis(args.run_ms);
    endpoint.update_controls(|controls| controls.run_time = run_time);
    let mut entry = FakeEntry::start("entry-1", 11, "127.0.0.1:0");
    let mut agent = spawn_agent(args.slots, &endpoint, &entry);
    entry.wait_until("all slots", |entry| entry.credits == args.slots);
    let (cpu, start) = (cpu_ticks(&agent), Instant::now());
    run_tasks(&mut entry, args.tasks, job_tasks);
    let (cpu, wall) = (cpu_ticks(&agent) - cpu, start.elapsed());
    let summary = endpoint.summary();
    agent.kill().unwrap();
    agent.wait().unwrap();
    assert_eq!(
        (summary.starts, summary.doubled),
        (u64::from(args.tasks), 0)
    );
    let micros = cpu as f64 * 1e6 / TICKS_PER_SECOND as f64 / f64::from(args.tasks);
    let rate = f64::from(args.tasks) / wall.as_secs_f64();
    println!(
        "jobs of {job_tasks} tasks: {micros:.1} us of processor time per task, \
         {rate:.0} tasks per second on {} slots",
        args.slots
    );
}

fn spawn_agent(slots: u32, endpoint: &FakeEndpoint, entry: &FakeEntry) -> Child {
    let settings = format!(
        "name: agent-1\nzone: z1\nendpoint: {}\nslots: {slots}\nseeds: ['{}']\nadmin: 127.0.0.1:0\n\
         log: {{level: warning}}\n",
        endpoint.address(),
        entry.address()
    );
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("cpu_per_task.yaml");
    fs::write(&path, settings).unwrap();
    let mut agent = Command::new(env!("CARGO_BIN_EXE_knapweedwall-agent"));
    agent.args(["run", "--settings"]).arg(path).spawn().unwrap()
}

/// User and system time of all threads of a process, in clock ticks.
fn cpu_ticks(process: &Child) -> u64 {
    let stat = fs::read_to_string(format!("/proc/{}/stat", process.id())).unwrap();
    let (_, fields) = stat.rsplit_once(')').unwrap();
    let fields = fields.split_whitespace().collect::<Vec<_>>();
    fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
}

fn run_tasks(entry: &mut FakeEntry, tasks: u32, job_tasks: u32) {
    let mut next = 0;
    let mut ended = 0;
    let mut settled = 0;
    while ended < tasks {
        let all_started = next == tasks;
        entry.wait_until("credits or reports", |entry| {
            !entry.reports.is_empty() || (!all_started && entry.credits > 0)
        });
        while let Some(report) = entry.reports.pop_front() {
            assert_eq!(report.outcome(), Outcome::Done);
            ended += 1;
        }
        let first = next;
        next = tasks.min(first + entry.credits);
        if first < next {
            let starts = (first..next).map(|n| {
                let job = u128::from(n / job_tasks);
                task_start(job, n % job_tasks, "")
            });
            entry.start_tasks(starts.collect());
        }
        let done = u128::from(ended.saturating_sub(entry.credits + 64) / job_tasks);
        if done >= settled + JOBS_PER_SETTLED_FRAME as u128 || (job_tasks > 50 && done > settled) {
            let jobs = (settled..done).map(|job| job_key(job).to_bytes()).collect();
            settled = done;
            entry.send(Body::Settled(Settled { jobs }));
        }
    }
}
