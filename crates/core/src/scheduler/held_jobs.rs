//! Non-durable jobs that this process holds, and what the other entry processes know of them.
//!
//! A caller whose connection breaks submits its job again after 1.3 s, at any entry process, and the
//! process that holds the job may not notice the break. Each process therefore lists its jobs in its
//! heartbeats once they are [`ANNOUNCEMENT_AGE`] old, and the others join the caller to the job instead
//! of starting it. A job that not all of them have acknowledged is given up at the age [`HOLD_LIMIT`],
//! before its caller can be back: a process that is out of reach may receive the next submission. That
//! holds until the process is in contact again or known to have ended.
//! Agents stop the runs of such a job by themselves 50 ms later, in case this process stands still then.

use std::time::Duration;

use knapweedwall_wire as wire;
use smallvec::SmallVec;
use smol_str::SmolStr;

use super::forwarding::{ForwardedRequest, encode_reply};
use super::io::{Action, Answer, CallKey};
use super::jobs::{Job, JobKey, Progress, job_hash};
use super::machine::{Machine, PLACEMENT_DELAY_AFTER_STALL, log, ms};
use super::peers::{Grace, Holder};
use super::shard_claims::HeartbeatReading;
use super::shards::CallPurpose;
use super::store::StoreCall;
use crate::clock::Now;
use crate::ids::Instance;
use crate::job::JobRequest;
use crate::peer::LinkKey;

/// Age at which a job is listed in heartbeats. With two heartbeat intervals for the next heartbeat and
/// for its acknowledgement, it is acknowledged well before [`HOLD_LIMIT`].
const ANNOUNCEMENT_AGE: Duration = Duration::from_millis(200);

/// Age at which a job is given up that another process may not know of. Its runs end within 75 ms: 15 ms
/// until the next round, 10 ms for the order and the call to the worker, and 50 ms for the stop. Clocks that
/// differ by 2% take 25 ms. The other 100 ms before the caller is back are for the way of the request and
/// for delays of this process that are too short for [`ReadDelay`].
const HOLD_LIMIT: Duration = Duration::from_millis(1_100);

/// Time after [`HOLD_LIMIT`] at which agents stop the runs of a job by themselves that not all processes
/// have acknowledged, in case this process stands still. The process usually gives the job up before.
const HOLD_MARGIN: Duration = Duration::from_millis(50);

/// Time that a submission has waited on admission from which its job is acknowledged by the connected
/// processes before its first start. A job that starts at once is listed or has ended with its process
/// 1 s before its caller is back. One that starts this late may run beside the next submission, if its
/// process ends before the next heartbeat and the runs go on for 800 ms.
const LATE_ADMISSION: Duration = Duration::from_millis(200);

/// Maximum time that a job with [`LATE_ADMISSION`] waits for the acknowledgements, which take one round
/// trip. A process that stands still would keep it for 1.5 s. The limit of its runs then bounds them.
const ACKNOWLEDGEMENT_WAIT: Duration = Duration::from_millis(50);

/// Time after the first connection to a process in which it need not have acknowledged anything. The first
/// frame on the connection lists all jobs that are old enough, and is answered at once.
pub(super) const CONNECTION_GRACE: Duration = Duration::from_millis(150);

/// Time after the loss of a connection in which the acknowledgements received on it still count.
pub(super) const LOSS_GRACE: Duration = Duration::from_millis(300);

/// Time after the loss of a connection in which the jobs of the other process are not started here. It
/// may notice the loss 1.5 s later than this process, uses [`LOSS_GRACE`], and then stops its runs, which
/// takes 75 ms. The rest is for the way and for clocks that differ by 2%.
pub(super) const LOST_JOBS_RETENTION: Duration = Duration::from_millis(2_100);

/// Maximum number of jobs of another process that are kept.
pub(super) const MAX_LISTED_JOBS: usize = 16_384;

