//! A whole system on this machine.

use std::collections::BTreeMap;
use std::process::ExitStatus;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::Method;
use rustix::process::Signal;
use serde_json::{Value, json};

use super::dir::Dir;
use super::error::{Error, NoProcessSnafu, Result};
use super::node::{Node, Role};
use super::ports::Port;
use super::process::Process;
use super::spec::Spec;
use super::wait::eventually;
use crate::client::Http;
use crate::load::{Entries, Ledgers};
use crate::proxy::Proxy;
use crate::standin_endpoint::Start;

/// Time for a process to become ready.
pub const READY_LIMIT: Duration = Duration::from_secs(30);

/// Time for the processes to end by themselves when the cluster is dropped.
const END_LIMIT: Duration = Duration::from_secs(1);

/// Limit of one request to a process.
const CALL_LIMIT: Duration = Duration::from_secs(5);

/// Running processes; all are ended when it is dropped.
#[derive(Debug)]
pub struct Cluster {
    pub(super) nodes: BTreeMap<String, Node>,
    pub(super) proxies: BTreeMap<String, Proxy>,
    pub(super) ports: Vec<Port>,
    pub(super) http: Http,
    pub(super) dir: Dir,
}

impl Cluster {
    /// Starts the processes, waits until they are ready and sets the classes.
    ///
    /// # Errors
    /// When a process cannot be started, ends, or is not ready in time.
    pub async fn open(spec: &Spec) -> Result<Self> {
        let mut cluster = Self {
            nodes: BTreeMap::new(),
            proxies: BTreeMap::new(),
            ports: Vec::new(),
            http: Http::default(),
            dir: Dir::open()?,
        };
        cluster.build(spec)?;
        cluster.ready(READY_LIMIT).await?;
        for (name, target) in &spec.classes {
            cluster.set_class(name, *target).await?;
        }
        cluster.served(READY_LIMIT).await?;
        cluster.configured(READY_LIMIT).await?;
        Ok(cluster)
    }

    /// A process by its name.
    ///
    /// # Errors
    /// When there is none.
    pub fn node(&self, name: &str) -> Result<&Node> {
        self.nodes
            .get(name)
            .map_or_else(|| NoProcessSnafu { name }.fail(), Ok)
    }

    /// Names of the processes of a role, in order.
    pub fn names(&self, role: Role) -> impl Iterator<Item = &str> {
        let fits = self.nodes.iter().filter(move |(_, node)| node.role == role);
        fits.map(|(name, _)| name.as_str())
    }

    /// HTTP client for requests to the processes.
    #[must_use]
    pub fn http(&self) -> &Http {
        &self.http
    }

    /// The entry processes as callers see them.
    #[must_use]
    pub fn entries(&self) -> Entries {
        let entries = self.nodes.values().filter(|node| node.role == Role::Entry);
        Entries::new(entries.map(Node::url).collect())
    }

    /// The proxy before the frame listener of an entry process, or before the store as an entry
    /// process sees it (`store@entry-1`). Only in a proxied cluster.
    ///
    /// # Errors
    /// When there is none.
    pub fn proxy(&self, name: &str) -> Result<&Proxy> {
        self.proxies
            .get(name)
            .map_or_else(|| NoProcessSnafu { name }.fail(), Ok)
    }

    /// Sends a signal to a process.
    ///
    /// # Errors
    /// When there is no such process or the system refuses.
    pub fn signal(&mut self, name: &str, signal: Signal) -> Result<()> {
        self.node_mut(name)?.process.signal(signal)
    }

    /// Kills a process (SIGKILL) and waits for its end.
    ///
    /// # Errors
    /// As [`Cluster::signal`].
    pub fn kill(&mut self, name: &str) -> Result<()> {
        self.signal(name, Signal::KILL)?;
        self.wait_end(name, CALL_LIMIT).map(|_| ())
    }

    /// Pauses a process (SIGSTOP).
    ///
    /// # Errors
    /// As [`Cluster::signal`].
    pub fn pause(&mut self, name: &str) -> Result<()> {
        self.signal(name, Signal::STOP)
    }

    /// Continues a paused process (SIGCONT).
    ///
    /// # Errors
    /// As [`Cluster::signal`].
    pub fn resume(&mut self, name: &str) -> Result<()> {
        self.signal(name, Signal::CONT)
    }

    /// Asks a process to stop (SIGTERM) without waiting for it.
    ///
    /// # Errors
    /// As [`Cluster::signal`].
    pub fn terminate(&mut self, name: &str) -> Result<()> {
        self.signal(name, Signal::TERM)
    }

    /// Waits for the end of a process; blocks the thread.
    ///
    /// # Errors
    /// When it does not end in time.
    pub fn wait_end(&mut self, name: &str, limit: Duration) -> Result<ExitStatus> {
        let ended = self.node_mut(name)?.process.wait(limit);
        ended.ok_or_else(|| Error::TooLate {
            what: format!("end of {name}"),
            limit,
            last: "it runs".to_owned(),
        })
    }

    /// Whether a process has ended.
    ///
    /// # Errors
    /// When there is no such process.
    pub fn ended(&mut self, name: &str) -> Result<bool> {
        Ok(self.node_mut(name)?.process.status().is_some())
    }

