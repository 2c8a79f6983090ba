//! Carries out the faults of a plan.

use std::sync::Arc;
use std::time::Duration;

use rustix::process::Signal;
use tokio::time::sleep;

use super::fleet::{Fleet, Host};
use super::load::Load;
use super::node::{GRACE, Node};
use super::operator::Operator;
use super::plan::{Fault, Harm, Step, Target};
use super::rules::Rule;
use super::witness::Witness;
use crate::proxy::{Direction, Proxy};
use crate::site::{Outage, SiteStore, StoreFaults};

/// Added to the way of bytes on slow links, in each direction.
const LINK_DELAY: Duration = Duration::from_millis(60);

/// Added to each call of a slow store.
const STORE_DELAY: Duration = Duration::from_millis(300);

/// Share of the writes without an answer, for each of the two kinds.
const LOST_SHARE: f64 = 0.3;

/// Share of the orders without an answer.
const LATE_SHARE: f64 = 0.3;

/// Factor of a slow worker, less 1.
const SLOWER: f64 = 5.0;

/// Load of a burst in percent of the usual one.
const BURST_PERCENT: u64 = 300;

/// Time in which a killed process is gone.
const KILL_LIMIT: Duration = Duration::from_secs(2);

/// Time that a leaving worker stays after it has said so.
const LEAVE_TIME: Duration = Duration::from_millis(2_500);

/// What faults act on.
#[derive(Debug)]
pub(super) struct Stage {
    pub(super) fleet: Arc<Fleet>,
    pub(super) store: Arc<SiteStore>,
    pub(super) operator: Arc<Operator>,
    pub(super) load: Load,
    pub(super) witness: Arc<Witness>,
}

impl Stage {
    /// Carries out one step, from its begin to the end of what it disturbs.
    pub(super) async fn play(&self, step: Step) {
        sleep(step.at).await;
        let calm = self.witness.calm();
        let disturbance = if step.fault.is_planned() {
            calm.plan()
        } else {
            calm.disturb()
        };
        match step.fault {
            Fault::Kill(_) | Fault::KillAll | Fault::KillEntries => self.kill(step).await,
            Fault::Stop(target) => self.stop(target, step.span).await,
            Fault::Pause(target) => {
                let node = self.node(target);
                node.signal(Signal::STOP);
                sleep(step.span).await;
                node.signal(Signal::CONT);
            }
            Fault::Reload(target) => self.node(target).signal(Signal::HUP),
            Fault::Configure => self.operator.change(),
            Fault::Burst => {
                self.load.set_percent(BURST_PERCENT);
                sleep(step.span).await;
                self.load.set_percent(100);
            }
            Fault::CutLinks { .. }
            | Fault::SlowLinks(_)
            | Fault::ResetLinks(_)
            | Fault::SilenceLinks(_) => self.disturb_links(step).await,
            Fault::CutStore(_)
            | Fault::ResetStore(_)
            | Fault::StoreOutage(_)
            | Fault::StoreSlow
            | Fault::StoreLost
            | Fault::StoreForgets => self.disturb_store(step).await,
            Fault::Callers(entry, harm) => self.harm(entry, harm, step.span).await,
            Fault::WorkerRestarts(restart) => self.restart(restart, step.span).await,
            Fault::WorkerCrash { .. }
            | Fault::WorkerFails(_)
            | Fault::WorkerHangs(_)
            | Fault::WorkerSlow(_)
            | Fault::WorkerSheds(_)
            | Fault::WorkerLate(_)
            | Fault::WorkerLeaves(_) => self.disturb_worker(step).await,
        }
        drop(disturbance);
    }

    async fn kill(&self, step: Step) {
        let nodes: Vec<&Node> = match step.fault {
            Fault::Kill(target) => vec![self.node(target)],
            Fault::KillEntries => self.fleet.entries.iter().map(|entry| &entry.node).collect(),
            _ => self.fleet.nodes().collect(),
        };
        let lives: Vec<u64> = nodes.iter().map(|node| node.end(Signal::KILL)).collect();
        for (node, life) in nodes.iter().zip(lives) {
            node.gone(life, KILL_LIMIT).await;
        }
        sleep(step.span).await;
        for node in nodes {
            self.start(node);
        }
    }

    async fn stop(&self, target: Target, span: Duration) {
        let node = self.node(target);
        let calm = self.witness.calm();
        let began = std::time::Instant::now();
        let life = node.end(Signal::TERM);
        if !node.gone(life, GRACE).await {
            if calm.is_undisturbed(began) {
                let text = format!("{} did not stop within {GRACE:?}", node.name());
                self.witness.violate(Rule::Exit, text);
            }
            node.end(Signal::KILL);
            node.gone(life, KILL_LIMIT).await;
        }
        sleep(span).await;
        self.start(node);
    }

