//! Entry processes that order runs, and the links to them.

use std::collections::VecDeque;
use std::mem;
use std::time::Duration;

use knapweedwall_wire as wire;
use knapweedwall_wire::frame::Body;
use smol_str::SmolStr;

use super::io::Action;
use crate::deterministic::{DeterministicMap, DeterministicSet};
use crate::ids::Instance;
use crate::peer::{LinkKey, PeerInfo};

/// Time without contact to an owner after which its runs are stopped. A client that got no response
/// resubmits its job after 1,300 ms to any entry process; the first run must have ended by then.
pub const OWNER_SILENCE_TIMEOUT: Duration = Duration::from_millis(800);

/// Time after the last contact to an owner at which the lease of its runs of non-durable jobs ends at
/// the latest, also if the agent is lost before it stops them. Ends before a client that got no response
/// resubmits its job, with a margin for the drift of the worker's clock over a lease.
pub(super) const ORPHAN_LEASE_LIMIT: Duration = Duration::from_millis(1_250);

/// Maximum interval between `RunReports` messages to an entry process in the same zone, or with open
/// runs on the worker.
const MAX_MESSAGE_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum interval between messages to an entry process in another zone without open runs on the
/// worker. Entry processes place tasks in other zones only when their own is short of resources. An
/// order that acknowledges a message of this age still arrives within [`OWNER_SILENCE_TIMEOUT`].
const MAX_REMOTE_MESSAGE_INTERVAL: Duration = Duration::from_millis(400);

/// Time without contact to an entry process in another zone without open runs after which the link
/// is closed. Such a process sends heartbeats less often.
const IDLE_REMOTE_TIMEOUT: Duration = Duration::from_secs(2);

/// Minimum interval between messages to an entry process that report only a change in free resources.
const MIN_RESOURCE_UPDATE_INTERVAL: Duration = Duration::from_millis(20);

/// Limits the total rate of messages to entry processes of the zone that report only a change in free
/// resources to one every 3 ms: with n of them connected, the minimum interval for each is n * 3 ms
/// if this is longer than [`MIN_RESOURCE_UPDATE_INTERVAL`].
const RESOURCE_UPDATE_INTERVAL_PER_OWNER: Duration = Duration::from_millis(3);

/// The same for entry processes in other zones, up to [`MAX_REMOTE_MESSAGE_INTERVAL`].
const REMOTE_UPDATE_INTERVAL_PER_OWNER: Duration = Duration::from_millis(12);

/// Maximum number of unacknowledged messages whose send times are kept. At one message every 2 ms,
/// 400 are sent within [`OWNER_SILENCE_TIMEOUT`].
const MAX_SENT_MESSAGES: usize = 512;

/// Maximum number of run reports queued for an owner by [`Owners::queue_run_report`], which drops the
/// oldest ones beyond it. Reports accumulate while the owner is disconnected. When it reconnects, it
/// receives a list of the open runs and considers runs that are not in it as ended.
const MAX_QUEUED_RUN_REPORTS: usize = 4_096;

/// State of an entry process.
#[derive(Debug)]
pub(super) struct Owner {
    name: SmolStr,
    /// Whether the entry process is in the zone of the agent.
    in_zone: bool,
    link: Option<LinkKey>,
    /// Send time of the last message that the owner has acknowledged, or time of the first connection.
    last_contact: Duration,
    /// Time of the last connection. It may have been read late, so it is no contact for runs that were
    /// ordered before.
    linked_at: Duration,
    /// Sequence numbers and send times of unacknowledged messages.
    sent_messages: VecDeque<(u64, Duration)>,
    /// Sequence number of the last `RunReports` message sent on this connection.
    last_message_number: u64,
    /// Sequence number of the last `RunOrders` message received on this connection.
    last_orders_number: u64,
    /// Reports on single runs, to be sent in the next message.
    queued_run_reports: VecDeque<wire::RunReport>,
    /// Whether a list of the open runs was sent on this connection.
    listing_sent: bool,
    last_message_at: Duration,
    /// Free resources in the last message.
    free: Option<wire::Room>,
    /// Worker profile that was last sent to the owner.
    profile: Option<wire::WorkerProfile>,
}

/// Minimum intervals between messages that report only a change in free resources.
#[derive(Debug, Clone, Copy)]
struct MessageIntervals {
    /// To entry processes in the zone of the agent.
    in_zone: Duration,
    /// To all others.
    remote: Duration,
}

