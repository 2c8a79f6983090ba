//! The processes of the system, their settings, and the proxies on their ways.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::Arc;

use snafu::ResultExt;

use super::node::{GRACE, Node};
use crate::cluster::{Launch, Port, Result, SystemSnafu};
use crate::proxy::Proxy;
use crate::site::{SiteWorker, Watcher, WorkerSpec};

/// Service that all workers belong to.
pub(super) const SERVICE: &str = "svc";

/// Zones of the hosts.
const ZONES: usize = 3;

/// Slowest clock of a worker, as on the platform's pages.
const SLOWEST_CLOCK: f64 = 0.98;

/// An entry process.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) node: Node,
    /// Address for callers.
    pub(super) callers: SocketAddr,
    /// Address for readiness checks.
    pub(super) readiness: SocketAddr,
    /// On the way of callers whose connections are harmed.
    pub(super) channels: Proxy,
    /// On the way of all other processes to its links.
    pub(super) links: Proxy,
    /// On its way to the store.
    pub(super) store: Proxy,
    _ports: Vec<Port>,
}

/// An agent and the worker beside it.
#[derive(Debug)]
pub(super) struct Host {
    pub(super) node: Node,
    pub(super) worker: SiteWorker,
    /// Address for the worker's heartbeats.
    pub(super) control: SocketAddr,
    /// On the agent's way to the store.
    pub(super) store: Proxy,
    _ports: Vec<Port>,
}

/// All processes.
#[derive(Debug)]
pub(super) struct Fleet {
    pub(super) entries: Vec<Entry>,
    pub(super) hosts: Vec<Host>,
    _frame_port: Port,
}

/// Room of a worker.
#[derive(Debug, Clone, Copy)]
pub(super) struct Room {
    pub(super) cpu: u64,
    pub(super) memory: u64,
}

impl Fleet {
    /// Writes the settings and opens proxies and workers; nothing is started.
    pub(super) fn open(
        folder: &Path,
        (entries, hosts): (usize, usize),
        room: Room,
        store: SocketAddr,
        seed: u64,
        watcher: Arc<dyn Watcher>,
    ) -> Result<Self> {
        let frame_port = reserve()?;
        let port = frame_port.address().port();
        // Agents look for links on one port at all addresses of the seeds.
        let addresses = (0..entries as u8).map(|at| Ipv4Addr::new(127, 0, 1, at + 1));
        let addresses: Vec<SocketAddr> = addresses.map(|ip| (ip, port).into()).collect();
        let mut fleet = Self {
            entries: Vec::with_capacity(entries),
            hosts: Vec::with_capacity(hosts),
            _frame_port: frame_port,
        };
        for (at, address) in addresses.iter().enumerate() {
            let entry = open_entry(folder, at, *address, &addresses, store)?;
            fleet.entries.push(entry);
        }
        for at in 0..hosts {
            let watcher = Arc::clone(&watcher);
            let host = open_host(folder, at, (room, seed), &addresses, store, watcher)?;
            fleet.hosts.push(host);
        }
        Ok(fleet)
    }

    /// All processes.
    pub(super) fn nodes(&self) -> impl Iterator<Item = &Node> {
        let entries = self.entries.iter().map(|entry| &entry.node);
        entries.chain(self.hosts.iter().map(|host| &host.node))
    }

    /// Ends the faults of all proxies.
    pub(super) fn repair(&self) {
        for entry in &self.entries {
            entry.channels.repair();
            entry.links.repair();
            entry.store.repair();
        }
        for host in &self.hosts {
            host.store.repair();
        }
    }
}

