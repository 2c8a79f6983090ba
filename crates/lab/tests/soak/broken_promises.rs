//! Whether the witness notices what breaks a promise.

use knapweedwall_lab::site::{RunKey, Watcher};
use knapweedwall_lab::soak::{Answer, Calm, Job, Phase, Rule, Witness};
use rstest::rstest;

const ID: &str = "5c0e7a21d94b36f8";

fn phase(count: u64) -> Phase {
    Phase {
        count,
        cpu: 1_000,
        memory: 64,
        spread: 0,
    }
}

fn job(phases: Vec<Phase>) -> Job {
    Job {
        id: ID.to_owned(),
        queue: "slot",
        spec: "work".to_owned(),
        estimate_ms: 50,
        phases,
        fails: false,
        durable: false,
    }
}

fn run(phase: u32, index: u32, attempt: u64) -> RunKey {
    (format!("{ID}.0.{phase}.{index}"), attempt)
}

/// A witness to whom a job with phases of one and two tasks was submitted.
fn witness() -> Witness {
    let witness = Witness::new(Calm::default(), (2_000, 1_000));
    witness.submits(&job(vec![phase(1), phase(2)]));
    witness
}

fn rules(witness: &Witness) -> Vec<Rule> {
    witness.finish().iter().map(|found| found.rule).collect()
}

/// Guards against a check that reports what is in order.
#[rstest]
fn a_whole_job_breaks_nothing() {
    let witness = witness();
    for run in [run(0, 0, 1), run(1, 0, 1), run(1, 1, 1)] {
        witness.started(0, &run, "work");
        witness.ended(0, &run, "done");
    }
    witness.answered(ID, Answer::Completed);
    assert!(rules(&witness).is_empty());
}

/// Guards against two runs of a task at the same time that nobody notices.
#[rstest]
fn a_second_run_is_noticed() {
    let witness = witness();
    witness.started(0, &run(0, 0, 1), "work");
    witness.started(1, &run(0, 0, 2), "work");
    witness.ended(0, &run(0, 0, 1), "lost");
    witness.ended(1, &run(0, 0, 2), "done");
    assert_eq!(rules(&witness), [Rule::Twice]);
}

/// Guards against a report of two runs that does not tell a second submission from a second start by
/// the same process.
#[rstest]
fn submissions_are_reported() {
    let witness = Witness::new(Calm::default(), (2_000, 1_000));
    for process in ["entry-2", "entry-3"] {
        witness.submits(&job(vec![phase(1)]));
        witness.submitted(ID, process);
    }
    witness.started(0, &run(0, 0, 1), "work");
    witness.started(1, &run(0, 0, 1), "work");
    let found = witness.finish().remove(0);
    assert_eq!(found.rule, Rule::Twice);
    for part in ["#1 on worker 0 since", "1 to entry-2 at", "2 to entry-3 at"] {
        assert!(found.text.contains(part), "{found}");
    }
}

/// Guards against work beyond a worker's room, ahead of its phase, or that nobody submitted.
#[rstest]
fn wrong_starts_are_noticed() {
    let witness = witness();
    for (at, spec) in [(0, "work"), (1, "other")] {
        witness.started(0, &run(1, at, 1), spec);
    }
    witness.started(0, &run(0, 0, 1), "work");
    for run in [run(1, 0, 1), run(1, 1, 1), run(0, 0, 1)] {
        witness.ended(0, &run, "done");
    }
    let unknown = ("0000000000000000.0.0.0".to_owned(), 1);
    witness.started(0, &unknown, "work");
    witness.ended(0, &unknown, "done");
    let expected = [
        Rule::Order,
        Rule::Unasked,
        Rule::Order,
        Rule::Room,
        Rule::Unasked,
    ];
    assert_eq!(rules(&witness), expected);
}

/// Guards against answers without cause, and refusals of jobs that run.
#[rstest]
#[case(Answer::Completed, Rule::Answer)]
#[case(Answer::Failed, Rule::Answer)]
#[case(Answer::Refused, Rule::Refused)]
fn untrue_answers_are_noticed(#[case] answer: Answer, #[case] rule: Rule) {
    let witness = witness();
    witness.started(0, &run(0, 0, 1), "work");
    witness.ended(0, &run(0, 0, 1), "failed");
    witness.answered(ID, answer);
    assert_eq!(rules(&witness), [rule]);
}

/// Guards against a job that is given up although the crashes of its workers prove nothing, and against
/// a check that reports one that is given up after crashes that do.
#[rstest]
#[case(1, false, false)]
#[case(2, true, false)]
#[case(2, false, true)]
#[case(4, true, true)]
fn crashes_are_judged(#[case] crashes: u64, #[case] beside: bool, #[case] cause: bool) {
    let witness = witness();
    let mut other = job(vec![phase(1)]);
    other.id = "0000000000000001".to_owned();
    witness.submits(&other);
    let other = format!("{}.0.0.0", other.id);
    for attempt in 1..=crashes {
        let mut runs = vec![run(0, 0, attempt)];
        runs.extend(beside.then(|| (other.clone(), attempt)));
        for run in &runs {
            witness.started(0, run, "work");
        }
        witness.crashed(0, &runs);
        for run in &runs {
            witness.ended(0, run, "lost");
        }
    }
    witness.answered(ID, Answer::Failed);
    assert_eq!(rules(&witness).is_empty(), cause);
}

/// Guards against a durable task that is started after its end was taken note of, and against a
/// job that is forgotten, which nobody notices.
#[rstest]
fn broken_durability_is_noticed() {
    let witness = Witness::new(Calm::default(), (2_000, 1_000));
    let mut kept = job(vec![phase(1)]);
    kept.durable = true;
    witness.submits(&kept);
    witness.answered(ID, Answer::Accepted);
    for attempt in [1, 2] {
        witness.started(0, &run(0, 0, attempt), "work");
        witness.ended(0, &run(0, 0, attempt), "done");
        witness.noted(&run(0, 0, attempt));
    }
    assert_eq!(rules(&witness), [Rule::Twice, Rule::Lost]);
}

/// Guards against runs that nobody ends.
#[rstest]
fn what_still_runs_is_noticed() {
    let witness = witness();
    witness.started(0, &run(0, 0, 1), "work");
    witness.answered(ID, Answer::GaveUp);
    assert_eq!(rules(&witness), [Rule::Unasked]);
}
