//! The entry processes that order runs, and the connections to them.

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

/// Silence of an owner after which its runs are stopped. A caller that lost its answer submits
/// again after 1,300 ms, at any entry process; the first run must have ended by then.
pub const OWNER_SILENCE: Duration = Duration::from_millis(800);

/// Longest pause between two reports to an entry process.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Shortest pause between two reports that only tell of changed room.
const ROOM_INTERVAL: Duration = Duration::from_millis(20);

/// Pause between two such reports for each entry process: all together get at most one each 3 ms.
const ROOM_PAUSE_EACH: Duration = Duration::from_millis(3);

/// Reports whose send times are remembered; more than are sent within [`OWNER_SILENCE`] at the
/// rate of one each 2 ms.
const SENT_TIMES: usize = 512;

/// Reports that wait for a lost connection; with more, the oldest are dropped, and the owner finds
/// out from the listing of open runs.
const WAITING_REPORTS: usize = 4_096;

/// An entry process.
#[derive(Debug)]
pub(super) struct Owner {
    name: SmolStr,
    link: Option<LinkKey>,
    /// When the last report was sent that the owner is known to have received.
    contact: Duration,
    sent: VecDeque<(u64, Duration)>,
    number: u64,
    orders: u64,
    reports: VecDeque<wire::RunReport>,
    listed: bool,
    last: Duration,
    free: Option<wire::Room>,
    /// What the owner knows of the worker's lifetime.
    profile: Option<wire::WorkerProfile>,
}

/// All entry processes with a connection or with runs.
#[derive(Debug, Default)]
pub(super) struct Owners {
    map: DeterministicMap<Instance, Owner>,
}

impl Owners {
    /// Adds a connection. Returns earlier lifetimes of the same process, which have ended.
    pub(super) fn link_up(
        &mut self,
        now: Duration,
        link: LinkKey,
        peer: &PeerInfo,
    ) -> Vec<Instance> {
        let earlier = self.map.iter();
        let earlier =
            earlier.filter(|(key, owner)| **key != peer.instance && owner.name == peer.name);
        let earlier: Vec<Instance> = earlier.map(|(key, _)| *key).collect();
        for instance in &earlier {
            self.map.remove(instance);
        }
        let owner = self.map.entry(peer.instance).or_insert_with(|| Owner {
            name: peer.name.clone(),
            link: None,
            contact: now,
            sent: VecDeque::new(),
            number: 0,
            orders: 0,
            reports: VecDeque::new(),
            listed: false,
            last: Duration::ZERO,
            free: None,
            profile: None,
        });
        owner.link = Some(link);
        owner.contact = now;
        owner.sent.clear();
        owner.number = 0;
        owner.orders = 0;
        owner.listed = false;
        owner.profile = None;
        earlier
    }

    pub(super) fn link_down(&mut self, link: LinkKey) {
        for owner in self.map.values_mut() {
            if owner.link == Some(link) {
                owner.link = None;
            }
        }
    }

    /// The entry process behind a connection.
    pub(super) fn behind(&self, link: LinkKey) -> Option<Instance> {
        let mut owners = self.map.iter();
        owners
            .find(|(_, owner)| owner.link == Some(link))
            .map(|(key, _)| *key)
    }

    /// The connection to an entry process.
    pub(super) fn link_of(&self, owner: Instance) -> Option<LinkKey> {
        self.map.get(&owner).and_then(|owner| owner.link)
    }

    /// Notes orders; false when they do not follow on those before.
    pub(super) fn take_orders(&mut self, owner: Instance, number: u64) {
        if let Some(owner) = self.map.get_mut(&owner) {
            owner.orders = number;
        }
    }

    /// Notes which reports an owner has received.
    pub(super) fn take_beat(&mut self, owner: Instance, seen: u64) {
        let Some(owner) = self.map.get_mut(&owner) else {
            return;
        };
        while let Some(&(number, at)) = owner.sent.front() {
            if number > seen {
                break;
            }
            owner.contact = owner.contact.max(at);
            owner.sent.pop_front();
        }
    }

    /// Whether the owner has been heard within [`OWNER_SILENCE`].
    pub(super) fn in_contact(&self, now: Duration, owner: Instance) -> bool {
        let owner = self.map.get(&owner);
        owner.is_some_and(|owner| now.saturating_sub(owner.contact) < OWNER_SILENCE)
    }

    /// Connections on which the owner has been silent: half-open ones are closed.
    pub(super) fn silent_links(&self, now: Duration) -> Vec<LinkKey> {
        let silent = self.map.values();
        let silent = silent.filter(|owner| now.saturating_sub(owner.contact) >= OWNER_SILENCE);
        silent.filter_map(|owner| owner.link).collect()
    }

    /// Forgets owners without a connection that are silent.
    pub(super) fn forget_silent(&mut self, now: Duration) {
        self.map.retain(|_, owner| {
            owner.link.is_some() || now.saturating_sub(owner.contact) < OWNER_SILENCE
        });
    }

    /// Adds a report for an owner.
    pub(super) fn report(&mut self, owner: Instance, report: wire::RunReport) {
        let Some(owner) = self.map.get_mut(&owner) else {
            return;
        };
        if owner.reports.len() >= WAITING_REPORTS {
            owner.reports.pop_front();
        }
        owner.reports.push_back(report);
    }

    /// Adds a report for all owners.
    pub(super) fn report_all(&mut self, report: &wire::RunReport) {
        for owner in self.map.values_mut() {
            owner.reports.push_back(report.clone());
        }
    }

    /// Sends what is due. `open` lists all runs, once the worker has listed its own.
    pub(super) fn flush(
        &mut self,
        now: Duration,
        (profile, state): (&wire::WorkerProfile, &wire::WorkerState),
        open: Option<&dyn Fn() -> Vec<wire::RunRef>>,
        out: &mut Vec<Action>,
    ) {
        let linked = self.map.values().filter(|owner| owner.link.is_some());
        let linked = u32::try_from(linked.count()).unwrap_or(u32::MAX);
        let room_interval = ROOM_INTERVAL.max(ROOM_PAUSE_EACH.saturating_mul(linked));
        for owner in self.map.values_mut() {
            let Some(link) = owner.link else {
                continue;
            };
            let lists = !owner.listed && open.is_some();
            let pause = now.saturating_sub(owner.last);
            let changed = state.free != owner.free && pause >= room_interval;
            let due = lists || !owner.reports.is_empty() || changed || pause >= REPORT_INTERVAL;
            if !due || (!owner.listed && !lists && pause < REPORT_INTERVAL) {
                continue;
            }
            owner.number += 1;
            owner.sent.push_back((owner.number, now));
            if owner.sent.len() > SENT_TIMES {
                owner.sent.pop_front();
            }
            owner.last = now;
            owner.free = state.free;
            owner.listed |= lists;
            let news = owner.profile.as_ref() != Some(profile);
            let news = news.then(|| profile.clone());
            if news.is_some() {
                owner.profile.clone_from(&news);
            }
            let open = open.filter(|_| lists).map(|open| open());
            out.push(Action::Send(
                link,
                Body::RunReports(wire::RunReports {
                    number: owner.number,
                    orders_seen: owner.orders,
                    reports: mem::take(&mut owner.reports).into(),
                    worker: Some(*state),
                    listing: lists,
                    open: open.unwrap_or_default(),
                    profile: news,
                }),
            ));
        }
    }
}
