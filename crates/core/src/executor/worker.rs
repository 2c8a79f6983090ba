//! State of the agent's local worker.

use std::time::Duration;

use smol_str::SmolStr;

use super::announced::AnnouncedHeartbeats;
use super::io::Heartbeat;

/// Maximum drift of the worker's clock, in percent. A worker with a slow clock keeps a lease that
/// much longer.
const MAX_CLOCK_DRIFT_PERCENT: u32 = 2;

/// Maximum delay of a call to the worker, which is on the same host.
const MAX_CALL_DELAY: Duration = Duration::from_millis(50);

/// Time without a response after which the lease is no longer renewed, so that it expires.
const WORKER_SILENCE_TIMEOUT: Duration = Duration::from_millis(600);

/// Time after the last run lists for which ended runs are acknowledged: two lease renewals. A worker that
/// has listed nothing for longer may have restarted. It then numbers its ends anew, and would forget ends
/// that the agent has not seen if they were acknowledged by the numbers of the incarnation before. The
/// response to a start or a stop does not count: it may be from the new incarnation.
const ACKNOWLEDGEMENT_TIME: Duration = Duration::from_millis(150);

/// Time without a sign of life of the worker after which its runs may have ended before it crashed: two
/// lease renewals. Their ends are known after one.
const CRASH_EVIDENCE_TIME: Duration = Duration::from_millis(150);

/// Weight of a new sample in the moving average of response times.
const RESPONSE_TIME_GAIN: f64 = 0.2;

/// Multiple of the mean response time after which a response is considered late.
const LATE_RESPONSE_FACTOR: u32 = 4;

/// Upper bound on a response time sample, because longer times are outliers.
const MAX_RESPONSE_SAMPLE: Duration = Duration::from_millis(500);

/// First increment of a fence that the worker rejected, because it had accepted a higher one from another
/// agent. The initial fence is a time in milliseconds, so this corresponds to one minute. The increment
/// doubles with each rejection, since the worker does not tell how much higher its fence is: the time of
/// day of the other agent may have been any.
const FIRST_FENCE_STEP: u64 = 60_000;

/// The agent's view of the worker.
#[derive(Debug)]
pub(super) struct Worker {
    /// Last heartbeat.
    pub(super) heartbeat: Option<Heartbeat>,
    /// Heartbeats of incarnations that the worker has not named in a response.
    pub(super) announced: AnnouncedHeartbeats,
    /// Incarnation that the worker named in its last response, if any.
    pub(super) incarnation: Option<u64>,
    /// Number of incarnations so far. Outcomes of calls to earlier ones are ignored.
    pub(super) generation: u32,
    /// Fencing token of calls to the worker.
    pub(super) fence: u64,
    /// Increment of the fence after the next rejection.
    fence_step: u64,
    /// Sequence number of the last ended run that was processed.
    pub(super) last_processed_number: u64,
    /// Sequence number of the last ended run whose acknowledgement the worker has received.
    pub(super) last_acknowledged_number: u64,
    /// Whether the run lists of this incarnation are known.
    pub(super) lists_read: bool,
    /// Whether the worker is draining or has left.
    pub(super) leaving: bool,
    /// Whether the lease is deliberately not renewed, so that it expires.
    pub(super) lease_withheld: bool,
    /// No tasks are started before this time, because the worker rejected a start request with
    /// [`Refusal::Unhealthy`](super::Refusal::Unhealthy).
    pub(super) starts_paused_until: Duration,
    /// Last reading of the worker's clock, in milliseconds, and when it was received.
    clock: Option<(u64, Duration)>,
    /// Time of the first call since the last response.
    unanswered_since: Option<Duration>,
    /// Time of the last response, of this or an earlier incarnation.
    pub(super) responded_at: Duration,
    /// Latest time at which the worker, of this or an earlier incarnation, was certainly there. Earlier
    /// than the time of the last response if the agent stood still before it read that.
    alive_at: Duration,
    /// When the last run lists were requested, of this or an earlier incarnation.
    pub(super) lists_requested_at: Duration,
    /// Latest time at which the worker was certainly there as the known incarnation. Run lists name it,
    /// unlike other responses.
    listed_at: Option<Duration>,
    /// Time of the first failed lease renewal since the last response.
    pub(super) failing_since: Option<Duration>,
    /// Whether a connection has been refused since the last response. The worker gets no runs until it
    /// responds.
    pub(super) unreachable: bool,
    /// Number of lease renewals whose connection was refused since the last response, each sent after
    /// the refusal of the one before it.
    pub(super) refusals: u32,
    /// When the last of them was refused.
    refused_at: Duration,
    /// Time of the last call that may have extended the lease.
    last_extension: Duration,
    /// Latest end of a lease that was asked for. Leases never shorten, and apply to all runs.
    lease_end: Duration,
    /// Moving average of the response time of start requests.
    mean_response_time: Duration,
}

