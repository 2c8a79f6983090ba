//! Plans of faults.

use std::time::Duration;

use knapweedwall_lab::soak::{Fault, Harm, Mix, Plan};
use rstest::rstest;

const LENGTH: Duration = Duration::from_secs(30);

/// Guards against a seed that does not bring back the faults it failed with.
#[rstest]
fn a_seed_gives_one_plan() {
    let plan = Plan::draw(7, 3, 8, LENGTH);
    assert_eq!(plan, Plan::draw(7, 3, 8, LENGTH));
    assert_ne!(plan, Plan::draw(8, 3, 8, LENGTH));
}

/// Guards against plans in which faults never overlap or never come in series.
#[rstest]
fn faults_overlap_and_repeat() {
    let steps = Plan::draw(7, 3, 8, LENGTH).steps;
    let pairs = || steps.iter().zip(steps.iter().skip(1));
    assert!(pairs().any(|(first, next)| first.at + first.span > next.at));
    let repeated = steps.iter().any(|step| {
        let same = steps.iter().filter(|other| other.fault == step.fault);
        same.count() >= 3
    });
    assert!(repeated);
}

/// Guards against restarts that never concern several workers at once, never come in series, or never
/// meet a paused agent.
#[rstest]
fn restarts_overlap_and_repeat() {
    let steps = Plan::draw_mix(Mix::Restarts, 7, (3, 8), LENGTH).steps;
    let restarts = steps.iter().filter_map(|step| match step.fault {
        Fault::WorkerRestarts(restart) => Some((step.at, restart)),
        _ => None,
    });
    let restarts: Vec<_> = restarts.collect();
    let pairs = || restarts.iter().zip(restarts.iter().skip(1));
    assert!(pairs().any(|(first, next)| first.0 == next.0));
    assert!((0..8).all(|worker| restarts.iter().filter(|(_, r)| r.worker == worker).count() > 2));
    assert!(
        restarts
            .iter()
            .any(|(_, restart)| restart.throttle.is_some())
    );
    for idle in [false, true] {
        assert!(restarts.iter().any(|(_, restart)| restart.idle == idle));
    }
}

/// Guards against a mix for callers that abandon connections without faults of processes, links and
/// workers, or whose faults never overlap.
#[rstest]
fn callers_meet_other_faults() {
    let steps = Plan::draw_mix(Mix::Callers, 7, (3, 8), LENGTH).steps;
    assert_eq!(steps, Plan::draw_mix(Mix::Callers, 7, (3, 8), LENGTH).steps);
    let mut pairs = steps.iter().zip(steps.iter().skip(1));
    assert!(pairs.any(|(first, next)| first.at + first.span > next.at));
    let any = |kind: fn(&Fault) -> bool| steps.iter().any(|step| kind(&step.fault));
    assert!(any(|fault| matches!(fault, Fault::WorkerRestarts(_))));
    assert!(any(|fault| matches!(
        fault,
        Fault::Callers(_, Harm::Abandoned)
    )));
    assert!(any(|fault| matches!(fault, Fault::Callers(_, Harm::Reset))));
    assert!(any(|fault| matches!(
        fault,
        Fault::Kill(_) | Fault::Stop(_) | Fault::Pause(_)
    )));
    assert!(any(|fault| matches!(
        fault,
        Fault::CutLinks { .. } | Fault::SlowLinks(_) | Fault::SilenceLinks(_)
    )));
}
