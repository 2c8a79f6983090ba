//! The processes of a small deployment on loopback: entry processes, agents, and a worker beside each.
//!
//! Each entry process has an address of its own. Its links and its way to the store lead through
//! proxies.

use std::fs::{self, File, OpenOptions};
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::json::{self, Value};
use crate::proxy::{Cut, Proxy};
use crate::store::Store;

pub const SERVICE: &str = "booking-desk";
pub const ZONES: [&str; 3] = ["tw-north-a", "tw-north-b", "tw-north-c"];
pub const HOST: &str = "desk.example";
pub const PREFIX: &str = "/jobs/";

/// Capacity of a worker in thousandths of a core.
pub const WORKER_CPU: u64 = 16_000;

/// How long a client waits for a response.
pub const CLIENT_LIMIT: Duration = Duration::from_millis(1_500);

/// `ResendMs`, used for all repeated requests.
const RESEND: Duration = Duration::from_millis(1_300);

/// What a worker started or ended.
#[derive(Debug, Clone)]
pub struct Event {
    pub at: Duration,
    pub started: bool,
    /// ID.K.STEP.INDEX.
    pub task: String,
}

impl Event {
    pub fn job(&self) -> &str {
        self.task.split('.').next().unwrap_or_default()
    }
}

/// The record of a run, and what the workers have done.
pub struct Log {
    began: Instant,
    file: Mutex<File>,
    events: Mutex<Vec<Event>>,
}

impl Log {
    fn open(path: &Path) -> Arc<Self> {
        let file = File::create(path).expect("record.txt");
        Arc::new(Self {
            began: Instant::now(),
            file: Mutex::new(file),
            events: Mutex::default(),
        })
    }

    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.now().as_secs_f64());
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _written = file.write_all(line.as_bytes());
    }

    pub fn events(&self) -> Vec<Event> {
        self.events
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn read_worker(&self, worker: usize, lines: impl BufRead) {
        for line in lines.lines().map_while(Result::ok) {
            let words: Vec<&str> = line.split(' ').collect();
            let event = Event {
                at: self.now(),
                started: words[0] == "start",
                task: words.get(1).copied().unwrap_or_default().to_owned(),
            };
            self.note(&format!("worker {worker}: {line}"));
            let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
            events.push(event);
        }
    }
}

/// A process that ends with this value.
struct Process(Option<Child>);