    fn start(&self, node: &Node) {
        if let Err(error) = node.start() {
            self.witness.violate(Rule::Exit, error.to_string());
        }
    }

    fn node(&self, target: Target) -> &Node {
        match target {
            Target::Entry(at) => &self.fleet.entries[at].node,
            Target::Agent(at) => &self.fleet.hosts[at].node,
        }
    }

    async fn disturb_links(&self, step: Step) {
        let links = |at: usize| &self.fleet.entries[at].links;
        match step.fault {
            Fault::CutLinks {
                entry,
                forward,
                backward,
            } => {
                if forward {
                    links(entry).cut(Direction::Forward);
                }
                if backward {
                    links(entry).cut(Direction::Backward);
                }
                sleep(step.span).await;
                links(entry).repair();
            }
            Fault::SlowLinks(entry) => {
                links(entry).delay(LINK_DELAY);
                sleep(step.span).await;
                links(entry).repair();
            }
            Fault::ResetLinks(entry) => links(entry).reset(),
            Fault::SilenceLinks(entry) => links(entry).silence(),
            _ => {}
        }
    }

    async fn harm(&self, entry: usize, harm: Harm, span: Duration) {
        let channels = &self.fleet.entries[entry].channels;
        match harm {
            Harm::Abandoned => return channels.break_near(),
            Harm::Reset => return channels.reset(),
            Harm::Slow => channels.delay(LINK_DELAY),
            Harm::CutForward => channels.cut(Direction::Forward),
            Harm::CutBackward => channels.cut(Direction::Backward),
        }
        sleep(span).await;
        channels.repair();
    }

    async fn disturb_store(&self, step: Step) {
        let mut faults = StoreFaults::default();
        match step.fault {
            Fault::CutStore(target) => {
                let proxy = self.way_to_store(target);
                proxy.cut(Direction::Forward);
                sleep(step.span).await;
                return proxy.repair();
            }
            Fault::ResetStore(target) => return self.way_to_store(target).reset(),
            Fault::StoreForgets => return self.store.drop_history(),
            Fault::StoreOutage(outage) => faults.outage = outage,
            Fault::StoreSlow => faults.slow = STORE_DELAY,
            _ => (faults.lost, faults.late) = (LOST_SHARE, LOST_SHARE),
        }
        self.store.set_faults(faults);
        sleep(step.span).await;
        if self.store.faults() == faults || faults.outage == Outage::None {
            self.store.set_faults(StoreFaults::default());
        }
    }

    fn way_to_store(&self, target: Target) -> &Proxy {
        match target {
            Target::Entry(at) => &self.fleet.entries[at].store,
            Target::Agent(at) => &self.fleet.hosts[at].store,
        }
    }

    async fn disturb_worker(&self, step: Step) {
        let host = |at: usize| &self.fleet.hosts[at];
        match step.fault {
            Fault::WorkerCrash { worker, keep_id } => {
                host(worker).worker.crash(keep_id);
                sleep(step.span).await;
                host(worker).worker.change(|faults| faults.dark = false);
            }
            Fault::WorkerFails(at) => {
                host(at).worker.change(|faults| faults.fails = true);
                sleep(step.span).await;
                host(at).worker.change(|faults| faults.fails = false);
            }
            Fault::WorkerHangs(at) => {
                host(at).worker.change(|faults| faults.hangs = true);
                sleep(step.span).await;
                host(at).worker.change(|faults| faults.hangs = false);
            }
            Fault::WorkerSlow(at) => {
                host(at).worker.change(|faults| faults.slower = SLOWER);
                sleep(step.span).await;
                host(at).worker.change(|faults| faults.slower = 0.0);
            }
            Fault::WorkerSheds(at) => {
                host(at).worker.change(|faults| faults.sheds = true);
                sleep(step.span).await;
                host(at).worker.change(|faults| faults.sheds = false);
            }
            Fault::WorkerLate(at) => {
                host(at).worker.change(|faults| faults.late = LATE_SHARE);
                sleep(step.span).await;
                host(at).worker.change(|faults| faults.late = 0.0);
            }
            Fault::WorkerLeaves(at) => leave(host(at)).await,
            _ => {}
        }
    }
}

/// A worker leaves once its runs have ended, or its time is over.
async fn leave(host: &Host) {
    host.worker.drain();
    sleep(LEAVE_TIME).await;
    host.worker.leave().await;
}