    /// Starts an ended process again with the same settings and addresses.
    ///
    /// # Errors
    /// When it still runs or cannot be started.
    pub fn restart(&mut self, name: &str) -> Result<()> {
        let node = self.node_mut(name)?;
        if node.process.status().is_none() {
            return Err(Error::Request {
                text: format!("{name} still runs"),
            });
        }
        node.process = Process::spawn(node.launch.clone())?;
        Ok(())
    }

    /// Changes the behaviour of a stand-in.
    ///
    /// # Errors
    /// When the stand-in refuses.
    pub async fn control(&self, name: &str, controls: &Value) -> Result<()> {
        let url = format!("{}/control", self.node(name)?.admin());
        self.call(Method::POST, &url, controls).await.map(|_| ())
    }

    /// Ledgers of all endpoints together.
    ///
    /// # Errors
    /// When an endpoint does not answer.
    pub async fn ledgers(&self) -> Result<Ledgers> {
        let mut ledgers = Ledgers::default();
        for start in self.starts().await? {
            ledgers.add(&start);
        }
        Ok(ledgers)
    }

    /// All starts at all endpoints.
    ///
    /// # Errors
    /// When an endpoint does not answer.
    pub async fn starts(&self) -> Result<Vec<Start>> {
        let mut all = Vec::new();
        for name in self.names(Role::Endpoint) {
            let url = format!("{}/ledger", self.node(name)?.admin());
            let reply = self
                .http
                .send(Method::GET, &url, Bytes::new(), READY_LIMIT)
                .await;
            let reply = reply.map_err(|e| Error::Request {
                text: e.to_string(),
            })?;
            let starts = serde_json::from_slice::<Vec<Start>>(&reply.body);
            let failed = |e| Error::Request {
                text: format!("{url}: {e}"),
            };
            all.extend(starts.map_err(failed)?);
        }
        Ok(all)
    }

    /// Forgets the starts at all endpoints.
    ///
    /// # Errors
    /// When an endpoint does not answer.
    pub async fn clear_ledgers(&self) -> Result<()> {
        for name in self.names(Role::Endpoint) {
            let url = format!("{}/ledger/clear", self.node(name)?.admin());
            self.call(Method::POST, &url, &json!({})).await?;
        }
        Ok(())
    }

    /// Sends a JSON request and returns the JSON body of a successful reply.
    ///
    /// # Errors
    /// When there is no reply, or one that is no success.
    pub async fn call(&self, method: Method, url: &str, body: &Value) -> Result<Value> {
        let body = if body.is_null() {
            Bytes::new()
        } else {
            body.to_string().into()
        };
        let failed = |text: String| Error::Request { text };
        let reply = self.http.send(method, url, body, CALL_LIMIT).await;
        let reply = reply.map_err(|e| failed(e.to_string()))?;
        if !(200..300).contains(&reply.status) {
            let text = String::from_utf8_lossy(&reply.body);
            return Err(failed(format!("{url}: {} {text}", reply.status)));
        }
        Ok(reply.json())
    }

    /// Sets the target of a class through any entry process.
    ///
    /// # Errors
    /// When no entry process accepts it.
    pub async fn set_class(&self, name: &str, target: Duration) -> Result<()> {
        let target = humantime::format_duration(target).to_string();
        let entry = self.entries().next().to_owned();
        let url = format!("{entry}/v1/classes/{name}");
        self.call(Method::PUT, &url, &json!({ "target": target }))
            .await
            .map(|_| ())
    }

    /// Waits until all running entry processes and agents are ready.
    ///
    /// # Errors
    /// When one ends or is not ready in time.
    pub async fn ready(&mut self, limit: Duration) -> Result<()> {
        for node in self.nodes.values_mut() {
            node.process.check()?;
        }
        for (name, node) in &self.nodes {
            let path = match node.role {
                Role::Store | Role::Endpoint => "control",
                Role::Entry | Role::Agent => "readyz",
            };
            let url = format!("{}/{path}", node.admin());
            let look = || async {
                match self.http.get(&url).await {
                    Ok(reply) if reply.status == 200 => Ok(()),
                    Ok(reply) => Err(format!("status {}", reply.status)),
                    Err(error) => Err(error.to_string()),
                }
            };
            eventually(&format!("{name} ready"), limit, look).await?;
        }
        Ok(())
    }

    pub(super) fn node_mut(&mut self, name: &str) -> Result<&mut Node> {
        self.nodes
            .get_mut(name)
            .map_or_else(|| NoProcessSnafu { name }.fail(), Ok)
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for node in self.nodes.values_mut() {
            // A paused process ends only after it continues; one that is gone needs no signal.
            let _ = node.process.signal(Signal::TERM);
            let _ = node.process.signal(Signal::CONT);
        }
        let end = Instant::now() + END_LIMIT;
        for node in self.nodes.values_mut() {
            let left = end.saturating_duration_since(Instant::now());
            if node.process.wait(left).is_none() {
                // Dropping the process kills it too and waits for it.
                let _ = node.process.signal(Signal::KILL);
            }
        }
    }
}
