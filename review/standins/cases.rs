//! The cases.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::checks;
use crate::fleet::{self, Client, Fleet, job};
use crate::json::Json;
use crate::record::Record;
use crate::worker::WORKER_CPU;

/// Time after the start in which the entry processes share their work.
const SETTLE_TIME: Duration = Duration::from_secs(6);

/// Number of entry processes in the case in which one agent loses the path to one of them.
const CUT_ENTRIES: usize = 4;

/// Number of jobs in this case. Each entry process owns about a quarter of them.
const CUT_JOBS: usize = 14;

/// Result of a case: whether the rule was broken, or why it could not run.
type Outcome = Result<bool, String>;

pub fn run(case: &str, trouble: bool, record: Arc<Record>) -> Outcome {
    match case {
        "done-twice" => done_twice(trouble, record),
        "two-runs" => two_runs(trouble, record),
        "planned-stops" => planned_stops(trouble, record),
        "older-lifetime" => older_lifetime(trouble, record),
        "foreign-heartbeat" => foreign_heartbeat(trouble, record),
        _ => Err("unknown case".to_owned()),
    }
}

fn start(
    record: &Arc<Record>,
    entries: usize,
    labels: Vec<fleet::Labels>,
    max_attempts: u64,
) -> Result<Fleet, String> {
    let fleet = Fleet::start(Arc::clone(record), entries, labels, max_attempts);
    let mut fleet = fleet.map_err(|error| format!("the deployment did not start: {error}"))?;
    if !fleet.wait_until_ready(SETTLE_TIME) {
        fleet.end();
        return Err("an entry process did not become ready".to_owned());
    }
    Ok(fleet)
}

fn finish(mut fleet: Fleet, outcome: Outcome) -> Outcome {
    fleet::clean_up(&fleet.end());
    outcome
}

fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

