//! Queues of waiting tasks.
//!
//! There is one queue for each pair of class and team. Its jobs are ordered by effective arrival:
//! the arrival, or a later time for large jobs, so that smaller ones that arrive soon after them
//! start first. The heads of all queues are ordered by deadline. The deadline of a job is its
//! effective arrival plus a fixed multiple ([`DEADLINE_TARGET_FACTOR`]) of the target response time
//! of its class.

use std::collections::BTreeSet;
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};
use smol_str::SmolStr;

use super::estimates::RunTimeEstimate;
use super::job::JobHandle;
use crate::config::Document;
use crate::deterministic::DeterministicMap;

new_key_type! {
    /// Key of a class that is configured or has jobs.
    pub(super) struct ClassKey;
    /// Key of a team with a quota, or the shared key of all teams without one.
    pub(super) struct TeamKey;
    /// Key of a queue.
    pub(super) struct QueueKey;
}

/// Target response time of a class that is not configured: its jobs were admitted before the class
/// was deleted.
const UNCONFIGURED_TARGET: Duration = Duration::from_secs(1);

/// Time from the effective arrival of a job to its deadline, as a multiple of the target response
/// time of its class. With a factor of 1, all jobs that have missed their target would start before
/// newer jobs of short classes, which can still meet theirs.
const DEADLINE_TARGET_FACTOR: u32 = 4;

/// A class.
#[derive(Debug)]
pub(super) struct Class {
    pub(super) name: SmolStr,
    /// Target response time.
    pub(super) target: Duration,
    pub(super) configured: bool,
    pub(super) waiting: u32,
    pub(super) running: u32,
    pub(super) run_time: RunTimeEstimate,
    pub(super) last_arrival: Option<Duration>,
    /// Jobs of the class, including those without waiting tasks.
    jobs: u32,
}

impl Class {
    /// Time from the effective arrival of a job to its deadline.
    pub(super) fn time_to_deadline(&self) -> Duration {
        self.target * DEADLINE_TARGET_FACTOR
    }
}

/// A team with a quota, or all teams without one.
#[derive(Debug, Default)]
pub(super) struct Team {
    pub(super) quota: Option<u32>,
    pub(super) waiting: u32,
    pub(super) running: u32,
}

/// Jobs of one team in one class.
#[derive(Debug)]
pub(super) struct Queue {
    pub(super) class: ClassKey,
    pub(super) team: TeamKey,
    /// Jobs with waiting tasks, ordered by `Job::effective_arrival` and `Job::seq`.
    waiting: BTreeSet<(Duration, u64, JobHandle)>,
    /// All jobs, including those without waiting tasks.
    jobs: u32,
    /// Deadline and sequence number of the entry in `Queues::heads`, if there is one.
    head: Option<(Duration, u64)>,
}

/// All classes, teams and queues.
#[derive(Debug)]
pub(super) struct Queues {
    pub(super) classes: SlotMap<ClassKey, Class>,
    pub(super) teams: SlotMap<TeamKey, Team>,
    queues: SlotMap<QueueKey, Queue>,
    class_names: DeterministicMap<SmolStr, ClassKey>,
    /// Teams with a quota.
    team_names: DeterministicMap<SmolStr, TeamKey>,
    /// Key shared by all teams without a quota. Team names that callers make up therefore add
    /// no queues, and the configuration limits the number of queues.
    without_quota: TeamKey,
    by_class_and_team: DeterministicMap<(ClassKey, TeamKey), QueueKey>,
    heads: BTreeSet<(Duration, u64, QueueKey)>,
    /// Shortest target of all configured classes.
    pub(super) shortest_target: Option<Duration>,
    pub(super) waiting: u32,
    pub(super) running: u32,
}

impl Queues {
    /// Creates queues without classes, jobs and teams with a quota.
    pub(super) fn new() -> Self {
        let mut teams = SlotMap::with_key();
        let without_quota = teams.insert(Team::default());
        Self {
            classes: SlotMap::with_key(),
            teams,
            queues: SlotMap::with_key(),
            class_names: DeterministicMap::default(),
            team_names: DeterministicMap::default(),
            without_quota,
            by_class_and_team: DeterministicMap::default(),
            heads: BTreeSet::new(),
            shortest_target: None,
            waiting: 0,
            running: 0,
        }
    }

