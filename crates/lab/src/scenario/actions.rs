//! Commands that act on processes, proxies and stand-ins.

use std::os::unix::process::ExitStatusExt;
use std::time::Duration;

use goldenscript::Command;

use super::arguments::{Result, fields, flag, position, time};
use super::runner::Scenario;
use crate::cluster::READY_LIMIT;
use crate::proxy::Direction;

/// Time for a process to end after it was asked to.
const END_LIMIT: Duration = Duration::from_secs(40);

impl Scenario {
    pub(super) fn process(&mut self, command: &Command) -> Result<String> {
        let name = position(command, 0)?;
        let cluster = self.cluster()?;
        match command.name.as_str() {
            "kill" => cluster.kill(name)?,
            "pause" => cluster.pause(name)?,
            "continue" => cluster.resume(name)?,
            "terminate" => cluster.terminate(name)?,
            _ => cluster.restart(name)?,
        }
        Ok(String::new())
    }

    pub(super) fn ended(&mut self, command: &Command) -> Result<String> {
        let name = position(command, 0)?;
        let status = self.cluster()?.wait_end(name, END_LIMIT)?;
        Ok(match (status.code(), status.signal()) {
            (Some(code), _) => format!("{name} ended with code {code}\n"),
            (None, signal) => format!("{name} ended by signal {}\n", signal.unwrap_or_default()),
        })
    }

    pub(super) fn ready(&mut self) -> Result<String> {
        let Self {
            cluster, runtime, ..
        } = self;
        let cluster = cluster.as_mut().ok_or("start a cluster first")?;
        runtime.block_on(async {
            cluster.ready(READY_LIMIT).await?;
            cluster.served(READY_LIMIT).await
        })?;
        Ok(String::new())
    }

    pub(super) fn proxy(&mut self, command: &Command) -> Result<String> {
        let proxy = self.cluster()?.proxy(position(command, 0)?)?;
        match command.name.as_str() {
            "repair" => proxy.repair(),
            "reset" => proxy.reset(),
            "delay" => proxy.delay(time(position(command, 1)?)?),
            _ => {
                let (forward, backward) = (flag(command, "forward"), flag(command, "backward"));
                if forward || !backward {
                    proxy.cut(Direction::Forward);
                }
                if backward || !forward {
                    proxy.cut(Direction::Backward);
                }
            }
        }
        Ok(String::new())
    }

    pub(super) fn control(&mut self, command: &Command) -> Result<String> {
        let name = match command.name.as_str() {
            "store" => "store",
            _ => position(command, 0)?,
        };
        let Self {
            cluster, runtime, ..
        } = self;
        let cluster = cluster.as_ref().ok_or("start a cluster first")?;
        runtime.block_on(cluster.control(name, &fields(command)))?;
        Ok(String::new())
    }

    /// Lets a fault last for a time. Conditions are waited for with the other commands.
    pub(super) fn elapse(&mut self, command: &Command) -> Result<String> {
        let time = time(position(command, 0)?)?;
        self.runtime
            .block_on(async { tokio::time::sleep(time).await });
        Ok(String::new())
    }
}
