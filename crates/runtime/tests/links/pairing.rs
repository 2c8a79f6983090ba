//! Two processes keep one link.

use knapweedwall_runtime::links::LinkEvent;
use rstest::rstest;

use crate::fixture::{Node, Raw, WAIT};

/// Waits until the last link event shows one link, and no event follows for a while.
fn settled(node: &Node) -> usize {
    let mut up = 0_usize;
    let end = std::time::Instant::now() + WAIT;
    loop {
        let quiet = std::time::Duration::from_secs(3);
        match node.events.recv_timeout(quiet) {
            Ok(LinkEvent::Up { .. }) => up += 1,
            Ok(LinkEvent::Down(_)) => up -= 1,
            Ok(LinkEvent::Frame(..)) => {}
            Err(_) => return up,
        }
        assert!(std::time::Instant::now() < end, "links do not settle");
    }
}

// Guards against two links, or none, or endless replacement when both sides dial.
#[rstest]
fn mutual_seeds_give_one_link() {
    let first = Node::entry("entry-1", 1, &[]);
    let second = Node::entry("entry-2", 2, &[first.address()]);
    first.links.connect(second.address().to_string().into());
    second.links.connect(first.address().to_string().into());
    assert_eq!((settled(&first), settled(&second)), (1, 1));
}

// Guards against a process that links to itself when its own address is among the seeds.
#[rstest]
fn own_address_is_not_linked() {
    let first = Node::entry("entry-1", 1, &[]);
    first.links.connect(first.address().to_string().into());
    assert_eq!(settled(&first), 0);
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
