//! Dials other processes and reconnects after a link is lost.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use smol_str::SmolStr;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use super::manager::LinkManager;
use super::{LinkEvent, events, handshake, session};
use crate::Backoff;

/// Upper bound of the first delay between attempts.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Upper bound of every delay between attempts. Together with the timeout of connecting, it bounds
/// the time after which a host that has come back is linked.
const MAX_BACKOFF: Duration = Duration::from_millis(150);

/// Lifetime of a link after which the backoff is reset. After a shorter one the delays keep
/// growing, so that a peer that closes every link at once is not dialled many times a second.
const BACKOFF_RESET_AFTER: Duration = Duration::from_secs(2);

/// Time without a link after which an address that is not a seed is no longer dialled.
const GIVE_UP_AFTER: Duration = Duration::from_secs(60);

/// How long an address is dialled without success.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RetryPolicy {
    /// As long as the process runs.
    Forever,
    /// Until [`GIVE_UP_AFTER`] has passed without a link.
    Limited,
}

/// Starts a task that dials `address` whenever there is no link to it, unless such a task is running
/// already.
pub(super) fn start(manager: &Rc<LinkManager>, address: SmolStr, retry_policy: RetryPolicy) {
    let Ok(target) = address.parse() else {
        return manager.log_event(&events::invalid_address(&address));
    };
    if address == manager.identity.address || !manager.start_dialling(&address) {
        return;
    }
    let manager = Rc::clone(manager);
    spawn_local(async move {
        run(&manager, &address, target, retry_policy).await;
        manager.stop_dialling(&address);
    });
}

async fn run(
    manager: &Rc<LinkManager>,
    address: &SmolStr,
    target: SocketAddr,
    retry_policy: RetryPolicy,
) {
    let mut backoff = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
    let mut instance = None;
    let mut failing = false;
    let mut last_linked = Instant::now();
    loop {
        if manager.is_linked(address, instance) {
            manager.wait_until_unlinked(address, instance).await;
            last_linked = Instant::now();
        }
        match handshake::dial(manager, address, target).await {
            Ok(established) => {
                instance = Some(established.link.peer.instance);
                let linked_since = Instant::now();
                session::run(manager, established).await;
                last_linked = Instant::now();
                failing = false;
                if last_linked - linked_since >= BACKOFF_RESET_AFTER {
                    backoff.reset();
                }
            }
            Err(error) if error.is_self_connection() => return,
            Err(error) if error.is_duplicate() => {}
            Err(error) => {
                if !failing {
                    manager.log_event(&events::dial_failed(address, error.to_string()));
                }
                failing = true;
                if error.is_connection_refused() {
                    let refused = LinkEvent::Refused(address.clone());
                    manager.deliver(&mut VecDeque::from([refused])).await;
                }
            }
        }
        if retry_policy == RetryPolicy::Limited && last_linked.elapsed() >= GIVE_UP_AFTER {
            return manager.log_event(&events::gave_up(address));
        }
        sleep(manager.next_delay(&mut backoff)).await;
    }
}
