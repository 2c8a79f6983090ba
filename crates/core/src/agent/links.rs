//! Links to entry processes, with the reports and credits queued for them.

use std::collections::BTreeMap;
use std::time::Duration;

use knapweedwall_wire::{Grant, Report, TaskReport, frame::Body};
use prost::Message;
use smol_str::SmolStr;

use super::io::Action;
use crate::ids::Instance;
use crate::peer::{LinkKey, PeerInfo};

/// Maximum size of a report frame, in bytes. Larger reports are split.
pub(super) const MAX_REPORT_BYTES: usize = 1_000_000;

/// Encoding overhead per task in a report, in bytes.
const TASK_OVERHEAD_BYTES: usize = 8;

/// Encoded size of a task in a report, in bytes.
pub(super) fn report_bytes(report: &TaskReport) -> usize {
    report.encoded_len() + TASK_OVERHEAD_BYTES
}

/// A link to an entry process.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) name: SmolStr,
    pub(super) instance: Instance,
    /// When the last frame was received.
    pub(super) last_received: Duration,
    /// Latest version of the configuration that was sent on this link.
    pub(super) sent_config_version: u64,
    /// Queued reports.
    reports: Vec<TaskReport>,
    /// Encoded size of the queued reports.
    bytes: usize,
    /// Queued credits.
    credits: u32,
}

/// All links to entry processes.
#[derive(Debug, Default)]
pub(super) struct Links {
    links: BTreeMap<LinkKey, Link>,
    /// Links with queued reports or credits.
    dirty: Vec<LinkKey>,
}

impl Links {
    pub(super) fn insert(&mut self, now: Duration, link: LinkKey, peer: &PeerInfo) {
        let state = Link {
            name: peer.name.clone(),
            instance: peer.instance,
            last_received: now,
            sent_config_version: 0,
            reports: Vec::new(),
            bytes: 0,
            credits: 0,
        };
        self.links.insert(link, state);
    }

    pub(super) fn remove(&mut self, link: LinkKey) -> Option<Link> {
        self.links.remove(&link)
    }

    pub(super) fn get_mut(&mut self, link: LinkKey) -> Option<&mut Link> {
        self.links.get_mut(&link)
    }

    pub(super) fn len(&self) -> usize {
        self.links.len()
    }

    pub(super) fn keys(&self) -> impl Iterator<Item = LinkKey> {
        self.links.keys().copied()
    }

    /// The link to a process instance, if there is one.
    pub(super) fn of_instance(&self, instance: Instance) -> Option<LinkKey> {
        let same = self.links.iter().find(|(_, l)| l.instance == instance);
        same.map(|(link, _)| *link)
    }

    /// Links that have received no frame for `limit`.
    pub(super) fn timed_out(&self, now: Duration, limit: Duration) -> Vec<LinkKey> {
        let timed_out = |l: &Link| now.saturating_sub(l.last_received) >= limit;
        let links = self.links.iter().filter(|(_, l)| timed_out(l));
        links.map(|(link, _)| *link).collect()
    }

    /// Restarts the receive timeouts of all links.
    pub(super) fn reset_receive_times(&mut self, now: Duration) {
        for link in self.links.values_mut() {
            link.last_received = now;
        }
    }

    /// Queues the report on a task. If the frame would become too large, the reports that are
    /// already queued are sent first.
    pub(super) fn report(&mut self, link: LinkKey, report: TaskReport, out: &mut Vec<Action>) {
        let Some(state) = self.links.get_mut(&link) else {
            return;
        };
        let bytes = report_bytes(&report);
        if state.bytes + bytes > MAX_REPORT_BYTES {
            flush_link(link, state, out);
        }
        mark_dirty(&mut self.dirty, link, state);
        state.bytes += bytes;
        state.reports.push(report);
    }

    /// Queues credits.
    pub(super) fn grant(&mut self, link: LinkKey, credits: u32) {
        let Some(state) = self.links.get_mut(&link) else {
            return;
        };
        mark_dirty(&mut self.dirty, link, state);
        state.credits += credits;
    }

    /// Sends the queued reports and credits of a link.
    pub(super) fn flush(&mut self, link: LinkKey, out: &mut Vec<Action>) {
        if let Some(state) = self.links.get_mut(&link) {
            flush_link(link, state, out);
        }
    }

    /// Sends the queued reports and credits of all links.
    pub(super) fn flush_all(&mut self, out: &mut Vec<Action>) {
        for link in std::mem::take(&mut self.dirty) {
            self.flush(link, out);
        }
    }
}

/// Adds a link to `dirty` if nothing is queued for it yet. Call this before queueing the report or
/// credits.
fn mark_dirty(dirty: &mut Vec<LinkKey>, link: LinkKey, state: &Link) {
    if state.reports.is_empty() && state.credits == 0 {
        dirty.push(link);
    }
}

fn flush_link(link: LinkKey, state: &mut Link, out: &mut Vec<Action>) {
    let credits = std::mem::take(&mut state.credits);
    if state.reports.is_empty() {
        if credits > 0 {
            out.push(Action::Send(link, Body::Grant(Grant { credits })));
        }
        return;
    }
    state.bytes = 0;
    let tasks = std::mem::take(&mut state.reports);
    let report = Report { tasks, credits };
    out.push(Action::Send(link, Body::Report(report)));
}
