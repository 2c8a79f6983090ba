//! Versions of the configuration that reach an entry process through its peers only.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use knapweedwall_core::job::{QueueCatalog, QueueConfig};
use knapweedwall_core::scheduler::{Action, ConfigSource, Input, Machine, Metrics, Settings};
use knapweedwall_core::{Instance, LinkKey, Now, PeerInfo, Role};
use knapweedwall_wire::frame::Body;
use rstest::rstest;

/// Time within which a change must be in force.
const CHANGE_LIMIT_MS: u64 = 2_000;

/// Start of the simulated time.
const START_MS: u64 = 60_000;

/// Entry processes that are all connected. The first one watches the store.
struct Peers {
    now_ms: u64,
    machines: Vec<Machine>,
    /// Version that each process uses.
    versions: Vec<u64>,
    /// Frames on their way: receiver, sender, body.
    frames: VecDeque<(usize, usize, Body)>,
    /// Documents that are still to be lost on their way.
    losses: u32,
    /// Number of documents sent.
    documents: usize,
}

impl Peers {
    fn connect(count: usize) -> Self {
        let machines = (0..count).map(|at| Machine::new(settings(at), Metrics::default()));
        let mut peers = Self {
            now_ms: START_MS,
            machines: machines.collect(),
            versions: vec![0; count],
            frames: VecDeque::new(),
            losses: 0,
            documents: 0,
        };
        for to in 0..count {
            for from in (0..count).filter(|from| *from != to) {
                let peer = PeerInfo {
                    role: Role::Entry,
                    name: settings(from).name,
                    zone: "a".into(),
                    instance: Instance(from as u64 + 1),
                    address: format!("10.0.0.{from}:7000").into(),
                    slots: 0,
                };
                let link = LinkKey(from as u64);
                peers.step(to, Input::LinkUp { link, peer });
            }
        }
        peers
    }

    fn step(&mut self, at: usize, input: Input) {
        let now = Now {
            mono: Duration::from_millis(self.now_ms),
            wall_ms: self.now_ms,
        };
        let mut out = Vec::new();
        self.machines[at].step(now, input, &mut out);
        self.machines[at].flush(now, &mut out);
        for action in out {
            match action {
                Action::Send(LinkKey(to), body) => {
                    let to = usize::try_from(to).unwrap();
                    self.frames.push_back((to, at, body));
                }
                Action::ConfigDocument(document) => {
                    let version = String::from_utf8(document.to_vec()).unwrap();
                    self.configure(at, version.parse().unwrap(), ConfigSource::Peer);
                }
                _ => {}
            }
        }
    }

    fn configure(&mut self, at: usize, version: u64, source: ConfigSource) {
        self.versions[at] = self.versions[at].max(version);
        let queue = QueueConfig {
            name: "queue".into(),
            service: "desk".into(),
            attempts: 2,
            target: Duration::from_millis(60),
            stretch: 1.6,
        };
        let catalog = QueueCatalog {
            version,
            queues: vec![queue],
        };
        let input = Input::Configure {
            catalog,
            document: Bytes::from(version.to_string()),
            source,
        };
        self.step(at, input);
    }

    /// Lets a process use a version from the store.
    fn read(&mut self, at: usize, version: u64) {
        let requested_at = Duration::from_millis(self.now_ms);
        self.configure(at, version, ConfigSource::Store(requested_at));
    }

    /// Plays some time in steps of 10 ms.
    fn play(&mut self, ms: u64) {
        for _ in 0..ms / 10 {
            self.now_ms += 10;
            for _ in 0..self.frames.len() {
                let Some((to, from, body)) = self.frames.pop_front() else {
                    break;
                };
                if matches!(body, Body::ConfigUpdate(_)) {
                    self.documents += 1;
                    if self.losses > 0 {
                        self.losses -= 1;
                        continue;
                    }
                }
                self.step(to, Input::Frame(LinkKey(from as u64), body));
            }
            for at in 0..self.machines.len() {
                self.step(at, Input::Tick);
            }
        }
    }
}

fn settings(at: usize) -> Settings {
    Settings {
        name: format!("entry-{at}").into(),
        zone: "a".into(),
        instance: Instance(at as u64 + 1),
        shutdown_accept_time: Duration::from_secs(2),
        stop_limit: Duration::from_secs(5),
        config_limit: Duration::from_secs(2),
    }
}

/// Guards against a process that the store does not serve and that keeps an older version for good,
/// because the document from its peers was lost.
#[rstest]
#[case::none_lost(0)]
#[case::one_from_each_peer_lost(2)]
#[case::several_lost(4)]
fn lost_documents_are_sent_again(#[case] losses: u32) {
    let mut peers = Peers::connect(3);
    for at in 0..3 {
        peers.read(at, 5);
    }
    peers.play(1_000);
    peers.losses = losses;
    peers.read(0, 9);
    peers.read(1, 9);
    peers.play(CHANGE_LIMIT_MS - 100);
    assert_eq!(peers.versions, [9, 9, 9]);
}

/// Guards against a process that waits for the store before it asks its peers for a first version.
#[rstest]
fn new_processes_ask_at_once() {
    let mut peers = Peers::connect(3);
    peers.read(0, 5);
    peers.play(400);
    assert_eq!(peers.versions, [5, 5, 5]);
}

/// Guards against links that are filled by documents which every process sends to every other one:
/// 64 KiB for each of 34 peers take 0.9 s on a link of 19 Mbit/s.
#[rstest]
fn a_change_is_not_sent_to_all() {
    let mut peers = Peers::connect(12);
    for at in 0..12 {
        peers.read(at, 5);
    }
    peers.play(1_000);
    peers.documents = 0;
    for version in 6..12 {
        for at in 0..12 {
            peers.read(at, version);
        }
        peers.play(300);
    }
    assert_eq!(peers.documents, 0);
}
