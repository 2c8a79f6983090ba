//! Peers that violate the protocol.

use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

use knapweedwall_runtime::links::LinkEvent;
use knapweedwall_wire::frame::Body;
use knapweedwall_wire::{self as wire};
use rstest::rstest;

use crate::fixture::{Node, RawPeer, heartbeat, hello};

/// A frame of protocol version 2 with the body `Leaving`.
const VERSION_2: &[u8] = &[0, 0, 0, 5, 0x08, 2, 0x82, 0x01, 0];

/// A frame of length 4 that is not a valid message.
const GARBAGE: &[u8] = &[0, 0, 0, 4, 0xff, 0xff, 0xff, 0xff];

/// A frame whose body has an unknown field number.
const UNKNOWN_BODY: &[u8] = &[0, 0, 0, 5, 0x08, 1, 0xc2, 0x3e, 0];

/// Length prefix of a frame that exceeds the maximum size.
const TOO_LARGE: &[u8] = &[0x7f, 0, 0, 0];

// Guards against a link to a peer that uses another version, or another protocol altogether.
#[rstest]
#[case(VERSION_2, "bad_version")]
#[case(GARBAGE, "bad_frame")]
#[case(UNKNOWN_BODY, "unknown_body")]
#[case(TOO_LARGE, "frame_too_large")]
#[case(b"GET / HTTP/1.1\r\n\r\n", "frame_too_large")]
fn bad_first_frame_is_rejected(#[case] bytes: &[u8], #[case] code: &str) {
    let entry = Node::entry("entry-1", 1, &[]);
    let mut peer = RawPeer::connect(entry.address());
    peer.socket.write_all(bytes).unwrap();
    assert_eq!(peer.reject_code(), code);
    assert!(entry.events.is_empty());
}

// Guards against a link that stays open after an invalid frame: the boundaries of later frames are
// unknown.
#[rstest]
#[case(VERSION_2, "bad_version")]
#[case(GARBAGE, "bad_frame")]
#[case(TOO_LARGE, "frame_too_large")]
fn bad_later_frame_ends_the_link(#[case] bytes: &[u8], #[case] code: &str) {
    let entry = Node::entry("entry-1", 1, &[]);
    let mut peer = RawPeer::agent(entry.address(), 2);
    peer.send(heartbeat(1));
    peer.socket.write_all(bytes).unwrap();
    assert_eq!(peer.reject_code(), code);
    assert!(matches!(entry.next(), LinkEvent::Up { .. }));
    assert!(matches!(entry.next(), LinkEvent::Frame(..)));
    assert!(matches!(entry.next(), LinkEvent::Down(_)));
}

// Guards against invalid names, roles and addresses, which are validated only in the handshake.
#[rstest]
#[case(wire::Hello { name: String::new(), ..hello(2) })]
#[case(wire::Hello { name: "x".repeat(65), ..hello(2) })]
#[case(wire::Hello { role: 9, ..hello(2) })]
#[case(wire::Hello { role: 1, address: "nowhere".into(), ..hello(2) })]
fn bad_hello_is_rejected(#[case] hello: wire::Hello) {
    let entry = Node::entry("entry-1", 1, &[]);
    let mut peer = RawPeer::connect(entry.address());
    peer.send(Body::Hello(hello));
    assert_eq!(peer.reject_code(), "bad_hello");
}

// Guards against a second `Hello` that changes the identity of the peer.
#[rstest]
fn second_hello_is_rejected() {
    let entry = Node::entry("entry-1", 1, &[]);
    let mut peer = RawPeer::agent(entry.address(), 2);
    peer.send(Body::Hello(hello(3)));
    assert_eq!(peer.reject_code(), "unexpected");
}

// Guards against a handshake that is kept open by one byte per second: the timeout of 2 s covers the
// whole handshake.
#[rstest]
fn slow_hello_is_cut_off() {
    let entry = Node::entry("entry-1", 1, &[]);
    let mut peer = RawPeer::connect(entry.address());
    let mut socket = peer.socket.try_clone().unwrap();
    let sender = thread::spawn(move || {
        for byte in [0, 0, 0, 40].into_iter().chain(std::iter::repeat_n(8, 40)) {
            if socket.write_all(&[byte]).is_err() {
                return;
            }
            thread::sleep(Duration::from_secs(1));
        }
    });
    let start = Instant::now();
    assert_eq!(peer.reject_code(), "late");
    assert!(start.elapsed() >= Duration::from_millis(1_900));
    sender.join().unwrap();
}

// Guards against a frame that is kept incomplete by one byte per second: the timeout of 10 s covers
// the whole frame.
#[rstest]
fn slow_frame_is_cut_off() {
    let entry = Node::entry("entry-1", 1, &[]);
    let mut peer = RawPeer::agent(entry.address(), 2);
    let mut socket = peer.socket.try_clone().unwrap();
    let sender = thread::spawn(move || {
        for byte in [0, 0, 0, 40].into_iter().chain(std::iter::repeat_n(8, 40)) {
            if socket.write_all(&[byte]).is_err() {
                return;
            }
            thread::sleep(Duration::from_secs(1));
        }
    });
    let start = Instant::now();
    assert_eq!(peer.reject_code(), "late");
    assert!(start.elapsed() >= Duration::from_secs(9));
    sender.join().unwrap();
}

// Guards against closing an idle link: only a partially received frame has a timeout.
#[rstest]
fn idle_link_stays_open() {
    let entry = Node::entry("entry-1", 1, &[]);
    let mut peer = RawPeer::agent(entry.address(), 2);
    assert!(matches!(entry.next(), LinkEvent::Up { .. }));
    let silent = entry.events.recv_timeout(Duration::from_secs(11));
    assert!(silent.is_err());
    peer.send(heartbeat(1));
    assert!(matches!(entry.next(), LinkEvent::Frame(..)));
}
