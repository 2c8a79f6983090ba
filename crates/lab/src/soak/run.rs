//! Plays one seed, or several.

use std::fmt;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

use snafu::ResultExt;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::args::Args;
use super::calm::{CONTACT, Calm};
use super::faults::Stage;
use super::fleet::{Fleet, Room};
use super::load::Load;
use super::operator::Operator;
use super::plan::{Mix, Plan};
use super::record::Record;
use super::rules::{Answer, Rule, Violation};
use super::witness::Witness;
use crate::cluster::{Dir, Result, SystemSnafu, eventually};
use crate::site::SiteStore;

/// Room of each worker.
const ROOM: Room = Room {
    cpu: 16_000,
    memory: 4_096,
};

/// Time in which all entry processes are ready after the start.
const START_LIMIT: Duration = Duration::from_secs(15);

/// Load before the first fault.
const WARM_UP: Duration = Duration::from_secs(1);

/// Load after the last fault beyond [`CONTACT`], in which everything must be served again.
const CALM_TIME: Duration = Duration::from_secs(4);

/// Time after the load in which whatever runs must end: a silent owner's runs, then leases.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);

/// Pause between two looks at processes that may have ended.
const WATCH_INTERVAL: Duration = Duration::from_millis(50);

/// Sizes of a soak.
#[derive(Debug, Clone, Copy)]
pub struct Sizes {
    /// Entry processes.
    pub entries: usize,
    /// Workers, each with an agent.
    pub workers: usize,
    /// Callers.
    pub callers: usize,
    /// Time in which faults begin.
    pub length: Duration,
    /// Which faults are played.
    pub mix: Mix,
}

/// What a seed has shown.
#[derive(Debug)]
pub struct Outcome {
    /// The seed.
    pub seed: u64,
    /// Its faults.
    pub plan: Plan,
    /// Broken promises.
    pub violations: Vec<Violation>,
    /// Jobs answered as completed, and other ends of submissions.
    pub answers: (u64, u64),
    /// Folder with the logs, if a promise was broken.
    pub logs: Option<PathBuf>,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (completed, others) = self.answers;
        let verdict = if self.violations.is_empty() {
            "kept"
        } else {
            "BROKEN"
        };
        let (seed, steps) = (self.seed, self.plan.steps.len());
        write!(
            f,
            "seed {seed}: {verdict}; {steps} faults, {completed} jobs completed, {others} other ends"
        )?;
        for violation in &self.violations {
            write!(f, "\n  {violation}")?;
        }
        if let Some(logs) = &self.logs {
            write!(f, "\n  logs: {}", logs.display())?;
        }
        Ok(())
    }
}

/// Plays the seeds of the command line; fails when a promise is broken.
#[must_use]
#[expect(
    clippy::print_stdout,
    reason = "the outcome is the output of the program"
)]
#[expect(clippy::print_stderr, reason = "errors of the program")]
pub fn run(args: &Args) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    let sizes = Sizes {
        entries: args.entries.max(1),
        workers: args.workers.max(1),
        callers: args.callers,
        length: Duration::from_secs(args.seconds),
        mix: args.mix,
    };
    let mut seeds = args.seed..args.seed + args.seeds;
    let mut broken = 0;
    runtime.block_on(async {
        let mut playing = JoinSet::new();
        for seed in seeds.by_ref().take(args.parallel.max(1)) {
            playing.spawn(soak(seed, sizes));
        }
        while let Some(played) = playing.join_next().await {
            match played {
                Ok(Ok(outcome)) => {
                    broken += u32::from(!outcome.violations.is_empty());
                    println!("{outcome}");
                    for step in outcome.plan.steps.iter().filter(|_| args.plan) {
                        println!("    {step:?}");
                    }
                }
                Ok(Err(error)) => {
                    broken += 1;
                    println!("not played: {error}");
                }
                Err(error) => {
                    broken += 1;
                    println!("not played: {error}");
                }
            }
            if let Some(seed) = seeds.next() {
                playing.spawn(soak(seed, sizes));
            }
        }
    });
    println!("{broken} of {} seeds with a broken promise", args.seeds);
    if broken == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Plays one seed on the present tokio runtime.