/// All entry processes that are connected, or were within [`OWNER_SILENCE_TIMEOUT`].
#[derive(Debug, Default)]
pub(super) struct Owners {
    map: DeterministicMap<Instance, Owner>,
}

impl Owners {
    /// Adds a connection. Removes previous incarnations of the same process, which have ended, and
    /// returns their ids.
    pub(super) fn link_up(
        &mut self,
        now: Duration,
        zone: &str,
        link: LinkKey,
        peer: &PeerInfo,
    ) -> Vec<Instance> {
        let previous = self.map.iter();
        let previous =
            previous.filter(|(key, owner)| **key != peer.instance && owner.name == peer.name);
        let previous: Vec<Instance> = previous.map(|(key, _)| *key).collect();
        for instance in &previous {
            self.map.remove(instance);
        }
        let owner = self.map.entry(peer.instance).or_insert_with(|| Owner {
            name: peer.name.clone(),
            in_zone: peer.zone == zone,
            link: None,
            last_contact: now,
            linked_at: now,
            sent_messages: VecDeque::new(),
            last_message_number: 0,
            last_orders_number: 0,
            queued_run_reports: VecDeque::new(),
            listing_sent: false,
            last_message_at: Duration::ZERO,
            free: None,
            profile: None,
        });
        owner.link = Some(link);
        owner.linked_at = now;
        owner.sent_messages.clear();
        owner.last_message_number = 0;
        owner.last_orders_number = 0;
        owner.listing_sent = false;
        owner.profile = None;
        previous
    }

    pub(super) fn link_down(&mut self, link: LinkKey) {
        for owner in self.map.values_mut() {
            if owner.link == Some(link) {
                owner.link = None;
            }
        }
    }

    /// Returns the entry process at the other end of a link.
    pub(super) fn owner_of_link(&self, link: LinkKey) -> Option<Instance> {
        let mut owners = self.map.iter();
        owners
            .find(|(_, owner)| owner.link == Some(link))
            .map(|(key, _)| *key)
    }

    /// Returns the link to an entry process.
    pub(super) fn link_of(&self, owner: Instance) -> Option<LinkKey> {
        self.map.get(&owner).and_then(|owner| owner.link)
    }

    /// Records the sequence number of the last `RunOrders` message from an owner.
    pub(super) fn record_orders_number(&mut self, owner: Instance, number: u64) {
        if let Some(owner) = self.map.get_mut(&owner) {
            owner.last_orders_number = number;
        }
    }

    /// Records that an owner has received all messages up to number `last_received`.
    pub(super) fn record_acknowledgement(&mut self, owner: Instance, last_received: u64) {
        let Some(owner) = self.map.get_mut(&owner) else {
            return;
        };
        while let Some(&(number, at)) = owner.sent_messages.front() {
            if number > last_received {
                break;
            }
            owner.last_contact = owner.last_contact.max(at);
            owner.sent_messages.pop_front();
        }
    }

    /// Returns the time of the last contact to an owner; `None` if it is not connected and has been
    /// silent for [`OWNER_SILENCE_TIMEOUT`].
    pub(super) fn last_contact(&self, owner: Instance) -> Option<Duration> {
        self.map.get(&owner).map(|owner| owner.last_contact)
    }

    /// Returns whether the owner has been in contact within [`OWNER_SILENCE_TIMEOUT`].
    pub(super) fn is_in_contact(&self, now: Duration, owner: Instance) -> bool {
        let owner = self.map.get(&owner);
        owner.is_some_and(|owner| now.saturating_sub(owner.last_contact) < OWNER_SILENCE_TIMEOUT)
    }

    /// Returns the links of unresponsive owners, which may be half-open and are to be closed.
    /// `with_runs` are the owners of open runs.
    pub(super) fn unresponsive_links(
        &self,
        now: Duration,
        with_runs: &DeterministicSet<Instance>,
    ) -> Vec<LinkKey> {
        let mut links = Vec::new();
        for (key, owner) in &self.map {
            let timeout = if owner.in_zone || with_runs.contains(key) {
                OWNER_SILENCE_TIMEOUT
            } else {
                IDLE_REMOTE_TIMEOUT
            };
            if now.saturating_sub(owner.last_contact.max(owner.linked_at)) >= timeout {
                links.extend(owner.link);
            }
        }
        links
    }

