//! Agents and other entry processes.

use std::time::Duration;

use knapweedwall_wire as wire;
use knapweedwall_wire::frame::Body;
use smol_str::SmolStr;

use super::io::Action;
use super::jobs::{Place, Progress};
use super::machine::{Machine, log};
use super::workers::WorkerKey;
use crate::clock::Now;
use crate::deterministic::DeterministicSet;
use crate::executor::OWNER_SILENCE_TIMEOUT;
use crate::job::RunId;
use crate::peer::{LinkKey, PeerInfo, Role};

/// Time after the last sign of life of an agent in which nothing runs any more that it started
/// for this process: the agent stops runs of a silent owner, and if it is gone itself, the lease
/// of at most 1 s lapses on a clock that is at most 2% slow.
pub const LOST_AFTER: Duration =
    Duration::from_millis(OWNER_SILENCE_TIMEOUT.as_millis() as u64 + 1_020 + 180);

/// Silence after which a connection is closed, so that it is made anew.
const SILENT_LINK: Duration = Duration::from_millis(900);

/// Pause between two signs of life to an agent.
const BEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Time after which an agent that is gone is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);

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
            if !self.document.is_empty() {
                out.push(Action::Send(link, self.configuration()));
            }
            return self.found(vec![(peer.name, peer.address)], out);
        }
        let key = self.workers.link_up(now.mono, link, peer);
        out.push(Action::Send(link, self.beat(0)));
        self.introduce_shards(key, out);
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
            return self.lose_replies(link, out);
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
            ("silent_ms", now.since(worker.heard).as_millis().to_string()),
        ];
        log(out, 312, "connection to an agent lost", true, fields);
    }

    pub(super) fn take_frame(
        &mut self,
        now: Now,
        link: LinkKey,
        body: Body,
        out: &mut Vec<Action>,
    ) {
        match body {
            Body::RunReports(reports) => {
                if let Some(key) = self.workers.behind(link) {
                    self.take_reports(now, key, reports, out);
                }
            }
            Body::ShardRuns(runs) => {
                if let Some(key) = self.workers.behind(link) {
                    self.take_shard_runs(now, key, runs, out);
                }
            }
            Body::PeerBeat(beat) if self.peers.contains(link) => {
                self.take_peer_beat(now, link, beat);
            }
            Body::JobCall(call) if self.peers.contains(link) => {
                self.take_job_call(now, link, call, out);
            }
            Body::JobReply(reply) if self.peers.contains(link) => {
                self.take_job_reply(&reply, out);
            }
            Body::ConfigUpdate(update) if self.peers.contains(link) => {
                out.push(Action::Document(update.document));
            }
            Body::OwnerBeat(beat) if self.peers.contains(link) => {
                let entries = beat.entries.into_iter();
                let entries = entries.map(|entry| (entry.name.into(), entry.address.into()));
                self.found(entries.collect(), out);
            }
            Body::CancelRuns(cancel) => {
                let found = self.jobs.find(&cancel.job);
                let plain = |key: &_| self.jobs.get(*key).is_some_and(|job| job.record.is_none());
                if let Some(key) = found.filter(plain) {
                    let answer = super::io::Answer::Cancelled;
                    self.close_job(now, key, answer, "cancelled elsewhere", out);
                }
            }
            _ => out.push(Action::Close(link, "unexpected_frame")),
        }
    }

    fn take_reports(
        &mut self,
        now: Now,
        key: WorkerKey,
        reports: wire::RunReports,
        out: &mut Vec<Action>,
    ) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        worker.heard = now.mono;
        worker.reports_seen = reports.number;
        let renewed = reports
            .profile
            .is_some_and(|profile| worker.introduce(profile));
        worker.observe(reports.worker.unwrap_or_default(), reports.orders_seen);
        if renewed {
            let speed = self.workers.likely_speed(key);
            if let Some(worker) = self.workers.get_mut(key) {
                worker.speed = speed;
            }
        }
        for report in &reports.reports {
            self.take_end(now, key, report, out);
        }
        if reports.listing {
            let open = reports.open.into_iter().map(RunId::from).collect();
            self.take_listing(now, key, &open, out);
        }
        self.changed = true;
    }

    /// Compares what an agent lists with what was ordered from it before the connection.
    fn take_listing(
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
            self.end_run(now, key, &run, wire::RunOutcome::Lost, Duration::ZERO, out);
        }
        for run in open {
            self.claim(key, run);
        }
    }

    /// Claims a listed run of an open job, and stops one of a job that was given up.
    pub(super) fn claim(&mut self, key: WorkerKey, run: &RunId) {
        let job = self
            .jobs
            .find(&run.task.job)
            .and_then(|job| self.jobs.get(job));
        let (Some(job), Some(worker)) = (job, self.workers.get_mut(key)) else {
            return;
        };
        let task = job.task(run.task.phase, run.task.index);
        let current = task
            .is_some_and(|task| task.place == Place::Placed(key) && task.attempt == run.attempt);
        if !current || job.progress == Progress::Closing {
            return worker.outbox.stops.push(run.into());
        }
        let room = job.request.phases[run.task.phase as usize].resources;
        worker.outbox.claims.push(wire::RunClaim {
            run: Some(run.into()),
            room: Some(room.into()),
            durable: job.record.is_some(),
        });
    }

    /// Ends runs at agents that have been silent for [`LOST_AFTER`].
    pub(super) fn lose_agents(&mut self, now: Now, out: &mut Vec<Action>) {
        let mut lost: Vec<(WorkerKey, Vec<RunId>)> = Vec::new();
        let mut gone: Vec<WorkerKey> = Vec::new();
        for (key, worker) in self.workers.iter() {
            let silence = now.since(worker.heard);
            if let Some(link) = worker.link.filter(|_| silence >= SILENT_LINK) {
                out.push(Action::Close(link, "silent"));
            }
            if silence >= LOST_AFTER && !worker.runs.is_empty() {
                lost.push((key, worker.runs.iter().cloned().collect()));
            }
            if silence >= FORGET_AFTER && worker.link.is_none() && worker.runs.is_empty() {
                gone.push(key);
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
                self.end_run(now, key, &run, wire::RunOutcome::Lost, Duration::ZERO, out);
            }
        }
        for key in gone {
            self.workers.remove(key);
        }
    }

    /// Sends signs of life that are due.
    pub(super) fn send_beats(&mut self, now: Now, out: &mut Vec<Action>) {
        for (_, worker) in self.workers.iter_mut() {
            let Some(link) = worker.link else {
                continue;
            };
            if now.since(worker.beat) < BEAT_INTERVAL {
                continue;
            }
            worker.beat = now.mono;
            let beat = wire::OwnerBeat {
                reports_seen: worker.reports_seen,
                entries: Vec::new(),
            };
            out.push(Action::Send(link, Body::OwnerBeat(beat)));
        }
    }

    fn beat(&self, reports_seen: u64) -> Body {
        let entries = self
            .entries
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

    /// Takes entry processes that were found, and tells all others of those that are new.
    pub(super) fn found(&mut self, entries: Vec<(SmolStr, SmolStr)>, out: &mut Vec<Action>) {
        let mut news = false;
        for (name, address) in entries {
            if name == self.settings.name || self.entries.get(&name) == Some(&address) {
                continue;
            }
            news = true;
            out.push(Action::Connect(address.clone()));
            self.entries.insert(name, address);
        }
        if !news {
            return;
        }
        let agents = self.workers.iter();
        let agents = agents.filter_map(|(_, w)| w.link.map(|link| (link, w.reports_seen)));
        let peers = self.peers.links().map(|link| (link, 0));
        for (link, seen) in agents.chain(peers).collect::<Vec<_>>() {
            out.push(Action::Send(link, self.beat(seen)));
        }
    }

    fn configuration(&self) -> Body {
        Body::ConfigUpdate(wire::ConfigUpdate {
            version: self.catalog.as_ref().map_or(0, |catalog| catalog.version),
            document: self.document.clone(),
        })
    }

    /// Tells other entry processes of the configuration in force.
    pub(super) fn tell_configuration(&self, out: &mut Vec<Action>) {
        for link in self.peers.links() {
            out.push(Action::Send(link, self.configuration()));
        }
    }

    /// Cancels a job that is not known here wherever it is.
    pub(super) fn cancel_elsewhere(&self, id: &str, out: &mut Vec<Action>) {
        for link in self.peers.links() {
            let cancel = wire::CancelRuns { job: id.to_owned() };
            out.push(Action::Send(link, Body::CancelRuns(cancel)));
        }
    }
}
