//! Admission control: checks a submission before anything about it is recorded.

use derive_more::Display;

use super::dispatcher::Dispatcher;
use super::queues::{Class, Team};
use crate::clock::Now;

/// Reason why a submission is refused. None of its tasks has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Refusal {
    /// The class is not configured.
    #[display("unknown_class")]
    UnknownClass,
    /// The team uses up its quota, and its waiting tasks would take too long.
    #[display("quota")]
    Quota,
    /// The waiting work with earlier deadlines takes too long for the target of the class.
    #[display("overloaded")]
    Overloaded,
}

impl Dispatcher {
    /// Checks whether a job with `tasks` tasks may be submitted. Records nothing.
    ///
    /// # Errors
    /// Returns a [`Refusal`] if the job may not be submitted.
    pub fn admit(&self, now: Now, class: &str, team: &str, tasks: u32) -> Result<(), Refusal> {
        let known = self.queues.find_class(class).filter(|c| c.configured);
        let class = known.ok_or(Refusal::UnknownClass)?;
        if tasks == 0 || self.queues.waiting == 0 {
            return Ok(());
        }
        let limit_s = self.limits.overload_factor * class.target.as_secs_f64();
        if self.is_overloaded(now, class, limit_s) {
            return Err(Refusal::Overloaded);
        }
        let team = self.queues.teams.get(self.queues.team_key(team));
        if team.is_some_and(|t| self.exceeds_quota(t, class, limit_s)) {
            return Err(Refusal::Quota);
        }
        Ok(())
    }

    /// Whether a task of `class` that arrives now would have to wait longer than `limit_s`.
    ///
    /// Agents move unneeded slots from other processes to this one within milliseconds. So the
    /// estimate counts all slots of the fleet as available. If tasks ahead have already waited for
    /// more than half of their target, it counts only the slots usable by this process.
    fn is_overloaded(&self, now: Now, class: &Class, limit_s: f64) -> bool {
        let mut work_s = 0.0;
        let mut has_waited = false;
        for (key, other) in &self.queues.classes {
            let oldest = self.queues.first_jobs(key).map(|f| f.0).min();
            let Some(oldest) = oldest.filter(|_| other.waiting > 0) else {
                continue;
            };
            let age = now.since(oldest);
            let ahead = share_ahead(class, other, age.as_secs_f64());
            work_s += f64::from(other.waiting) * other.run_time.mean_s() * ahead;
            has_waited |= ahead > 0.0 && age > other.target / 2;
        }
        let usable = self.usable_slots();
        let slots = if has_waited {
            usable
        } else {
            usable.max(self.slots)
        };
        work_s / f64::from(slots) > limit_s
    }

    /// Whether the team uses up its quota, other teams have waiting tasks, and the team's own
    /// waiting work takes longer than `limit_s` within its quota.
    fn exceeds_quota(&self, team: &Team, class: &Class, limit_s: f64) -> bool {
        let Some(share) = self.quota_share(team) else {
            return false;
        };
        let others_wait = self.queues.waiting > team.waiting;
        let work_s = f64::from(team.waiting) * class.run_time.mean_s();
        others_wait && team.running >= share && work_s / f64::from(share.max(1)) > limit_s
    }
}

/// Estimated share of the waiting tasks of `other` with an earlier deadline than a task of `class`
/// that arrives now. Assumes that they arrived evenly over the last `age_s` seconds.
fn share_ahead(class: &Class, other: &Class, age_s: f64) -> f64 {
    // Tasks of `other` that arrived at least this long ago have earlier deadlines.
    let min_age_s = other.time_to_deadline().as_secs_f64() - class.time_to_deadline().as_secs_f64();
    // Length of the part of the arrival period that lies at least `min_age_s` ago. Negative if no
    // task is that old; longer than the period if `min_age_s` is negative.
    let old_enough_s = age_s - min_age_s;
    if age_s <= 0.0 {
        return if old_enough_s >= 0.0 { 1.0 } else { 0.0 };
    }
    (old_enough_s / age_s).clamp(0.0, 1.0)
}