/// Time in which a process that has stood still connects to all others again.
const RECONNECTION_TIME: Duration = Duration::from_millis(1_000);

/// Time by which a turn is late after which requests may have waited unread.
const UNREAD_THRESHOLD: Duration = Duration::from_millis(20);

/// Time after a delay within which requests are read that waited unread.
const READ_WINDOW: Duration = PLACEMENT_DELAY_AFTER_STALL;

/// Number of refused connections after which a process is known to have ended. The first one may have
/// been answered for an earlier process at the address.
const REFUSALS: u32 = 2;

/// Shortest interval between reads of the heartbeat of a process that is out of reach.
const HEARTBEAT_READ_INTERVAL: Duration = Duration::from_millis(1_000);

/// An entry process whose connection was lost.
#[derive(Debug)]
pub(super) struct LostPeer {
    pub(super) name: SmolStr,
    pub(super) instance: Instance,
    pub(super) address: SmolStr,
    /// Number of refused connections to it since it was lost.
    pub(super) refusals: u32,
    /// Whether it is known to have ended. Its runs may go on until their leases expire.
    pub(super) ended: bool,
    pub(super) since: Duration,
    /// Number of the last heartbeat of this process that it has acknowledged.
    pub(super) acknowledged: u64,
    /// Its jobs, as last listed.
    pub(super) held: Vec<u64>,
    /// Its heartbeat in the store, as last read.
    pub(super) heartbeat: Option<HeartbeatReading>,
    pub(super) read_at: Option<Duration>,
}

/// When requests that are read now have arrived at the earliest.
#[derive(Debug, Default)]
pub(super) struct ReadDelay {
    /// End of the last time without any turn.
    woke_at: Duration,
    gap: Duration,
}

impl ReadDelay {
    /// Records the time between two turns, of which the second one was due after `expected`.
    pub(super) fn observe(&mut self, now: Duration, gap: Duration, expected: Duration) {
        let settled = now >= self.woke_at + READ_WINDOW;
        if gap >= expected + UNREAD_THRESHOLD && (settled || gap >= self.gap) {
            self.woke_at = now;
            self.gap = gap;
        }
    }

    /// Returns the earliest time at which a request that is read now may have arrived.
    pub(super) fn earliest_arrival(&self, now: Duration) -> Duration {
        if self.gap > Duration::ZERO && now < self.woke_at + READ_WINDOW {
            return self.woke_at.saturating_sub(self.gap);
        }
        now
    }
}

impl Machine {
    /// Returns whether a non-durable job is old enough that its caller may have submitted it elsewhere,
    /// and not all processes that may have received it know of it. No task of it may be started.
    pub(super) fn awaits_acknowledgement(&self, now: Now, job: &Job) -> bool {
        if job.durable.is_some() {
            return false;
        }
        if now.since(job.arrived_at) >= HOLD_LIMIT {
            return self.missing_acknowledgements(now, job).next().is_some();
        }
        let late = job.submitted_at >= job.arrived_at + LATE_ADMISSION;
        let announced = job.announced.unwrap_or(u64::MAX);
        let asked = now.since(job.submitted_at) < ACKNOWLEDGEMENT_WAIT;
        late && asked && job.is_unstarted() && !self.peers.have_acknowledged(announced)
    }

    /// Returns the names of the processes that may receive the job again and do not know that this one
    /// holds it.
    fn missing_acknowledgements(&self, now: Now, job: &Job) -> impl Iterator<Item = &SmolStr> {
        let grace = if job.is_unstarted() {
            Grace::None
        } else if now.since(job.arrived_at) < HOLD_LIMIT {
            // A new process that is lost again before it knows the job may start it.
            Grace::Loss
        } else {
            Grace::Reconnection
        };
        let announced = job.announced.unwrap_or(u64::MAX);
        self.peers
            .missing_acknowledgements(now.mono, announced, grace)
    }

