//! Waiting tasks in the order in which they are to start.
//!
//! There is one queue for each pair of class and team; within it jobs are in order of arrival,
//! but a large job goes behind smaller ones that arrive soon after it.
//! The heads of all queues are in order of deadline, `arrival + DEADLINE_TARGETS * target`.

use std::collections::BTreeSet;
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};
use smol_str::SmolStr;

use super::jobs::JobSlot;
use super::learning::RunTime;
use crate::config::Document;
use crate::deterministic::DeterministicMap;

new_key_type! {
    /// A class that is configured or has jobs.
    pub(super) struct ClassKey;
    /// A team that has a quota, or all teams that have none.
    pub(super) struct TeamKey;
    /// The jobs of one team in one class.
    pub(super) struct QueueKey;
}

/// Target of a class that is not configured (its jobs were admitted before it was deleted).
const UNCONFIGURED_TARGET: Duration = Duration::from_secs(1);

/// Targets after the arrival at which the deadline of a job lies. With deadlines of one target,
/// overdue work of all classes delays short work that could still meet its target.
const DEADLINE_TARGETS: u32 = 4;

/// A class.
#[derive(Debug)]
pub(super) struct Class {
    pub(super) name: SmolStr,
    pub(super) target: Duration,
    pub(super) configured: bool,
    pub(super) waiting: u32,
    pub(super) running: u32,
    pub(super) run_time: RunTime,
    pub(super) last_arrival: Option<Duration>,
    /// Jobs of the class, with or without waiting tasks.
    jobs: u32,
}

impl Class {
    /// Time from the arrival of a job to its deadline.
    pub(super) fn deadline_after(&self) -> Duration {
        self.target * DEADLINE_TARGETS
    }
}

/// A team with a quota, or all teams that have none.
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
    /// Jobs with waiting tasks, by [`Job::order`](super::jobs::Job).
    waiting: BTreeSet<(Duration, u64, JobSlot)>,
    /// Jobs with or without waiting tasks.
    jobs: u32,
    /// Entry in `Queues::heads`.
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
    /// The key that all teams without a quota share. It keeps the number of queues bounded by the
    /// configuration, whatever team names callers give.
    no_quota: TeamKey,
    pairs: DeterministicMap<(ClassKey, TeamKey), QueueKey>,
    heads: BTreeSet<(Duration, u64, QueueKey)>,
    /// Shortest target of a configured class.
    pub(super) shortest: Option<Duration>,
    pub(super) waiting: u32,
    pub(super) running: u32,
}

impl Queues {
    /// No classes, teams and jobs.
    pub(super) fn new() -> Self {
        let mut teams = SlotMap::with_key();
        let no_quota = teams.insert(Team::default());
        Self {
            classes: SlotMap::with_key(),
            teams,
            queues: SlotMap::with_key(),
            class_names: DeterministicMap::default(),
            team_names: DeterministicMap::default(),
            no_quota,
            pairs: DeterministicMap::default(),
            heads: BTreeSet::new(),
            shortest: None,
            waiting: 0,
            running: 0,
        }
    }

    /// The class of this name if it is known.
    pub(super) fn find_class(&self, name: &str) -> Option<&Class> {
        self.classes.get(*self.class_names.get(name)?)
    }

    /// The class of this name, made when it is not known.
    pub(super) fn class(&mut self, name: &str) -> ClassKey {
        if let Some(key) = self.class_names.get(name) {
            return *key;
        }
        let key = self.classes.insert(Class {
            name: name.into(),
            target: UNCONFIGURED_TARGET,
            configured: false,
            waiting: 0,
            running: 0,
            run_time: RunTime::default(),
            last_arrival: None,
            jobs: 0,
        });
        self.class_names.insert(name.into(), key);
        key
    }

    /// The team of this name.
    pub(super) fn team(&self, name: &str) -> TeamKey {
        self.team_names.get(name).copied().unwrap_or(self.no_quota)
    }

    /// Takes targets from the configuration.
    pub(super) fn configure_classes(&mut self, document: &Document) {
        for class in self.classes.values_mut() {
            class.configured = false;
        }
        for (name, class) in &document.classes {
            let key = self.class(name);
            let Some(known) = self.classes.get_mut(key) else {
                continue;
            };
            known.target = class.target;
            known.configured = true;
        }
        self.shortest = document.classes.values().map(|c| c.target).min();
        let keys: Vec<ClassKey> = self.classes.keys().collect();
        for key in keys {
            self.drop_unused(key);
        }
        let keys: Vec<QueueKey> = self.queues.keys().collect();
        for key in keys {
            self.refresh(key);
        }
    }

    /// Takes quotas from the configuration; true when other teams have a quota than before.
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

