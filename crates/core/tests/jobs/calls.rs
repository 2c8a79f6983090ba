//! Calls of agents to their workers, with what may go wrong on the way.

use knapweedwall_core::executor::{self, Refusal, RenewalOutcome, StartOutcome, StopOutcome};
use knapweedwall_core::job::{Resources, RunId};
use smol_str::SmolStr;

use crate::fleet::{Fleet, WAY_MS};

/// Pause of a worker's heartbeat.
const HEARTBEAT_MS: u64 = 500;

/// Time in which the platform's client waits for an answer of the worker.
const CALL_MS: u64 = 200;

/// Time that such a client waits for the lists beyond what the worker was asked to wait.
const HOLD_SLACK_MS: u64 = 100;

/// A call to a worker on its way.
#[derive(Debug, Clone)]
pub enum Call {
    Start(executor::StartRequest, u64, u64),
    Stop(RunId, u64),
    Hold {
        lease_deadline_ms: Option<u64>,
        fence: u64,
        acknowledged: u64,
        until_ms: u64,
    },
}

/// A call to a worker that waits to be carried out.
#[derive(Debug)]
pub struct PendingCall {
    pub key: executor::CallKey,
    pub call: Call,
    pub due_ms: u64,
    /// Nobody waits for the answer.
    pub lost: bool,
    /// Lifetime that the call is meant for; any when empty.
    pub life: SmolStr,
}

/// Time after which a lost stop is reported as failed, if it is: the time limit of the platform's client.
const LOST_STOP_MS: u64 = 500;

/// Which calls to workers get no answer.
#[derive(Debug, Clone, Copy, Default)]
pub struct LostCalls {
    /// Number of stops that are still to be lost.
    pub stops: u32,
    /// Time after which lost stops are carried out; never if `None`.
    pub carried_out_ms: Option<u64>,
    /// Whether the agents learn that the calls have failed.
    pub reported: bool,
    /// Whether all other calls are carried out, and get no answer.
    pub answers: bool,
}

/// Time, host, lifetime of the agent, and outcome of a call without an answer.
pub type LateAnswer = (u64, usize, u64, executor::Input);

impl Fleet {
    pub fn agent_actions(&mut self, at: usize, actions: Vec<executor::Action>) {
        let due = self.now_ms + WAY_MS;
        let called = due + self.slow_ms;
        for action in actions {
            let (key, call) = match action {
                executor::Action::Send(key, body) => {
                    if let Some((_, link)) = self.link_of(key) {
                        link.up.push_back((due, body));
                    }
                    continue;
                }
                executor::Action::Close(key, _) => {
                    if let Some(((entry, host), _)) = self.link_of(key) {
                        self.reset_link(entry, host);
                    }
                    continue;
                }
                executor::Action::StartRun {
                    call,
                    request,
                    lease_deadline_ms,
                    fence,
                } => (call, Call::Start(request, lease_deadline_ms, fence)),
                executor::Action::StopRun { call, run, fence } => (call, Call::Stop(run, fence)),
                executor::Action::RenewLease {
                    call,
                    lease_deadline_ms,
                    fence,
                    acknowledged,
                    wait_ms,
                } => {
                    let call_made = Call::Hold {
                        lease_deadline_ms,
                        fence,
                        acknowledged,
                        until_ms: called + wait_ms,
                    };
                    (call, call_made)
                }
                executor::Action::StoreRegistration(registration) => {
                    self.hosts[at].registration = registration;
                    continue;
                }
                executor::Action::Log(event) => {
                    self.trace(&format!("agent-{at}"), &event);
                    self.events.push(event.number);
                    continue;
                }
                executor::Action::Exit => {
                    self.kill_agent(at);
                    continue;
                }
                executor::Action::UseWorker { instance, .. } => {
                    self.hosts[at].life = instance;
                    continue;
                }
                _ => continue,
            };
            self.calls += 1;
            if matches!(call, Call::Stop(..)) && self.lost_calls.stops > 0 {
                self.lose_stop(at, key, call);
                continue;
            }
            let late = self.random(100) < u64::from(self.late_percent);
            let limit = match &call {
                Call::Hold { .. } => HOLD_SLACK_MS,
                _ => CALL_MS,
            };
            let unheard = self.slow_ms > limit;
            let due_ms = if late {
                due + self.late_ms.0 + self.random(self.late_ms.1)
            } else {
                called
            };
            if late || unheard {
                let input = no_answer(key, &call);
                let wait = match &call {
                    Call::Hold { until_ms, .. } => until_ms - called + limit,
                    _ => limit,
                };
                self.late_answers
                    .push((self.now_ms + wait, at, self.hosts[at].instance, input));
            }
            let pending = PendingCall {
                key,
                call,
                due_ms,
                lost: late || unheard || self.lost_calls.answers,
                life: self.hosts[at].life.clone(),
            };
            self.hosts[at].calls.push(pending);
        }
    }