    /// Removes unresponsive owners that are not connected.
    pub(super) fn remove_unresponsive(&mut self, now: Duration) {
        self.map.retain(|_, owner| {
            owner.link.is_some() || now.saturating_sub(owner.last_contact) < OWNER_SILENCE_TIMEOUT
        });
    }

    /// Queues a run report to an owner.
    pub(super) fn queue_run_report(&mut self, owner: Instance, report: wire::RunReport) {
        let Some(owner) = self.map.get_mut(&owner) else {
            return;
        };
        if owner.queued_run_reports.len() >= MAX_QUEUED_RUN_REPORTS {
            owner.queued_run_reports.pop_front();
        }
        owner.queued_run_reports.push_back(report);
    }

    /// Queues a run report to all owners.
    pub(super) fn queue_run_report_for_all(&mut self, report: &wire::RunReport) {
        for owner in self.map.values_mut() {
            owner.queued_run_reports.push_back(report.clone());
        }
    }

    /// Returns the minimum intervals between messages that report only a change in free resources.
    fn message_intervals(&self) -> MessageIntervals {
        let (mut in_zone, mut remote) = (0, 0);
        for owner in self.map.values().filter(|owner| owner.link.is_some()) {
            let count = if owner.in_zone {
                &mut in_zone
            } else {
                &mut remote
            };
            *count += 1;
        }
        let in_zone = RESOURCE_UPDATE_INTERVAL_PER_OWNER * in_zone;
        let remote = REMOTE_UPDATE_INTERVAL_PER_OWNER * remote;
        MessageIntervals {
            in_zone: in_zone.max(MIN_RESOURCE_UPDATE_INTERVAL),
            remote: remote.clamp(MIN_RESOURCE_UPDATE_INTERVAL, MAX_REMOTE_MESSAGE_INTERVAL),
        }
    }

    /// Sends the `RunReports` messages that are due. `open` returns all open runs; it is `None` until
    /// the worker's run lists are known. `with_runs` are the owners of open runs.
    pub(super) fn send_messages(
        &mut self,
        now: Duration,
        with_runs: &DeterministicSet<Instance>,
        (profile, state): (&wire::WorkerProfile, &wire::WorkerState),
        open: Option<&dyn Fn() -> Vec<wire::RunRef>>,
        out: &mut Vec<Action>,
    ) {
        let intervals = self.message_intervals();
        for (key, owner) in &mut self.map {
            let Some(link) = owner.link else {
                continue;
            };
            let send_listing = !owner.listing_sent && open.is_some();
            let elapsed = now.saturating_sub(owner.last_message_at);
            let resource_interval = if owner.in_zone {
                intervals.in_zone
            } else {
                intervals.remote
            };
            let max_interval = if owner.in_zone || with_runs.contains(key) {
                MAX_MESSAGE_INTERVAL
            } else {
                MAX_REMOTE_MESSAGE_INTERVAL
            };
            let resources_changed = state.free != owner.free && elapsed >= resource_interval;
            let due = send_listing
                || !owner.queued_run_reports.is_empty()
                || resources_changed
                || elapsed >= max_interval;
            if !due || (!owner.listing_sent && !send_listing && elapsed < max_interval) {
                continue;
            }
            owner.last_message_number += 1;
            owner
                .sent_messages
                .push_back((owner.last_message_number, now));
            if owner.sent_messages.len() > MAX_SENT_MESSAGES {
                owner.sent_messages.pop_front();
            }
            owner.last_message_at = now;
            owner.free = state.free;
            owner.listing_sent |= send_listing;
            let new_profile = owner.profile.as_ref() != Some(profile);
            let new_profile = new_profile.then(|| profile.clone());
            if new_profile.is_some() {
                owner.profile.clone_from(&new_profile);
            }
            let open = open.filter(|_| send_listing).map(|open| open());
            out.push(Action::Send(
                link,
                Body::RunReports(wire::RunReports {
                    number: owner.last_message_number,
                    orders_seen: owner.last_orders_number,
                    reports: mem::take(&mut owner.queued_run_reports).into(),
                    worker: Some(state.clone()),
                    listing: send_listing,
                    open: open.unwrap_or_default(),
                    profile: new_profile,
                }),
            ));
        }
    }
}