impl Worker {
    /// Creates the state of an unknown worker. `fence` is the wall-clock time in milliseconds: unless
    /// the clock was set back, it is greater than the fences of earlier agents, and the worker accepts it
    /// at once. An earlier agent may have extended the lease by `lease` until now.
    pub(super) fn new(now: Duration, lease: Duration, fence: u64) -> Self {
        Self {
            heartbeat: None,
            announced: AnnouncedHeartbeats::default(),
            incarnation: None,
            generation: 0,
            fence,
            fence_step: FIRST_FENCE_STEP,
            last_processed_number: 0,
            last_acknowledged_number: 0,
            lists_read: false,
            leaving: false,
            lease_withheld: false,
            starts_paused_until: Duration::ZERO,
            clock: None,
            unanswered_since: None,
            responded_at: Duration::ZERO,
            alive_at: Duration::ZERO,
            lists_requested_at: Duration::ZERO,
            listed_at: None,
            failing_since: None,
            unreachable: false,
            refusals: 0,
            refused_at: Duration::ZERO,
            last_extension: now,
            lease_end: now + lease,
            mean_response_time: Duration::ZERO,
        }
    }

    /// Resets the state for a new incarnation.
    pub(super) fn begin_incarnation(&mut self, now: Duration, incarnation: Option<u64>) {
        self.generation += 1;
        self.incarnation = incarnation;
        self.last_processed_number = 0;
        self.last_acknowledged_number = 0;
        self.lists_read = false;
        self.leaving = false;
        self.lease_withheld = false;
        self.starts_paused_until = Duration::ZERO;
        self.clock = None;
        self.unanswered_since = None;
        self.failing_since = None;
        self.unreachable = false;
        self.refusals = 0;
        self.last_extension = now;
    }

    /// Records a failed lease renewal.
    pub(super) fn record_failure(&mut self, now: Duration) {
        self.failing_since = self.failing_since.or(Some(now));
    }

    /// Records the refused connection of a lease renewal that was made at `made_at`. One that was made
    /// before the last refusal was known tells nothing more.
    pub(super) fn record_refusal(&mut self, now: Duration, made_at: Duration) {
        self.unreachable = true;
        if self.refusals == 0 || made_at >= self.refused_at {
            self.refusals += 1;
            self.refused_at = now;
        }
    }

    /// Records a response of a worker that was certainly there at `alive_at`, and the worker's clock
    /// reading if the response contains one.
    pub(super) fn record_response(
        &mut self,
        now: Duration,
        alive_at: Duration,
        clock_ms: Option<u64>,
    ) {
        self.unanswered_since = None;
        self.responded_at = now;
        self.alive_at = self.alive_at.max(alive_at.min(now));
        self.failing_since = None;
        self.unreachable = false;
        self.refusals = 0;
        if let Some(clock_ms) = clock_ms {
            self.clock = Some((clock_ms, now));
        }
    }

    /// Records run lists of the known incarnation, which was certainly there at `alive_at`.
    pub(super) fn record_lists(&mut self, now: Duration, alive_at: Duration) {
        self.listed_at = self.listed_at.max(Some(alive_at.min(now)));
    }

    /// Returns whether the worker was there as the known incarnation so recently that it has hardly
    /// restarted since. The usual delay of responses is allowed for, or a slow worker would have its ended
    /// runs never acknowledged.
    pub(super) fn has_just_listed(&self, now: Duration) -> bool {
        let limit = ACKNOWLEDGEMENT_TIME + self.late_response_limit();
        self.listed_at
            .is_some_and(|at| now.saturating_sub(at) <= limit)
    }

    /// Returns whether the worker has been without a sign of life for so long that its runs may have ended
    /// since.
    pub(super) fn is_silent(&self, now: Duration) -> bool {
        self.silence(now) > CRASH_EVIDENCE_TIME
    }

    /// Returns the time since the last sign of life of the worker.
    pub(super) fn silence(&self, now: Duration) -> Duration {
        now.saturating_sub(self.alive_at)
    }

    /// Updates the mean response time with that of a start request.
    pub(super) fn record_start_response(&mut self, elapsed: Duration) {
        let elapsed = elapsed.min(MAX_RESPONSE_SAMPLE).mul_f64(RESPONSE_TIME_GAIN);
        self.mean_response_time =
            self.mean_response_time.mul_f64(1.0 - RESPONSE_TIME_GAIN) + elapsed;
    }