    pub fn carry_out_calls(&mut self, at: usize) {
        let now_ms = self.now_ms;
        let host = &mut self.hosts[at];
        host.worker.pass(now_ms);
        let mut inputs = Vec::new();
        let mut kept = Vec::new();
        for pending in std::mem::take(&mut host.calls) {
            if pending.due_ms > now_ms {
                kept.push(pending);
                continue;
            }
            if !host.worker.up {
                if !pending.lost && host.worker.is_gone() {
                    inputs.push(refused_connection(pending.key, &pending.call));
                } else if !pending.lost {
                    inputs.push(no_answer(pending.key, &pending.call));
                }
                continue;
            }
            if !pending.life.is_empty() && pending.life != host.worker.instance().as_str() {
                if !pending.lost {
                    inputs.push(other_life(pending.key, &pending.call));
                }
                continue;
            }
            let clock_ms = Some(host.worker.clock(now_ms));
            let (key, lost) = (pending.key, pending.lost);
            let input = match &pending.call {
                Call::Start(request, lease_deadline_ms, fence) => executor::Input::StartCompleted {
                    call: key,
                    outcome: host
                        .worker
                        .start(now_ms, request, *lease_deadline_ms, *fence),
                    clock_ms,
                },
                Call::Stop(run, fence) => executor::Input::StopCompleted {
                    call: key,
                    outcome: host.worker.stop(now_ms, run, *fence),
                    clock_ms,
                },
                Call::Hold {
                    lease_deadline_ms,
                    fence,
                    acknowledged,
                    until_ms,
                } => {
                    let outcome =
                        host.worker
                            .hold(now_ms, *lease_deadline_ms, *fence, *acknowledged);
                    if now_ms < *until_ms && !host.worker.has_news(*acknowledged) && !lost {
                        kept.push(pending);
                        continue;
                    }
                    executor::Input::RenewalCompleted {
                        call: key,
                        outcome,
                        clock_ms,
                    }
                }
            };
            if !lost {
                inputs.push(input);
            }
        }
        host.calls = kept;
        for input in inputs {
            self.agent_input(at, input);
        }
    }

    /// Loses a stop that an agent has sent.
    fn lose_stop(&mut self, at: usize, key: executor::CallKey, call: Call) {
        self.lost_calls.stops -= 1;
        if self.lost_calls.reported {
            let failure = no_answer(key, &call);
            let failed_ms = self.now_ms + LOST_STOP_MS;
            let instance = self.hosts[at].instance;
            self.late_answers.push((failed_ms, at, instance, failure));
        }
        if let Some(delay_ms) = self.lost_calls.carried_out_ms {
            let pending = PendingCall {
                key,
                call,
                due_ms: self.now_ms + delay_ms,
                lost: true,
                life: self.hosts[at].life.clone(),
            };
            self.hosts[at].calls.push(pending);
        }
    }

