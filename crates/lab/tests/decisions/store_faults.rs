//! The store is down, or its replies are lost.

use rstest::rstest;

use crate::driver::{Driver, Place, Store};

/// Guards against a job that is admitted twice, or refused although it was admitted, when the
/// reply to its journal write is lost.
#[rstest]
fn lost_reply() {
    let mut driver = Driver::new(3, 3);
    driver.store = Store::Mute;
    let call = driver.submit(0, "job-1", &["20", "20"]);
    driver.run(300);
    driver.store = Store::Up;
    driver.run(3_000);
    assert!(driver.reply(call).1.contains("complete"));
    assert_eq!(driver.starts.len(), 2);
}

/// Guards against lost jobs and false refusals in an outage: jobs that are admitted go on, others
/// are refused and never start.
#[rstest]
fn outage() {
    let mut driver = Driver::new(3, 3);
    let before = driver.submit(0, "before", &["2000", "2000", "2000"]);
    driver.run(100);
    driver.store = Store::Down;
    let mut during = Vec::new();
    for number in 0..40 {
        let id = format!("during-{number}");
        during.push((driver.submit(number % 3, &id, &["20"]), id));
        driver.run(100);
    }
    driver.run_until(2_000, |d| d.replies.contains_key(&before));
    assert!(driver.reply(before).1.contains("complete"));
    driver.run(10_000);
    driver.store = Store::Up;
    driver.run(60_000);
    for (call, id) in during {
        let (_, body) = driver.reply(call);
        let none = body.contains(r#""ran":"none""#);
        let starts = driver.starts_of(&id);
        assert!(
            if none { starts == 0 } else { starts == 1 },
            "{id}: {starts} starts, {body}"
        );
    }
    let after = driver.submit(1, "after", &["20"]);
    driver.run(1_000);
    assert!(driver.reply(after).1.contains("complete"));
}

/// Guards against a claim that took effect without its reply and is never served.
#[rstest]
fn lost_claim_reply() {
    let mut driver = Driver::new(3, 3);
    let ids: Vec<String> = (0..12).map(|number| format!("job-{number}")).collect();
    for id in &ids {
        driver.submit(0, id, &["50"]);
    }
    driver.run(500);
    driver.kill(Place::Entry(1));
    driver.run(1_800);
    driver.store = Store::Mute;
    driver.run(1_000);
    driver.store = Store::Up;
    driver.run(5_000);
    for id in &ids {
        let call = driver.query(2, id);
        driver.run(100);
        assert!(driver.reply(call).1.contains("complete"), "{id}");
    }
    assert_eq!(driver.doubled(), []);
}
