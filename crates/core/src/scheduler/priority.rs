//! Priorities of jobs: in which order their tasks are placed.
//!
//! Started jobs come before unstarted ones, since their completed work would be lost otherwise, and then
//! those that can still meet their objective.

use std::time::Duration;

use super::jobs::Job;
use super::machine::Machine;
use super::requests::EXPIRY_FACTOR;
use crate::clock::Now;

/// Margin on expected run times, as estimates are off by 40% on average.
pub(super) const RUN_TIME_MARGIN: f64 = 1.4;

/// Whether a job can meet its objective. Lower tiers are placed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Tier {
    /// The job can meet the objective on the fastest worker.
    InTime,
    /// The job will miss the objective, but its answer is still useful.
    Late,
    /// The answer will be too late to be useful.
    Expired,
}

/// Groups of jobs in the order in which they are placed. Of the jobs whose answers are still useful,
/// started ones come first, since their completed work would be lost otherwise.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Group {
    StartedInTime,
    StartedLate,
    UnstartedInTime,
    UnstartedLate,
    StartedExpired,
    UnstartedExpired,
}

impl Group {
    fn new(tier: Tier, unstarted: bool) -> Self {
        match (tier, unstarted) {
            (Tier::InTime, false) => Self::StartedInTime,
            (Tier::Late, false) => Self::StartedLate,
            (Tier::InTime, true) => Self::UnstartedInTime,
            (Tier::Late, true) => Self::UnstartedLate,
            (Tier::Expired, false) => Self::StartedExpired,
            (Tier::Expired, true) => Self::UnstartedExpired,
        }
    }

    pub(super) fn is_unstarted(self) -> bool {
        matches!(
            self,
            Self::UnstartedInTime | Self::UnstartedLate | Self::UnstartedExpired
        )
    }
}

/// Priority of a job. Jobs with lower values are placed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Priority {
    pub(super) group: Group,
    pub(super) tier: Tier,
    /// Orders jobs that are otherwise equal. In [`Tier::InTime`] it is the expected run time, in
    /// the other tiers the time of submission plus the expected run time.
    pub(super) sort_key: Duration,
}

/// State of the fleet at one turn.
#[derive(Debug, Clone, Copy)]
pub(super) struct FleetView {
    /// Speed factor of the fastest usable worker.
    pub(super) fastest_speed: f64,
    /// Total CPU of the usable workers, in cores.
    pub(super) cores: f64,
}

impl Machine {
    /// Computes the state of the fleet from the usable workers.
    pub(super) fn fleet_view(&self, now: Now) -> FleetView {
        let (mut fastest, mut capacity) = (0.0_f64, 0.0);
        for (_, worker) in self.workers.iter() {
            if worker.is_usable(now.mono) {
                fastest = fastest.max(worker.speed.factor());
                capacity += f64::from(worker.capacity.cpu);
            }
        }
        FleetView {
            fastest_speed: if fastest > 0.0 { fastest } else { 1.0 },
            cores: capacity / 1_000.0,
        }
    }

    /// Returns the expected run time of a job's longest chain of phases, with a margin.
    fn padded_run_time(&self, job: &Job) -> Duration {
        let run = self
            .run_times
            .expected_run_time(&job.queue_config.name, job.request.critical_path());
        run.mul_f64(RUN_TIME_MARGIN)
    }

    /// Computes the priority of a job.
    pub(super) fn priority(&self, now: Now, job: &Job, fleet: FleetView) -> Priority {
        let run = self.padded_run_time(job).div_f64(fleet.fastest_speed);
        let tier = self.tier(now, job, fleet, job.requested_at);
        let sort_key = match tier {
            Tier::InTime => run,
            Tier::Late | Tier::Expired => job.requested_at + run,
        };
        Priority {
            group: Group::new(tier, job.is_unstarted()),
            tier,
            sort_key,
        }
    }

    /// Returns whether a job can meet its objective if that counts from `since`.
    pub(super) fn tier(&self, now: Now, job: &Job, fleet: FleetView, since: Duration) -> Tier {
        let ends_at = now.mono + self.padded_run_time(job).div_f64(fleet.fastest_speed);
        if ends_at <= since + job.objective {
            Tier::InTime
        } else if ends_at <= since + job.objective * EXPIRY_FACTOR {
            Tier::Late
        } else {
            Tier::Expired
        }
    }
}