    /// The class with this name, if it is known.
    pub(super) fn find_class(&self, name: &str) -> Option<&Class> {
        self.classes.get(*self.class_names.get(name)?)
    }

    /// Key of the class with this name, which is created if it is unknown.
    pub(super) fn class_or_insert(&mut self, name: &str) -> ClassKey {
        if let Some(key) = self.class_names.get(name) {
            return *key;
        }
        let key = self.classes.insert(Class {
            name: name.into(),
            target: UNCONFIGURED_TARGET,
            configured: false,
            waiting: 0,
            running: 0,
            run_time: RunTimeEstimate::default(),
            last_arrival: None,
            jobs: 0,
        });
        self.class_names.insert(name.into(), key);
        key
    }

    /// Key of the team with this name; the shared key if it has no quota.
    pub(super) fn team_key(&self, name: &str) -> TeamKey {
        self.team_names
            .get(name)
            .copied()
            .unwrap_or(self.without_quota)
    }

    /// Applies the classes of the configuration and their targets.
    pub(super) fn configure_classes(&mut self, document: &Document) {
        for class in self.classes.values_mut() {
            class.configured = false;
        }
        for (name, class) in &document.classes {
            let key = self.class_or_insert(name);
            let Some(known) = self.classes.get_mut(key) else {
                continue;
            };
            known.target = class.target;
            known.configured = true;
        }
        self.shortest_target = document.classes.values().map(|c| c.target).min();
        let keys: Vec<ClassKey> = self.classes.keys().collect();
        for key in keys {
            self.remove_class_if_unused(key);
        }
        let keys: Vec<QueueKey> = self.queues.keys().collect();
        for key in keys {
            self.update_head(key);
        }
    }

    /// Applies the team quotas of the configuration. Returns `true` if a team got its first quota
    /// or lost its quota.
    pub(super) fn configure_teams(&mut self, document: &Document) -> bool {
        let before = self.team_names.len();
        self.team_names
            .retain(|name, _| document.teams.contains_key(name));
        let mut changed = before != self.team_names.len();
        for (name, team) in &document.teams {
            let key = self.team_names.entry(name.clone()).or_insert_with(|| {
                changed = true;
                self.teams.insert(Team::default())
            });
            if let Some(known) = self.teams.get_mut(*key) {
                known.quota = Some(team.slots);
            }
        }
        changed
    }

    /// Removes teams that no longer have a quota. Their jobs must have been moved before.
    pub(super) fn remove_unconfigured_teams(&mut self) {
        let Self {
            teams,
            team_names,
            without_quota,
            ..
        } = self;
        teams.retain(|key, _| key == *without_quota || team_names.values().any(|k| *k == key));
    }

    /// Adds a job to the queue of a class and team, which is created if needed.
    pub(super) fn add_job(&mut self, class: ClassKey, team: TeamKey) -> QueueKey {
        let queues = &mut self.queues;
        let key = *self
            .by_class_and_team
            .entry((class, team))
            .or_insert_with(|| {
                queues.insert(Queue {
                    class,
                    team,
                    waiting: BTreeSet::new(),
                    jobs: 0,
                    head: None,
                })
            });
        if let Some(queue) = self.queues.get_mut(key) {
            queue.jobs += 1;
        }
        if let Some(class) = self.classes.get_mut(class) {
            class.jobs += 1;
        }
        key
    }

    /// Removes a job from its queue, and the queue and its class if they are no longer needed.
    pub(super) fn remove_job(&mut self, key: QueueKey) {
        let Some(queue) = self.queues.get_mut(key) else {
            return;
        };
        queue.jobs = queue.jobs.saturating_sub(1);
        let (class, team, unused) = (queue.class, queue.team, queue.jobs == 0);
        if unused {
            self.queues.remove(key);
            self.by_class_and_team.remove(&(class, team));
        }
        if let Some(class) = self.classes.get_mut(class) {
            class.jobs = class.jobs.saturating_sub(1);
        }
        self.remove_class_if_unused(class);
    }

    /// Removes a class that is not configured and has no jobs.
    fn remove_class_if_unused(&mut self, key: ClassKey) {
        let unused = |c: &Class| !c.configured && c.jobs == 0;
        if !self.classes.get(key).is_some_and(unused) {
            return;
        }
        if let Some(class) = self.classes.remove(key) {
            self.class_names.remove(&class.name);
        }
    }