fn phase(count: u64, work_ms: u64) -> [(&'static str, Json); 4] {
    [
        ("Count", Json::number(count)),
        ("Cpu", Json::number(500)),
        ("MemMb", Json::number(64)),
        ("EstimateMs", Json::number(work_ms)),
    ]
}

/// Workers of that case: the first one is alone on its rack and of its kind.
fn cut_labels() -> Vec<fleet::Labels> {
    vec![
        vec!["a", "r1"],
        vec!["b", "r2"],
        vec!["b", "r2"],
        vec!["b", "r2"],
        vec!["b", "r3"],
    ]
}

/// A job of one task of `work_ms` whose data is on rack `r1`.
fn job_on_first_rack(work_ms: u64, best_effort: bool) -> String {
    let mut fields = phase(1, work_ms).to_vec();
    fields.push(("Affinity", Json::text("r1")));
    let phase = Json::Object(fields.into_iter().map(|(k, v)| (k.to_owned(), v)).collect());
    job(&format!("work={work_ms} rack=r1"), best_effort, vec![phase])
}

fn job_id(at: usize) -> String {
    format!("{:016x}", 0x5c0e_7a21_0000_0000_u64 + 7_919 * at as u64)
}

/// Waits until the first run of each task is active on a worker, or until `limit_ms` has passed.
fn wait_for_starts(fleet: &Fleet, tasks: usize, limit_ms: u64) -> bool {
    let deadline = Instant::now() + Duration::from_millis(limit_ms);
    while Instant::now() < deadline {
        if fleet.runs().len() >= tasks {
            return true;
        }
        sleep_ms(2);
    }
    false
}

/// Asks for the jobs until all of them have the state, or until `limit_ms` has passed.
fn wait_for_state(client: &Client, ids: &[String], state: &str, limit_ms: u64) -> bool {
    let deadline = Instant::now() + Duration::from_millis(limit_ms);
    let mut open: Vec<&String> = ids.iter().collect();
    while !open.is_empty() && Instant::now() < deadline {
        open.retain(|id| !client.call("GET", id, "", 1_500).1.contains(state));
        sleep_ms(100);
    }
    open.is_empty()
}

/// Submits a job that keeps the first worker at work for a client of the second entry process, so that
/// the lease of the worker goes on. The client waits for its answer in a thread.
fn keep_first_worker_busy(fleet: &Fleet) {
    let client = Client::of(fleet, 1);
    let mut fields = phase(1, 22_000).to_vec();
    fields.push(("Constraints", Json::text("a")));
    let phase = Json::Object(fields.into_iter().map(|(k, v)| (k.to_owned(), v)).collect());
    let body = job("work=22000", true, vec![phase]);
    thread::spawn(move || client.call("POST", "00000000000000aa", &body, 40_000));
}

/// The first entry process loses the path to one agent, whose worker ends runs `done` in that time. The
/// tasks are started again elsewhere. Then the entry process is stopped as planned and started again.
fn done_twice(trouble: bool, record: Arc<Record>) -> Outcome {
    const CUT_MS: u64 = 5_000;
    const STOP_AFTER_MS: u64 = 4_500;
    let mut fleet = start(&record, CUT_ENTRIES, cut_labels(), 2)?;
    keep_first_worker_busy(&fleet);
    if !wait_for_starts(&fleet, 1, 5_000) {
        return finish(fleet, Err("the first task did not start".to_owned()));
    }
    let client = Client::of(&fleet, 1);
    let ids: Vec<String> = (0..CUT_JOBS).map(job_id).collect();
    let body = job_on_first_rack(1_200, false);
    for id in &ids {
        if client.call("POST", id, &body, 1_500).0 != 200 {
            return finish(fleet, Err("a job was not accepted".to_owned()));
        }
    }
    if !wait_for_starts(&fleet, 1 + ids.len(), 3_000) {
        return finish(fleet, Err("a task did not start".to_owned()));
    }
    let first_start = fleet.runs().iter().skip(1).map(|run| run.started).min();
    let cut_at = first_start.unwrap_or_default() + 950;
    sleep_ms(cut_at.saturating_sub(record.now_ms()));
    if trouble {
        record.line("frontend-zone-1 loses the path to side-zone-1");
        let (links, record) = (fleet.entries[0].links.clone(), Arc::clone(&record));
        links.partition("side-zone-1");
        thread::spawn(move || {
            sleep_ms(CUT_MS);
            record.line("the path is there again");
            links.heal();
        });
    }
    let completed = wait_for_state(&client, &ids, "completed", 4_200);
    record.line(&format!("all jobs are shown as completed: {completed}"));
    if trouble {
        sleep_ms((cut_at + STOP_AFTER_MS).saturating_sub(record.now_ms()));
        fleet.entries[0].process.stop(Duration::from_secs(6));
        sleep_ms(500);
        if let Err(error) = fleet.entries[0].process.start() {
            return finish(fleet, Err(error.to_string()));
        }
    }
    sleep_ms(5_000);
    let runs = fleet.runs();
    let durable: Vec<_> = runs
        .into_iter()
        .filter(|run| !run.task.starts_with("00000000"))
        .collect();
    let overlap = checks::runs_overlap(&record, &durable);
    let repeated = checks::started_after_done(&record, &durable);
    finish(fleet, Ok(overlap || repeated))
}

/// All processes are killed and start again, while the store answers slowly. Clients send their jobs again
/// 1.3 s after their channels broke.
fn two_runs(trouble: bool, record: Arc<Record>) -> Outcome {
    const SLOWNESS: u64 = 60;
    const SLOW_MS: u64 = 4_500;
    const DOWN_MS: u64 = 600;
    let labels = vec![vec!["a", "r1"], vec!["b", "r2"]];
    let mut fleet = start(&record, 2, labels, 2)?;
    let body = job_on_first_rack(4_000, true);
    let (first, second) = (Client::of(&fleet, 0), Client::of(&fleet, 1));
    let clients = (0..4).map(|at| {
        let (first, second, body) = (first.clone(), second.clone(), body.clone());
        thread::spawn(move || {
            let id = job_id(at);
            let (status, _) = first.call("POST", &id, &body, 9_000);
            if matches!(status, 0 | 502 | 504) {
                sleep_ms(fleet::RESEND_MS);
                return second.call("POST", &id, &body, 9_000).0;
            }
            status
        })
    });
    let clients: Vec<_> = clients.collect();
    if !wait_for_starts(&fleet, clients.len(), 3_000) {
        return finish(fleet, Err("a task did not start".to_owned()));
    }
    sleep_ms(500);
    if trouble {
        record.line(&format!(
            "answers of the store take {SLOWNESS} times as long"
        ));
        fleet.store.set_slowness(SLOWNESS);
        let slow_at = record.now_ms();
        sleep_ms(300);
        for entry in &mut fleet.entries {
            entry.process.kill();
        }
        for side in &mut fleet.sides {
            side.process.kill();
        }
        sleep_ms(DOWN_MS);
        let entries = fleet.entries.iter_mut().map(|entry| &mut entry.process);
        let sides = fleet.sides.iter_mut().map(|side| &mut side.process);
        for process in entries.chain(sides) {
            if let Err(error) = process.start() {
                return Err(error.to_string());
            }
        }
        sleep_ms((slow_at + SLOW_MS).saturating_sub(record.now_ms()));
        record.line("answers of the store take their usual time again");
        fleet.store.set_slowness(1);
    }
    let statuses: Vec<u16> = clients
        .into_iter()
        .filter_map(|client| client.join().ok())
        .collect();
    record.line(&format!("last answers: {statuses:?}"));
    let runs = fleet.runs();
    let broken = checks::runs_overlap(&record, &runs);
    finish(fleet, Ok(broken))
}

/// One worker of ten goes down and up twice, and the time of day on its machine jumps back between its two
/// starts. Jobs are handed in when it is up for good.
fn older_lifetime(trouble: bool, record: Arc<Record>) -> Outcome {
    const PERIOD_MS: u64 = 1_400;
    const CLOCK_STEP_MS: i64 = -2_000;
    const CLOCK_STEP_FOR_MS: u64 = 6_000;
    const FINISH_MS: u64 = 14_000;
    const IDLE_MS: u64 = 3_000;
    const JOBS: usize = 60;
    const STEPS: u64 = 2;
    const TASK_CPU: u64 = 2_000;
    let racks = ["r1", "r1", "r1", "r2", "r2", "r2", "r3", "r3", "r3", "r4"];
    let labels = racks.map(|rack| vec!["a", rack]).to_vec();
    let fleet = start(&record, 3, labels, 2)?;
    if trouble {
        let worker = &fleet.sides[0].worker;
        let mut stepped_at = 0;
        for turn in 0..2 {
            worker.crash();
            sleep_ms(PERIOD_MS / 2);
            if let Err(error) = worker.start() {
                return finish(fleet, Err(error.to_string()));
            }
            sleep_ms(PERIOD_MS / 4);
            if turn == 0 {
                stepped_at = record.now_ms();
                worker.step_clock(CLOCK_STEP_MS);
            }
            sleep_ms(PERIOD_MS / 4);
        }
        sleep_ms((stepped_at + CLOCK_STEP_FOR_MS).saturating_sub(record.now_ms()));
        worker.step_clock(-CLOCK_STEP_MS);
    }
    sleep_ms(2_000);
    let client = Client::of(&fleet, 1);
    let ids: Vec<String> = (0..JOBS).map(job_id).collect();
    let steps = (0..STEPS).map(|step| {
        let mut fields = phase(1, 1_000).to_vec();
        fields[1] = ("Cpu", Json::number(TASK_CPU));
        if step > 0 {
            fields.push(("After", Json::List(vec![Json::number(step - 1)])));
        }
        Json::Object(fields.into_iter().map(|(k, v)| (k.to_owned(), v)).collect())
    });
    let body = job("work=1000", false, steps.collect());
    for id in &ids {
        if client.call("POST", id, &body, 1_500).0 != 200 {
            return finish(fleet, Err("a job was not accepted".to_owned()));
        }
    }
    let asked_at = record.now_ms() + FINISH_MS;
    wait_for_state(&client, &ids, "completed", FINISH_MS);
    sleep_ms(asked_at.saturating_sub(record.now_ms()));
    let states = ids.iter().map(|id| client.call("GET", id, "", 1_500).1);
    let states: Vec<String> = states.collect();
    let (now, runs) = (record.now_ms(), fleet.runs());
    let active = runs.iter().filter(|run| run.ended.is_none()).count() as u64;
    let capacity = racks.len() as u64 * WORKER_CPU;
    let free = capacity - active * TASK_CPU;
    let mostly_idle = free >= 2 * TASK_CPU && active * TASK_CPU * 2 < capacity;
    record.line(&format!("{active} tasks are active in the fleet"));
    let mut broken = false;
    for (id, state) in ids.iter().zip(states) {
        let of_step = |step: u64| {
            let task = format!("{id}.0.{step}.0");
            runs.iter().filter(move |run| run.task == task)
        };
        let undone = (0..STEPS).find(|step| of_step(*step).all(|run| run.how != "done"));
        let at_rest = (0..STEPS).flat_map(of_step).all(|run| {
            let ended = run.ended;
            ended.is_some_and(|ended| ended + IDLE_MS < now)
        });
        let Some(step) = undone.filter(|_| at_rest && mostly_idle) else {
            continue;
        };
        broken = true;
        record.line(&format!(
            "LOST: {id} is shown as {state}; the turn of its step {step} has come, and nothing of it \
             has been running for {IDLE_MS} ms"
        ));
        for run in (0..STEPS).flat_map(of_step) {
            record.line(&format!(
                "  {} attempt {} on {} ended {} at {:?} ms, taken note of at {:?}",
                run.task, run.attempt, run.worker, run.how, run.ended, run.noted
            ));
        }
    }
    finish(fleet, Ok(broken))
}

/// An agent gets one heartbeat of another writer, which names a service that no configuration has, while its
/// worker is at work.
fn foreign_heartbeat(trouble: bool, record: Arc<Record>) -> Outcome {
    const JOBS: usize = 8;
    let labels = vec![vec!["a", "r1"], vec!["a", "r1"], vec!["a", "r2"]];
    let fleet = start(&record, 2, labels, 2)?;
    let client = Client::of(&fleet, 0);
    let ids: Vec<String> = (0..JOBS).map(job_id).collect();
    let body = job_on_first_rack(3_000, false);
    for id in &ids {
        if client.call("POST", id, &body, 1_500).0 != 200 {
            return finish(fleet, Err("a job was not accepted".to_owned()));
        }
    }
    if !wait_for_starts(&fleet, JOBS, 3_000) {
        return finish(fleet, Err("a task did not start".to_owned()));
    }
    sleep_ms(700);
    if trouble {
        // Nothing listens at the address that the heartbeat names.
        let address = fleet.unused_address().map_err(|error| error.to_string())?;
        let busy = fleet
            .sides
            .iter()
            .find(|side| !side.worker.runs().is_empty());
        if let Some(side) = busy {
            side.worker.send_foreign_heartbeat(address);
        }
    }
    wait_for_state(&client, &ids, "completed", 14_000);
    let broken = checks::runs_overlap(&record, &fleet.runs());
    finish(fleet, Ok(broken))
}

/// A request of a client: the entry process, and the times at which it was sent and ended.
struct Attempt {
    entry: usize,
    id: String,
    sent: u64,
    ended: u64,
    status: u16,
}

/// Three entry processes are stopped as planned and started again in turn, while clients hand in jobs.
fn planned_stops(trouble: bool, record: Arc<Record>) -> Outcome {
    const ENTRIES: usize = 3;
    const GAP_MS: u64 = 1_300;
    const GRACE: Duration = Duration::from_secs(6);
    const LOSS_SLACK_MS: u64 = 200;
    const REQUEST_INTERVAL_MS: u64 = 100;
    const REQUESTS: usize = 110;
    const LIMIT_MS: u64 = 1_500;
    let labels = vec![vec!["a", "r1"], vec!["a", "r1"], vec!["a", "r2"]];
    let mut fleet = start(&record, ENTRIES, labels, 2)?;
    let body = job("work=50", false, vec![Json::object(phase(1, 50))]);
    let clients = (0..ENTRIES).map(|entry| {
        let (client, body, record) = (Client::of(&fleet, entry), body.clone(), Arc::clone(&record));
        thread::spawn(move || {
            let attempts = (0..REQUESTS).map(|at| {
                let (client, body, record) = (client.clone(), body.clone(), Arc::clone(&record));
                sleep_ms(REQUEST_INTERVAL_MS);
                thread::spawn(move || {
                    let id = job_id(entry * REQUESTS + at);
                    let sent = record.now_ms();
                    let (status, _) = client.call("POST", &id, &body, LIMIT_MS);
                    let ended = record.now_ms();
                    Attempt {
                        entry,
                        id,
                        sent,
                        ended,
                        status,
                    }
                })
            });
            let attempts: Vec<_> = attempts.collect();
            attempts
                .into_iter()
                .filter_map(|attempt| attempt.join().ok())
                .collect::<Vec<_>>()
        })
    });
    let clients: Vec<_> = clients.collect();
    sleep_ms(1_000);
    let mut stopped_at = vec![None; ENTRIES];
    if trouble {
        let started = record.now_ms();
        thread::scope(|scope| {
            let entries = fleet.entries.iter_mut().zip(&mut stopped_at);
            for (at, (entry, stopped_at)) in entries.enumerate() {
                let (process, record) = (&mut entry.process, &record);
                scope.spawn(move || {
                    sleep_ms((started + at as u64 * GAP_MS).saturating_sub(record.now_ms()));
                    *stopped_at = Some(record.now_ms());
                    process.stop(GRACE);
                    sleep_ms(500);
                    let _ = process.start();
                });
            }
        });
    }
    let attempts = clients
        .into_iter()
        .filter_map(|client| client.join().ok())
        .flatten();
    let mut broken = false;
    for attempt in attempts {
        let Some(stopped) = stopped_at[attempt.entry] else {
            continue;
        };
        let until = stopped + GRACE.as_millis() as u64 + 1_000;
        let waited = attempt.ended - attempt.sent;
        let in_stop = attempt.ended >= stopped && attempt.ended <= until;
        if attempt.status == 0 && in_stop && waited > LOSS_SLACK_MS && waited < LIMIT_MS {
            broken = true;
            record.line(&format!(
                "LOST: {} was sent to frontend-zone-{} at {} ms, {} ms after its SIGTERM, and its \
                 channel ended without an answer {waited} ms later",
                attempt.id,
                attempt.entry + 1,
                attempt.sent,
                attempt.sent.saturating_sub(stopped)
            ));
        }
    }
    finish(fleet, Ok(broken))
}