    /// Drops teams that have no quota any more, after their jobs have moved.
    pub(super) fn drop_teams(&mut self) {
        let Self {
            teams,
            team_names,
            no_quota,
            ..
        } = self;
        teams.retain(|key, _| key == *no_quota || team_names.values().any(|k| *k == key));
    }

    /// The queue of a class and team, made when there is none. Counts one more job in it.
    pub(super) fn join(&mut self, class: ClassKey, team: TeamKey) -> QueueKey {
        let queues = &mut self.queues;
        let key = *self.pairs.entry((class, team)).or_insert_with(|| {
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

    /// Counts one job less in the queue; drops the queue and its class when they are not needed.
    pub(super) fn leave(&mut self, key: QueueKey) {
        let Some(queue) = self.queues.get_mut(key) else {
            return;
        };
        queue.jobs = queue.jobs.saturating_sub(1);
        let (class, team, unused) = (queue.class, queue.team, queue.jobs == 0);
        if unused {
            self.queues.remove(key);
            self.pairs.remove(&(class, team));
        }
        if let Some(class) = self.classes.get_mut(class) {
            class.jobs = class.jobs.saturating_sub(1);
        }
        self.drop_unused(class);
    }

    /// Drops a class that is neither configured nor has jobs.
    fn drop_unused(&mut self, key: ClassKey) {
        let unused = |c: &Class| !c.configured && c.jobs == 0;
        if !self.classes.get(key).is_some_and(unused) {
            return;
        }
        if let Some(class) = self.classes.remove(key) {
            self.class_names.remove(&class.name);
        }
    }

    /// Class and team of a queue.
    pub(super) fn pair(&self, key: QueueKey) -> Option<(ClassKey, TeamKey)> {
        self.queues.get(key).map(|q| (q.class, q.team))
    }

    /// Adds `tasks` (may be negative) to the waiting counts of a queue's class and team.
    pub(super) fn count_waiting(&mut self, key: QueueKey, tasks: i64) {
        let Some((class, team)) = self.pair(key) else {
            return;
        };
        self.waiting = add(self.waiting, tasks);
        if let Some(class) = self.classes.get_mut(class) {
            class.waiting = add(class.waiting, tasks);
        }
        if let Some(team) = self.teams.get_mut(team) {
            team.waiting = add(team.waiting, tasks);
        }
    }

    /// Adds `tasks` (may be negative) to the running counts of a queue's class and team.
    pub(super) fn count_running(&mut self, key: QueueKey, tasks: i64) {
        let Some((class, team)) = self.pair(key) else {
            return;
        };
        self.running = add(self.running, tasks);
        if let Some(class) = self.classes.get_mut(class) {
            class.running = add(class.running, tasks);
        }
        if let Some(team) = self.teams.get_mut(team) {
            team.running = add(team.running, tasks);
        }
    }

    /// Puts a job that has waiting tasks into its queue.
    pub(super) fn enter(&mut self, key: QueueKey, order: Duration, seq: u64, job: JobSlot) {
        let Some(queue) = self.queues.get_mut(key) else {
            return;
        };
        if queue.waiting.insert((order, seq, job)) {
            self.refresh(key);
        }
    }

    /// Takes a job that has no waiting tasks out of its queue.
    pub(super) fn exit(&mut self, key: QueueKey, order: Duration, seq: u64, job: JobSlot) {
        let Some(queue) = self.queues.get_mut(key) else {
            return;
        };
        if queue.waiting.remove(&(order, seq, job)) {
            self.refresh(key);
        }
    }

    /// Updates the entry of a queue in `heads`.
    fn refresh(&mut self, key: QueueKey) {
        let Some(queue) = self.queues.get_mut(key) else {
            return;
        };
        let class = self.classes.get(queue.class);
        let delay = class.map(Class::deadline_after).unwrap_or_default();
        let first = queue.waiting.first();
        let head = first.map(|(order, seq, _)| (order.saturating_add(delay), *seq));
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
    pub(super) fn front(&self, key: QueueKey) -> Option<JobSlot> {
        self.queues
            .get(key)?
            .waiting
            .first()
            .map(|(_, _, job)| *job)
    }

    /// First jobs of the queues of a class, with their places.
    pub(super) fn fronts(&self, class: ClassKey) -> impl Iterator<Item = (Duration, JobSlot)> {
        let of_class = self.queues.values().filter(move |q| q.class == class);
        of_class.filter_map(|q| q.waiting.first().map(|(order, _, job)| (*order, *job)))
    }
}

fn add(count: u32, change: i64) -> u32 {
    u32::try_from(i64::from(count) + change).unwrap_or_default()
}
