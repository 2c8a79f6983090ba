//! Orders to agents: starts and stops of tasks, collected over a turn and sent at its end.

use std::time::Duration;

use knapweedwall_wire as wire;
use smallvec::SmallVec;
use smol_str::SmolStr;

use super::durable_jobs::next_attempt;
use super::io::Action;
use super::jobs::{JobKey, Progress, TaskState, to_u32};
use super::machine::Machine;
use super::workers::WorkerKey;
use crate::clock::Now;
use crate::job::{RunId, TaskId};

impl Machine {
    /// Places a task on a worker and adds it to the worker's next frame. `group` is that of the runs
    /// beside it, see [`Machine::group_of`].
    pub(super) fn order_task(
        &mut self,
        now: Now,
        key: JobKey,
        (phase, index): (u32, u32),
        worker_key: WorkerKey,
        (sort_key, waits, group): (Duration, bool, SmolStr),
    ) {
        let epoch = self.jobs.get(key).map_or(0, |job| self.shard_epoch(job));
        let worker = self.workers.get(worker_key);
        let heard_at = worker.map_or(now.mono, |worker| worker.last_heard);
        let job = self.jobs.get(key);
        let hold_ms = job.map_or(0, |job| self.hold_ms(now, job, heard_at));
        let (Some(job), Some(worker)) = (self.jobs.get_mut(key), self.workers.get_mut(worker_key))
        else {
            return;
        };
        job.set_task_state(phase, index, TaskState::Placed(worker_key));
        job.first_placed_at = job.first_placed_at.or(Some(now.mono));
        job.progress = Progress::Running;
        job.starts += 1;
        job.idle_since = None;
        job.stall_logged = false;
        job.limited |= hold_ms > 0;
        job.phases[phase as usize].record_order(waits);
        let spec = &job.request.phases[phase as usize];
        let resources = spec.resources;
        let label = spec.label.clone().unwrap_or_default();
        let expected = self
            .run_times
            .expected_run_time(&job.queue_config.name, spec.estimate);
        let expected = expected.div_f64(worker.speed.factor());
        let Some(task) = job.task_mut(phase, index) else {
            return;
        };
        task.attempt = next_attempt(task.attempt, epoch);
        let attempt = wire::TaskAttempt {
            index,
            attempt: task.attempt,
        };
        let run = RunId {
            task: TaskId {
                job: job.request.id.clone(),
                phase,
                index,
            },
            attempt: attempt.attempt,
        };
        worker.add_order(run, resources, waits);
        let same = worker.outbox.phases.last_mut().filter(|order| {
            let same_phase = order.job == job.request.id.as_str() && order.phase == phase;
            let same_limits = order.waits == waits && order.hold_ms == hold_ms;
            same_phase && same_limits && order.group == group.as_str()
        });
        if let Some(order) = same {
            return order.tasks.push(attempt);
        }
        worker.outbox.phases.push(wire::PhaseOrder {
            job: job.request.id.to_string(),
            phase,
            spec: job.request.spec.to_string(),
            room: Some(resources.into()),
            expected_ms: u32::try_from(expected.as_millis()).unwrap_or(u32::MAX),
            slack_ms: relative_sort_key_ms(now, sort_key),
            waits,
            tasks: vec![attempt],
            epoch,
            group: group.into(),
            label: label.into(),
            hold_ms,
        });
    }

    /// Orders agents to stop the placed tasks of a job. Its other tasks are not started.
    pub(super) fn stop_job(&mut self, key: JobKey) {
        self.stop_runs(key);
        if let Some(job) = self.jobs.get_mut(key) {
            job.waiting_tasks = 0;
        }
    }

    /// Orders agents to stop the placed tasks of a job.
    pub(super) fn stop_runs(&mut self, key: JobKey) {
        for (run, worker) in self.placed_runs(key) {
            if let Some(worker) = self.workers.get_mut(worker) {
                worker.outbox.stops.push((&run).into());
            }
        }
    }

    /// Returns the latest attempts of the placed tasks of a job, and their workers.
    pub(super) fn placed_runs(&self, key: JobKey) -> SmallVec<[(RunId, WorkerKey); 8]> {
        let mut placed = SmallVec::new();
        let Some(job) = self.jobs.get(key) else {
            return placed;
        };
        for (phase, tasks) in job.phases.iter().enumerate() {
            for (index, task) in tasks.tasks.iter().enumerate() {
                let TaskState::Placed(worker) = task.state else {
                    continue;
                };
                let run = RunId {
                    task: TaskId {
                        job: job.request.id.clone(),
                        phase: to_u32(phase),
                        index: to_u32(index),
                    },
                    attempt: task.attempt,
                };
                placed.push((run, worker));
            }
        }
        placed
    }

    /// Sends the orders of this turn, and heartbeats that are due.
    pub(super) fn send_orders(&mut self, now: Now, out: &mut Vec<Action>) {
        for (_, worker) in self.workers.iter_mut() {
            if let Some((link, orders)) = worker.take_orders() {
                for order in &orders.phases {
                    log_order(order, &worker.instance, out);
                }
                self.metrics.orders.inc();
                out.push(Action::Send(link, wire::frame::Body::RunOrders(orders)));
            }
        }
        self.send_agent_beats(now, out);
    }
}

/// Returns `sort_key` minus the current time, in milliseconds. It is sent and logged as `slack_ms`,
/// but only orders tasks and is not a slack, since the sort key may be a run time. Agents add it to
/// their own clock and order queued tasks by the sum, that is, by the sort key.
fn relative_sort_key_ms(now: Now, sort_key: Duration) -> i32 {
    let ahead = i32::try_from(sort_key.saturating_sub(now.mono).as_millis());
    let past = i32::try_from(now.since(sort_key).as_millis());
    ahead.unwrap_or(i32::MAX / 2) - past.unwrap_or(i32::MAX / 2)
}

fn log_order(order: &wire::PhaseOrder, worker: &str, out: &mut Vec<Action>) {
    let tasks: Vec<String> = order
        .tasks
        .iter()
        .map(|task| format!("{}#{}", task.index, task.attempt))
        .collect();
    let fields = vec![
        ("job", order.job.clone()),
        ("worker", worker.to_owned()),
        ("tasks", tasks.join(",")),
        ("expected_ms", order.expected_ms.to_string()),
        ("slack_ms", order.slack_ms.to_string()),
        ("waits", order.waits.to_string()),
    ];
    super::machine::log(out, 305, "tasks sent to worker", false, fields);
}