impl Process {
    fn kill(&mut self) {
        if let Some(mut child) = self.0.take() {
            let _killed = child.kill();
            let _ended = child.wait();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

pub struct Entry {
    pub name: String,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    links: Proxy,
    store: Proxy,
    process: Process,
}

pub struct Host {
    worker: Process,
    agent: Process,
}

pub struct Fleet {
    pub log: Arc<Log>,
    pub store: Arc<Store>,
    pub entries: Vec<Entry>,
    hosts: Vec<Host>,
    store_address: SocketAddr,
    folder: PathBuf,
    frame_port: u16,
    control_port: u16,
    bin: PathBuf,
    next_id: u64,
}

impl Fleet {
    /// Starts the store, three entry processes, and an agent and a worker for each list of labels.
    pub fn start(record: &Path, labels: &[&[&str]]) -> Self {
        let log = Log::open(record);
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("temporary folder");
        let (store, store_address) = Store::open();
        store.put("op", "config", &configuration());
        let seed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let mut fleet = Self {
            log,
            store,
            entries: Vec::new(),
            hosts: Vec::new(),
            store_address,
            folder,
            frame_port: free_shared_port(),
            control_port: free_shared_port(),
            bin: PathBuf::from("target/release"),
            next_id: seed.map_or(1, |seed| seed.as_nanos() as u64) | 1,
        };
        for _ in ZONES {
            fleet.add_entry();
        }
        for labels in labels {
            fleet.add_host(labels);
        }
        fleet
    }

    /// Seeds: the control addresses of the first three machines with an entry process.
    fn seeds(&self) -> String {
        let seeds = (0..ZONES.len()).map(|at| format!("{}:{}", entry_ip(at), self.control_port));
        seeds.collect::<Vec<_>>().join(", ")
    }

    /// Starts an entry process on a machine of its own.
    pub fn add_entry(&mut self) {
        let at = self.entries.len();
        let (ip, name) = (entry_ip(at), format!("frontend-{}", at + 1));
        let free = |count: usize| free_ports(ip, count);
        let ports = free(4);
        let control = SocketAddr::from((ip, self.control_port));
        let links = Proxy::open((ip, self.frame_port).into(), ports[2]);
        let store = Proxy::open((Ipv4Addr::LOCALHOST, 0).into(), self.store_address);
        let settings = format!(
            "name: {name}\nzone: {zone}\ncallers: {callers}\nreadiness: {readiness}\n\
             control: {control}\nframes: {frames}\nadvertise: {advertise}\nmetrics: {metrics}\n\
             seeds: [{seeds}]\nstore: {store}\ngrace_s: 6\nconfig_limit: 2000ms\n\
             log:\n  output: stdout\n",
            zone = ZONES[at % ZONES.len()],
            callers = ports[0],
            readiness = ports[1],
            frames = ports[2],
            advertise = links.address,
            metrics = ports[3],
            seeds = self.seeds(),
            store = store.address,
        );
        let process = self.launch(&name, "knapweedwall-site-entry", &settings);
        self.log.note(&format!("{name} started"));
        self.entries.push(Entry {
            name,
            callers: ports[0],
            readiness: ports[1],
            links,
            store,
            process,
        });
    }

    fn add_host(&mut self, labels: &[&str]) {
        let at = self.hosts.len();
        let name = format!("side-{}", at + 1);
        let ip = Ipv4Addr::new(127, network(), 2, at as u8 + 1);
        let ports = free_ports(ip, 3);
        let zone = ZONES[at % ZONES.len()];
        let settings = format!(
            "name: {name}\nzone: {zone}\ncontrol: {control}\nworker: {worker}\n\
             service: {SERVICE}\nframe_port: {frame_port}\nmetrics: {metrics}\n\
             seeds: [{seeds}]\nstore: {store}\ngrace_s: 6\nlease: 1000ms\n\
             log:\n  output: stdout\n",
            control = ports[0],
            worker = ports[1],
            metrics = ports[2],
            frame_port = self.frame_port,
            seeds = self.seeds(),
            store = self.store_address,
        );
        let agent = self.launch(&name, "knapweedwall-site-agent", &settings);
        let id = format!("i-{}", at + 1);
        let own = std::env::current_exe().expect("path of the stand-in");
        let mut command = Command::new(own);
        command.args(["worker", &id, &ports[1].to_string(), &ports[0].to_string()]);
        command.args([SERVICE, zone, &labels.join(","), &WORKER_CPU.to_string()]);
        command.stdin(Stdio::null()).stdout(Stdio::piped());
        let mut worker = command.spawn().expect("worker");
        let lines = BufReader::new(worker.stdout.take().expect("output of the worker"));
        let log = Arc::clone(&self.log);
        thread::spawn(move || log.read_worker(at, lines));
        self.hosts.push(Host {
            worker: Process(Some(worker)),
            agent,
        });
    }

    fn launch(&self, name: &str, binary: &str, settings: &str) -> Process {
        let path = self.folder.join(format!("{name}.yaml"));
        fs::write(&path, settings).expect("settings");
        let log = self.folder.join(format!("{name}.log"));
        let log = OpenOptions::new().create(true).append(true).open(log);
        let log = log.expect("log file");
        let mut command = Command::new(self.bin.join(binary));
        command.arg("run").env("KNAPWEEDWALL_SETTINGS", path);
        command.stdin(Stdio::null()).stdout(log);
        Process(Some(command.spawn().expect("process of the system")))
    }

    /// Waits until all entry processes are ready and jobs run. Returns whether that is so in time.
    pub fn wait_until_ready(&mut self) -> bool {
        let until = self.log.now() + Duration::from_secs(20);
        while self.log.now() < until {
            let mut entries = self.entries.iter();
            let ready = entries.all(|entry| {
                let target = ("GET", "/-/readyz", "platform");
                let sent = http::call(entry.readiness, target, &[], "", CLIENT_LIMIT);
                sent.is_some_and(|(status, _)| status == 200)
            });
            let owned = self.store.parts_with_key("jobs", "owner").len() == 16;
            if ready && owned {
                // Agents connect to all entry processes, and workers send their first heartbeats.
                thread::sleep(Duration::from_secs(3));
                self.log.note("all entry processes are ready");
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        self.log.note("not ready in time");
        false
    }

    /// Records whether an entry process reports itself ready, so that the platform sends clients to it.
    pub fn note_readiness(&self, at: usize) {
        let entry = &self.entries[at];
        let target = ("GET", "/-/readyz", "platform");
        let status = http::call(entry.readiness, target, &[], "", CLIENT_LIMIT);
        let status = status.map(|(status, _)| status);
        self.log.note(&format!(
            "{} answers the readiness check: {status:?}",
            entry.name
        ));
    }

    /// Draws the id of a job.
    pub fn draw_id(&mut self) -> String {
        // SplitMix64.
        self.next_id = self.next_id.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut bits = self.next_id;
        bits = (bits ^ bits >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ bits >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
        format!("{:016x}", bits ^ bits >> 31)
    }

    /// Sends a request of a client to an entry process, and records it with the response.
    pub fn call(&self, entry: usize, method: &str, id: &str, body: &str) -> Option<(u16, String)> {
        let entry = &self.entries[entry];
        let path = format!("{PREFIX}{id}");
        let limit = (
            "Knapweedwall-Deadline-Ms",
            CLIENT_LIMIT.as_millis().to_string(),
        );
        self.log
            .note(&format!("client to {}: {method} {path} {body}", entry.name));
        let response = http::call(
            entry.callers,
            (method, &path, HOST),
            &[limit],
            body,
            CLIENT_LIMIT,
        );
        let shown = response
            .as_ref()
            .map_or("no response".to_owned(), |(status, body)| {
                format!("{status} {body}")
            });
        self.log.note(&format!(
            "{} to client: {method} {path} -> {shown}",
            entry.name
        ));
        response
    }

    /// Hands a job in, again after no response, 502 or 504, and after a refusal. Returns whether it
    /// was accepted within `limit`.
    pub fn submit(&self, entries: &[usize], id: &str, body: &str, limit: Duration) -> bool {
        let until = self.log.now() + limit;
        for entry in entries.iter().cycle() {
            let sent_at = self.log.now();
            if sent_at >= until {
                return false;
            }
            let response = self.call(*entry, "POST", id, body);
            if response.is_some_and(|(status, _)| status / 100 == 2) {
                return true;
            }
            thread::sleep((sent_at + RESEND).saturating_sub(self.log.now()));
        }
        false
    }

    /// Asks for the state of a job until there is a response with one. A 410 is returned as `gone`.
    pub fn state_of(&self, id: &str) -> String {
        for attempt in 0..10 {
            match self.call(attempt % self.entries.len().min(ZONES.len()), "GET", id, "") {
                Some((200, body)) => {
                    let body = json::parse(&body).unwrap_or(Value::Null);
                    return body.get("State").text().to_owned();
                }
                Some((410, _)) => return "gone".to_owned(),
                _ => thread::sleep(Duration::from_millis(300)),
            }
        }
        "no answer".to_owned()
    }

    /// Returns the position of the entry process that owns a part of the jobs, by the owner row that it
    /// has written.
    pub fn owner_of(&self, part: &str) -> Option<usize> {
        let owns = |entry: &Entry| {
            let row = ("jobs", part, "owner");
            self.store.value_contains(row, entry.name.as_bytes())
        };
        self.entries.iter().position(owns)
    }

    /// Waits until an entry process has written its next heartbeat to the store, which it does every
    /// second.
    pub fn wait_for_heartbeat(&self, at: usize) {
        let store = &self.entries[at].store;
        let (known, until) = (store.heartbeats(), self.log.now() + Duration::from_secs(5));
        while store.heartbeats() == known && self.log.now() < until {
            thread::sleep(Duration::from_millis(2));
        }
    }

    /// Cuts an entry process off from all other processes of the system and from the store, or ends
    /// that. Clients still reach it.
    pub fn cut_off(&self, at: usize, cut: bool) {
        let name = &self.entries[at].name;
        self.log.note(&format!(
            "{name}: {}",
            if cut { "cut off" } else { "cut ends" }
        ));
        for (other, entry) in self.entries.iter().enumerate() {
            if other == at {
                let cut = if cut { Cut::All } else { Cut::None };
                entry.links.set(cut.clone());
                entry.store.set(cut);
            } else {
                let cut = if cut {
                    Cut::Of(name.clone())
                } else {
                    Cut::None
                };
                entry.links.set(cut);
            }
        }
    }

    /// Kills an entry process for good.
    pub fn kill_entry(&mut self, at: usize) {
        self.log.note(&format!("{}: killed", self.entries[at].name));
        self.entries[at].process.kill();
    }

    /// Kills a worker for good.
    pub fn kill_worker(&mut self, at: usize) {
        self.log.note(&format!("worker {at}: killed"));
        self.hosts[at].worker.kill();
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for host in &mut self.hosts {
            host.worker.kill();
            host.agent.kill();
        }
        for entry in &mut self.entries {
            entry.process.kill();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _removed = fs::remove_dir_all(&self.folder);
        }
    }
}

/// The operator's configuration: one queue, with the figures of a site.
fn configuration() -> String {
    format!(
        r#"{{"Version":7,"Routes":[{{"Name":"desk","Host":"{HOST}","Prefix":"{PREFIX}","Service":"{SERVICE}","Kind":"unsafe","TimeoutMs":1500,"Priority":0,"MaxAttempts":2,"StretchFactor":1.6,"TargetLatencyMs":60}}],"Services":[{{"Name":"{SERVICE}"}}],"Limits":{{"MaxBodyBytes":262144}}}}"#
    )
}

/// Returns a part of all addresses that differs between scripts that are played at the same time, so that
/// one does not take the ports that another has found free.
fn network() -> u8 {
    (std::process::id() % 250 + 1) as u8
}

fn entry_ip(at: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, network(), 1, at as u8 + 1)
}

/// Returns free ports of an address.
fn free_ports(ip: Ipv4Addr, count: usize) -> Vec<SocketAddr> {
    let bind = |_| TcpListener::bind((ip, 0)).expect("free port");
    let listeners: Vec<TcpListener> = (0..count).map(bind).collect();
    let addresses = listeners.iter().map(|listener| listener.local_addr());
    addresses.map(|address| address.expect("address")).collect()
}

/// Returns a port that is free at the addresses of all entry processes: they share the ports of links
/// and of control services.
fn free_shared_port() -> u16 {
    loop {
        let port = free_ports(entry_ip(0), 1)[0].port();
        if (0..8).all(|at| TcpListener::bind((entry_ip(at), port)).is_ok()) {
            return port;
        }
    }
}