    /// Returns the time in milliseconds from the last report of an agent, received at `heard_at`, after
    /// which the agent stops the runs of a job, unless it is told otherwise; 0 if there is no limit.
    pub(super) fn hold_ms(&self, now: Now, job: &Job, heard_at: Duration) -> u32 {
        if job.durable.is_some() || self.missing_acknowledgements(now, job).next().is_none() {
            return 0;
        }
        let limit = job.arrived_at + HOLD_LIMIT + HOLD_MARGIN;
        let left = limit.saturating_sub(heard_at).as_millis();
        u32::try_from(left).unwrap_or(u32::MAX).max(1)
    }

    /// Tells agents that the runs of a job have no limit any more.
    fn lift_limit(&mut self, now: Now, key: JobKey) {
        for (run, worker) in self.placed_runs(key) {
            self.keep_or_stop_run(now, worker, &run);
        }
        if let Some(job) = self.jobs.get_mut(key) {
            job.limited = false;
        }
    }

    /// Gives up started jobs that another process may not know of, and asks for the acknowledgements that
    /// others wait for.
    pub(super) fn update_held_jobs(&mut self, now: Now, out: &mut Vec<Action>) {
        self.peers.remove_ended(now);
        self.read_lost_heartbeats(now, out);
        let mut unknown: SmallVec<[JobKey; 4]> = SmallVec::new();
        let mut known: SmallVec<[JobKey; 4]> = SmallVec::new();
        let mut awaiting = false;
        for (key, job) in self.jobs.iter_open() {
            if job.progress == Progress::Closed {
                continue;
            }
            if job.limited && self.missing_acknowledgements(now, job).next().is_none() {
                known.push(key);
                continue;
            }
            if !self.awaits_acknowledgement(now, job) {
                continue;
            }
            if job.is_unstarted() {
                awaiting |= job.announced.is_none();
            } else {
                unknown.push(key);
            }
        }
        for key in known {
            self.lift_limit(now, key);
        }
        for key in unknown {
            self.give_up_unknown_job(now, key, out);
        }
        if awaiting {
            self.send_peer_beats(now, true, out);
        }
    }

    fn give_up_unknown_job(&mut self, now: Now, key: JobKey, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let missing = self.missing_acknowledgements(now, job).map(SmolStr::as_str);
        let fields = vec![
            ("job", job.request.id.to_string()),
            ("age_ms", ms(now.since(job.arrived_at))),
            ("entries", missing.collect::<Vec<_>>().join(",")),
        ];
        log(
            out,
            335,
            "job not known to all entry processes",
            true,
            fields,
        );
        self.close_job(now, key, Answer::OutcomeUnknown, "not known to all", out);
    }

    /// Lists the jobs for a heartbeat: those that run or may start, and those that must not start yet.
    /// Records the number of the first heartbeat to all processes that lists a job.
    pub(super) fn list_held_jobs(
        &mut self,
        now: Now,
        broadcast: Option<u64>,
    ) -> (Vec<u64>, Vec<u64>) {
        let (mut held, mut awaiting) = (Vec::new(), Vec::new());
        let mut listed: SmallVec<[JobKey; 16]> = SmallVec::new();
        for (key, job) in self.jobs.iter_open() {
            if job.durable.is_some() {
                continue;
            }
            let age = now.since(job.arrived_at);
            if age < ANNOUNCEMENT_AGE && !job.contested {
                continue;
            }
            listed.push(key);
            if job.is_unstarted() && self.awaits_acknowledgement(now, job) {
                awaiting.push(job.hash);
            } else {
                held.push(job.hash);
            }
        }
        if broadcast.is_some() {
            for key in listed {
                if let Some(job) = self.jobs.get_mut(key) {
                    job.announced = job.announced.or(broadcast);
                }
            }
        }
        (held, awaiting)
    }

