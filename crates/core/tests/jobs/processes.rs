//! Processes of the fleet: their starts, ends and standstills.

use std::time::Duration;

use bytes::Bytes;
use knapweedwall_core::Instance;
use knapweedwall_core::executor;
use knapweedwall_core::job::{QueueCatalog, QueueConfig};
use knapweedwall_core::scheduler;
use smol_str::SmolStr;

use crate::callers::RESEND_MS;
use crate::fleet::{Entry, Fleet};
use crate::worker::LEASE_MS;

/// Failed runs after which a task of a queue is given up.
pub fn attempts(queue: &str) -> usize {
    if queue == "checks" { 2 } else { 9 }
}

impl Fleet {
    /// Starts an entry process.
    pub fn start_entry(&mut self, at: usize) {
        let instance = self.key();
        let name = format!("entry-{at}");
        let settings = scheduler::Settings {
            name: name.into(),
            zone: self.zone(at),
            instance: Instance(instance),
            shutdown_accept_time: Duration::from_secs(2),
            stop_limit: Duration::from_secs(5),
            config_limit: Duration::from_secs(2),
        };
        let mut machine = scheduler::Machine::new(settings, scheduler::Metrics::default());
        let queue = |name: &str| QueueConfig {
            name: name.into(),
            service: "desk".into(),
            attempts: attempts(name).try_into().unwrap_or(u32::MAX),
            target: Duration::from_millis(60),
            stretch: 1.6,
        };
        let catalog = QueueCatalog {
            version: 1,
            queues: vec![queue("checks"), queue("patient")],
        };
        let document = Bytes::from_static(b"{}");
        let input = scheduler::Input::Configure {
            catalog,
            document,
            source: scheduler::ConfigSource::Peer,
        };
        machine.step(self.entry_now(at), input, &mut Vec::new());
        self.confirm_config(at, &mut machine);
        let limits = scheduler::Input::CallerLimitsFound(self.caller_limits.clone());
        machine.step(self.entry_now(at), limits, &mut Vec::new());
        let entry = &mut self.entries[at];
        *entry = Entry {
            machine: Some(machine),
            instance,
            ahead_ms: entry.ahead_ms,
            frozen: false,
            backlog: Vec::new(),
        };
    }

    /// Lets the store confirm the configuration of an entry process.
    fn confirm_config(&self, at: usize, machine: &mut scheduler::Machine) {
        let now = self.entry_now(at);
        let input = scheduler::Input::ConfigConfirmed {
            version: 1,
            requested_at: now.mono,
        };
        machine.step(now, input, &mut Vec::new());
    }

    /// Ends an entry process at once; callers lose their connections.
    pub fn kill_entry(&mut self, at: usize) {
        self.entries[at].machine = None;
        self.entries[at].frozen = false;
        self.entries[at].backlog.clear();
        self.reset_links(|entry, _| entry == at);
        self.reset_peers(|first, second| first == at || second == at);
        let resend_ms = self.now_ms + RESEND_MS;
        for caller in &mut self.callers {
            if caller.entry == at && caller.answer.is_none() {
                caller.resend_ms = Some(resend_ms);
            }
        }
    }

    /// Ends an entry process at once, like [`Fleet::kill_entry`], but what it has sent to agents still
    /// arrives there. The links to them go down when they are reset.
    pub fn lose_entry(&mut self, at: usize) {
        let links = self.links.iter_mut();
        let own = links.filter(|((entry, _), _)| *entry == at);
        let kept: Vec<_> = own
            .map(|(way, link)| (*way, std::mem::take(link)))
            .collect();
        self.kill_entry(at);
        self.links.extend(kept);
    }

    /// Ends an entry process that has exited by itself. What it has sent arrives before its connections
    /// end.
    pub fn end_entry(&mut self, at: usize) {
        self.flush_peer_links(at);
        for (number, caller) in self.callers.iter().enumerate() {
            let waits = caller.answer.is_none() && caller.resend_ms.is_none();
            if caller.entry == at && waits {
                self.cut_off.push(number);
            }
        }
        self.kill_entry(at);
    }

    /// Starts an agent.
    pub fn start_agent(&mut self, at: usize) {
        let instance = self.key();
        let settings = executor::Settings {
            worker: format!("127.0.0.1:{at}").into(),
            zone: self.zone(at),
            lease: Duration::from_millis(LEASE_MS),
            stop_limit: Duration::from_secs(5),
        };
        let metrics = executor::Metrics::default();
        let machine =
            executor::Machine::new(self.agent_now(at), settings, metrics, &mut Vec::new());
        self.hosts[at].life = SmolStr::default();
        self.hosts[at].agent = Some(machine);
        self.hosts[at].instance = instance;
        self.hosts[at].next_beat_ms = self.now_ms + 100;
        if let Some(registration) = self.hosts[at].registration.clone() {
            self.agent_input(at, executor::Input::RegistrationFound(registration));
        }
    }

    /// Ends an agent at once. Orders on their way to the worker are carried out.
    pub fn kill_agent(&mut self, at: usize) {
        self.hosts[at].agent = None;
        self.hosts[at].frozen = false;
        self.hosts[at].backlog.clear();
        for call in &mut self.hosts[at].calls {
            call.lost = true;
        }
        self.reset_links(|_, host| host == at);
    }

    /// Lets an entry process stand still or go on. Its decisions go on before what arrived
    /// meanwhile has been read.
    pub fn freeze_entry(&mut self, at: usize, frozen: bool) {
        let thaws = self.entries[at].frozen && !frozen;
        self.entries[at].frozen = frozen;
        let now = self.entry_now(at);
        let mut out = Vec::new();
        if let Some(machine) = self.entries[at].machine.as_mut().filter(|_| thaws) {
            machine.flush(now, &mut out);
        }
        self.entry_actions(at, out);
        for input in std::mem::take(&mut self.entries[at].backlog) {
            self.entry_input(at, input);
        }
    }

    pub fn freeze_agent(&mut self, at: usize, frozen: bool) {
        self.hosts[at].frozen = frozen;
        for input in std::mem::take(&mut self.hosts[at].backlog) {
            self.agent_input(at, input);
        }
    }

    pub fn stop_entry(&mut self, at: usize) {
        self.entry_input(at, scheduler::Input::Stop);
    }

    pub fn has_entry(&self, at: usize) -> bool {
        self.entries[at].machine.is_some()
    }

    /// Run of an entry process.
    pub fn instance_of(&self, at: usize) -> u64 {
        self.entries[at].instance
    }

    /// Whether an entry process runs and does not stand still.
    pub fn is_awake(&self, at: usize) -> bool {
        self.entries[at].machine.is_some() && !self.entries[at].frozen
    }

    pub fn has_agent(&self, at: usize) -> bool {
        self.hosts[at].agent.is_some()
    }
}
