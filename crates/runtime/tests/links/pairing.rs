//! Two processes keep one link.

use std::time::{Duration, Instant};

use knapweedwall_core::Role;
use knapweedwall_runtime::links::{LinkEvent, Settings};
use rstest::rstest;

use crate::fixture::{Node, Raw, WAIT};

/// Time without an event after which links are taken to have settled. A busy machine can only
/// hide a fault here, not show one that does not exist.
const QUIET: Duration = Duration::from_secs(3);

/// Counts links until there is one on each side and nothing happens any more.
fn settle(nodes: &[&Node]) -> Vec<usize> {
    let mut up = vec![0_usize; nodes.len()];
    let mut changed = Instant::now();
    let end = changed + WAIT;
    while up.iter().any(|links| *links != 1) || changed.elapsed() < QUIET {
        assert!(Instant::now() < end, "links do not settle: {up:?}");
        for (node, up) in nodes.iter().zip(&mut up) {
            match node.events.recv_timeout(Duration::from_millis(10)) {
                Ok(LinkEvent::Up { .. }) => *up += 1,
                Ok(LinkEvent::Down(_)) => *up -= 1,
                Ok(LinkEvent::Frame(..)) | Err(_) => continue,
            }
            changed = Instant::now();
        }
    }
    up
}

// Guards against two links, or none, or endless replacement when both sides dial.
#[rstest]
fn mutual_seeds_give_one_link() {
    let first = Node::entry("entry-1", 1, &[]);
    let second = Node::entry("entry-2", 2, &[first.address()]);
    first.links.connect(second.address().to_string().into());
    second.links.connect(first.address().to_string().into());
    assert_eq!(settle(&[&first, &second]), [1, 1]);
}

// Guards against a process that links to itself when its own address, in another form, is among
// the seeds.
#[rstest]
fn own_address_is_not_linked() {
    let settings = Settings {
        listen: Some("0.0.0.0:0".parse().unwrap()),
        ..Settings::default()
    };
    let first = Node::open(Role::Entry, "entry-1", 1, settings);
    let own = format!("127.0.0.1:{}", first.address().port());
    first.links.connect(own.as_str().into());
    first.metric_reaches("link_frames_total{direction=\"out\",kind=\"reject\"}", 1);
    assert!(first.events.recv_timeout(QUIET).is_err());
    assert_eq!(
        first.metric("link_frames_total{direction=\"out\",kind=\"hello\"}"),
        1
    );
}

// Guards against frames of an old link that are read after the new link is up.
#[rstest]
fn new_link_of_same_instance_replaces_the_old() {
    let entry = Node::entry("entry-1", 1, &[]);
    let mut old = Raw::agent(entry.address(), 2);
    let _new = Raw::agent(entry.address(), 2);
    let LinkEvent::Up { link: first, .. } = entry.next() else {
        panic!("no link")
    };
    assert!(matches!(entry.next(), LinkEvent::Down(down) if down == first));
    assert!(matches!(entry.next(), LinkEvent::Up { link, .. } if link != first));
    assert_eq!(old.rejected(), "replaced");
}