    /// Joins a submission to the job of another process that lists it. Returns the submission if no
    /// process does.
    pub(super) fn join_elsewhere(
        &mut self,
        now: Now,
        (call, arrived_at): (CallKey, Duration),
        request: Box<JobRequest>,
        out: &mut Vec<Action>,
    ) -> Option<Box<JobRequest>> {
        match self.peers.holder_of(now.mono, job_hash(&request.id)) {
            Some(Holder::Connected(link)) => {
                let entry = self.peers.name_of(link).unwrap_or_default();
                log_join(&request.id, &entry, out);
                let request = ForwardedRequest::Join(request);
                self.forward(now, link, (call, arrived_at), request, out);
                None
            }
            Some(Holder::Lost(entry)) => {
                log_unreachable_holder(&request.id, &entry, out);
                self.park_join(now, (call, arrived_at), request, out);
                None
            }
            None if self.may_be_taken_for_ended(now) => {
                log_unreachable_holder(&request.id, "", out);
                self.reply(call, Answer::OutcomeUnknown, out);
                None
            }
            None => Some(request),
        }
    }

    /// Returns whether other processes may take this one for ended, and hold jobs that it does not know
    /// of: its heartbeat in the store is old, and it is not connected to all of them.
    fn may_be_taken_for_ended(&self, now: Now) -> bool {
        let cut_off =
            self.peers.is_isolated() || self.peers.has_lost_within(now.mono, RECONNECTION_TIME);
        cut_off && !self.shards.has_lease(now.mono)
    }

    /// Adds a caller of another process to a job of this one.
    pub(super) fn handle_join(
        &mut self,
        now: Now,
        (link, number): (LinkKey, u64),
        join: &wire::Join,
        out: &mut Vec<Action>,
    ) {
        let key = self.jobs.find(&join.job);
        let job = key.and_then(|key| Some((key, self.jobs.get_mut(key)?)));
        let Some((key, job)) = job.filter(|(_, job)| job.durable.is_none()) else {
            return out.push(Action::Send(link, encode_reply(number, &Answer::NoJob)));
        };
        let fields = vec![("job", join.job.clone())];
        log(out, 302, "job submitted again", false, fields);
        if job.progress == Progress::Closed {
            return job.late_joins.push((link, number));
        }
        let age = now.since(job.submitted_at);
        let wait = Some(join.wait_ms).filter(|wait| *wait > 0);
        let wait = wait.map(|wait| age + Duration::from_millis(wait.into()));
        job.request.wait = job.request.wait.and_then(|own| Some(own.max(wait?)));
        let call = self.forwarding.add_remote(link, number);
        self.jobs.add_caller(key, call);
    }

    /// Compares the jobs that another process lists with those of this one.
    pub(super) fn resolve_contested_jobs(
        &mut self,
        now: Now,
        link: LinkKey,
        out: &mut Vec<Action>,
    ) {
        let Some(peer) = self.peers.get(link) else {
            return;
        };
        let (instance, entry) = (peer.instance, peer.name.clone());
        if peer.held.is_empty() && peer.awaiting.is_empty() {
            return;
        }
        let mut contested: SmallVec<[(JobKey, bool); 4]> = SmallVec::new();
        for (key, job) in self.jobs.iter_open() {
            if job.progress == Progress::Closed || job.durable.is_some() {
                continue;
            }
            let hash = job.hash;
            if peer.held.binary_search(&hash).is_ok() {
                contested.push((key, true));
            } else if peer.awaiting.binary_search(&hash).is_ok() {
                contested.push((key, false));
            }
        }
        for (key, started_there) in contested {
            let Some(job) = self.jobs.get(key) else {
                continue;
            };
            let waits_here = job.is_unstarted() && self.awaits_acknowledgement(now, job);
            let yields = self.settings.instance < instance;
            // The job that stays is the one with started tasks, or that of the higher instance.
            // The frame that lists the job there may have brought the last acknowledgement for it here.
            let hands_over = waits_here && started_there || job.is_unstarted() && yields;
            if hands_over {
                self.hand_over_job(now, key, link, out);
            } else if !waits_here && started_there && yields {
                let fields = vec![
                    ("job", job.request.id.to_string()),
                    ("entry", entry.to_string()),
                    ("age_ms", ms(now.since(job.arrived_at))),
                ];
                log(out, 338, "job held by two entry processes", true, fields);
                self.close_job(now, key, Answer::OutcomeUnknown, "held elsewhere", out);
            } else if let Some(job) = self.jobs.get_mut(key) {
                job.contested = true;
            }
        }
    }

