//! Dials other processes and dials again after a link is lost.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use super::hub::Hub;
use super::{events, handshake, session};
use crate::Backoff;

/// Smallest and largest limit of the delay between attempts.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(500));

/// A link that lasted this long starts the delays over. After a shorter one they keep growing, so
/// that a peer which closes every link at once is not dialled many times a second.
const SETTLED_AFTER: Duration = Duration::from_secs(2);

/// An address that is not a seed is given up after this time without a link.
const GIVE_UP_AFTER: Duration = Duration::from_secs(60);

/// How long an address is dialled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Persistence {
    /// As long as the process runs.
    Always,
    /// Until [`GIVE_UP_AFTER`] has passed without a link.
    Limited,
}

/// Starts dialling `address`, unless that is being done already.
pub(super) fn start(hub: &Rc<Hub>, address: SmolStr, persistence: Persistence) {
    let Ok(target) = address.parse() else {
        return hub.log(&events::bad_address(&address));
    };
    if address == hub.identity.address || !hub.start_dialling(&address) {
        return;
    }
    let hub = Rc::clone(hub);
    spawn_local(async move {
        run(&hub, &address, target, persistence).await;
        hub.stop_dialling(&address);
    });
}

async fn run(hub: &Rc<Hub>, address: &SmolStr, target: SocketAddr, persistence: Persistence) {
    let mut backoff = Backoff::new(BACKOFF.0, BACKOFF.1);
    let mut instance = None;
    let mut failing = false;
    let mut linked_at = Instant::now();
    loop {
        if hub.is_linked(address, instance) {
            hub.unlinked(address, instance).await;
            linked_at = Instant::now();
        }
        match handshake::dial(hub, address, target).await {
            Ok(joined) => {
                instance = Some(joined.live.peer.instance);
                let up = Instant::now();
                session::run(hub, joined).await;
                linked_at = Instant::now();
                failing = false;
                if linked_at - up >= SETTLED_AFTER {
                    backoff.reset();
                }
            }
            Err(error) if error.is_own() => return,
            Err(error) if error.is_duplicate() => {}
            Err(error) => {
                if !failing {
                    hub.log(&events::dial_failed(address, error.to_string()));
                }
                failing = true;
            }
        }
        if persistence == Persistence::Limited && linked_at.elapsed() >= GIVE_UP_AFTER {
            return hub.log(&events::given_up(address));
        }
        sleep(hub.delay(&mut backoff)).await;
    }
}
