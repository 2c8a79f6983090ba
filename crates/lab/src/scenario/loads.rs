//! Commands on loads.

use std::time::Duration;

use goldenscript::Command;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::arguments::{Result, flag, parsed, position, range, value};
use super::runner::Scenario;
use crate::load::{Arrivals, Figures, Kind, Mix, Plan, Record, run};

/// Time for a number of jobs to be answered.
const ANSWER_LIMIT: Duration = Duration::from_secs(60);

/// A load that runs beside the commands.
#[derive(Debug)]
pub(super) struct Load {
    ended: watch::Receiver<usize>,
    records: JoinHandle<Vec<Record>>,
}

impl Scenario {
    pub(super) fn load(&mut self, command: &Command) -> Result<String> {
        let name = position(command, 0)?.to_owned();
        let kind = Kind {
            class: value(command, "class").unwrap_or("console").into(),
            share: 1.0,
            tasks: range(command, "tasks", 1)?,
            run_ms: range(command, "ms", 20)?,
            non_idempotent: flag(command, "marked"),
            cancelled: parsed(command, "cancelled", 0.0)?,
            stragglers: 0.0,
            straggler_factor: 1,
            team: None,
        };
        let plan = Plan {
            seed: parsed(command, "seed", 1)?,
            prefix: name.clone(),
            mix: Mix { kinds: vec![kind] },
            arrivals: Arrivals::Open {
                rate: parsed(command, "rate", 50.0)?,
            },
            jobs: parsed(command, "jobs", 100)?,
            limit: ANSWER_LIMIT,
        };
        let entries = self.cluster()?.entries();
        let (sender, ended) = watch::channel(0);
        let records = self.runtime.spawn(async move {
            run(&plan, entries, |count| {
                sender.send_replace(count);
            })
            .await
        });
        self.loads.insert(name, Load { ended, records });
        Ok(String::new())
    }

    pub(super) fn answered(&mut self, command: &Command) -> Result<String> {
        let count: usize = position(command, 1)?.parse()?;
        let load = self
            .loads
            .get_mut(position(command, 0)?)
            .ok_or("no such load")?;
        let reached = load.ended.wait_for(|ended| *ended >= count);
        self.runtime
            .block_on(async { timeout(ANSWER_LIMIT, reached).await })??;
        Ok(String::new())
    }

    pub(super) fn settle(&mut self, command: &Command) -> Result<String> {
        let name = position(command, 0)?;
        let load = self.loads.remove(name).ok_or("no such load")?;
        let Self {
            cluster, runtime, ..
        } = self;
        let cluster = cluster.as_ref().ok_or("start a cluster first")?;
        let figures = runtime.block_on(async {
            let records = timeout(ANSWER_LIMIT * 2, load.records).await??;
            let ledgers = cluster.ledgers().await?;
            Result::<Figures>::Ok(Figures::new(&records, &ledgers))
        })?;
        let faults = figures.faults();
        if !faults.is_empty() {
            return Err(faults.into());
        }
        let allowed: Vec<&str> = value(command, "allow").map_or(vec![], |a| a.split(',').collect());
        Ok(summary(name, &figures, &allowed))
    }
}

/// Numbers of answers; with allowed codes, whose number differs from run to run, without numbers.
fn summary(name: &str, figures: &Figures, allowed: &[&str]) -> String {
    let complete: u64 = figures.classes.values().map(|class| class.complete).sum();
    let mut codes = figures.codes();
    codes.retain(|code, _| !allowed.contains(&code.as_str()));
    let others = codes
        .iter()
        .map(|(code, count)| format!(", {code} {count}"))
        .collect::<String>();
    if allowed.is_empty() {
        return format!("{name}: complete {complete}{others}, sound\n");
    }
    format!(
        "{name}: complete or {}{others}, sound\n",
        allowed.join(" or ")
    )
}
