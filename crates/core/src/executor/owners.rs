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

/// Maximum interval between reports to an entry process.
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum interval between reports that contain only a change in free resources.
const MIN_RESOURCE_REPORT_INTERVAL: Duration = Duration::from_millis(20);

/// Minimum of that interval per connected entry process, which limits such reports to a total of
/// one every 3 ms.
const RESOURCE_REPORT_INTERVAL_PER_OWNER: Duration = Duration::from_millis(3);

/// Maximum number of reports whose send times are kept; more than are sent within
/// [`OWNER_SILENCE_TIMEOUT`] at a rate of one every 2 ms.
const MAX_SENT_REPORTS: usize = 512;

/// Maximum number of reports queued for a disconnected owner. Beyond it the oldest are dropped, and
/// the owner learns of the ended runs from the listing of open runs.
const MAX_QUEUED_REPORTS: usize = 4_096;

/// State of an entry process.
#[derive(Debug)]
pub(super) struct Owner {
    name: SmolStr,
    link: Option<LinkKey>,
    /// Send time of the last report that the owner is known to have received.
    last_contact: Duration,
    /// Numbers and send times of unacknowledged reports.
    sent_reports: VecDeque<(u64, Duration)>,
    /// Number of the last report.
    report_number: u64,
    /// Number of the last orders received.
    last_orders: u64,
    queued_reports: VecDeque<wire::RunReport>,
    /// Whether the open runs were listed on this connection.
    listing_sent: bool,
    last_report_at: Duration,
    /// Free resources in the last report.
    free: Option<wire::Room>,
    /// Worker profile that was last sent to the owner.
    profile: Option<wire::WorkerProfile>,
}

/// All entry processes that are connected or were recently.
#[derive(Debug, Default)]
pub(super) struct Owners {
    map: DeterministicMap<Instance, Owner>,
}

impl Owners {
    /// Adds a connection. Returns previous incarnations of the same process, which have ended.
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
            sent_reports: VecDeque::new(),
            report_number: 0,
            last_orders: 0,
            queued_reports: VecDeque::new(),
            listing_sent: false,
            last_report_at: Duration::ZERO,
            free: None,
            profile: None,
        });
        owner.link = Some(link);
        owner.last_contact = now;
        owner.sent_reports.clear();
        owner.report_number = 0;
        owner.last_orders = 0;
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

    /// Records the number of the last orders from an owner.
    pub(super) fn record_orders(&mut self, owner: Instance, number: u64) {
        if let Some(owner) = self.map.get_mut(&owner) {
            owner.last_orders = number;
        }
    }

    /// Records the number of the last report that an owner has received.
    pub(super) fn record_received_reports(&mut self, owner: Instance, last_received: u64) {
        let Some(owner) = self.map.get_mut(&owner) else {
            return;
        };
        while let Some(&(number, at)) = owner.sent_reports.front() {
            if number > last_received {
                break;
            }
            owner.last_contact = owner.last_contact.max(at);
            owner.sent_reports.pop_front();
        }
    }

    /// Returns whether the owner has been in contact within [`OWNER_SILENCE_TIMEOUT`].
    pub(super) fn is_in_contact(&self, now: Duration, owner: Instance) -> bool {
        let owner = self.map.get(&owner);
        owner.is_some_and(|owner| now.saturating_sub(owner.last_contact) < OWNER_SILENCE_TIMEOUT)
    }

    /// Returns the links of unresponsive owners, which may be half-open and are to be closed.
    pub(super) fn silent_links(&self, now: Duration) -> Vec<LinkKey> {
        let silent = self.map.values();
        let silent =
            silent.filter(|owner| now.saturating_sub(owner.last_contact) >= OWNER_SILENCE_TIMEOUT);
        silent.filter_map(|owner| owner.link).collect()
    }

    /// Removes unresponsive owners that are not connected.
    pub(super) fn remove_silent(&mut self, now: Duration) {
        self.map.retain(|_, owner| {
            owner.link.is_some() || now.saturating_sub(owner.last_contact) < OWNER_SILENCE_TIMEOUT
        });
    }

    /// Queues a report to an owner.
    pub(super) fn queue_report(&mut self, owner: Instance, report: wire::RunReport) {
        let Some(owner) = self.map.get_mut(&owner) else {
            return;
        };
        if owner.queued_reports.len() >= MAX_QUEUED_REPORTS {
            owner.queued_reports.pop_front();
        }
        owner.queued_reports.push_back(report);
    }

    /// Queues a report to all owners.
    pub(super) fn queue_report_for_all(&mut self, report: &wire::RunReport) {
        for owner in self.map.values_mut() {
            owner.queued_reports.push_back(report.clone());
        }
    }

    /// Sends the reports that are due. `open` returns all open runs; it is `None` until the worker's
    /// run lists are known.
    pub(super) fn send_reports(
        &mut self,
        now: Duration,
        (profile, state): (&wire::WorkerProfile, &wire::WorkerState),
        open: Option<&dyn Fn() -> Vec<wire::RunRef>>,
        out: &mut Vec<Action>,
    ) {
        let linked = self.map.values().filter(|owner| owner.link.is_some());
        let linked = u32::try_from(linked.count()).unwrap_or(u32::MAX);
        let resource_interval = MIN_RESOURCE_REPORT_INTERVAL
            .max(RESOURCE_REPORT_INTERVAL_PER_OWNER.saturating_mul(linked));
        for owner in self.map.values_mut() {
            let Some(link) = owner.link else {
                continue;
            };
            let send_listing = !owner.listing_sent && open.is_some();
            let elapsed = now.saturating_sub(owner.last_report_at);
            let resources_changed = state.free != owner.free && elapsed >= resource_interval;
            let due = send_listing
                || !owner.queued_reports.is_empty()
                || resources_changed
                || elapsed >= MAX_REPORT_INTERVAL;
            if !due || (!owner.listing_sent && !send_listing && elapsed < MAX_REPORT_INTERVAL) {
                continue;
            }
            owner.report_number += 1;
            owner.sent_reports.push_back((owner.report_number, now));
            if owner.sent_reports.len() > MAX_SENT_REPORTS {
                owner.sent_reports.pop_front();
            }
            owner.last_report_at = now;
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
                    number: owner.report_number,
                    orders_seen: owner.last_orders,
                    reports: mem::take(&mut owner.queued_reports).into(),
                    worker: Some(*state),
                    listing: send_listing,
                    open: open.unwrap_or_default(),
                    profile: new_profile,
                }),
            ));
        }
    }
}
