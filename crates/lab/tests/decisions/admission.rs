//! Jobs are served whole through any entry process, and a resubmission starts nothing twice.

use rstest::rstest;

use crate::driver::Driver;

#[rstest]
#[case(0)]
#[case(1)]
#[case(2)]
fn whole_answer(#[case] entry: usize) {
    let mut driver = Driver::new(3, 3);
    let call = driver.submit(entry, "job-1", &["30", "40", "50", "60", "70", "80", "90"]);
    driver.run(1_000);
    let (status, body) = driver.reply(call);
    assert_eq!(*status, 200, "{body}");
    assert!(
        body.contains(r#"["30","40","50","60","70","80","90"]"#),
        "{body}"
    );
    assert_eq!(driver.starts.len(), 7);
}

/// Guards against an idle system that adds more than one store write to a job's response time.
#[rstest]
fn idle_delay() {
    let mut driver = Driver::new(3, 3);
    let started = driver.now_ms;
    let call = driver.submit(0, "job-1", &["50"]);
    driver.run_until(1_000, |d| d.replies.contains_key(&call));
    let added = driver.now_ms - started - 50;
    assert!(
        added <= 5 + 7,
        "{added} ms added to a write of 5 ms and six hops of 1 ms"
    );
}

/// Guards against a second start when a job comes in through every entry process at once.
#[rstest]
fn resubmitted_everywhere() {
    let mut driver = Driver::new(3, 3);
    let mut calls = Vec::new();
    for round in 0..20 {
        calls.push(driver.submit(round % 3, "job-1", &["100", "100", "100"]));
        driver.run(13);
    }
    driver.run(1_000);
    for call in calls {
        assert!(driver.reply(call).1.contains("complete"));
    }
    assert_eq!(driver.starts.len(), 3);
}

/// Guards against an id that is taken for another job's content.
#[rstest]
fn reused_id() {
    let mut driver = Driver::new(3, 2);
    driver.submit(0, "job-1", &["10"]);
    driver.run(300);
    let other = driver.submit(1, "job-1", &["20"]);
    driver.run(300);
    assert_eq!(driver.reply(other).0, 409);
    assert_eq!(driver.starts.len(), 1);
}

/// Guards against an answer that is lost after the first caller has it.
#[rstest]
fn asked_later() {
    let mut driver = Driver::new(3, 2);
    driver.submit(0, "job-1", &["10", "fail"]);
    driver.run(1_000);
    for entry in 0..3 {
        let call = driver.query(entry, "job-1");
        driver.run(100);
        assert!(driver.reply(call).1.contains("task_failed"));
    }
}
