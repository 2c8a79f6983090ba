//! Connections to agents and other entry processes.

use std::time::Duration;

use knapweedwall_wire as wire;
use knapweedwall_wire::frame::Body;
use smol_str::SmolStr;

use super::io::{Action, Answer};
use super::jobs::{Progress, TaskState};
use super::machine::{Machine, log};
use super::workers::WorkerKey;
use crate::clock::Now;
use crate::deterministic::DeterministicSet;
use crate::executor::OWNER_SILENCE_TIMEOUT;
use crate::job::RunId;
use crate::peer::{LinkKey, PeerInfo, Role};

/// Time since the last report of an agent after which all runs that it started for this process
/// have ended. An agent stops the runs of an entry process that is silent for
/// [`OWNER_SILENCE_TIMEOUT`]. If the agent itself is gone, the worker stops its runs when its lease
/// expires: after at most 1 s by a clock that may run 2% slow, so 1,020 ms. The other 180 ms are a
/// margin.
pub const LOST_AFTER: Duration =
    Duration::from_millis(OWNER_SILENCE_TIMEOUT.as_millis() as u64 + 1_020 + 180);

/// Time without a report after which a connection is closed, so that the agent reconnects.
const LINK_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Interval of heartbeats to an agent of the same zone, or with open runs of this process.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Interval of heartbeats to an agent in another zone without open runs of this process. Orders
/// acknowledge reports as well, so such an agent accepts an order at any time.
const REMOTE_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(800);

/// Time after which a disconnected agent without runs is removed.
const AGENT_RETENTION: Duration = Duration::from_secs(60);

impl Machine {
    pub(super) fn link_up(
        &mut self,
        now: Now,
        link: LinkKey,
        peer: PeerInfo,
        out: &mut Vec<Action>,
    ) {
        if peer.role == Role::Entry {
            self.peers.insert(now.mono, link, &peer);
            let fields = vec![
                ("entry", peer.name.to_string()),
                ("instance", peer.instance.to_string()),
            ];
            log(out, 327, "entry process connected", false, fields);
            self.send_peer_beat(now, link, true, out);
            return self.add_entries(vec![(peer.name, peer.address)], out);
        }
        let key = self.workers.link_up(now.mono, &self.settings, link, peer);
        out.push(Action::Send(link, self.heartbeat_with_addresses(0)));
        self.send_owned_shards(key, out);
    }

    pub(super) fn link_down(&mut self, now: Now, link: LinkKey, out: &mut Vec<Action>) {
        if let Some((name, silent)) = self.peers.remove(now.mono, link) {
            let fields = vec![
                ("entry", name.to_string()),
                ("silent_ms", silent.as_millis().to_string()),
            ];
            log(
                out,
                328,
                "connection to an entry process lost",
                true,
                fields,
            );
            return self.close_forwarding_link(link, out);
        }
        let Some(key) = self.workers.link_down(link) else {
            return;
        };
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let fields = vec![
            ("agent", worker.name.to_string()),
            ("runs", worker.runs.len().to_string()),
            (
                "silent_ms",
                now.since(worker.last_heard).as_millis().to_string(),
            ),
        ];
        log(out, 312, "connection to an agent lost", true, fields);
    }

