//! A small deployment: the project's processes with the commands of the deploy file, beside stand-ins of
//! the store and the workers, on loopback addresses.

use std::fs;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::json::Json;
use crate::proxy::Proxy;
use crate::record::Record;
use crate::store::Store;
use crate::worker::{self, Worker};

const ENTRY_COMMAND: &str = "target/release/knapweedwall-site-entry";
const AGENT_COMMAND: &str = "target/release/knapweedwall-site-agent";

pub const HOST: &str = "desk.example";
pub const PREFIX: &str = "/desk/";

/// Time between a broken channel and the next attempt of a client.
pub const RESEND_MS: u64 = 1_300;

/// Ports that were chosen but may not be bound yet.
static GIVEN_PORTS: Mutex<Vec<u16>> = Mutex::new(Vec::new());

const SIGTERM: i32 = 15;
const SIGKILL: i32 = 9;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Processes that were started and not waited for.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn running() -> MutexGuard<'static, Vec<u32>> {
    RUNNING.lock().unwrap_or_else(|error| error.into_inner())
}

/// Kills all processes that are running.
pub fn kill_all() {
    for id in running().drain(..) {
        // Safety: `kill` only takes integers; the process is a child that was not waited for.
        unsafe { kill(id as i32, SIGKILL) };
    }
}

/// A process of the project, and how it is started.
pub struct Process {
    pub name: String,
    command: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    record: Arc<Record>,
}

impl Process {
    pub fn start(&mut self) -> io::Result<()> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = Command::new(self.command)
            .arg("run")
            .env_clear()
            .env("KNAPWEEDWALL_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        running().push(child.id());
        self.child = Some(child);
        self.record.line(&format!("process {} starts", self.name));
        Ok(())
    }

    fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // Safety: `kill` only takes integers; the process is a child that was not waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Waits for the process, which has ended or was killed.
    fn forget(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
            running().retain(|id| *id != child.id());
        }
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        self.signal(SIGKILL);
        self.record
            .line(&format!("process {} is killed", self.name));
        self.forget();
    }

    /// Sends SIGTERM, and SIGKILL if the process does not end within `grace`.
    pub fn stop(&mut self, grace: Duration) {
        self.signal(SIGTERM);
        self.record
            .line(&format!("process {} gets SIGTERM", self.name));
        let deadline = Instant::now() + grace;
        while let Some(child) = &mut self.child {
            if matches!(child.try_wait(), Ok(Some(_))) {
                self.record
                    .line(&format!("process {} has ended", self.name));
                self.forget();
            } else if Instant::now() >= deadline {
                self.kill();
            } else {
                thread::sleep(Duration::from_millis(5));
            }
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if self.child.is_some() {
            self.kill();
        }
    }
}

/// An entry process with the proxy in front of its links.
pub struct Entry {
    pub process: Process,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    pub links: Proxy,
}

pub struct Side {
    pub process: Process,
    pub worker: Worker,
}

pub struct Fleet {
    pub entries: Vec<Entry>,
    pub sides: Vec<Side>,
    pub store: Store,
    pub record: Arc<Record>,
    folder: PathBuf,
}

/// What each worker says of itself: its kind and its rack.
pub type Labels = Vec<&'static str>;