    /// Loses the calls that are on their way to a worker, or wait there. Their agent learns of it at
    /// their time limits.
    pub fn lose_calls(&mut self, at: usize) {
        let instance = self.hosts[at].instance;
        for pending in std::mem::take(&mut self.hosts[at].calls) {
            let limit_ms = match &pending.call {
                Call::Hold { until_ms, .. } => until_ms.saturating_sub(self.now_ms) + HOLD_SLACK_MS,
                _ => CALL_MS,
            };
            let failure = no_answer(pending.key, &pending.call);
            self.late_answers
                .push((self.now_ms + limit_ms, at, instance, failure));
        }
    }

    /// Loses the stops that are on their way to a worker; they get no response.
    pub fn drop_stops(&mut self, at: usize) {
        let calls = &mut self.hosts[at].calls;
        calls.retain(|pending| !matches!(pending.call, Call::Stop(..)));
    }

    pub fn heartbeat(&mut self, at: usize) {
        let host = &mut self.hosts[at];
        if self.now_ms < host.next_beat_ms || !host.worker.up {
            return;
        }
        host.next_beat_ms = self.now_ms + HEARTBEAT_MS;
        host.beats += 1;
        let beat = executor::Heartbeat {
            instance: host.worker.instance().into(),
            incarnation: host.worker.born,
            service: "desk".into(),
            labels: host.labels.clone(),
            capacity: Resources {
                cpu: host.worker.cpu,
                memory: 64_000,
                gpus: 0,
            },
            draining: host.draining,
            number: host.beats,
        };
        if host.agent.is_some() && !host.frozen {
            self.agent_input(at, executor::Input::Heartbeat(beat));
        }
    }

    pub fn answer_late(&mut self) {
        let now_ms = self.now_ms;
        let due: Vec<LateAnswer>;
        (due, self.late_answers) = std::mem::take(&mut self.late_answers)
            .into_iter()
            .partition(|(at_ms, ..)| *at_ms <= now_ms);
        for (_, at, instance, input) in due {
            if self.hosts[at].instance == instance {
                self.agent_input(at, input);
            }
        }
    }
}

fn no_answer(key: executor::CallKey, call: &Call) -> executor::Input {
    let clock_ms = None;
    match call {
        Call::Start(..) => executor::Input::StartCompleted {
            call: key,
            outcome: StartOutcome::NoAnswer("no answer".into()),
            clock_ms,
        },
        Call::Stop(..) => executor::Input::StopCompleted {
            call: key,
            outcome: StopOutcome::NoAnswer("no answer".into()),
            clock_ms,
        },
        Call::Hold { .. } => executor::Input::RenewalCompleted {
            call: key,
            outcome: RenewalOutcome::NoAnswer("no answer".into()),
            clock_ms,
        },
    }
}

fn refused_connection(key: executor::CallKey, call: &Call) -> executor::Input {
    let clock_ms = None;
    match call {
        Call::Start(..) => executor::Input::StartCompleted {
            call: key,
            outcome: StartOutcome::NotSent {
                refused: true,
                cause: "connection refused".into(),
            },
            clock_ms,
        },
        Call::Stop(..) => no_answer(key, call),
        Call::Hold { .. } => executor::Input::RenewalCompleted {
            call: key,
            outcome: RenewalOutcome::ConnectionRefused,
            clock_ms,
        },
    }
}

fn other_life(key: executor::CallKey, call: &Call) -> executor::Input {
    let clock_ms = None;
    match call {
        Call::Start(..) => executor::Input::StartCompleted {
            call: key,
            outcome: StartOutcome::Refused(Refusal::WrongInstance),
            clock_ms,
        },
        Call::Stop(..) => executor::Input::StopCompleted {
            call: key,
            outcome: StopOutcome::WrongInstance,
            clock_ms,
        },
        Call::Hold { .. } => executor::Input::RenewalCompleted {
            call: key,
            outcome: RenewalOutcome::WrongInstance,
            clock_ms,
        },
    }
}
