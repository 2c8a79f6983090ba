//! A planned stop of an entry process cuts no request.

use rstest::rstest;

use crate::driver::{Driver, Place};

/// Guards against failed, lost or doubled jobs when each entry process is replaced under load.
#[rstest]
fn rolling_replacement() {
    let mut driver = Driver::new(3, 4);
    let mut calls = Vec::new();
    for entry in 0..3 {
        let others = [(entry + 1) % 3, (entry + 2) % 3];
        let submit = |driver: &mut Driver, calls: &mut Vec<u64>, through: usize, number: usize| {
            let id = format!("job-{entry}-{number}");
            calls.push(driver.submit(through, &id, &["150", "250", "350"]));
        };
        for number in 0..10 {
            submit(&mut driver, &mut calls, number % 3, number);
            driver.run(20);
        }
        driver.stop(entry);
        for number in 10..30 {
            submit(&mut driver, &mut calls, others[number % 2], number);
            driver.run(20);
        }
        driver.run_until(10_000, |d| !d.is_up(Place::Entry(entry)));
        driver.start_entry(entry);
        driver.run(5_000);
    }
    driver.run(5_000);
    for call in calls {
        let (status, body) = driver.reply(call);
        assert!(
            *status == 200 && body.contains("complete"),
            "{status} {body}"
        );
    }
    assert_eq!(driver.doubled(), []);
}