    pub(super) fn handle_frame(
        &mut self,
        now: Now,
        link: LinkKey,
        body: Body,
        out: &mut Vec<Action>,
    ) {
        match body {
            Body::RunReports(reports) => {
                if let Some(key) = self.workers.find_by_link(link) {
                    self.handle_reports(now, key, reports, out);
                }
            }
            Body::ShardRuns(runs) => {
                if let Some(key) = self.workers.find_by_link(link) {
                    self.handle_shard_runs(now, key, runs, out);
                }
            }
            Body::PeerBeat(beat) if self.peers.contains(link) => {
                self.handle_peer_beat(now, link, beat, out);
            }
            Body::JobCall(call) if self.peers.contains(link) => {
                self.handle_job_call(now, link, call, out);
            }
            Body::JobReply(reply) if self.peers.contains(link) => {
                self.handle_job_reply(now, &reply, out);
            }
            Body::ConfigRequest(_) if self.peers.contains(link) => {
                let update = self.configuration.update_frame();
                out.extend(update.map(|update| Action::Send(link, update)));
            }
            Body::ConfigUpdate(update) if self.peers.contains(link) => {
                out.push(Action::ConfigDocument(update.document));
            }
            Body::OwnerBeat(beat) if self.peers.contains(link) => {
                let entries = beat.entries.into_iter();
                let entries = entries.map(|entry| (entry.name.into(), entry.address.into()));
                self.add_entries(entries.collect(), out);
            }
            Body::CancelRuns(cancel) => {
                let key = self.jobs.find(&cancel.job);
                let non_durable =
                    |key: &_| self.jobs.get(*key).is_some_and(|job| job.durable.is_none());
                if let Some(key) = key.filter(non_durable) {
                    self.close_job(now, key, Answer::Cancelled, "cancelled elsewhere", out);
                }
            }
            _ => out.push(Action::Close(link, "unexpected_frame")),
        }
    }

