//! How recently the store confirmed the configuration that a request is handled by.

use std::time::Duration;

use bytes::Bytes;
use knapweedwall_core::job::{QueueCatalog, QueueConfig};
use knapweedwall_core::scheduler::{Action, Answer, CallKey, ConfigSource, Input, Machine};
use knapweedwall_core::scheduler::{Metrics, Settings};
use knapweedwall_core::{Event, Instance, Now};
use rstest::rstest;

/// Start of the simulated time.
const START_MS: u64 = 60_000;

/// An entry process without connections.
struct Process(Machine);

impl Process {
    fn start() -> Self {
        let settings = Settings {
            name: "entry-1".into(),
            zone: "a".into(),
            instance: Instance(1),
            shutdown_accept_time: Duration::from_secs(2),
            stop_limit: Duration::from_secs(5),
            config_limit: Duration::from_secs(2),
        };
        Self(Machine::new(settings, Metrics::default()))
    }

    fn step(&mut self, at_ms: u64, input: Input) -> Vec<Action> {
        let now = Now {
            mono: at(at_ms),
            wall_ms: at_ms,
        };
        let mut out = Vec::new();
        self.0.step(now, input, &mut out);
        self.0.flush(now, &mut out);
        out
    }

    fn confirm(&mut self, at_ms: u64, version: u64, requested_ms: u64) -> Vec<Action> {
        let requested_at = at(requested_ms);
        let input = Input::ConfigConfirmed {
            version,
            requested_at,
        };
        self.step(at_ms, input)
    }

    fn configure(&mut self, at_ms: u64, version: u64, source: ConfigSource) -> Vec<Action> {
        let queue = QueueConfig {
            name: format!("queue-{version}").into(),
            service: "desk".into(),
            attempts: 2,
            target: Duration::from_millis(60),
            stretch: 1.6,
        };
        let catalog = QueueCatalog {
            version,
            queues: vec![queue],
        };
        let document = Bytes::from(format!("version {version}"));
        let input = Input::Configure {
            catalog,
            document,
            source,
        };
        self.step(at_ms, input)
    }
}

fn at(at_ms: u64) -> Duration {
    Duration::from_millis(START_MS + at_ms)
}

/// Returns the event with this number among the actions.
fn event(actions: &[Action], number: u16) -> Option<&Event> {
    let mut events = actions.iter().filter_map(|action| match action {
        Action::Log(event) => Some(event),
        _ => None,
    });
    events.find(|event| event.number == number)
}

fn field<'a>(event: &'a Event, name: &str) -> &'a str {
    let mut fields = event.fields.iter();
    let field = fields.find(|(key, _)| *key == name);
    field.map_or("", |(_, value)| value.as_str())
}

/// Guards against a request of which the logs do not tell by which version it was answered, and
/// whether that could have been the newest.
#[rstest]
fn misses_name_the_version() {
    let mut process = Process::start();
    process.configure(0, 7, ConfigSource::Store(at(0)));
    process.confirm(0, 7, 0);
    let out = process.step(900, Input::UnknownQueue(CallKey(1)));
    assert!(out.contains(&Action::Reply(CallKey(1), Answer::NoQueue)));
    let miss = event(&out, 329).unwrap();
    assert_eq!(field(miss, "config"), "7");
    assert_eq!(field(miss, "config_age_ms"), "900");
}

/// Guards against a version that is late without a line that says on which way.
#[rstest]
#[case::from_the_store(ConfigSource::Store(at(100)), "store", "700")]
#[case::from_a_peer(ConfigSource::Peer, "peer", "0")]
fn changes_name_their_source(
    #[case] source: ConfigSource,
    #[case] name: &str,
    #[case] delay_ms: &str,
) {
    let mut process = Process::start();
    process.configure(0, 7, ConfigSource::Store(at(0)));
    process.confirm(0, 7, 0);
    let out = process.configure(800, 9, source);
    let change = event(&out, 306).unwrap();
    assert_eq!(field(change, "source"), name);
    assert_eq!(field(change, "delay_ms"), delay_ms);
    assert_eq!(field(change, "config_age_ms"), "800");
}

/// Guards against a process that has lost the store for longer than a change may take, without a line
/// that says so.
#[rstest]
fn a_lost_store_is_reported() {
    let mut process = Process::start();
    process.configure(0, 7, ConfigSource::Store(at(0)));
    process.confirm(0, 7, 0);
    assert!(event(&process.step(1_990, Input::Tick), 330).is_none());
    let out = process.step(2_020, Input::Tick);
    assert_eq!(field(event(&out, 330).unwrap(), "config"), "7");
    assert!(event(&process.step(2_050, Input::Tick), 330).is_none());
    let out = process.confirm(3_000, 7, 2_990);
    assert_eq!(field(event(&out, 331).unwrap(), "config_age_ms"), "3000");
}

/// Guards against a response from before the version in use that counts as its confirmation.
#[rstest]
fn old_responses_confirm_nothing() {
    let mut process = Process::start();
    process.configure(0, 7, ConfigSource::Peer);
    process.confirm(100, 5, 90);
    let miss = process.step(200, Input::UnknownQueue(CallKey(1)));
    assert_eq!(field(event(&miss, 329).unwrap(), "config_age_ms"), "");
    process.confirm(300, 7, 250);
    let miss = process.step(400, Input::UnknownQueue(CallKey(2)));
    assert_eq!(field(event(&miss, 329).unwrap(), "config_age_ms"), "150");
}

/// Guards against a caller who is told that a queue does not exist by a process that may have missed
/// its addition: one that has lost the store, or that has its configuration from a peer only.
#[rstest]
#[case::confirmed(ConfigSource::Store(at(0)), Some(0), 1_900, true)]
#[case::store_lost(ConfigSource::Store(at(0)), Some(0), 2_100, false)]
#[case::never_confirmed(ConfigSource::Peer, None, 100, false)]
fn missed_queues_are_not_denied(
    #[case] source: ConfigSource,
    #[case] confirmed_ms: Option<u64>,
    #[case] asked_ms: u64,
    #[case] denied: bool,
) {
    let mut process = Process::start();
    process.configure(0, 7, source);
    if let Some(confirmed_ms) = confirmed_ms {
        process.confirm(0, 7, confirmed_ms);
    }
    let out = process.step(asked_ms, Input::UnknownQueue(CallKey(1)));
    assert_eq!(
        out.contains(&Action::Reply(CallKey(1), Answer::NoQueue)),
        denied
    );
    let refused = |action: &Action| matches!(action, Action::Reply(_, Answer::NotRun { .. }));
    assert_eq!(out.iter().any(refused), !denied);
}
