//! Links, silence and what entry processes tell.

use std::time::Duration;

use knapweedwall_core::agent::Input;
use knapweedwall_core::{Instance, LinkKey, PeerInfo, Role};
use knapweedwall_wire::{ConfigUpdate, EntryAddress, Heartbeat, Hello, Outcome, frame::Body};
use rstest::rstest;

use crate::bench::{Bench, done, task};

/// Guards against starts that a fence report on the new link cannot list.
#[rstest]
fn new_link_of_an_instance_replaces_the_old_one() {
    let mut bench = Bench::new(2);
    let old = bench.link(1);
    let (new, turn) = bench.link_up(1);
    assert_eq!(turn.closed, [(old, "replaced")]);
    assert_eq!(
        turn.credits(new),
        2,
        "credits of the old link are free again"
    );
    let turn = bench.start(old, vec![task(1, 0, 1)]);
    assert_eq!(turn.runs, []);
    assert_eq!(turn.outcomes(old), []);
}

#[rstest]
fn silent_link_is_closed() {
    let mut bench = Bench::new(2);
    let (silent, alive) = (bench.link(1), bench.link(2));
    let turns = bench.pass(Duration::from_secs(3), &[alive]);
    let closed = turns.iter().flat_map(|t| t.closed.clone());
    assert_eq!(closed.collect::<Vec<_>>(), [(silent, "silent")]);
    assert_eq!(bench.agent.credits().granted_to(alive), 2);
}

/// Guards against links that are closed because this process itself was paused.
#[rstest]
fn own_pause_is_no_silence() {
    let mut bench = Bench::new(2);
    let link = bench.link(1);
    bench.pass(Duration::from_secs(1), &[link]);
    bench.now += Duration::from_secs(20);
    assert_eq!(bench.turn(vec![Input::Tick]).closed, []);
    let turns = bench.pass(Duration::from_secs(3), &[]);
    let closed = turns.iter().flat_map(|t| t.closed.clone());
    assert_eq!(closed.collect::<Vec<_>>(), [(link, "silent")]);
}

#[rstest]
fn heartbeat_is_sent_every_second_with_slots_and_busy() {
    let mut bench = Bench::new(3);
    let link = bench.link(1);
    bench.run(link, task(1, 0, 1));
    let turns = bench.pass(Duration::from_secs(4), &[link]);
    let mut beats = Vec::new();
    for (_, body) in turns.iter().flat_map(|t| &t.sent) {
        if let Body::Heartbeat(beat) = body {
            beats.push((beat.slots, beat.busy));
        }
    }
    assert_eq!(beats, [(3, 1); 4]);
}

#[rstest]
fn unreachable_endpoint_shows_no_slots() {
    let mut bench = Bench::new(3);
    let link = bench.link(1);
    bench.pass(Duration::from_millis(500), &[link]);
    bench.turn(vec![Input::EndpointReachable(false)]);
    let turn = bench.turn(vec![Input::Tick]);
    let shown = |(_, body): &(LinkKey, Body)| matches!(body, Body::Heartbeat(b) if b.slots == 0);
    assert!(turn.sent.iter().any(shown), "at once, not after a second");
}

/// Guards against an entry process that is not linked to, or never again after its address was
/// given up.
#[rstest]
fn named_entry_processes_are_connected_to() {
    let mut bench = Bench::new(1);
    let link = bench.link(1);
    let named = |name: &str| EntryAddress {
        name: name.into(),
        address: format!("{name}:1"),
    };
    let beat = Body::Heartbeat(Heartbeat {
        entries: vec![named("a"), named("b")],
        ..Heartbeat::default()
    });
    let turn = bench.frame(link, beat.clone());
    assert_eq!(turn.connects, ["a:1", "b:1"]);
    bench.pass(Duration::from_secs(29), &[link]);
    assert!(bench.frame(link, beat.clone()).connects.is_empty());
    bench.pass(Duration::from_secs(1), &[link]);
    assert_eq!(bench.frame(link, beat).connects, ["a:1", "b:1"]);
}

/// Guards against slots of an unreachable endpoint that `Hello` announces.
#[rstest]
fn new_link_is_told_the_slots_at_once() {
    let mut bench = Bench::new(3);
    bench.turn(vec![Input::EndpointReachable(false)]);
    let (link, turn) = bench.link_up(1);
    let [(to, Body::Heartbeat(beat))] = &turn.sent[..] else {
        panic!("one heartbeat is expected");
    };
    assert_eq!((*to, beat.slots), (link, 0));
}

/// Guards against a configuration that goes back to an older version.
#[rstest]
fn configuration_only_grows_and_is_offered() {
    let mut bench = Bench::new(1);
    let (first, second) = (bench.link(1), bench.link(2));
    let update = |version| {
        Body::ConfigUpdate(ConfigUpdate {
            version,
            document: format!("v{version}").into(),
        })
    };
    bench.frame(first, update(5));
    bench.frame(first, update(4));
    assert_eq!(bench.agent.config_version(), 5);
    let beat = Heartbeat {
        config_version: 4,
        ..Heartbeat::default()
    };
    let turn = bench.frame(second, Body::Heartbeat(beat.clone()));
    assert_eq!(turn.sent, [(second, update(5))]);
    let turn = bench.frame(second, Body::Heartbeat(beat));
    assert!(
        turn.sent.is_empty(),
        "each version is offered once on a link"
    );
}

#[rstest]
fn unexpected_frame_closes_the_link() {
    let mut bench = Bench::new(1);
    let link = bench.link(1);
    let turn = bench.frame(link, Body::Hello(Hello::default()));
    assert_eq!(turn.closed, [(link, "invalid_frame")]);
}

#[rstest]
fn another_agent_is_not_linked() {
    let mut bench = Bench::new(1);
    let peer = PeerInfo {
        role: Role::Agent,
        name: "x".into(),
        zone: "z".into(),
        instance: Instance(3),
        address: "".into(),
        slots: 1,
    };
    let (link, entry_processes) = (LinkKey(70), Vec::new());
    let turn = bench.turn(vec![Input::LinkUp {
        link,
        peer,
        entry_processes,
    }]);
    assert_eq!(turn.closed, [(link, "not_an_entry_process")]);
}

/// Guards against a slot that is lost with the link that started its task.
#[rstest]
fn slot_of_a_lost_link_goes_to_another() {
    let mut bench = Bench::new(1);
    let (first, second) = (bench.link(1), bench.link(2));
    let run = bench.run(first, task(1, 0, 1));
    bench.turn(vec![Input::LinkDown(first)]);
    let turn = bench.end(run, done("x"));
    assert_eq!(turn.credits(second), 1);
    assert_eq!(turn.outcomes(second), [] as [Outcome; 0]);
}