    /// Handles a report of an agent: the state of its worker, ended runs, and open runs if listed.
    fn handle_reports(
        &mut self,
        now: Now,
        key: WorkerKey,
        reports: wire::RunReports,
        out: &mut Vec<Action>,
    ) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        worker.last_heard = now.mono;
        worker.reports_seen = reports.number;
        let restarted = reports
            .profile
            .is_some_and(|profile| worker.update_profile(profile));
        worker.update_state(reports.worker.unwrap_or_default(), reports.orders_seen);
        if restarted {
            let speed = self.workers.initial_speed(key);
            if let Some(worker) = self.workers.get_mut(key) {
                worker.speed = speed;
            }
        }
        for report in &reports.reports {
            self.handle_run_report(now, key, report, out);
        }
        if reports.listing {
            let open = reports.open.into_iter().map(RunId::from).collect();
            self.reconcile_runs(now, key, &open, out);
        }
        self.placement_pending = true;
    }

    /// Compares the open runs that an agent lists after it connects with those ordered earlier.
    /// Missing runs are treated as lost, listed ones are claimed or stopped.
    fn reconcile_runs(
        &mut self,
        now: Now,
        key: WorkerKey,
        open: &DeterministicSet<RunId>,
        out: &mut Vec<Action>,
    ) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        worker.listed = true;
        let missing: Vec<RunId> = worker
            .runs
            .iter()
            .filter(|run| !open.contains(run))
            .cloned()
            .collect();
        let fields = vec![
            ("agent", worker.name.to_string()),
            ("worker", worker.instance.to_string()),
            ("open", open.len().to_string()),
            ("missing", missing.len().to_string()),
        ];
        log(out, 313, "agent listed its runs", false, fields);
        for run in missing {
            self.lose_run(now, key, &run, out);
        }
        for run in open {
            self.keep_or_stop_run(now, key, run);
        }
    }

    /// Tells the agent to keep a run that is the current attempt of a task of an open job, and to
    /// stop any other run of a known job. A `RunClaim`, unlike the claim of a shard, tells the
    /// agent that the run belongs to a job of this process.
    pub(super) fn keep_or_stop_run(&mut self, now: Now, key: WorkerKey, run: &RunId) {
        let job = self.jobs.find(&run.task.job);
        let held = job.and_then(|job| self.jobs.get(job));
        let heard_at = self
            .workers
            .get(key)
            .map_or(now.mono, |worker| worker.last_heard);
        let hold_ms = held.map_or(0, |job| self.hold_ms(now, job, heard_at));
        let job = job.and_then(|job| self.jobs.get_mut(job));
        let (Some(job), Some(worker)) = (job, self.workers.get_mut(key)) else {
            return;
        };
        let task = job.task(run.task.phase, run.task.index);
        let current = task.is_some_and(|task| {
            task.state == TaskState::Placed(key) && task.attempt == run.attempt
        });
        if !current || job.progress == Progress::Closed {
            return worker.outbox.stops.push(run.into());
        }
        job.limited |= hold_ms > 0;
        let resources = job.request.phases[run.task.phase as usize].resources;
        worker.outbox.claims.push(wire::RunClaim {
            run: Some(run.into()),
            room: Some(resources.into()),
            durable: job.durable.is_some(),
            hold_ms,
        });
    }

    /// Treats the runs of agents that have not reported for [`LOST_AFTER`] as lost, closes
    /// connections that timed out, and removes agents that are gone.
    pub(super) fn expire_silent_agents(&mut self, now: Now, out: &mut Vec<Action>) {
        let mut lost: Vec<(WorkerKey, Vec<RunId>)> = Vec::new();
        let mut expired: Vec<WorkerKey> = Vec::new();
        for (key, worker) in self.workers.iter() {
            let silence = now.since(worker.last_heard);
            if let Some(link) = worker.link.filter(|_| silence >= LINK_TIMEOUT) {
                out.push(Action::Close(link, "silent"));
            }
            if silence >= LOST_AFTER && !worker.runs.is_empty() {
                lost.push((key, worker.runs.iter().cloned().collect()));
            }
            if silence >= AGENT_RETENTION && worker.link.is_none() && worker.runs.is_empty() {
                expired.push(key);
            }
        }
        for (key, runs) in lost {
            let fields = vec![
                (
                    "agent",
                    self.workers
                        .get(key)
                        .map(|w| w.name.to_string())
                        .unwrap_or_default(),
                ),
                ("runs", runs.len().to_string()),
            ];
            log(out, 314, "runs of a silent agent are lost", true, fields);
            for run in runs {
                self.lose_run(now, key, &run, out);
            }
        }
        for key in expired {
            self.workers.remove(key);
        }
    }

    /// Sends heartbeats to agents if they are due.
    pub(super) fn send_agent_beats(&mut self, now: Now, out: &mut Vec<Action>) {
        for (_, worker) in self.workers.iter_mut() {
            let Some(link) = worker.link else {
                continue;
            };
            let interval = if worker.in_zone || !worker.runs.is_empty() {
                HEARTBEAT_INTERVAL
            } else {
                REMOTE_HEARTBEAT_INTERVAL
            };
            if now.since(worker.last_beat) < interval {
                continue;
            }
            worker.last_beat = now.mono;
            let beat = wire::OwnerBeat {
                reports_seen: worker.reports_seen,
                entries: Vec::new(),
            };
            out.push(Action::Send(link, Body::OwnerBeat(beat)));
        }
    }

    /// Returns a heartbeat that also lists the addresses of all known entry processes. It is sent
    /// to agents and to peers; peers use only the addresses.
    fn heartbeat_with_addresses(&self, reports_seen: u64) -> Body {
        let entries = self
            .entry_addresses
            .iter()
            .map(|(name, address)| wire::EntryAddress {
                name: name.to_string(),
                address: address.to_string(),
            });
        Body::OwnerBeat(wire::OwnerBeat {
            reports_seen,
            entries: entries.collect(),
        })
    }

    /// Adds discovered entry processes, connects to new ones, and announces them to all connected
    /// processes.
    pub(super) fn add_entries(&mut self, entries: Vec<(SmolStr, SmolStr)>, out: &mut Vec<Action>) {
        let mut added = false;
        for (name, address) in entries {
            if name == self.settings.name || self.entry_addresses.get(&name) == Some(&address) {
                continue;
            }
            added = true;
            out.push(Action::Connect(address.clone()));
            self.entry_addresses.insert(name, address);
        }
        if !added {
            return;
        }
        let agents = self.workers.iter();
        let agents = agents.filter_map(|(_, w)| w.link.map(|link| (link, w.reports_seen)));
        let peers = self.peers.links().map(|link| (link, 0));
        for (link, seen) in agents.chain(peers).collect::<Vec<_>>() {
            out.push(Action::Send(link, self.heartbeat_with_addresses(seen)));
        }
    }

    /// Asks all connected entry processes to cancel a non-durable job that is not known here.
    pub(super) fn broadcast_cancel(&self, id: &str, out: &mut Vec<Action>) {
        for link in self.peers.links() {
            let cancel = wire::CancelRuns { job: id.to_owned() };
            out.push(Action::Send(link, Body::CancelRuns(cancel)));
        }
    }
}
