//! Peers that do not read, and event sinks that are full.

use knapweedwall_core::Role;
use knapweedwall_runtime::links::LinkEvent;
use knapweedwall_wire::frame::Body;
use knapweedwall_wire::{self as wire};
use rstest::rstest;

use crate::fixture::{Node, RawPeer, heartbeat, listener_settings};

// Guards against unbounded memory for frames to a peer that does not read: once the send queue is
// full, the link is closed.
#[rstest]
fn link_to_peer_that_does_not_read_is_closed() {
    let entry = Node::entry("entry-1", 1, &[]);
    let _peer = RawPeer::agent(entry.address(), 2);
    let LinkEvent::Up { link, .. } = entry.next() else {
        panic!("no link")
    };
    let body = Body::ConfigUpdate(wire::ConfigUpdate {
        version: 1,
        document: vec![7; 1 << 20].into(),
    });
    let down = (0..1_000).any(|_| {
        entry.links.send(link, body.clone());
        let event = entry
            .events
            .recv_timeout(std::time::Duration::from_millis(20));
        matches!(event, Ok(LinkEvent::Down(down)) if down == link)
    });
    assert!(down, "1 GiB was queued for a peer that does not read");
}

// Guards against frames that are dropped while the sink is full: the link must not be read until the
// sink has taken its events.
#[rstest]
fn full_sink_stops_reading_without_loss() {
    let settings = listener_settings(&[]);
    let entry = Node::with_event_capacity(Role::Entry, "entry-1", 1, settings, 4);
    let mut peer = RawPeer::agent(entry.address(), 2);
    for counter in 0..2_000 {
        peer.send(heartbeat(counter));
    }
    entry.wait_for_metric("link_stalls_total", 3);
    assert!(matches!(entry.next(), LinkEvent::Up { .. }));
    for counter in 0..2_000 {
        let LinkEvent::Frame(_, body) = entry.next() else {
            panic!("no frame")
        };
        assert_eq!(body, heartbeat(counter));
    }
}

// Guards against a close that drops frames queued before it, or the code of the reason.
#[rstest]
fn close_sends_queued_frames_and_code() {
    let entry = Node::entry("entry-1", 1, &[]);
    let mut peer = RawPeer::agent(entry.address(), 2);
    let LinkEvent::Up { link, .. } = entry.next() else {
        panic!("no link")
    };
    entry.links.send(link, heartbeat(1));
    entry.links.close(link, "superseded");
    assert_eq!(peer.next(), Some(heartbeat(1)));
    assert_eq!(peer.reject_code(), "superseded");
    assert!(matches!(entry.next(), LinkEvent::Down(down) if down == link));
}
