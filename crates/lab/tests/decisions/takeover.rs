//! Another entry process takes the jobs of a dead or paused owner over.

use rstest::rstest;

use crate::driver::{Driver, Place, Store};

const TASKS: [&str; 8] = ["100", "200", "300", "400", "100", "200", "300", "400"];

fn submit_jobs(driver: &mut Driver, jobs: usize) -> Vec<String> {
    let mut ids = Vec::new();
    for number in 0..jobs {
        let id = format!("job-{number}");
        driver.submit(number % 3, &id, &TASKS);
        ids.push(id);
    }
    ids
}

fn resubmit_through(driver: &mut Driver, entry: usize, ids: &[String]) {
    let calls: Vec<u64> = ids
        .iter()
        .map(|id| driver.submit(entry, id, &TASKS))
        .collect();
    driver.run(20_000);
    for call in calls {
        let (status, body) = driver.reply(call);
        assert!(
            *status == 200 && body.contains("complete"),
            "{status} {body}"
        );
    }
    assert_eq!(driver.doubled(), []);
    for id in ids {
        assert_eq!(driver.starts_of(id), TASKS.len(), "{id}");
    }
}

/// Guards against lost and doubled tasks when an owner dies at any point of a job.
#[rstest]
fn owner_killed(#[values(1, 4, 7, 9, 12, 50, 150, 400, 900, 2_000)] after_ms: u64) {
    let mut driver = Driver::new(3, 4);
    let ids = submit_jobs(&mut driver, 12);
    driver.run(after_ms);
    driver.kill(Place::Entry(1));
    driver.run(200);
    resubmit_through(&mut driver, 2, &ids);
}

/// Guards against a takeover that takes longer than 3 s from the death of the owner.
#[rstest]
fn takeover_time() {
    let mut driver = Driver::new(3, 4);
    let ids = submit_jobs(&mut driver, 12);
    driver.run(60);
    let killed = driver.now_ms;
    driver.kill(Place::Entry(1));
    let calls: Vec<u64> = ids.iter().map(|id| driver.submit(0, id, &TASKS)).collect();
    driver.run(20_000);
    let served = |line: &&String| line.contains("shards loaded; now serving") && at(line) > killed;
    let last = driver.log.iter().filter(served).map(|line| at(line)).max();
    let took = last.expect("no takeover") - killed;
    assert!(took <= 3_000, "{took} ms");
    for call in calls {
        assert!(driver.reply(call).1.contains("complete"));
    }
}

fn at(line: &str) -> u64 {
    let first = line.split(' ').next().expect("a time");
    first.parse().expect("a time")
}

/// Guards against an owner that is paused beyond its takeover, wakes up and starts tasks again.
#[rstest]
fn owner_paused(#[values(5, 30, 120, 350)] after_ms: u64) {
    let mut driver = Driver::new(3, 4);
    let ids = submit_jobs(&mut driver, 12);
    driver.run(after_ms);
    driver.pause(Place::Entry(1), true);
    driver.run(6_000);
    driver.pause(Place::Entry(1), false);
    resubmit_through(&mut driver, 0, &ids);
}

/// Guards against starts that the successor of a successor does not know of.
#[rstest]
fn killed_twice() {
    let mut driver = Driver::new(3, 4);
    let ids = submit_jobs(&mut driver, 12);
    driver.run(100);
    driver.kill(Place::Entry(1));
    driver.run(2_600);
    driver.kill(Place::Entry(2));
    driver.run(100);
    resubmit_through(&mut driver, 0, &ids);
}

/// Guards against jobs that are started again although an agent of the dead owner cannot say what
/// it started.
#[rstest]
fn owner_and_agent_killed() {
    let mut driver = Driver::new(3, 4);
    let ids = submit_jobs(&mut driver, 12);
    driver.run(150);
    driver.kill(Place::Entry(1));
    driver.kill(Place::Agent(0));
    driver.run(200);
    let calls: Vec<u64> = ids.iter().map(|id| driver.submit(2, id, &TASKS)).collect();
    driver.run(30_000);
    for call in calls {
        let (status, body) = driver.reply(call);
        assert!(*status == 200, "{body}");
        assert!(
            body.contains("complete") || body.contains("in_doubt"),
            "{body}"
        );
    }
    assert_eq!(driver.doubled(), []);
}

/// Guards against a takeover by a process that an agent cannot reach: the agent may have started
/// tasks that nobody else knows of.
#[rstest]
fn agent_cut_off() {
    let mut driver = Driver::new(3, 4);
    let ids = submit_jobs(&mut driver, 12);
    driver.run(100);
    for entry in [0, 2] {
        driver.cut(Place::Entry(entry), Place::Agent(1));
    }
    driver.run(50);
    driver.kill(Place::Entry(1));
    driver.run(5_000);
    driver.heal();
    driver.run(20_000);
    let calls: Vec<u64> = ids.iter().map(|id| driver.submit(2, id, &TASKS)).collect();
    driver.run(5_000);
    for call in calls {
        assert_eq!(driver.reply(call).0, 200);
    }
    assert_eq!(driver.doubled(), []);
}

/// Guards against an owner that gets its shards back after a pause and has no agent to use: it had
/// fenced the agents with its old epoch, and waited for ever for an answer to that.
#[rstest]
fn woken_owner_serves() {
    let mut driver = Driver::new(3, 4);
    let tasks = ["8000"; 8];
    for number in 0..6 {
        driver.submit(number % 3, &format!("long-{number}"), &tasks[..1]);
    }
    driver.run(100);
    driver.pause(Place::Entry(1), true);
    driver.run(5_000);
    // It meets the agents again before the store tells it that it has lost its shards.
    driver.set_store(Store::Down);
    driver.pause(Place::Entry(1), false);
    driver.run(1_000);
    driver.set_store(Store::Up);
    driver.run(15_000);
    let ids: Vec<String> = (0..24).map(|number| format!("job-{number}")).collect();
    resubmit_through(&mut driver, 0, &ids);
}

/// Guards against callers that get no answer because their requests were passed on to an owner
/// that stays paused.
#[rstest]
fn owner_stays_paused() {
    let mut driver = Driver::new(3, 4);
    let calls: Vec<u64> = (0..12)
        .map(|number| driver.submit(0, &format!("job-{number}"), &["3000"; 2]))
        .collect();
    driver.run(300);
    driver.pause(Place::Entry(1), true);
    driver.run(30_000);
    for call in calls {
        let (_, body) = driver.reply(call);
        assert!(body.contains("complete"), "{body}");
    }
    assert_eq!(driver.doubled(), []);
}

/// Guards against refusals while the owner of a job is alive and only one connection is cut.
#[rstest]
fn owner_out_of_reach() {
    let mut driver = Driver::new(3, 4);
    driver.cut(Place::Entry(0), Place::Entry(1));
    driver.run(2_000);
    let calls: Vec<u64> = (0..12)
        .map(|number| driver.submit(0, &format!("job-{number}"), &["20"]))
        .collect();
    driver.run(3_000);
    for call in calls {
        let (_, body) = driver.reply(call);
        assert!(body.contains("complete"), "{body}");
    }
}