    /// Joins the callers of a job that has not been started to the same job of another process.
    fn hand_over_job(&mut self, now: Now, key: JobKey, link: LinkKey, out: &mut Vec<Action>) {
        let calls = self.jobs.take_calls(key);
        let Some(job) = self.jobs.remove(key) else {
            return;
        };
        let entry = self.peers.name_of(link).unwrap_or_default();
        log_join(&job.request.id, &entry, out);
        for call in calls {
            let mut request = Box::new(job.request.clone());
            let age = now.since(job.submitted_at);
            request.wait = request.wait.map(|wait| wait.saturating_sub(age));
            let request = ForwardedRequest::HandOver(request);
            self.forward(now, link, (call, job.arrived_at), request, out);
        }
    }

    /// Records that a connection to an entry process was refused.
    pub(super) fn record_refused_entry(&mut self, address: &str, out: &mut Vec<Action>) {
        let lost = self.peers.lost_mut().find(|lost| lost.address == address);
        let Some(lost) = lost else {
            return;
        };
        lost.refusals += 1;
        if lost.refusals < REFUSALS || lost.ended {
            return;
        }
        lost.ended = true;
        let fields = vec![
            ("entry", lost.name.to_string()),
            ("instance", lost.instance.to_string()),
        ];
        log(out, 339, "entry process has ended", false, fields);
    }

    /// Reads the heartbeats of processes that are out of reach, to learn whether they have ended.
    fn read_lost_heartbeats(&mut self, now: Now, out: &mut Vec<Action>) {
        let mut due: SmallVec<[Instance; 4]> = SmallVec::new();
        for lost in self.peers.lost_mut() {
            let recent = |at: Duration| now.since(at) < HEARTBEAT_READ_INTERVAL;
            let pointless = lost.heartbeat.is_some_and(|seen| !seen.may_show_end(now));
            let reconnecting = now.since(lost.since) < LOSS_GRACE;
            if !lost.ended && !pointless && !reconnecting && !lost.read_at.is_some_and(recent) {
                lost.read_at = Some(now.mono);
                due.push(lost.instance);
            }
        }
        for instance in due {
            let purpose = CallPurpose::LostHeartbeat(instance);
            let call = StoreCall::ReadHeartbeat(instance);
            self.shards.send_call(now, purpose, call, out);
        }
    }

    /// Records the version of the heartbeat of a process that is out of reach, from a read that was sent
    /// at `sent`.
    pub(super) fn record_lost_heartbeat(
        &mut self,
        now: Now,
        instance: Instance,
        version: u64,
        sent: Duration,
    ) {
        let mut lost = self.peers.lost_mut();
        if let Some(lost) = lost.find(|lost| lost.instance == instance) {
            let reading = HeartbeatReading::next(lost.heartbeat, now, version, sent);
            lost.heartbeat = Some(reading);
        }
    }
}

fn log_join(job: &str, entry: &str, out: &mut Vec<Action>) {
    let fields = vec![("job", job.to_owned()), ("entry", entry.to_owned())];
    log(
        out,
        336,
        "submission joins a job of another entry process",
        false,
        fields,
    );
}

fn log_unreachable_holder(job: &str, entry: &str, out: &mut Vec<Action>) {
    let fields = vec![("job", job.to_owned()), ("entry", entry.to_owned())];
    log(
        out,
        337,
        "job may run at an unreachable entry process",
        true,
        fields,
    );
}
