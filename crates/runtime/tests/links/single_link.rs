//! Two processes keep only one link.

use std::time::{Duration, Instant};

use knapweedwall_core::Role;
use knapweedwall_runtime::links::{LinkEvent, Settings};
use rstest::rstest;

use crate::fixture::{Node, RawPeer, TIMEOUT};

/// Time without an event after which the links are considered stable. On a busy machine this can
/// hide a fault, but cannot cause a false failure.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Waits until each node has one link and there are no more events. Returns the number of links of
/// each node.
fn settled_link_counts(nodes: &[&Node]) -> Vec<usize> {
    let mut up = vec![0_usize; nodes.len()];
    let mut changed = Instant::now();
    let end = changed + TIMEOUT;
    while up.iter().any(|links| *links != 1) || changed.elapsed() < SETTLE_TIME {
        assert!(Instant::now() < end, "links do not settle: {up:?}");
        for (node, up) in nodes.iter().zip(&mut up) {
            match node.events.recv_timeout(Duration::from_millis(10)) {
                Ok(LinkEvent::Up { .. }) => *up += 1,
                Ok(LinkEvent::Down(_)) => *up -= 1,
                Ok(LinkEvent::Frame(..) | LinkEvent::Refused(_)) | Err(_) => continue,
            }
            changed = Instant::now();
        }
    }
    up
}

// Guards against two links, no link, or links that keep replacing each other when both sides dial.
#[rstest]
fn mutual_dialling_results_in_one_link() {
    let first = Node::entry("entry-1", 1, &[]);
    let second = Node::entry("entry-2", 2, &[first.address()]);
    first.links.connect(second.address().to_string().into());
    second.links.connect(first.address().to_string().into());
    assert_eq!(settled_link_counts(&[&first, &second]), [1, 1]);
}

// Guards against a process that connects to itself when another form of its own address is dialled.
#[rstest]
fn own_address_is_not_linked() {
    let settings = Settings {
        listen: Some("0.0.0.0:0".parse().unwrap()),
        ..Settings::default()
    };
    let first = Node::spawn(Role::Entry, "entry-1", 1, settings);
    let own = format!("127.0.0.1:{}", first.address().port());
    first.links.connect(own.as_str().into());
    first.wait_for_metric("link_frames_total{direction=\"out\",kind=\"reject\"}", 1);
    assert!(first.events.recv_timeout(SETTLE_TIME).is_err());
    assert_eq!(
        first.metric("link_frames_total{direction=\"out\",kind=\"hello\"}"),
        1
    );
}

// Guards against frames of a replaced link that are delivered after the new link is up.
#[rstest]
fn new_link_of_same_instance_replaces_old_one() {
    let entry = Node::entry("entry-1", 1, &[]);
    let mut old = RawPeer::agent(entry.address(), 2);
    let _new = RawPeer::agent(entry.address(), 2);
    let LinkEvent::Up { link: first, .. } = entry.next() else {
        panic!("no link")
    };
    assert!(matches!(entry.next(), LinkEvent::Down(down) if down == first));
    assert!(matches!(entry.next(), LinkEvent::Up { link, .. } if link != first));
    assert_eq!(old.reject_code(), "replaced");
}
