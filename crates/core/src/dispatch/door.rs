//! The check at the door: is a submission refused before anything is recorded?

use derive_more::Display;

use super::dispatcher::Dispatcher;
use super::queues::{Class, ClassKey, Team};
use crate::clock::Now;

/// Reason why a submission is refused; none of its tasks ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Refusal {
    /// The class is not configured.
    #[display("unknown_class")]
    UnknownClass,
    /// The team's quota is used up while tasks wait.
    #[display("quota")]
    Quota,
    /// The work ahead takes too long for the target of the class.
    #[display("overloaded")]
    Overloaded,
}

impl Dispatcher {
    /// Checks whether a job of `tasks` tasks may be submitted; records nothing.
    ///
    /// # Errors
    /// [`Refusal`] when it may not.
    pub fn admit(&self, now: Now, class: &str, team: &str, tasks: u32) -> Result<(), Refusal> {
        let known = self.queues.find_class(class).filter(|c| c.configured);
        let class = known.ok_or(Refusal::UnknownClass)?;
        if tasks == 0 || self.queues.waiting == 0 {
            return Ok(());
        }
        let limit_s = self.limits.overload_factor * class.target.as_secs_f64();
        let slots = f64::from(self.usable_slots());
        if self.work_ahead_s(now, class) / slots > limit_s {
            return Err(Refusal::Overloaded);
        }
        let team = self.queues.teams.get(self.queues.team(team));
        if team.is_some_and(|t| self.team_is_behind(t, class, limit_s)) {
            return Err(Refusal::Quota);
        }
        Ok(())
    }

    /// Run time of the waiting tasks whose deadline is earlier than that of a task of `class`
    /// that arrives now, in seconds.
    fn work_ahead_s(&self, now: Now, class: &Class) -> f64 {
        let mut total_s = 0.0;
        for (key, other) in &self.queues.classes {
            if other.waiting == 0 {
                continue;
            }
            let ahead = self.share_ahead(now, class, key, other);
            total_s += f64::from(other.waiting) * other.run_time.mean_s() * ahead;
        }
        total_s
    }

    /// Share of the waiting tasks of `other` with an earlier deadline than a task of `class` that
    /// arrives now. Arrivals are taken as evenly spread since the oldest.
    fn share_ahead(&self, now: Now, class: &Class, key: ClassKey, other: &Class) -> f64 {
        let Some(oldest) = self.queues.fronts(key).map(|f| f.0).min() else {
            return 0.0;
        };
        let age_s = now.since(oldest).as_secs_f64();
        let later_s = other.deadline_after().as_secs_f64();
        let ahead_s = age_s + class.deadline_after().as_secs_f64() - later_s;
        if age_s <= 0.0 {
            return if ahead_s >= 0.0 { 1.0 } else { 0.0 };
        }
        (ahead_s / age_s).clamp(0.0, 1.0)
    }

    /// Whether the team is over its quota and its own waiting work takes longer than `limit_s`
    /// at its quota.
    fn team_is_behind(&self, team: &Team, class: &Class, limit_s: f64) -> bool {
        let Some(share) = self.quota_share(team) else {
            return false;
        };
        let others_wait = self.queues.waiting > team.waiting;
        let work_s = f64::from(team.waiting) * class.run_time.mean_s();
        others_wait && team.running >= share && work_s / f64::from(share.max(1)) > limit_s
    }
}
