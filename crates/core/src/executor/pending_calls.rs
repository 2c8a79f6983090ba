//! Calls to the worker that have not completed.

use std::time::Duration;

use super::io::CallKey;
use crate::deterministic::DeterministicMap;
use crate::job::RunId;

/// Purpose of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Purpose {
    /// Starts a run.
    Start(RunId),
    /// Stops a run.
    Stop(RunId),
    /// Renews the lease and waits for a run to end.
    RenewLease,
    /// Reads the run lists to determine the outcome of unconfirmed starts.
    Probe,
}

/// A call that has not completed.
#[derive(Debug, Clone)]
pub(super) struct PendingCall {
    pub(super) purpose: Purpose,
    /// Generation of the worker that the call was made to.
    pub(super) generation: u32,
    /// Fence of the call.
    pub(super) fence: u64,
    /// Number up to which ended runs are acknowledged when the call is made.
    pub(super) acknowledged: u64,
    /// When the call was made.
    pub(super) made_at: Duration,
    /// Time that the worker waits for a run to end before it responds.
    pub(super) wait: Duration,
}

/// All calls that have not completed.
#[derive(Debug, Default)]
pub(super) struct PendingCalls {
    pending: DeterministicMap<CallKey, PendingCall>,
    last_key: u64,
    /// Number of pending lease renewals.
    renewals: u32,
    /// When the last lease renewal was sent.
    last_renewal_at: Duration,
    /// Number of pending probes.
    probes: u32,
}

impl PendingCalls {
    pub(super) fn add(&mut self, call: PendingCall) -> CallKey {
        self.last_key += 1;
        if let Some(count) = self.count(&call.purpose) {
            *count += 1;
        }
        if call.purpose == Purpose::RenewLease {
            self.last_renewal_at = call.made_at;
        }
        let key = CallKey(self.last_key);
        self.pending.insert(key, call);
        key
    }

    /// Removes a completed call. Returns `None` for a call to an earlier generation of the worker.
    pub(super) fn complete(&mut self, key: CallKey, generation: u32) -> Option<PendingCall> {
        let call = self.pending.remove(&key)?;
        if call.generation != generation {
            return None;
        }
        if let Some(count) = self.count(&call.purpose) {
            *count -= 1;
        }
        Some(call)
    }

    /// Removes a completed start. Also returns whether it was sent to the given generation of the
    /// worker.
    pub(super) fn complete_start(
        &mut self,
        key: CallKey,
        generation: u32,
    ) -> Option<(PendingCall, bool)> {
        let call = self.pending.remove(&key)?;
        let current = call.generation == generation;
        Some((call, current))
    }

    /// Excludes the pending lease renewals and probes from the counts, because they were sent to an
    /// earlier generation of the worker.
    pub(super) fn reset_counts(&mut self) {
        self.renewals = 0;
        self.probes = 0;
    }

    /// Returns whether a lease renewal that was sent at or after `since` is pending. The response to
    /// an older one is considered lost.
    pub(super) fn is_renewing(&self, since: Duration) -> bool {
        self.renewals > 0 && self.last_renewal_at >= since
    }

    /// Returns when the last lease renewal was sent.
    pub(super) fn last_renewal_at(&self) -> Duration {
        self.last_renewal_at
    }

    pub(super) fn is_probing(&self) -> bool {
        self.probes > 0
    }

    /// Returns the count of pending calls with this purpose; `None` if they are not counted.
    fn count(&mut self, purpose: &Purpose) -> Option<&mut u32> {
        match purpose {
            Purpose::RenewLease => Some(&mut self.renewals),
            Purpose::Probe => Some(&mut self.probes),
            Purpose::Start(_) | Purpose::Stop(_) => None,
        }
    }
}