    /// Class and team of a queue.
    pub(super) fn class_and_team(&self, key: QueueKey) -> Option<(ClassKey, TeamKey)> {
        self.queues.get(key).map(|q| (q.class, q.team))
    }

    /// Adds `tasks`, which may be negative, to the waiting tasks of a queue's class and team.
    pub(super) fn adjust_waiting(&mut self, key: QueueKey, tasks: i64) {
        let Some((class, team)) = self.class_and_team(key) else {
            return;
        };
        self.waiting = add_signed(self.waiting, tasks);
        if let Some(class) = self.classes.get_mut(class) {
            class.waiting = add_signed(class.waiting, tasks);
        }
        if let Some(team) = self.teams.get_mut(team) {
            team.waiting = add_signed(team.waiting, tasks);
        }
    }

    /// Adds `tasks`, which may be negative, to the running tasks of a queue's class and team.
    pub(super) fn adjust_running(&mut self, key: QueueKey, tasks: i64) {
        let Some((class, team)) = self.class_and_team(key) else {
            return;
        };
        self.running = add_signed(self.running, tasks);
        if let Some(class) = self.classes.get_mut(class) {
            class.running = add_signed(class.running, tasks);
        }
        if let Some(team) = self.teams.get_mut(team) {
            team.running = add_signed(team.running, tasks);
        }
    }

    /// Inserts a job with waiting tasks at its position in the queue.
    pub(super) fn insert_waiting(
        &mut self,
        key: QueueKey,
        effective_arrival: Duration,
        seq: u64,
        job: JobHandle,
    ) {
        let Some(queue) = self.queues.get_mut(key) else {
            return;
        };
        if queue.waiting.insert((effective_arrival, seq, job)) {
            self.update_head(key);
        }
    }

    /// Removes a job from its position in the queue: it has no more waiting tasks, or moves to
    /// another queue.
    pub(super) fn remove_waiting(
        &mut self,
        key: QueueKey,
        effective_arrival: Duration,
        seq: u64,
        job: JobHandle,
    ) {
        let Some(queue) = self.queues.get_mut(key) else {
            return;
        };
        if queue.waiting.remove(&(effective_arrival, seq, job)) {
            self.update_head(key);
        }
    }

    /// Updates the entry of a queue in `heads`.
    fn update_head(&mut self, key: QueueKey) {
        let Some(queue) = self.queues.get_mut(key) else {
            return;
        };
        let class = self.classes.get(queue.class);
        let time_to_deadline = class.map(Class::time_to_deadline).unwrap_or_default();
        let first = queue.waiting.first();
        let head = first.map(|(arrival, seq, _)| (arrival.saturating_add(time_to_deadline), *seq));
        if head == queue.head {
            return;
        }
        if let Some((deadline, seq)) = queue.head {
            self.heads.remove(&(deadline, seq, key));
        }
        if let Some((deadline, seq)) = head {
            self.heads.insert((deadline, seq, key));
        }
        queue.head = head;
    }

    /// Heads of all queues with waiting jobs, earliest deadline first.
    pub(super) fn heads(&self) -> impl Iterator<Item = (Duration, QueueKey)> + '_ {
        self.heads
            .iter()
            .map(|(deadline, _, key)| (*deadline, *key))
    }

    /// First job of a queue.
    pub(super) fn first_job(&self, key: QueueKey) -> Option<JobHandle> {
        self.queues
            .get(key)?
            .waiting
            .first()
            .map(|(_, _, job)| *job)
    }

    /// First jobs of the queues of a class, with their effective arrival times.
    pub(super) fn first_jobs(
        &self,
        class: ClassKey,
    ) -> impl Iterator<Item = (Duration, JobHandle)> {
        let of_class = self.queues.values().filter(move |q| q.class == class);
        of_class.filter_map(|q| q.waiting.first().map(|(arrival, _, job)| (*arrival, *job)))
    }
}

/// Adds a signed change; the result is 0 where it would be negative or overflow.
fn add_signed(count: u32, change: i64) -> u32 {
    u32::try_from(i64::from(count) + change).unwrap_or_default()
}
