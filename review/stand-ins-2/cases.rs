//! The cases. Each returns whether the rule held; `None` if the case could not run.

use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::fleet::{Event, Fleet, WORKER_CPU};
use crate::json::{self, Value};

/// `ContactMs` of the site.
const CONTACT: Duration = Duration::from_millis(3_000);

/// `cancel_ms` of the site.
const CANCEL: Duration = Duration::from_millis(3_000);

/// `visible_ms` of the site, and the 2 s that the rule adds.
const VISIBLE: Duration = Duration::from_millis(5_000);

/// `finish_s` of the site.
const FINISH: Duration = Duration::from_secs(14);

/// Time for which a job has nothing running, by the rule.
const IDLE: Duration = Duration::from_secs(3);

/// Kind and rack of the workers: four in each of the first two zones, three in the third, three a
/// rack. Workers are numbered over the zones in turn.
const LABELS: [&[&str]; 11] = [
    &["a", "ra-1"],
    &["a", "rb-1"],
    &["b", "rc-1"],
    &["a", "ra-2"],
    &["a", "rb-1"],
    &["b", "rc-1"],
    &["a", "ra-1"],
    &["a", "rb-1"],
    &["b", "rc-1"],
    &["a", "ra-1"],
    &["b", "rb-2"],
];

/// The racks with a single worker, and these workers.
const SMALL_RACKS: [(&str, usize); 2] = [("ra-2", 3), ("rb-2", 10)];

/// What each task needs, in thousandths of a core.
const TASK_CPU: u64 = 500;

