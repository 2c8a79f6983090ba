//! Cancelled jobs have one of the defined ends.

use rstest::rstest;

use crate::driver::{Driver, Place};

/// Guards against tasks that start after their job was answered as cancelled.
#[rstest]
fn nothing_starts_after(#[values(1, 6, 9, 60)] after_ms: u64) {
    let mut driver = Driver::new(3, 1);
    driver.submit(0, "ahead", &["3000", "3000"]);
    driver.run(50);
    driver.submit(0, "job-1", &["100"; 4]);
    driver.run(after_ms);
    let call = driver.cancel(1, "job-1");
    driver.run_until(1_000, |d| d.replies.contains_key(&call));
    let (_, body) = driver.reply(call);
    assert!(
        body.contains("cancelled") && body.contains(r#""ran":"none""#),
        "{body}"
    );
    driver.run(10_000);
    assert_eq!(driver.starts_of("job-1"), 0);
}

/// Guards against a cancelled job that a successor starts.
#[rstest]
fn survives_takeover() {
    let mut driver = Driver::new(3, 1);
    driver.submit(0, "ahead", &["4000", "4000"]);
    driver.run(50);
    let ids: Vec<String> = (0..12).map(|n| format!("job-{n}")).collect();
    for id in &ids {
        driver.submit(0, id, &["100"]);
    }
    driver.run(50);
    let calls: Vec<u64> = ids.iter().map(|id| driver.cancel(2, id)).collect();
    driver.run_until(1_000, |d| {
        calls.iter().all(|call| d.replies.contains_key(call))
    });
    driver.kill(Place::Entry(1));
    driver.run(20_000);
    for id in &ids {
        assert_eq!(driver.starts_of(id), 0, "{id}");
    }
}
