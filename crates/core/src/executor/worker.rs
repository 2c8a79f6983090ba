//! The worker beside the agent.

use std::time::Duration;

use smol_str::SmolStr;

use super::io::Heartbeat;

/// A worker whose clock is slow by at most this share of time keeps a lease this much longer.
const MAX_CLOCK_DRIFT_PERCENT: u32 = 2;

/// Time that calls take at most on the way to a worker on the same host.
const MAX_CALL_DELAY: Duration = Duration::from_millis(50);

/// Time without an answer after which the lease is not extended any more, so that it can lapse.
const WORKER_SILENCE_TIMEOUT: Duration = Duration::from_millis(600);

/// Share of an answer's time in the mean of answer times.
const RESPONSE_TIME_GAIN: f64 = 0.2;

/// Multiple of the mean answer time after which an answer is late.
const LATE_RESPONSE_FACTOR: u32 = 4;

/// Longest answer time that is taken in: what takes longer says nothing of the others.
const MAX_RESPONSE_SAMPLE: Duration = Duration::from_millis(500);

/// How far a fence is raised above one that the worker holds from somebody else, in steps.
const FENCE_CONFLICT_STEP: u64 = 60_000;

/// The worker as the agent knows it.
#[derive(Debug)]
pub(super) struct Worker {
    /// Its last heartbeat.
    pub(super) heartbeat: Option<Heartbeat>,
    /// Start of the lifetime that calls go to, if known.
    pub(super) incarnation: Option<u64>,
    /// Counts the lifetimes; a call that was made to an earlier one concerns nobody.
    pub(super) generation: u32,
    /// Fence of the calls.
    pub(super) fence: u64,
    /// Ends up to this number were taken.
    pub(super) processed_end: u64,
    /// Ends up to this number were acknowledged in a call that was answered.
    pub(super) acknowledged_end: u64,
    /// Whether its lists have been read in this lifetime.
    pub(super) lists_read: bool,
    /// Whether it is known to be leaving.
    pub(super) leaving: bool,
    /// Whether the lease is let lapse.
    pub(super) lease_withheld: bool,
    /// It takes no starts until then, since it refused some.
    pub(super) paused_until: Duration,
    /// Worker's clock and the time when it was told.
    clock: Option<(u64, Duration)>,
    /// Time of the first call since the last answer.
    unanswered_since: Option<Duration>,
    /// Last call that may have extended the lease.
    last_extension: Duration,
    /// Mean time until a start is answered.
    mean_response_time: Duration,
}

impl Worker {
    /// A worker that nothing is known of. `fence` is larger than that of earlier agents, unless the
    /// clock went back.
    pub(super) fn new(now: Duration, fence: u64) -> Self {
        Self {
            heartbeat: None,
            incarnation: None,
            generation: 0,
            fence,
            processed_end: 0,
            acknowledged_end: 0,
            lists_read: false,
            leaving: false,
            lease_withheld: false,
            paused_until: Duration::ZERO,
            clock: None,
            unanswered_since: None,
            last_extension: now,
            mean_response_time: Duration::ZERO,
        }
    }

    /// Begins a new lifetime.
    pub(super) fn begin_incarnation(&mut self, now: Duration, incarnation: Option<u64>) {
        self.generation += 1;
        self.incarnation = incarnation;
        self.processed_end = 0;
        self.acknowledged_end = 0;
        self.lists_read = false;
        self.leaving = false;
        self.lease_withheld = false;
        self.paused_until = Duration::ZERO;
        self.clock = None;
        self.unanswered_since = None;
        self.last_extension = now;
    }

    /// Notes an answer and the clock that it told.
    pub(super) fn record_response(&mut self, now: Duration, clock_ms: Option<u64>) {
        self.unanswered_since = None;
        if let Some(clock_ms) = clock_ms {
            self.clock = Some((clock_ms, now));
        }
    }