/// A step with one task.
fn phase(estimate_ms: u64, rest: &str) -> String {
    format!(r#"{{"Count":1,"Cpu":{TASK_CPU},"MemMb":64,"EstimateMs":{estimate_ms}{rest}}}"#)
}

/// The body of a durable job whose tasks each run for `ms`.
fn job(ms: u64, phases: &[String]) -> String {
    format!(r#"{{"Spec":"{ms}","Phases":[{}]}}"#, phases.join(","))
}

fn wait_until(fleet: &Fleet, at: Duration) {
    thread::sleep(at.saturating_sub(fleet.log.now()));
}

fn starts(events: &[Event]) -> impl Iterator<Item = &Event> {
    events.iter().filter(|event| event.started)
}

/// An entry process is cut off while clients still reach it. Others take its shards over and accept
/// jobs. Clients cancel these, and reach the one that is cut off.
pub fn stale_cancel(record: &Path, trouble: bool) -> Option<bool> {
    /// The site file has cuts of single machines (`node_cut`) of up to 12 s, and single machines that the
    /// store does not answer (`platform_down`, `nodes silent`) for up to 9 s.
    const CUT: Duration = Duration::from_millis(8_900);
    const MAX_CUT: Duration = Duration::from_secs(9);
    /// Time for the requests of the clients, at its end.
    const REQUESTS: Duration = Duration::from_millis(1_200);
    const STEPS: u64 = 6;
    /// Time without a hand-over of a shard, which are 2 s apart.
    const SETTLED: Duration = Duration::from_secs(4);
    let mut fleet = Fleet::start(record, &LABELS);
    if !fleet.wait_until_ready() {
        return None;
    }
    let parts: Vec<String> = (0..16).map(|shard| format!("s{shard}")).collect();
    let owned = |entry| {
        let owners = parts
            .iter()
            .filter(|part| fleet.owner_of(part) == Some(entry));
        owners.count()
    };
    // Shards are handed over until all processes own about as many.
    let mut counts = [0; 3];
    let mut since = fleet.log.now();
    while fleet.log.now() < since + SETTLED {
        let present = [owned(0), owned(1), owned(2)];
        if present != counts {
            (counts, since) = (present, fleet.log.now());
        }
        thread::sleep(Duration::from_millis(50));
    }
    fleet.log.note(&format!("shards owned: {counts:?}"));
    let Some(stale) = (0..3).max_by_key(|entry| counts[*entry]) else {
        return None;
    };
    let others = [(stale + 1) % 3, (stale + 2) % 3];
    if trouble {
        // A process that has a call to the store under way gives its shards up within 0.75 s, if it then
        // still takes its peers for connected, which takes 1.5 s.
        fleet.wait_for_heartbeat(stale);
        thread::sleep(Duration::from_millis(50));
    }
    let cut_at = fleet.log.now();
    if trouble {
        fleet.cut_off(stale, true);
        while owned(stale) > 0 {
            if fleet.log.now() > cut_at + CUT - REQUESTS {
                fleet.log.note("the shards were not taken over in time");
                return None;
            }
            thread::sleep(Duration::from_millis(50));
        }
        fleet.log.note("other entry processes own all shards");
        // The others load the jobs of the shards.
        thread::sleep(Duration::from_millis(300));
        fleet.note_readiness(stale);
    }
    let mut phases = vec![phase(2_500, "")];
    for step in 1..STEPS {
        phases.push(phase(2_500, &format!(r#","After":[{}]"#, step - 1)));
    }
    let ids: Vec<String> = (0..16).map(|_| fleet.draw_id()).collect();
    let body = job(2_500, &phases);
    for (at, id) in ids.iter().enumerate() {
        let entries = [others[at % 2], others[1 - at % 2]];
        if !fleet.submit(&entries, id, &body, Duration::from_millis(1_500)) {
            fleet.log.note("a job was not accepted in time");
            return None;
        }
    }
    thread::sleep(Duration::from_millis(300));
    let acknowledged: Vec<(String, Option<Duration>)> = thread::scope(|scope| {
        let cancels: Vec<_> = ids
            .iter()
            .map(|id| {
                let fleet = &fleet;
                scope.spawn(move || (id.clone(), cancel(fleet, [stale, others[0], others[1]], id)))
            })
            .collect();
        cancels
            .into_iter()
            .filter_map(|cancel| cancel.join().ok())
            .collect()
    });
    let mut calm_from = Duration::ZERO;
    if trouble {
        wait_until(&fleet, cut_at + CUT);
        fleet.cut_off(stale, false);
        let cut_end = fleet.log.now();
        if cut_end > cut_at + MAX_CUT {
            fleet
                .log
                .note("the cut lasted longer than the site file allows");
            return None;
        }
        calm_from = cut_end + CONTACT;
    }
    thread::sleep(Duration::from_millis(2_500 * STEPS + 1_000));
    let events = fleet.log.events();
    let mut held = true;
    for (id, at) in &acknowledged {
        let Some(at) = *at else {
            fleet
                .log
                .note(&format!("job {id}: the cancel was not acknowledged"));
            continue;
        };
        let from = (at + CANCEL).max(calm_from);
        let late = starts(&events).filter(|event| event.job() == id && event.at > from);
        let late: Vec<&Event> = late.collect();
        let state = fleet.state_of(id);
        if let Some(first) = late.first() {
            held = false;
            fleet.log.note(&format!(
                "BROKEN job {id}: cancel acknowledged at {:.3}, task {} started at {:.3}, {} starts \
                 later than cancel_ms with all machines in touch; state now: {state}",
                at.as_secs_f64(), first.task, first.at.as_secs_f64(), late.len()
            ));
        }
    }
    Some(held)
}

/// Cancels a job, first at the entry process that is cut off, then at another one until it is
/// acknowledged. Returns when it was.
fn cancel(fleet: &Fleet, [first, second, third]: [usize; 3], id: &str) -> Option<Duration> {
    for entry in [first, second, third, second, third] {
        let response = fleet.call(entry, "DELETE", id, "");
        if response.is_some_and(|(status, _)| status / 100 == 2 || status == 410) {
            return Some(fleet.log.now());
        }
        thread::sleep(Duration::from_millis(200));
    }
    None
}

/// The only worker of a rack is lost for good while jobs wait for it. Other jobs need no particular
/// worker.
pub fn blocked_jobs(record: &Path, trouble: bool) -> Option<bool> {
    /// Jobs that wait for the lost worker; some at each entry process.
    const WAITING: usize = 18;
    let mut fleet = Fleet::start(record, &LABELS);
    if !fleet.wait_until_ready() {
        return None;
    }
    let (rack, worker) = SMALL_RACKS[0];
    let second = phase(4_000, &format!(r#","After":[0],"Constraints":"{rack}""#));
    // The first step keeps off the worker that is lost, which is of the other kind.
    let first = phase(4_000, r#","Constraints":"b""#);
    let body = job(4_000, &[first, second]);
    for at in 0..WAITING {
        let id = fleet.draw_id();
        if !fleet.submit(&[at % 3], &id, &body, Duration::from_secs(3)) {
            return None;
        }
    }
    thread::sleep(Duration::from_secs(1));
    if trouble {
        fleet.kill_worker(worker);
    }
    thread::sleep(Duration::from_secs(5));
    let ids: Vec<String> = (0..24).map(|_| fleet.draw_id()).collect();
    let body = job(100, &[phase(100, "")]);
    for (at, id) in ids.iter().enumerate() {
        if !fleet.submit(&[at % 3], id, &body, Duration::from_secs(3)) {
            return None;
        }
    }
    Some(are_done(&fleet, &ids))
}

/// The only worker of a rack is lost for good under the task of a job that needs this rack. Other jobs
/// need another rack, whose only worker is up and idle.
pub fn reserved_worker(record: &Path, trouble: bool) -> Option<bool> {
    let mut fleet = Fleet::start(record, &LABELS);
    if !fleet.wait_until_ready() {
        return None;
    }
    let [(idle_rack, _), (lost_rack, lost)] = SMALL_RACKS;
    let on = |rack: &str, ms| job(ms, &[phase(ms, &format!(r#","Constraints":"{rack}""#))]);
    let first = fleet.draw_id();
    if !fleet.submit(
        &[0, 1, 2],
        &first,
        &on(lost_rack, 4_000),
        Duration::from_secs(3),
    ) {
        return None;
    }
    thread::sleep(Duration::from_secs(2));
    if trouble {
        fleet.kill_worker(lost);
    }
    thread::sleep(Duration::from_secs(2));
    let ids: Vec<String> = (0..6).map(|_| fleet.draw_id()).collect();
    for (at, id) in ids.iter().enumerate() {
        if !fleet.submit(&[at % 3], id, &on(idle_rack, 100), Duration::from_secs(3)) {
            return None;
        }
    }
    Some(are_done(&fleet, &ids))
}

/// Asks for the jobs `finish_s` after the last request. Returns whether each of them has ended by then or
/// has run at least once until 3 s later.
fn are_done(fleet: &Fleet, ids: &[String]) -> bool {
    let asked_at = fleet.log.now() + FINISH;
    wait_until(fleet, asked_at);
    let open: Vec<&String> = ids
        .iter()
        .filter(|id| fleet.state_of(id) != "completed")
        .collect();
    wait_until(fleet, asked_at + IDLE);
    let events = fleet.log.events();
    let until = |event: &&Event| event.at < asked_at + IDLE;
    let begun = starts(&events).filter(until).count();
    let ended = events
        .iter()
        .filter(until)
        .filter(|event| !event.started)
        .count();
    // All tasks need half a core. Runs on a lost worker count as if they went on.
    let used = (begun - ended) as u64 * TASK_CPU;
    let under_half = used * 2 < LABELS.len() as u64 * WORKER_CPU;
    let mut held = true;
    for id in open {
        let started = starts(&events).any(|event| event.job() == id);
        let state = fleet.state_of(id);
        if !started && under_half && state != "completed" {
            held = false;
            fleet.log.note(&format!(
                "BROKEN job {id}: accepted, no start of it until {} s after the last request; state: \
                 {state}; in use on all workers: {used} thousandths of a core",
                (FINISH + IDLE).as_secs()
            ));
        }
    }
    held
}

/// A machine with an entry process is removed for good, and a new one comes at another address. A job
/// in a shard of the removed one waits for a worker of a kind that is not there.
pub fn missing_pending(record: &Path, trouble: bool) -> Option<bool> {
    /// `x` of `replace_core` in the site file.
    const REPLACED_AFTER: Duration = Duration::from_secs(2);
    let mut fleet = Fleet::start(record, &LABELS);
    if !fleet.wait_until_ready() {
        return None;
    }
    let id = fleet.draw_id();
    let body = job(100, &[phase(100, r#","Constraints":"c""#)]);
    if !fleet.submit(&[0, 1, 2], &id, &body, Duration::from_secs(3)) {
        return None;
    }
    let accepted_at = fleet.log.now();
    let parts = fleet.store.parts_with_key("jobs", &format!("job/{id}"));
    let owner = fleet.owner_of(parts.first()?)?;
    wait_until(&fleet, accepted_at + VISIBLE);
    let asked = if trouble {
        fleet.cut_off(owner, true);
        fleet.kill_entry(owner);
        thread::sleep(REPLACED_AFTER);
        fleet.add_entry();
        fleet.entries.len() - 1
    } else {
        (owner + 1) % 3
    };
    let started_at = fleet.log.now();
    wait_until(&fleet, started_at + CONTACT);
    let mut held = true;
    let mut answered = false;
    while fleet.log.now() < started_at + CONTACT + Duration::from_secs(6) {
        if let Some((200, body)) = fleet.call(asked, "GET", "", "") {
            answered = true;
            let pending = json::parse(&body).unwrap_or(Value::Null);
            if pending.get("Pending").number() == Some(0) {
                held = false;
                fleet.log.note(&format!(
                    "BROKEN: {} has run for {:.3} s, and counts none of 1 job that was accepted {:.3} s \
                     ago and has not begun",
                    fleet.entries[asked].name,
                    (fleet.log.now() - started_at).as_secs_f64(),
                    (fleet.log.now() - accepted_at).as_secs_f64()
                ));
            }
        }
        // What another one answers is recorded for comparison.
        let _recorded = fleet.call((owner + 1) % 3, "GET", "", "");
        thread::sleep(Duration::from_millis(100));
    }
    let begun = starts(&fleet.log.events()).any(|event| event.job() == id);
    (answered && !begun).then_some(held)
}
