//! Agents die, restart, or lose their connections.

use rstest::rstest;

use crate::driver::{Driver, Place};

/// Guards against a second start of tasks whose agent died.
#[rstest]
fn killed() {
    let mut driver = Driver::new(3, 3);
    let call = driver.submit(0, "job-1", &["500"; 8]);
    driver.run(100);
    driver.kill(Place::Agent(0));
    driver.run(20_000);
    let (_, body) = driver.reply(call);
    assert!(body.contains("in_doubt"), "{body}");
    assert_eq!(driver.doubled(), []);
}

/// Guards against a job that waits for ten seconds although its agent's successor shows that the
/// agent is gone.
#[rstest]
fn restarted() {
    let mut driver = Driver::new(3, 2);
    let call = driver.submit(0, "job-1", &["3000"; 4]);
    driver.run(100);
    driver.kill(Place::Agent(0));
    driver.start_agent(0);
    driver.run(1_000);
    assert!(driver.reply(call).1.contains("in_doubt"));
}

/// Guards against tasks that are lost or started again when a connection breaks and comes back.
#[rstest]
fn reconnected(#[values(1, 3, 40, 120)] after_ms: u64) {
    let mut driver = Driver::new(3, 2);
    let calls: Vec<u64> = (0..6)
        .map(|n| driver.submit(n % 3, &format!("job-{n}"), &["200"; 6]))
        .collect();
    driver.run(after_ms);
    for entry in 0..3 {
        driver.cut(Place::Entry(entry), Place::Agent(0));
    }
    driver.run(1_000);
    driver.heal();
    driver.run(10_000);
    for call in calls {
        assert!(
            driver.reply(call).1.contains("complete"),
            "{}",
            driver.reply(call).1
        );
    }
    assert_eq!(driver.doubled(), []);
}

/// Guards against jobs that are put in doubt because of an agent that was gone long before them.
#[rstest]
fn long_gone() {
    let mut driver = Driver::new(3, 4);
    for number in 0..12 {
        driver.submit(number % 3, &format!("before-{number}"), &["20"]);
    }
    driver.run(2_000);
    driver.kill(Place::Agent(0));
    driver.run(60_000);
    let ids: Vec<String> = (0..12).map(|number| format!("job-{number}")).collect();
    for (number, id) in ids.iter().enumerate() {
        driver.submit(number % 3, id, &["400"; 8]);
    }
    driver.run(150);
    driver.kill(Place::Entry(1));
    driver.run(200);
    let calls: Vec<u64> = ids
        .iter()
        .map(|id| driver.submit(2, id, &["400"; 8]))
        .collect();
    driver.run(40_000);
    for call in calls {
        let (_, body) = driver.reply(call);
        assert!(body.contains("complete"), "{body}");
    }
    assert_eq!(driver.doubled(), []);
}