    /// Takes in how long a start took to be answered.
    pub(super) fn record_start_response(&mut self, elapsed: Duration) {
        let elapsed = elapsed.min(MAX_RESPONSE_SAMPLE).mul_f64(RESPONSE_TIME_GAIN);
        self.mean_response_time =
            self.mean_response_time.mul_f64(1.0 - RESPONSE_TIME_GAIN) + elapsed;
    }

    /// Time after which an answer is late, by those before; more on a host that is short of
    /// processor time.
    pub(super) fn late_response_limit(&self) -> Duration {
        self.mean_response_time * LATE_RESPONSE_FACTOR
    }

    /// End of a lease of length `lease` from now on the worker's clock. None when the clock is not
    /// known, or the worker has been silent and the lease should lapse.
    pub(super) fn lease_deadline_ms(&mut self, now: Duration, lease: Duration) -> Option<u64> {
        let (clock_ms, read_at) = self.clock?;
        if self.lease_withheld || !self.is_responsive(now) {
            return None;
        }
        self.last_extension = now;
        let end = now.saturating_sub(read_at) + lease;
        Some(clock_ms + u64::try_from(end.as_millis()).unwrap_or(u64::MAX / 2))
    }

    /// Whether everything that ran on the worker has lapsed.
    pub(super) fn has_lease_expired(&self, now: Duration, lease: Duration) -> bool {
        let drift = lease * MAX_CLOCK_DRIFT_PERCENT / 100;
        now.saturating_sub(self.last_extension) > lease + drift + MAX_CALL_DELAY
    }

    /// Notes a call that has to be answered.
    pub(super) fn record_call(&mut self, now: Duration) {
        self.unanswered_since = self.unanswered_since.or(Some(now));
    }

    /// Whether it answers calls.
    pub(super) fn is_responsive(&self, now: Duration) -> bool {
        self.unanswered_since
            .is_none_or(|at| now.saturating_sub(at) <= WORKER_SILENCE_TIMEOUT)
    }

    /// Whether a call has no answer.
    pub(super) fn awaits_response(&self) -> bool {
        self.unanswered_since.is_some()
    }

    /// Notes that runs were listed: their lease may last for another full time.
    pub(super) fn record_listed_runs(&mut self, now: Duration) {
        self.last_extension = now;
    }

    /// Whether it takes new work.
    pub(super) fn is_usable(&self, now: Duration) -> bool {
        let ready = self
            .heartbeat
            .as_ref()
            .is_some_and(|heartbeat| !heartbeat.draining);
        let state_known = self.lists_read && self.clock.is_some();
        let available = !self.leaving && !self.lease_withheld;
        ready && state_known && available && now >= self.paused_until && self.is_responsive(now)
    }

    /// Raises the fence, so that orders without an answer are refused when they arrive late.
    pub(super) fn raise_fence(&mut self) -> u64 {
        self.fence += 1;
        self.fence
    }

    /// Raises the fence above that of somebody else.
    pub(super) fn raise_fence_above(&mut self, rejected: u64) {
        if rejected >= self.fence {
            self.fence = rejected + FENCE_CONFLICT_STEP;
        }
    }

    /// Whether `beat` is of an earlier lifetime, or older than one that was taken.
    pub(super) fn is_stale(&self, heartbeat: &Heartbeat) -> bool {
        if self
            .incarnation
            .is_some_and(|incarnation| heartbeat.incarnation < incarnation)
        {
            return true;
        }
        let last = self.heartbeat.as_ref();
        last.is_some_and(|last| {
            last.incarnation == heartbeat.incarnation && heartbeat.number <= last.number
        })
    }

    /// Id of the lifetime.
    pub(super) fn instance(&self) -> SmolStr {
        let heartbeat = self.heartbeat.as_ref();
        heartbeat
            .map(|heartbeat| heartbeat.instance.clone())
            .unwrap_or_default()
    }
}
