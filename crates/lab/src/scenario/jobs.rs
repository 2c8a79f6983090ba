//! Commands on single jobs.

use std::time::Duration;

use bytes::Bytes;
use goldenscript::Command;
use hyper::Method;
use serde_json::{Value, json};

use super::arguments::{Result, flag, parsed, position, time, value};
use super::runner::Scenario;
use crate::client::Http;
use crate::cluster::{Cluster, eventually};

/// Time for a job to run or to be answered.
const JOB_LIMIT: Duration = Duration::from_secs(40);

impl Scenario {
    pub(super) fn submit(&mut self, command: &Command) -> Result<String> {
        let id = position(command, 0)?;
        let ms: u64 = parsed(command, "ms", 20)?;
        let marked = flag(command, "marked");
        let mut tasks = Vec::new();
        for index in 0..parsed(command, "tasks", 1)? {
            let payload = json!({ "ms": ms, "result": format!("{id}/{index}") }).to_string();
            tasks.push(json!({ "payload": payload, "non_idempotent": marked }));
        }
        let class = value(command, "class").unwrap_or("console");
        let body = json!({ "id": id, "class": class, "tasks": tasks });
        let wait = time(value(command, "wait").unwrap_or("10s"))?;
        let url = self.url(command, &format!("/v1/jobs?wait={}ms", wait.as_millis()))?;
        let http = self.cluster()?.http().clone();
        let sent = http.send(Method::POST, &url, body.to_string(), wait + JOB_LIMIT);
        let reply = self.runtime.block_on(sent)?;
        Ok(format!("{id}: {}\n", shown(&reply.json())))
    }

    pub(super) fn answer(&mut self, command: &Command) -> Result<String> {
        let id = position(command, 0)?;
        let url = self.url(command, &format!("/v1/jobs/{id}?wait=2s"))?;
        let http = self.cluster()?.http().clone();
        let look = || final_answer(&http, &url);
        let body = self
            .runtime
            .block_on(eventually("final answer", JOB_LIMIT, look))?;
        Ok(format!("{id}: {}\n", shown(&body)))
    }

    pub(super) fn running(&mut self, command: &Command) -> Result<String> {
        let id = position(command, 0)?;
        let tasks = parsed(command, "tasks", 1)?;
        let Self {
            cluster, runtime, ..
        } = self;
        let cluster = cluster.as_ref().ok_or("start a cluster first")?;
        runtime.block_on(eventually("a task runs", JOB_LIMIT, || {
            started(cluster, id, tasks)
        }))?;
        Ok(String::new())
    }

    pub(super) fn starts(&mut self, command: &Command) -> Result<String> {
        let id = position(command, 0)?;
        let Self {
            cluster, runtime, ..
        } = self;
        let cluster = cluster.as_ref().ok_or("start a cluster first")?;
        let ledgers = runtime.block_on(cluster.ledgers())?;
        let doubled = ledgers.doubled().len();
        Ok(format!(
            "{id}: {} tasks started, {doubled} doubled\n",
            ledgers.started(id)
        ))
    }

    /// URL at the entry process of the argument `entry=`, or at any.
    fn url(&mut self, command: &Command, path: &str) -> Result<String> {
        let cluster = self.cluster()?;
        let base = match value(command, "entry") {
            Some(name) => cluster.node(name)?.url(),
            None => cluster.entries().next().to_owned(),
        };
        Ok(format!("{base}{path}"))
    }
}

async fn final_answer(http: &Http, url: &str) -> Result<Value, String> {
    let reply = http.send(Method::GET, url, Bytes::new(), JOB_LIMIT).await;
    let body = reply.map_err(|e| e.to_string())?.json();
    match body["state"].as_str() {
        Some("complete" | "failed") => Ok(body),
        _ => Err(shown(&body)),
    }
}

async fn started(cluster: &Cluster, id: &str, tasks: u64) -> Result<(), String> {
    let ledgers = cluster.ledgers().await.map_err(|e| e.to_string())?;
    match ledgers.started(id) {
        started if started >= tasks => Ok(()),
        started => Err(format!("{started} of {tasks} tasks started")),
    }
}

/// State of a job or code of a refusal, without what differs from run to run.
fn shown(body: &Value) -> String {
    let text = |value: &Value| value.as_str().unwrap_or("-").to_owned();
    match body["state"].as_str() {
        Some("complete") => format!("complete {}", body["results"]),
        Some("failed") => format!("failed {} ran {}", text(&body["code"]), text(&body["ran"])),
        // Which of the two it is depends on the moment.
        Some("pending" | "running") => "open".to_owned(),
        Some(state) => state.to_owned(),
        None => {
            let error = &body["error"];
            format!(
                "refused {} ran {}",
                text(&error["code"]),
                text(&error["ran"])
            )
        }
    }
}