impl Fleet {
    /// Starts a deployment with `entries` entry processes and one agent and worker for each of `labels`.
    pub fn start(
        record: Arc<Record>,
        entries: usize,
        labels: Vec<Labels>,
        max_attempts: u64,
    ) -> io::Result<Self> {
        let folder =
            std::env::temp_dir().join(format!("knapweedwall-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let store = Store::spawn(SocketAddr::new(ip(1), 0))?;
        store.put("op", "config", configuration(max_attempts).as_bytes());
        let names: Vec<String> = (0..entries)
            .map(|at| format!("frontend-zone-{}", at + 1))
            .collect();
        let side_names: Vec<String> = (0..labels.len())
            .map(|at| format!("side-zone-{}", at + 1))
            .collect();
        let all_names: Vec<String> = names.iter().chain(&side_names).cloned().collect();
        // Links have the same port on all hosts; proxies use the hosts' addresses.
        let hosts = (0..entries).map(|at| ip(20 + at as u8)).collect::<Vec<_>>();
        let link_port = free_port(&hosts)?;
        let control_port = free_port(&hosts)?;
        let seeds: Vec<String> = hosts
            .iter()
            .map(|host| format!("{host}:{control_port}"))
            .collect();
        let mut fleet = Self {
            entries: Vec::new(),
            sides: Vec::new(),
            store,
            record,
            folder,
        };
        for (at, name) in names.iter().enumerate() {
            fleet.add_entry(name, hosts[at], link_port, control_port, &seeds, &all_names)?;
        }
        for (at, name) in side_names.iter().enumerate() {
            fleet.add_side(
                name,
                ip(60 + at as u8),
                link_port,
                &seeds,
                labels[at].clone(),
            )?;
        }
        Ok(fleet)
    }

    fn add_entry(
        &mut self,
        name: &str,
        host: IpAddr,
        link_port: u16,
        control_port: u16,
        seeds: &[String],
        names: &[String],
    ) -> io::Result<()> {
        let port = || free_port(&[host]).map(|port| SocketAddr::new(host, port));
        let (callers, readiness, metrics, frames) = (port()?, port()?, port()?, port()?);
        let store_address = self.store.server.address;
        let advertised = SocketAddr::new(host, link_port);
        let links = Proxy::spawn(advertised, frames, names.to_vec())?;
        let settings = format!(
            "name: {name}\nzone: zone-a\ncallers: \"{callers}\"\nreadiness: \"{readiness}\"\n\
             control: \"{host}:{control_port}\"\nframes: \"{frames}\"\nadvertise: \"{advertised}\"\n\
             metrics: \"{metrics}\"\nseeds: [{}]\nstore: \"{store_address}\"\ngrace_s: 6\n\
             config_limit: 2000ms\nlog:\n  output: stdout\n",
            quoted(seeds)
        );
        let process = self.process(name, ENTRY_COMMAND, &settings)?;
        self.entries.push(Entry {
            process,
            callers,
            readiness,
            links,
        });
        Ok(())
    }

    fn add_side(
        &mut self,
        name: &str,
        host: IpAddr,
        link_port: u16,
        seeds: &[String],
        labels: Labels,
    ) -> io::Result<()> {
        let port = || free_port(&[host]).map(|port| SocketAddr::new(host, port));
        let (control, app, metrics) = (port()?, port()?, port()?);
        let settings = format!(
            "name: {name}\nzone: zone-a\ncontrol: \"{control}\"\nworker: \"{app}\"\n\
             frame_port: {link_port}\nmetrics: \"{metrics}\"\nseeds: [{}]\nstore: \"{}\"\n\
             grace_s: 6\nlease: \"1000ms\"\nlog:\n  output: stdout\n",
            quoted(seeds),
            self.store.server.address
        );
        let process = self.process(name, AGENT_COMMAND, &settings)?;
        let worker = worker::Settings {
            name: format!("w{}", self.sides.len() + 1),
            address: app,
            agent: control,
            labels,
        };
        let worker = Worker::spawn(worker, Arc::clone(&self.record))?;
        self.sides.push(Side { process, worker });
        Ok(())
    }

    fn process(&self, name: &str, command: &'static str, settings: &str) -> io::Result<Process> {
        let path = self.folder.join(format!("{name}.yaml"));
        fs::write(&path, settings)?;
        let mut process = Process {
            name: name.to_owned(),
            command,
            settings: path,
            log: self.folder.join(format!("{name}.log")),
            child: None,
            record: Arc::clone(&self.record),
        };
        process.start()?;
        Ok(process)
    }

    /// Waits until all entry processes are ready, and then for `settle`, in which the processes share
    /// their work.
    pub fn wait_until_ready(&self, settle: Duration) -> bool {
        let deadline = Instant::now() + Duration::from_secs(20);
        for entry in &self.entries {
            loop {
                let limit = Duration::from_secs(1);
                let answer = http::call(entry.readiness, "GET", "/-/readyz", &[], "", limit);
                if matches!(answer, Ok((200, _))) {
                    break;
                }
                if Instant::now() >= deadline {
                    return false;
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        thread::sleep(settle);
        true
    }

    /// Returns a loopback address at which nothing listens.
    pub fn unused_address(&self) -> io::Result<SocketAddr> {
        let host = ip(200);
        Ok(SocketAddr::new(host, free_port(&[host])?))
    }

    /// All runs on all workers.
    pub fn runs(&self) -> Vec<worker::Run> {
        self.sides
            .iter()
            .flat_map(|side| side.worker.runs())
            .collect()
    }

    /// Ends all processes. Returns the folder with their settings and logs.
    pub fn end(&mut self) -> PathBuf {
        for entry in &mut self.entries {
            entry.process.kill();
        }
        for side in &mut self.sides {
            side.process.kill();
            side.worker.shut_down();
        }
        self.folder.clone()
    }
}

/// Removes the folder of a deployment, unless `KEEP=1`.
pub fn clean_up(folder: &Path) {
    if std::env::var("KEEP").as_deref() != Ok("1") {
        let _ = fs::remove_dir_all(folder);
    }
}

/// A client of the job API that uses one entry process.
#[derive(Clone)]
pub struct Client {
    pub callers: SocketAddr,
    pub name: String,
    pub record: Arc<Record>,
}

impl Client {
    pub fn of(fleet: &Fleet, entry: usize) -> Self {
        let entry = &fleet.entries[entry];
        Self {
            callers: entry.callers,
            name: entry.process.name.clone(),
            record: Arc::clone(&fleet.record),
        }
    }

    /// Sends a request. The answer has status 0 if there was none.
    pub fn call(&self, method: &str, id: &str, body: &str, limit_ms: u64) -> (u16, String) {
        let path = format!("{PREFIX}{id}");
        let headers = [
            ("Host", HOST.to_owned()),
            ("Knapweedwall-Deadline-Ms", limit_ms.to_string()),
        ];
        self.record
            .line(&format!("client sends {method} {id} to {}", self.name));
        let limit = Duration::from_millis(limit_ms);
        let answer = http::call(self.callers, method, &path, &headers, body, limit);
        let text = match &answer {
            Ok((status, body)) => format!("{status} {body}"),
            Err(cause) => cause.clone(),
        };
        self.record
            .line(&format!("{} answers {method} {id}: {text}", self.name));
        answer.unwrap_or((0, String::new()))
    }
}

/// Returns the body of a job. Each phase is a list of fields.
pub fn job(spec: &str, best_effort: bool, phases: Vec<Json>) -> String {
    Json::object([
        ("Spec", Json::text(spec)),
        ("Phases", Json::List(phases)),
        ("BestEffort", Json::Bool(best_effort)),
    ])
    .to_string()
}

fn configuration(max_attempts: u64) -> String {
    let route = Json::object([
        ("Name", Json::text("r-desk")),
        ("Host", Json::text(HOST)),
        ("Prefix", Json::text(PREFIX)),
        ("Kind", Json::text("unsafe")),
        ("TimeoutMs", Json::number(60_000)),
        ("TargetLatencyMs", Json::number(1_000)),
        ("Priority", Json::number(0)),
        ("Service", Json::text("desk")),
        ("MaxAttempts", Json::number(max_attempts)),
        ("StretchFactor", Json::Number(1.6)),
    ]);
    let service = Json::object([
        ("Name", Json::text("desk")),
        ("HealthPath", Json::text("/healthz")),
        ("MaxConns", Json::number(64)),
        ("Protocol", Json::text("h1")),
    ]);
    Json::object([
        ("Version", Json::number(1)),
        ("Routes", Json::List(vec![route])),
        ("Services", Json::List(vec![service])),
        (
            "Limits",
            Json::object([("MaxBodyBytes", Json::number(262_144))]),
        ),
    ])
    .to_string()
}

/// Returns a loopback address. Scripts that run at the same time use different ones.
fn ip(last: u8) -> IpAddr {
    let pid = std::process::id();
    let part = |value: u32| u8::try_from(value % 250).unwrap_or_default();
    IpAddr::V4(Ipv4Addr::new(127, 1 + part(pid), part(pid / 250), last))
}

fn quoted(addresses: &[String]) -> String {
    let quoted: Vec<String> = addresses
        .iter()
        .map(|address| format!("\"{address}\""))
        .collect();
    quoted.join(", ")
}

/// Returns a port that is free on all hosts.
fn free_port(hosts: &[IpAddr]) -> io::Result<u16> {
    loop {
        let first = TcpListener::bind(SocketAddr::new(hosts[0], 0))?;
        let port = first.local_addr()?.port();
        let others = hosts[1..].iter();
        let bound: Result<Vec<_>, _> = others
            .map(|host| TcpListener::bind(SocketAddr::new(*host, port)))
            .collect();
        let mut given = GIVEN_PORTS
            .lock()
            .unwrap_or_else(|error| error.into_inner());
        if bound.is_ok() && !given.contains(&port) {
            given.push(port);
            return Ok(port);
        }
    }
}
