//! Writes the settings of a cluster and starts its processes.

use std::ffi::OsString;
use std::net::SocketAddr;

use serde_json::{Value, json};
use snafu::ResultExt;

use super::cluster::Cluster;
use super::error::{Result, SystemSnafu};
use super::node::{Node, Role};
use super::ports::Port;
use super::process::{Launch, Process};
use super::settings::{self, EntryAddresses};
use super::spec::Spec;
use crate::proxy::Proxy;

/// Zones of a cluster.
const ZONES: [&str; 3] = ["z1", "z2", "z3"];

impl Cluster {
    /// Starts all processes of `spec` without waiting for them.
    pub(super) fn build(&mut self, spec: &Spec) -> Result<()> {
        let store = self.start_store(spec)?;
        let endpoints = self.start_endpoints(spec)?;
        let seeds = self.start_entries(spec, store)?;
        for (n, agent) in spec.agents.iter().enumerate() {
            let name = format!("agent-{}", n + 1);
            let admin = self.port(&name)?;
            let endpoint = endpoints
                .get(n / spec.sharing.max(1))
                .copied()
                .unwrap_or(admin);
            let zone = ZONES[n % ZONES.len()];
            let settings = settings::agent(&name, zone, agent.slots, endpoint, admin, &seeds);
            let launch = self.launch(&name, "knapweedwall-agent", settings, &spec.agent)?;
            self.start(Role::Agent, launch, admin, admin)?;
        }
        Ok(())
    }

    fn start_store(&mut self, spec: &Spec) -> Result<SocketAddr> {
        let (listen, control) = (self.port("store")?, self.port("store")?);
        let settings = json!({ "listen": listen, "control": control, "seed": spec.seed });
        let base = json!({ "controls": spec.store });
        let launch = self.launch("store", "standin-store", settings, &base)?;
        self.start(Role::Store, launch, listen, control)?;
        Ok(listen)
    }

    fn start_endpoints(&mut self, spec: &Spec) -> Result<Vec<SocketAddr>> {
        let mut endpoints = Vec::new();
        for (n, group) in spec.agents.chunks(spec.sharing.max(1)).enumerate() {
            let name = format!("endpoint-{}", n + 1);
            let (listen, control) = (self.port(&name)?, self.port(&name)?);
            let slots: u32 = group.iter().map(|agent| agent.slots).sum();
            let speed = group.first().map_or(1.0, |agent| agent.speed);
            let seed = spec.seed + 1 + u64::try_from(n).unwrap_or_default();
            let settings = json!({ "listen": listen, "control": control, "slots": slots,
                "seed": seed, "controls": { "speed": speed } });
            let launch = self.launch(&name, "standin-endpoint", settings, &json!({}))?;
            self.start(Role::Endpoint, launch, listen, control)?;
            endpoints.push(listen);
        }
        Ok(endpoints)
    }

    /// Starts the entry processes and returns the addresses of their frame listeners.
    fn start_entries(&mut self, spec: &Spec, store: SocketAddr) -> Result<Vec<SocketAddr>> {
        let mut places = Vec::new();
        for n in 1..=spec.entries {
            let name = format!("entry-{n}");
            let frames = self.port(&name)?;
            let (mut advertised, mut store) = (frames, store);
            if spec.proxied {
                advertised = self.lead(&name, frames)?;
                store = self.lead(&format!("store@{name}"), store)?;
            }
            let (http, admin) = (self.port(&name)?, self.port(&name)?);
            places.push((
                name,
                EntryAddresses {
                    http,
                    frames,
                    advertised,
                    admin,
                    store,
                },
            ));
        }
        let seeds: Vec<SocketAddr> = places.iter().map(|(_, at)| at.advertised).collect();
        for (n, (name, at)) in places.into_iter().enumerate() {
            let others: Vec<_> = seeds
                .iter()
                .copied()
                .filter(|s| *s != at.advertised)
                .collect();
            let settings = settings::entry(&name, ZONES[n % ZONES.len()], at, &others);
            let launch = self.launch(&name, "knapweedwall-entry", settings, &spec.entry)?;
            self.start(Role::Entry, launch, at.http, at.admin)?;
        }
        Ok(seeds)
    }

    /// Opens a proxy to `target` and returns its address.
    fn lead(&mut self, name: &str, target: SocketAddr) -> Result<SocketAddr> {
        let proxy = Proxy::open(target).context(SystemSnafu {
            step: "proxy",
            name,
        })?;
        let address = proxy.address();
        self.proxies.insert(name.to_owned(), proxy);
        Ok(address)
    }

    fn launch(
        &self,
        name: &str,
        binary: &'static str,
        settings: Value,
        base: &Value,
    ) -> Result<Launch> {
        let path = self.dir.path().join(format!("{name}.yaml"));
        settings::write(&path, base.clone(), &settings)?;
        let mut args = vec![OsString::from("--settings"), path.into()];
        if binary.starts_with("knapweedwall-") {
            args.insert(0, OsString::from("run"));
        }
        Ok(Launch {
            name: name.to_owned(),
            binary,
            args,
            log: self.dir.path().join(format!("{name}.log")),
        })
    }

    fn start(
        &mut self,
        role: Role,
        launch: Launch,
        service: SocketAddr,
        admin: SocketAddr,
    ) -> Result<()> {
        let process = Process::spawn(launch.clone())?;
        let name = launch.name.clone();
        self.nodes.insert(
            name,
            Node {
                role,
                launch,
                process,
                service,
                admin,
            },
        );
        Ok(())
    }

    fn port(&mut self, name: &str) -> Result<SocketAddr> {
        let port = Port::reserve().context(SystemSnafu { step: "port", name })?;
        let address = port.address();
        self.ports.push(port);
        Ok(address)
    }
}
