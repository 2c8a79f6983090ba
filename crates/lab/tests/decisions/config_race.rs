//! Operators change the configuration at the same time.

use std::time::Duration;

use knapweedwall_core::config::{Change, Class};
use rstest::rstest;

use crate::driver::{Driver, Store};

fn target(ms: u64) -> Change {
    Change::SetClass(
        "short".into(),
        Class {
            target: Duration::from_millis(ms),
        },
    )
}

/// Guards against two operators who both believe that their change is in force.
#[rstest]
fn one_wins() {
    let mut driver = Driver::new(3, 1);
    let calls: Vec<u64> = (0..3)
        .map(|n| driver.operate(n, target(100 + n as u64), None))
        .collect();
    driver.run(500);
    let accepted = calls
        .iter()
        .filter(|call| driver.reply(**call).0 == 200)
        .count();
    let conflicts = calls
        .iter()
        .filter(|call| driver.reply(**call).0 == 409)
        .count();
    assert_eq!((accepted, conflicts), (1, 2));
}

/// Guards against a change that is reported as failed although the store has it.
#[rstest]
fn lost_reply() {
    let mut driver = Driver::new(3, 1);
    driver.store = Store::Mute;
    let call = driver.operate(0, target(100), None);
    driver.run(300);
    driver.store = Store::Up;
    driver.run(2_000);
    assert_eq!(driver.reply(call).0, 200, "{}", driver.reply(call).1);
}