fn open_entry(
    folder: &Path,
    at: usize,
    address: SocketAddr,
    addresses: &[SocketAddr],
    store: SocketAddr,
) -> Result<Entry> {
    let name = format!("entry-{}", at + 1);
    let ports = reserve_all(5)?;
    let port = |at: usize| ports[at].address();
    let open = SystemSnafu {
        step: "open proxy",
        name: name.as_str(),
    };
    let links = Proxy::listen(address, port(3)).context(open)?;
    let channels = Proxy::open(port(0)).context(open)?;
    let store = Proxy::open(store).context(open)?;
    let settings = format!(
        "name: {name}\nzone: z{zone}\ncallers: {callers}\nreadiness: {readiness}\n\
         control: {control}\nframes: {frames}\nadvertise: {address}\nmetrics: {metrics}\n\
         seeds: [{seeds}]\nstore: {store}\ngrace_s: {grace}\nlog:\n  output: stdout\n",
        zone = at % ZONES + 1,
        callers = port(0),
        readiness = port(1),
        control = port(2),
        frames = port(3),
        metrics = port(4),
        seeds = join(addresses),
        store = store.address(),
        grace = GRACE.as_secs(),
    );
    let launch = launch(folder, &name, "knapweedwall-site-entry", &settings)?;
    Ok(Entry {
        node: Node::new(launch),
        callers: port(0),
        readiness: port(1),
        channels,
        links,
        store,
        _ports: ports,
    })
}

fn open_host(
    folder: &Path,
    at: usize,
    (room, seed): (Room, u64),
    addresses: &[SocketAddr],
    store: SocketAddr,
    watcher: Arc<dyn Watcher>,
) -> Result<Host> {
    let name = format!("agent-{}", at + 1);
    let ports = reserve_all(3)?;
    let port = |at: usize| ports[at].address();
    let (control, metrics) = (port(0), port(2));
    let spec = WorkerSpec {
        index: at,
        service: SERVICE,
        zone: format!("z{}", at % ZONES + 1),
        cpu: room.cpu,
        memory: room.memory,
        speed: [0.6, 1.0, 1.4][at % 3],
        rate: [1.0, SLOWEST_CLOCK][at % 2],
        agent: control,
    };
    let zone = spec.zone.clone();
    let worker = SiteWorker::open(spec, port(1), seed * 100 + at as u64, watcher);
    let worker = worker.context(SystemSnafu {
        step: "open worker",
        name: &name,
    })?;
    let store = Proxy::open(store).context(SystemSnafu {
        step: "open proxy",
        name: &name,
    })?;
    let settings = format!(
        "name: {name}\nzone: {zone}\ncontrol: {control}\nworker: {worker}\n\
         frame_port: {frame_port}\nmetrics: {metrics}\nseeds: [{seeds}]\nstore: {store}\n\
         grace_s: {grace}\nlease: 1000ms\nlog:\n  output: stdout\n",
        worker = worker.address(),
        frame_port = addresses.first().map_or(0, SocketAddr::port),
        seeds = join(addresses),
        store = store.address(),
        grace = GRACE.as_secs(),
    );
    let launch = launch(folder, &name, "knapweedwall-site-agent", &settings)?;
    Ok(Host {
        node: Node::new(launch),
        worker,
        control,
        store,
        _ports: ports,
    })
}

fn launch(folder: &Path, name: &str, binary: &'static str, settings: &str) -> Result<Launch> {
    let path = folder.join(format!("{name}.yaml"));
    fs::write(&path, settings).context(SystemSnafu {
        step: "write settings",
        name,
    })?;
    Ok(Launch {
        name: name.to_owned(),
        binary,
        args: vec!["run".into(), "--settings".into(), path.into()],
        log: folder.join(format!("{name}.log")),
    })
}

fn join(addresses: &[SocketAddr]) -> String {
    let addresses: Vec<String> = addresses.iter().map(SocketAddr::to_string).collect();
    addresses.join(", ")
}

fn reserve() -> Result<Port> {
    Port::reserve().context(SystemSnafu {
        step: "reserve",
        name: "port",
    })
}

fn reserve_all(count: usize) -> Result<Vec<Port>> {
    (0..count).map(|_| reserve()).collect()
}
