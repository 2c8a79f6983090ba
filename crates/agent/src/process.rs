//! The running agent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use knapweedwall_core::agent::{self, Agent, Input, LedgerLimits, Metrics};
use knapweedwall_core::{Event, Instance, Role};
use knapweedwall_runtime::admin::{self, Admin, Readiness};
use knapweedwall_runtime::links::{self, Identity, Links};
use knapweedwall_runtime::{log, random_instance, settings};
use prometheus_client::registry::Registry;
use slog::Logger;
use smol_str::SmolStr;
use snafu::{ResultExt, Snafu};

use crate::Settings;
use crate::decide::Decide;
use crate::endpoint::{EndpointThread, HttpEndpoint};
use crate::inputs::{self, Inputs};
use crate::sink::Ring;

/// Longest time for the last frames to go out.
const FLUSH_LIMIT: Duration = Duration::from_secs(1);

/// Result of starting an agent.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Reasons why an agent does not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum Error {
    /// The settings are wrong.
    #[snafu(display("settings: {source}"))]
    Settings {
        /// Which ones, and what is allowed.
        source: settings::Error,
    },
    /// A setting is not an IP address with a port.
    #[snafu(display("{field}: found {found:?}, allowed is an IP address with a port"))]
    Address {
        /// Name of the setting.
        field: &'static str,
        /// Its value.
        found: SmolStr,
        /// Error of the parser.
        source: std::net::AddrParseError,
    },
    /// The admin listener cannot be opened.
    #[snafu(display("admin listener on {address}: {source}"))]
    Admin {
        /// Its address.
        address: SocketAddr,
        /// Error of the system.
        source: std::io::Error,
    },
    /// A thread cannot be started.
    #[snafu(display("thread {name}: {source}"))]
    Thread {
        /// Its name.
        name: &'static str,
        /// Error of the system.
        source: std::io::Error,
    },
    /// The system gives no random numbers.
    #[snafu(display("random instance number: {source}"))]
    Random {
        /// Error of the system.
        source: std::io::Error,
    },
    /// Signals cannot be handled.
    #[snafu(display("signal handlers: {source}"))]
    Signals {
        /// Error of the system.
        source: std::io::Error,
    },
    /// A thread ended in a panic.
    #[snafu(display("thread {name} ended in a panic"))]
    Panic {
        /// Its name.
        name: &'static str,
    },
    /// The result of a check cannot be written.
    #[snafu(display("standard output: {source}"))]
    Output {
        /// Error of the system.
        source: std::io::Error,
    },
}

/// A running agent.
#[derive(Debug)]
pub struct Process {
    inputs: Inputs,
    decide: JoinHandle<EndpointThread>,
    links: Links,
    admin: Admin,
}

/// Asks an agent to stop.
#[derive(Debug, Clone)]
pub struct Stopper(Inputs);

impl Stopper {
    /// Starts the planned stop.
    pub fn stop(&self) {
        // The process is about to exit already when this fails.
        let _gone = self.0.send(Input::Stop);
    }
}

impl Process {
    /// Starts an agent.
    ///
    /// # Errors
    /// [`Error`] when an address cannot be used or a thread cannot be started.
    pub fn open(settings: &Settings, log: Logger) -> Result<Self> {
        let address = |field, found: &SmolStr| {
            let parsed = found.parse::<SocketAddr>();
            parsed.context(AddressSnafu {
                field,
                found: found.clone(),
            })
        };
        let endpoint = address("endpoint", &settings.endpoint)?;
        let address = address("admin", &settings.admin)?;
        let instance = random_instance().context(RandomSnafu)?;
        let mut registry = Registry::with_prefix("knapweedwall");
        let metrics = Metrics::default();
        metrics.register(&mut registry);
        let (inputs, inbox) = inputs::open();
        let links = open_links(settings, instance, &inputs, &mut registry, &log)?;
        let ready = Readiness::default();
        let admin = admin::spawn(address, registry, ready.clone());
        let admin = admin.context(AdminSnafu { address })?;
        log::event(&log, &started(settings, instance, admin.address()));
        let endpoint = HttpEndpoint::new(endpoint, settings.slots);
        let endpoint = EndpointThread::spawn(Arc::new(endpoint), inputs.clone());
        let decide = Decide {
            agent: Agent::new(decisions(settings), metrics),
            inbox,
            links: links.handle(),
            endpoint: endpoint.context(ThreadSnafu { name: "endpoint" })?,
            ready,
            log,
        };
        let thread = std::thread::Builder::new().name("decide".into());
        let decide = thread.spawn(move || decide.run());
        let decide = decide.context(ThreadSnafu { name: "decide" })?;
        Ok(Self {
            inputs,
            decide,
            links,
            admin,
        })
    }

    /// Address of the admin listener.
    #[must_use]
    pub fn admin(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Handle to stop the agent from another thread.
    #[must_use]
    pub fn stopper(&self) -> Stopper {
        Stopper(self.inputs.clone())
    }

    /// Waits until the agent has stopped.
    ///
    /// # Errors
    /// [`Error::Panic`] when the decisions ended in a panic.
    pub fn join(self) -> Result<()> {
        let endpoint = self.decide.join();
        self.links.shutdown(FLUSH_LIMIT);
        let Ok(endpoint) = endpoint else {
            return PanicSnafu { name: "decide" }.fail();
        };
        endpoint.close();
        Ok(())
    }
}

fn decisions(settings: &Settings) -> agent::Settings {
    agent::Settings {
        slots: settings.slots,
        stop_limit: settings.stop_limit,
        ledger: LedgerLimits::default(),
    }
}

fn open_links(
    settings: &Settings,
    instance: Instance,
    inputs: &Inputs,
    registry: &mut Registry,
    log: &Logger,
) -> Result<Links> {
    let identity = Identity {
        role: Role::Agent,
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        instance,
        address: SmolStr::default(),
        slots: settings.slots,
    };
    let links = links::Settings {
        listen: None,
        seeds: settings.seeds.clone(),
        limits: settings.links,
    };
    let sink = Box::new(Ring(inputs.clone()));
    Links::spawn(links, identity, sink, registry, log.clone()).context(ThreadSnafu { name: "link" })
}

fn started(settings: &Settings, instance: Instance, admin: SocketAddr) -> Event {
    Event {
        number: 200,
        text: "agent started",
        warning: false,
        fields: vec![
            ("name", settings.name.to_string()),
            ("zone", settings.zone.to_string()),
            ("instance", instance.to_string()),
            ("endpoint", settings.endpoint.to_string()),
            ("slots", settings.slots.to_string()),
            ("admin", admin.to_string()),
        ],
    }
}
