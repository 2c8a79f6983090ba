//! Guards the checks of the load generator: each kind of wrong answer must be noticed.

use std::time::Duration;

use knapweedwall_core::JobId;
use knapweedwall_lab::load::{Ending, Figures, Ledgers, Record};
use knapweedwall_lab::standin_endpoint::{Outcome, Start};
use rstest::rstest;

fn record(ending: Ending) -> Record {
    Record {
        id: "j".into(),
        class: "console".into(),
        tasks: 2,
        ending,
        time: Duration::from_millis(30),
        ideal: Duration::from_millis(20),
        repeats: 0,
    }
}

/// Ledgers with starts of these tasks of the job `j`.
fn ledgers(starts: &[u32]) -> Ledgers {
    let mut ledgers = Ledgers::default();
    for index in starts {
        ledgers.add(&Start {
            job: JobId::parse("j").unwrap().key().to_string().into(),
            index: *index,
            class: "console".into(),
            marked: false,
            started: 1,
            ended: Some(2),
            outcome: Outcome::Ok,
        });
    }
    ledgers
}

#[rstest]
#[case::lost(Ending::Lost("gone".into()), &[])]
#[case::partial(Ending::Partial, &[0])]
#[case::mismatched(Ending::Mismatched, &[0, 1])]
#[case::doubled(Ending::Complete, &[0, 1, 1])]
#[case::false_not_run(Ending::Refused("overloaded".into()), &[1])]
#[case::unwitnessed(Ending::Complete, &[0])]
fn fault_is_noticed(#[case] ending: Ending, #[case] starts: &[u32]) {
    let figures = Figures::new(&[record(ending)], &ledgers(starts));
    assert!(!figures.sound());
    assert_eq!(figures.faults().lines().count(), 1, "{}", figures.faults());
}

#[rstest]
#[case::complete(Ending::Complete, &[0, 1])]
#[case::refused(Ending::Refused("overloaded".into()), &[])]
#[case::cancelled(Ending::Failed { code: "cancelled".into(), started: Some(1) }, &[0])]
fn right_answer_is_sound(#[case] ending: Ending, #[case] starts: &[u32]) {
    let figures = Figures::new(&[record(ending)], &ledgers(starts));
    assert!(
        figures.sound() && figures.faults().is_empty(),
        "{}",
        figures.faults()
    );
}

#[test]
fn wrong_count_of_starts_is_reported() {
    let ending = Ending::Failed {
        code: "cancelled".into(),
        started: Some(0),
    };
    let figures = Figures::new(&[record(ending)], &ledgers(&[0]));
    assert_eq!(figures.miscounted.len(), 1);
}

/// Times of complete jobs are shown to three digits, not cut off at the histogram's bound.
#[test]
fn times_are_recorded() {
    let figures = Figures::new(&[record(Ending::Complete)], &ledgers(&[0, 1]));
    let class = &figures.classes["console"];
    let millis = class.time(0.5).unwrap().as_secs_f64() * 1e3;
    assert!((29.9..30.1).contains(&millis), "{millis}");
    let ratio = class.ratio(0.5).unwrap();
    assert!((1.49..1.51).contains(&ratio), "{ratio}");
}
