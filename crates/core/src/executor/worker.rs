//! The worker beside the agent.

use std::time::Duration;

use smol_str::SmolStr;

use super::io::Heartbeat;

/// A worker whose clock is slow by at most this share of time keeps a lease this much longer.
const CLOCK_DRIFT_PERCENT: u32 = 2;

/// Time that calls take at most on the way to a worker on the same host.
const CALL_SLACK: Duration = Duration::from_millis(50);

/// Time without an answer after which the lease is not extended any more, so that it can lapse.
const SILENT_AFTER: Duration = Duration::from_millis(600);

/// Share of an answer's time in the mean of answer times.
const ANSWER_GAIN: f64 = 0.2;

/// Multiple of the mean answer time after which an answer is late.
const LATE_FACTOR: u32 = 4;

/// Longest answer time that is taken in: what takes longer says nothing of the others.
const LONGEST_ANSWER: Duration = Duration::from_millis(500);

/// How far a fence is raised above one that the worker holds from somebody else, in steps.
const FENCE_JUMP: u64 = 60_000;

/// The worker as the agent knows it.
#[derive(Debug)]
pub(super) struct Worker {
    /// Its last heartbeat.
    pub(super) beat: Option<Heartbeat>,
    /// Start of the lifetime that calls go to, if known.
    pub(super) born: Option<u64>,
    /// Counts the lifetimes; a call that was made to an earlier one concerns nobody.
    pub(super) life: u32,
    /// Fence of the calls.
    pub(super) fence: u64,
    /// Ends up to this number were taken.
    pub(super) taken: u64,
    /// Ends up to this number were acknowledged in a call that was answered.
    pub(super) acknowledged: u64,
    /// Whether its lists have been read in this lifetime.
    pub(super) listed: bool,
    /// Whether it is known to be leaving.
    pub(super) leaving: bool,
    /// Whether the lease is let lapse.
    pub(super) lapsing: bool,
    /// It takes no starts until then, since it refused some.
    pub(super) refusing_until: Duration,
    /// Worker's clock and the time when it was told.
    clock: Option<(u64, Duration)>,
    /// Time of the first call since the last answer.
    asked: Option<Duration>,
    /// Last call that may have extended the lease.
    extended: Duration,
    /// Mean time until a start is answered.
    answer_time: Duration,
}

impl Worker {
    /// A worker that nothing is known of. `fence` is larger than that of earlier agents, unless the
    /// clock went back.
    pub(super) fn new(now: Duration, fence: u64) -> Self {
        Self {
            beat: None,
            born: None,
            life: 0,
            fence,
            taken: 0,
            acknowledged: 0,
            listed: false,
            leaving: false,
            lapsing: false,
            refusing_until: Duration::ZERO,
            clock: None,
            asked: None,
            extended: now,
            answer_time: Duration::ZERO,
        }
    }

    /// Begins a new lifetime.
    pub(super) fn begin_life(&mut self, now: Duration, born: Option<u64>) {
        self.life += 1;
        self.born = born;
        self.taken = 0;
        self.acknowledged = 0;
        self.listed = false;
        self.leaving = false;
        self.lapsing = false;
        self.refusing_until = Duration::ZERO;
        self.clock = None;
        self.asked = None;
        self.extended = now;
    }

    /// Notes an answer and the clock that it told.
    pub(super) fn answered(&mut self, now: Duration, clock_ms: Option<u64>) {
        self.asked = None;
        if let Some(clock_ms) = clock_ms {
            self.clock = Some((clock_ms, now));
        }
    }

    /// Takes in how long a start took to be answered.
    pub(super) fn observe_answer(&mut self, took: Duration) {
        let took = took.min(LONGEST_ANSWER).mul_f64(ANSWER_GAIN);
        self.answer_time = self.answer_time.mul_f64(1.0 - ANSWER_GAIN) + took;
    }

    /// Time after which an answer is late, by those before; more on a host that is short of
    /// processor time.
    pub(super) fn late_after(&self) -> Duration {
        self.answer_time * LATE_FACTOR
    }

    /// End of a lease of length `lease` from now on the worker's clock. None when the clock is not
    /// known, or the worker has been silent and the lease should lapse.
    pub(super) fn lease(&mut self, now: Duration, lease: Duration) -> Option<u64> {
        let (clock_ms, at) = self.clock?;
        if self.lapsing || !self.answers(now) {
            return None;
        }
        self.extended = now;
        let end = now.saturating_sub(at) + lease;
        Some(clock_ms + u64::try_from(end.as_millis()).unwrap_or(u64::MAX / 2))
    }

    /// Whether everything that ran on the worker has lapsed.
    pub(super) fn has_lapsed(&self, now: Duration, lease: Duration) -> bool {
        let drift = lease * CLOCK_DRIFT_PERCENT / 100;
        now.saturating_sub(self.extended) > lease + drift + CALL_SLACK
    }

    /// Notes a call that has to be answered.
    pub(super) fn ask(&mut self, now: Duration) {
        self.asked = self.asked.or(Some(now));
    }

    /// Whether it answers calls.
    pub(super) fn answers(&self, now: Duration) -> bool {
        self.asked
            .is_none_or(|at| now.saturating_sub(at) <= SILENT_AFTER)
    }

    /// Whether a call has no answer.
    pub(super) fn is_asked(&self) -> bool {
        self.asked.is_some()
    }

    /// Notes that runs were listed: their lease may last for another full time.
    pub(super) fn listed_running(&mut self, now: Duration) {
        self.extended = now;
    }

    /// Whether it takes new work.
    pub(super) fn is_usable(&self, now: Duration) -> bool {
        let ready = self.beat.as_ref().is_some_and(|beat| !beat.draining);
        let known = self.listed && self.clock.is_some();
        let stays = !self.leaving && !self.lapsing;
        ready && known && stays && now >= self.refusing_until && self.answers(now)
    }

    /// Raises the fence, so that orders without an answer are refused when they arrive late.
    pub(super) fn raise_fence(&mut self) -> u64 {
        self.fence += 1;
        self.fence
    }

    /// Raises the fence above that of somebody else.
    pub(super) fn pass_fence(&mut self, refused: u64) {
        if refused >= self.fence {
            self.fence = refused + FENCE_JUMP;
        }
    }

    /// Whether `beat` is of an earlier lifetime, or older than one that was taken.
    pub(super) fn is_stale(&self, beat: &Heartbeat) -> bool {
        if self.born.is_some_and(|born| beat.born < born) {
            return true;
        }
        let last = self.beat.as_ref();
        last.is_some_and(|last| last.born == beat.born && beat.number <= last.number)
    }

    /// Id of the lifetime.
    pub(super) fn instance(&self) -> SmolStr {
        let beat = self.beat.as_ref();
        beat.map(|beat| beat.instance.clone()).unwrap_or_default()
    }
}
