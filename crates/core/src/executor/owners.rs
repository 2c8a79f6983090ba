//! Entry processes that order runs, and the links to them.

use std::collections::VecDeque;
use std::mem;
use std::time::Duration;

use knapweedwall_wire as wire;
use knapweedwall_wire::frame::Body;
use smol_str::SmolStr;

use super::io::Action;
use crate::deterministic::DeterministicMap;
use crate::ids::Instance;
use crate::peer::{LinkKey, PeerInfo};

/// Time without contact to an owner after which its runs are stopped. A client that got no response
/// resubmits its job after 1,300 ms to any entry process; the first run must have ended by then.
pub const OWNER_SILENCE_TIMEOUT: Duration = Duration::from_millis(800);

/// Maximum interval between `RunReports` messages to an entry process.
const MAX_MESSAGE_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum interval between messages to an entry process that report only a change in free resources.
const MIN_RESOURCE_UPDATE_INTERVAL: Duration = Duration::from_millis(20);

/// Limits the total rate of messages that report only a change in free resources to one every 3 ms:
/// with n connected entry processes, the minimum interval for each of them is n * 3 ms if this is
/// longer than [`MIN_RESOURCE_UPDATE_INTERVAL`].
const RESOURCE_UPDATE_INTERVAL_PER_OWNER: Duration = Duration::from_millis(3);

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
    link: Option<LinkKey>,
    /// Send time of the last message that the owner has acknowledged, or time of the connection.
    last_contact: Duration,
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
            link: None,
            last_contact: now,
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
        owner.last_contact = now;
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

    /// Returns whether the owner has been in contact within [`OWNER_SILENCE_TIMEOUT`].
    pub(super) fn is_in_contact(&self, now: Duration, owner: Instance) -> bool {
        let owner = self.map.get(&owner);
        owner.is_some_and(|owner| now.saturating_sub(owner.last_contact) < OWNER_SILENCE_TIMEOUT)
    }

    /// Returns the links of unresponsive owners, which may be half-open and are to be closed.
    pub(super) fn unresponsive_links(&self, now: Duration) -> Vec<LinkKey> {
        let silent = self.map.values();
        let silent =
            silent.filter(|owner| now.saturating_sub(owner.last_contact) >= OWNER_SILENCE_TIMEOUT);
        silent.filter_map(|owner| owner.link).collect()
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

    /// Sends the `RunReports` messages that are due. `open` returns all open runs; it is `None` until
    /// the worker's run lists are known.
    pub(super) fn send_messages(
        &mut self,
        now: Duration,
        (profile, state): (&wire::WorkerProfile, &wire::WorkerState),
        open: Option<&dyn Fn() -> Vec<wire::RunRef>>,
        out: &mut Vec<Action>,
    ) {
        let linked = self.map.values().filter(|owner| owner.link.is_some());
        let linked = u32::try_from(linked.count()).unwrap_or(u32::MAX);
        let resource_interval = MIN_RESOURCE_UPDATE_INTERVAL
            .max(RESOURCE_UPDATE_INTERVAL_PER_OWNER.saturating_mul(linked));
        for owner in self.map.values_mut() {
            let Some(link) = owner.link else {
                continue;
            };
            let send_listing = !owner.listing_sent && open.is_some();
            let elapsed = now.saturating_sub(owner.last_message_at);
            let resources_changed = state.free != owner.free && elapsed >= resource_interval;
            let due = send_listing
                || !owner.queued_run_reports.is_empty()
                || resources_changed
                || elapsed >= MAX_MESSAGE_INTERVAL;
            if !due || (!owner.listing_sent && !send_listing && elapsed < MAX_MESSAGE_INTERVAL) {
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
                    worker: Some(*state),
                    listing: send_listing,
                    open: open.unwrap_or_default(),
                    profile: new_profile,
                }),
            ));
        }
    }
}
