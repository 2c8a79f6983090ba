//! Runs the commands of a script.

use std::collections::BTreeMap;
use std::io;

use goldenscript::{Command, Context, Runner};
use tokio::runtime::Runtime;

use super::arguments::{Result, flag, parsed, time, value};
use super::loads::Load;
use crate::cluster::{AgentSpec, Cluster, Spec};

/// State of a script: the cluster and the loads that run.
#[derive(Debug)]
pub struct Scenario {
    pub(super) cluster: Option<Cluster>,
    pub(super) loads: BTreeMap<String, Load>,
    // Declared last: the loads' tasks and the cluster are dropped before their runtime.
    pub(super) runtime: Runtime,
}

impl Scenario {
    /// A scenario without a cluster yet.
    ///
    /// # Errors
    /// When the system refuses threads.
    pub fn open() -> io::Result<Self> {
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        let runtime = builder.worker_threads(1).enable_all().build()?;
        Ok(Self {
            cluster: None,
            loads: BTreeMap::new(),
            runtime,
        })
    }

    /// The running cluster.
    pub(super) fn cluster(&mut self) -> Result<&mut Cluster> {
        self.cluster
            .as_mut()
            .ok_or_else(|| "start a cluster first".into())
    }

    fn start(&mut self, command: &Command) -> Result<String> {
        let agents: usize = parsed(command, "agents", 3)?;
        let slots = parsed(command, "slots", 8)?;
        let target = time(value(command, "target").unwrap_or("5s"))?;
        let spec = Spec {
            classes: [("console".into(), target)].into(),
            entries: parsed(command, "entries", 3)?,
            agents: vec![AgentSpec { slots, speed: 1.0 }; agents],
            proxied: flag(command, "proxied"),
            ..Spec::default()
        };
        self.cluster = Some(self.runtime.block_on(Cluster::open(&spec))?);
        Ok(String::new())
    }
}

impl Runner for Scenario {
    type Command = Command;

    fn run(&mut self, command: &Command, _context: &Context) -> Result<String> {
        match command.name.as_str() {
            "start" => self.start(command),
            "load" => self.load(command),
            "answered" => self.answered(command),
            "settle" => self.settle(command),
            "submit" => self.submit(command),
            "running" => self.running(command),
            "answer" => self.answer(command),
            "starts" => self.starts(command),
            "ready" => self.ready(),
            "ended" => self.ended(command),
            "cut" | "repair" | "reset" | "delay" => self.proxy(command),
            "store" | "endpoint" => self.control(command),
            "elapse" => self.elapse(command),
            "kill" | "pause" | "continue" | "terminate" | "restart" => self.process(command),
            other => Err(format!("unknown command {other}").into()),
        }
    }
}
