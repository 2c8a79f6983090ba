//! An agent under test, driven input by input.

use std::time::Duration;

use bytes::Bytes;
use knapweedwall_core::agent::{
    Action, Agent, Input, LedgerLimits, Metrics, RunEnd, RunKey, Settings,
};
use knapweedwall_core::{Instance, JobKey, LinkKey, Now, PeerInfo, Role};
use knapweedwall_wire::{Cancel, frame::Body};
use knapweedwall_wire::{Fence, FenceReport, Outcome, Settled, Start, TaskReport, TaskStart};

pub struct Bench {
    pub agent: Agent,
    pub now: Duration,
    links: u64,
}

/// What came out of one turn.
#[derive(Default)]
pub struct Turn {
    pub sent: Vec<(LinkKey, Body)>,
    pub runs: Vec<RunKey>,
    pub aborts: Vec<RunKey>,
    pub closed: Vec<(LinkKey, &'static str)>,
    pub connects: Vec<String>,
    pub ready: Option<bool>,
    pub exit: bool,
}

impl Turn {
    /// Task reports sent in `Report` frames on a link.
    pub fn reports(&self, link: LinkKey) -> Vec<TaskReport> {
        let mut reports = Vec::new();
        for (to, body) in &self.sent {
            if let (true, Body::Report(report)) = (*to == link, body) {
                reports.extend(report.tasks.iter().cloned());
            }
        }
        reports
    }

    pub fn outcomes(&self, link: LinkKey) -> Vec<Outcome> {
        let reports = self.reports(link);
        reports.iter().map(TaskReport::outcome).collect()
    }

    /// Credits granted to a link, with or without a report.
    pub fn credits(&self, link: LinkKey) -> u32 {
        let of = |body: &Body| match body {
            Body::Grant(grant) => grant.credits,
            Body::Report(report) => report.credits,
            _ => 0,
        };
        let to_link = self.sent.iter().filter(|(to, _)| *to == link);
        to_link.map(|(_, body)| of(body)).sum()
    }

    /// Frames on a link other than heartbeats.
    pub fn frames(&self, link: LinkKey) -> Vec<Body> {
        let beat = |body: &Body| matches!(body, Body::Heartbeat(_));
        let to_link = self
            .sent
            .iter()
            .filter(|(to, body)| *to == link && !beat(body));
        to_link.map(|(_, body)| body.clone()).collect()
    }

    pub fn fence_reports(&self) -> Vec<FenceReport> {
        let mut parts = Vec::new();
        for (_, body) in &self.sent {
            if let Body::FenceReport(report) = body {
                parts.push(report.clone());
            }
        }
        parts
    }
}

pub fn job(n: u128) -> JobKey {
    JobKey::from(n)
}

pub fn task(n: u128, index: u32, epoch: u64) -> TaskStart {
    TaskStart {
        job: job(n).to_bytes(),
        index,
        shard: shard_of(n),
        epoch,
        class: "short".into(),
        ..TaskStart::default()
    }
}

/// Jobs below 100 are in shard 0.
pub fn shard_of(n: u128) -> u32 {
    u32::try_from(n / 100).unwrap()
}

pub fn done(text: &'static str) -> RunEnd {
    RunEnd::Done(Bytes::from_static(text.as_bytes()))
}

impl Bench {
    /// An agent with a reachable endpoint and no links.
    pub fn new(slots: u32) -> Self {
        Self::with_ledger(slots, LedgerLimits::default())
    }

    pub fn with_ledger(slots: u32, ledger: LedgerLimits) -> Self {
        let settings = Settings {
            slots,
            stop_limit: Duration::from_secs(30),
            ledger,
        };
        let mut bench = Self {
            agent: Agent::new(settings, Metrics::default()),
            now: Duration::from_secs(100),
            links: 0,
        };
        bench.turn(vec![Input::EndpointReachable(true)]);
        bench
    }

    pub fn turn(&mut self, inputs: Vec<Input>) -> Turn {
        let now = Now {
            mono: self.now,
            wall_ms: 0,
        };
        let mut out = Vec::new();
        for input in inputs {
            self.agent.step(now, input, &mut out);
        }
        self.agent.end_turn(now, &mut out);
        let mut turn = Turn::default();
        for action in out {
            match action {
                Action::Send(link, body) => turn.sent.push((link, body)),
                Action::Close(link, code) => turn.closed.push((link, code)),
                Action::Connect(address) => turn.connects.push(address.to_string()),
                Action::Run(run, _) => turn.runs.push(run),
                Action::Abort(run) => turn.aborts.push(run),
                Action::Ready(ready) => turn.ready = Some(ready),
                Action::Exit => turn.exit = true,
                _ => {}
            }
        }
        turn
    }

    pub fn frame(&mut self, link: LinkKey, body: Body) -> Turn {
        self.turn(vec![Input::Frame(link, body)])
    }

    /// Connects entry process `instance` and returns its link with what followed.
    pub fn link_up(&mut self, instance: u64) -> (LinkKey, Turn) {
        self.links += 1;
        let link = LinkKey(self.links);
        let peer = PeerInfo {
            role: Role::Entry,
            name: format!("entry-{instance}").into(),
            zone: "z1".into(),
            instance: Instance(instance),
            address: "127.0.0.1:1".into(),
            slots: 0,
        };
        let entry_processes = Vec::new();
        let turn = self.turn(vec![Input::LinkUp {
            link,
            peer,
            entry_processes,
        }]);
        (link, turn)
    }

    pub fn link(&mut self, instance: u64) -> LinkKey {
        self.link_up(instance).0
    }

    pub fn start(&mut self, link: LinkKey, tasks: Vec<TaskStart>) -> Turn {
        self.frame(link, Body::Start(Start { tasks }))
    }

    /// Starts one task that must be accepted.
    pub fn run(&mut self, link: LinkKey, start: TaskStart) -> RunKey {
        let turn = self.start(link, vec![start]);
        assert_eq!(turn.outcomes(link), [], "the start must be accepted");
        turn.runs[0]
    }

    pub fn end(&mut self, run: RunKey, end: RunEnd) -> Turn {
        self.turn(vec![Input::RunEnded(run, end)])
    }

    pub fn fence(&mut self, link: LinkKey, shard: u32, epoch: u64) -> Vec<FenceReport> {
        let turn = self.frame(link, Body::Fence(Fence { shard, epoch }));
        turn.fence_reports()
    }

    pub fn settle(&mut self, link: LinkKey, n: u128) -> Turn {
        let jobs = vec![job(n).to_bytes()];
        self.frame(link, Body::Settled(Settled { jobs }))
    }

    pub fn cancel(&mut self, link: LinkKey, n: u128) -> Turn {
        let jobs = vec![job(n).to_bytes()];
        self.frame(link, Body::Cancel(Cancel { jobs }))
    }

    /// Lets time pass with a tick every 500 ms; links in `heard` stay alive.
    pub fn pass(&mut self, time: Duration, heard: &[LinkKey]) -> Vec<Turn> {
        let until = self.now + time;
        let mut turns = Vec::new();
        while self.now < until {
            self.now += Duration::from_millis(500);
            let mut inputs = Vec::new();
            for link in heard {
                inputs.push(Input::Frame(*link, Body::Heartbeat(Default::default())));
            }
            inputs.push(Input::Tick);
            turns.push(self.turn(inputs));
        }
        turns
    }
}