    /// Returns the time after which a response is considered late. It adapts to previous response
    /// times, which are longer on a host that is short of CPU time.
    pub(super) fn late_response_limit(&self) -> Duration {
        self.mean_response_time * LATE_RESPONSE_FACTOR
    }

    /// Returns the deadline of a lease that ends at `end`, on the worker's clock, and records the
    /// extension. Returns `None` if that time has passed, the clock is unknown, or the lease should
    /// expire because it is withheld or the worker is unresponsive.
    pub(super) fn lease_deadline_ms(&mut self, now: Duration, end: Duration) -> Option<u64> {
        let (clock_ms, read_at) = self.clock?;
        if end <= now || self.lease_withheld || !self.is_responsive(now) {
            return None;
        }
        self.last_extension = now;
        self.lease_end = self.lease_end.max(end);
        let end = end.saturating_sub(read_at);
        let end_ms = u64::try_from(end.as_millis()).unwrap_or(u64::MAX);
        Some(clock_ms.saturating_add(end_ms))
    }

    /// Returns whether a run that starts now would end by `limit` without further calls to the worker.
    pub(super) fn lease_ends_by(&self, limit: Duration) -> bool {
        self.lease_end <= limit
    }

    /// Returns whether the lease has certainly expired, so that nothing runs on the worker.
    pub(super) fn has_lease_expired(&self, now: Duration, lease: Duration) -> bool {
        let drift = lease * MAX_CLOCK_DRIFT_PERCENT / 100;
        now.saturating_sub(self.last_extension) > lease + drift + MAX_CALL_DELAY
    }

    /// Records a call that requires a response.
    pub(super) fn record_call(&mut self, now: Duration) {
        self.unanswered_since = self.unanswered_since.or(Some(now));
    }

    /// Returns whether the worker responds to calls in time.
    pub(super) fn is_responsive(&self, now: Duration) -> bool {
        self.unanswered_since
            .is_none_or(|at| now.saturating_sub(at) <= WORKER_SILENCE_TIMEOUT)
    }

    /// Returns whether a call has been made since the last response.
    pub(super) fn awaits_response(&self) -> bool {
        self.unanswered_since.is_some()
    }

    /// Records that the worker listed running runs. An earlier agent may have extended their
    /// lease at any time up to now, so the lease is assumed to last for its full duration from `now`.
    pub(super) fn record_listed_runs(&mut self, now: Duration) {
        self.last_extension = now;
    }

    /// Returns whether the worker accepts new runs.
    pub(super) fn is_usable(&self, now: Duration) -> bool {
        let described = |heartbeat: &Heartbeat| Some(heartbeat.incarnation) == self.incarnation;
        let ready = self
            .heartbeat
            .as_ref()
            .is_some_and(|heartbeat| !heartbeat.draining && described(heartbeat));
        let state_known = self.lists_read && self.clock.is_some();
        let available = !self.leaving && !self.lease_withheld && !self.unreachable;
        ready
            && state_known
            && available
            && now >= self.starts_paused_until
            && self.is_responsive(now)
    }

    /// Returns whether the worker has a label; any worker has the empty one.
    pub(super) fn has_label(&self, label: &str) -> bool {
        let heartbeat = self.heartbeat.as_ref();
        let labels = heartbeat.map_or(&[][..], |heartbeat| &heartbeat.labels);
        label.is_empty() || labels.iter().any(|known| known == label)
    }

    /// Increments the fence, so that the worker rejects delayed requests that carry the old one.
    pub(super) fn raise_fence(&mut self) -> u64 {
        self.fence += 1;
        self.fence
    }

    /// Raises the fence after the worker rejected the fence `rejected`, because it had accepted a
    /// higher one from another agent.
    pub(super) fn raise_fence_above(&mut self, rejected: u64) {
        if rejected >= self.fence {
            self.fence = rejected.saturating_add(self.fence_step);
            self.fence_step = self.fence_step.saturating_mul(2);
        }
    }

    /// Records that the worker accepted the fence of a call.
    pub(super) fn record_accepted_fence(&mut self) {
        self.fence_step = FIRST_FENCE_STEP;
    }

    /// Returns whether `heartbeat` was sent before the last one of its incarnation, or names another
    /// instance in it.
    pub(super) fn is_superseded(&self, heartbeat: &Heartbeat) -> bool {
        self.heartbeat.as_ref().is_some_and(|last| {
            last.incarnation == heartbeat.incarnation
                && (heartbeat.number <= last.number || last.instance != heartbeat.instance)
        })
    }

    /// Returns the instance id of the worker; empty before the first heartbeat.
    pub(super) fn instance(&self) -> SmolStr {
        let heartbeat = self.heartbeat.as_ref();
        heartbeat
            .map(|heartbeat| heartbeat.instance.clone())
            .unwrap_or_default()
    }
}