///
/// # Errors
/// When the processes cannot be started, or are not ready in time.
pub async fn soak(seed: u64, sizes: Sizes) -> Result<Outcome> {
    let mut dir = Dir::open()?;
    let counts = (sizes.entries, sizes.workers);
    let plan = Plan::draw_mix(sizes.mix, seed, counts, sizes.length);
    let record = Record::create(dir.path()).context(SystemSnafu {
        step: "create",
        name: "workers.log",
    })?;
    let witness = Witness::new(Calm::default(), (ROOM.cpu, ROOM.memory));
    let witness = Arc::new(witness.with_record(record));
    let store = SiteStore::open(seed);
    let store = store.map_err(|source| crate::cluster::Error::System {
        step: "open",
        name: "store".to_owned(),
        source,
    })?;
    let store = Arc::new(store);
    let operator = Arc::new(Operator::new(Arc::clone(&store)));
    operator.change();
    let watcher = Arc::clone(&witness);
    let fleet = Fleet::open(dir.path(), counts, ROOM, store.address(), seed, watcher)?;
    let fleet = Arc::new(fleet);
    for node in fleet.nodes() {
        node.start()?;
    }
    wait_ready(&fleet).await?;
    let entries = fleet.entries.iter();
    let entries = entries.map(|entry| {
        let callers = match sizes.mix {
            Mix::Callers => entry.channels.address(),
            Mix::All | Mix::Restarts => entry.callers,
        };
        (callers, entry.readiness)
    });
    let entries = entries.collect();
    let caller = Arc::clone(&witness);
    let load = Load::spawn(caller, entries, sizes.callers, seed, sizes.mix);
    let mut watches = JoinSet::new();
    for at in 0..sizes.entries {
        let operator = Arc::clone(&operator);
        watches.spawn(operator.watch(Arc::clone(&fleet), at, Arc::clone(&witness)));
    }
    watches.spawn(watch_ends(Arc::clone(&fleet), Arc::clone(&witness)));
    sleep(CONTACT + WARM_UP).await;
    let stage = Arc::new(Stage {
        fleet,
        store,
        operator,
        load,
        witness,
    });
    let mut steps = JoinSet::new();
    for step in plan.steps.clone() {
        let stage = Arc::clone(&stage);
        steps.spawn(async move { stage.play(step).await });
    }
    while steps.join_next().await.is_some() {}
    stage.fleet.repair();
    drop(steps);
    sleep(CONTACT + CALM_TIME).await;
    let Some(stage) = Arc::into_inner(stage) else {
        unreachable!("all steps have ended");
    };
    stage.load.end().await;
    for entry in &stage.fleet.entries {
        // Ends the connections that are still open for the process only.
        entry.channels.reset();
    }
    sleep(DRAIN_TIME).await;
    watches.shutdown().await;
    let violations = stage.witness.finish();
    let answers = stage.witness.answers();
    let completed = answers.get(&Answer::Completed).copied().unwrap_or_default();
    let all: u64 = answers.values().sum();
    let logs = (!violations.is_empty()).then(|| dir.keep());
    Ok(Outcome {
        seed,
        plan,
        violations,
        answers: (completed, all - completed),
        logs,
    })
}

async fn wait_ready(fleet: &Fleet) -> Result<()> {
    let http = crate::client::Http::default();
    for entry in &fleet.entries {
        let url = format!("http://{}/-/readyz", entry.readiness);
        let ready = || async {
            let reply = http.get(&url).await.map_err(|error| error.to_string())?;
            let status = reply.status;
            (status == 200)
                .then_some(())
                .ok_or_else(|| format!("status {status}"))
        };
        eventually("readiness", START_LIMIT, ready).await?;
    }
    Ok(())
}

/// Reports processes that end by themselves, and starts them again.
async fn watch_ends(fleet: Arc<Fleet>, witness: Arc<Witness>) {
    let began = Instant::now();
    loop {
        sleep(WATCH_INTERVAL).await;
        for node in fleet.nodes() {
            let Some(end) = node.unexpected_end() else {
                continue;
            };
            let after = began.elapsed();
            let text = format!("after {after:?} of load: {end}");
            witness.violate(Rule::Exit, text);
            if let Err(error) = node.start() {
                witness.violate(Rule::Exit, error.to_string());
            }
        }
    }
}
