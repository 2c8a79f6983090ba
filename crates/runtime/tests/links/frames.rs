//! Handshake and frames in both directions.

use std::time::{Duration, Instant};

use knapweedwall_core::{LinkKey, Role};
use knapweedwall_runtime::links::{LinkEvent, Settings};
use knapweedwall_wire::frame::Body;
use rstest::rstest;

use crate::fixture::{Node, RawPeer, heartbeat, hello};

fn link_up(node: &Node) -> LinkKey {
    match node.next() {
        LinkEvent::Up { link, .. } => link,
        other => panic!("expected a link, got {other:?}"),
    }
}

// Guards against a handshake that reports a wrong identity, or does not tell the agent about the
// entry processes.
#[rstest]
fn handshake_exchanges_identities() {
    let entry = Node::entry("entry-1", 1, &[]);
    let settings = Settings {
        seeds: vec![entry.address().to_string().into()],
        ..Settings::default()
    };
    let agent = Node::spawn(Role::Agent, "agent-1", 2, settings);
    let LinkEvent::Up { peer, .. } = entry.next() else {
        panic!("no link")
    };
    assert_eq!((peer.role, peer.name.as_str()), (Role::Agent, "agent-1"));
    assert_eq!((peer.instance.0, peer.slots), (2, 4));
    let LinkEvent::Up { peer, entries, .. } = agent.next() else {
        panic!("no link")
    };
    assert_eq!((peer.role, peer.name.as_str()), (Role::Entry, "entry-1"));
    let address = entry.address().to_string();
    assert_eq!(entries, [("entry-1".into(), address.into())]);
}

// Guards against lost or reordered frames.
#[rstest]
fn frames_arrive_in_order_both_ways() {
    let entry = Node::entry("entry-1", 1, &[]);
    let mut agent = RawPeer::agent(entry.address(), 2);
    let link = link_up(&entry);
    for counter in 0..1_000 {
        agent.send(heartbeat(counter));
    }
    for counter in 0..1_000 {
        let LinkEvent::Frame(from, body) = entry.next() else {
            panic!("no frame")
        };
        assert_eq!((from, body), (link, heartbeat(counter)));
    }
    let frames = (0..1_000).map(|counter| (link, heartbeat(counter)));
    entry.links.handle().send_all(frames);
    for counter in 0..1_000 {
        assert_eq!(agent.next(), Some(heartbeat(counter)));
    }
}

// Guards against a separate system call for each frame.
#[rstest]
fn frames_sent_together_share_system_calls() {
    let entry = Node::entry("entry-1", 1, &[]);
    let mut agent = RawPeer::agent(entry.address(), 2);
    let link = link_up(&entry);
    let before = entry.metric("link_writes_total");
    let frames = (0..500).map(|counter| (link, heartbeat(counter)));
    entry.links.handle().send_all(frames);
    for counter in 0..500 {
        assert_eq!(agent.next(), Some(heartbeat(counter)));
    }
    let writes = entry.metric("link_writes_total") - before;
    assert!(writes <= 5, "{writes} system calls for 500 frames");
    let sent = entry.metric("link_frames_total{direction=\"out\",kind=\"heartbeat\"}");
    assert_eq!(sent, 500);
}

// Guards against a lost link that is not dialled again or is reported as down twice.
#[rstest]
fn lost_link_is_dialled_again() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let settings = Settings {
        seeds: vec![listener.local_addr().unwrap().to_string().into()],
        ..Settings::default()
    };
    let agent = Node::spawn(Role::Agent, "agent-1", 2, settings);
    for instance in 10..13 {
        let mut entry = RawPeer::from(listener.accept().unwrap().0);
        assert!(matches!(entry.next(), Some(Body::Hello(_))));
        entry.send(Body::Welcome(knapweedwall_wire::Welcome {
            name: "entry-1".into(),
            zone: "a".into(),
            instance,
            ..Default::default()
        }));
        let link = link_up(&agent);
        drop(entry);
        assert!(matches!(agent.next(), LinkEvent::Down(down) if down == link));
    }
}

// Guards against queued frames that are lost when the process shuts down.
#[rstest]
fn shutdown_sends_queued_frames() {
    let entry = Node::entry("entry-1", 1, &[]);
    let mut agent = RawPeer::agent(entry.address(), 2);
    let link = link_up(&entry);
    let frames = (0..1_000).map(|counter| (link, heartbeat(counter)));
    entry.links.handle().send_all(frames);
    let start = Instant::now();
    entry.links.shutdown(Duration::from_secs(20));
    assert!(start.elapsed() < Duration::from_secs(20));
    for counter in 0..1_000 {
        assert_eq!(agent.next(), Some(heartbeat(counter)));
    }
    assert_eq!(agent.next(), None);
}

// Guards against the loss of a frame that arrives in the same read as `Hello`.
#[rstest]
fn frames_right_after_hello_are_kept() {
    let entry = Node::entry("entry-1", 1, &[]);
    let mut agent = RawPeer::connect(entry.address());
    agent.send(Body::Hello(hello(2)));
    agent.send(heartbeat(7));
    let link = link_up(&entry);
    let LinkEvent::Frame(from, body) = entry.next() else {
        panic!("no frame")
    };
    assert_eq!((from, body), (link, heartbeat(7)));
}
