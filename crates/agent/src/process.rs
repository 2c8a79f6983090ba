//! A running agent: its threads and their shutdown.

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
use crate::endpoint::{EndpointThread, HttpEndpointClient};
use crate::event_loop::EventLoop;
use crate::input_queue::{InputSender, input_queue};
use crate::link_sink::LinkSink;

/// Longest time that a shutdown waits for queued frames to be sent.
const LINK_FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Result of starting or running an agent.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Errors of starting or running an agent.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum Error {
    /// The settings are invalid.
    #[snafu(display("settings: {source}"))]
    Settings {
        /// Error with the setting and its allowed values.
        source: settings::Error,
    },
    /// A setting is not an IP address with a port.
    #[snafu(display("setting {field}: {value:?} is not an IP address with a port"))]
    Address {
        /// Name of the setting.
        field: &'static str,
        /// Value of the setting.
        value: SmolStr,
        /// Parse error.
        source: std::net::AddrParseError,
    },
    /// The admin listener cannot be bound.
    #[snafu(display("cannot bind the admin listener to {address}: {source}"))]
    Admin {
        /// Address of the listener.
        address: SocketAddr,
        /// Operating system error.
        source: std::io::Error,
    },
    /// A thread cannot be started.
    #[snafu(display("cannot start the thread {name}: {source}"))]
    Thread {
        /// Name of the thread.
        name: &'static str,
        /// Operating system error.
        source: std::io::Error,
    },
    /// The system's random number generator failed.
    #[snafu(display("cannot generate the instance number: {source}"))]
    Random {
        /// Operating system error.
        source: std::io::Error,
    },
    /// The signal handlers cannot be installed.
    #[snafu(display("cannot install the signal handlers: {source}"))]
    Signals {
        /// Operating system error.
        source: std::io::Error,
    },
    /// A thread panicked.
    #[snafu(display("thread {name} panicked"))]
    Panic {
        /// Name of the thread.
        name: &'static str,
    },
    /// The result of the `check` command cannot be written.
    #[snafu(display("cannot write to standard output: {source}"))]
    Output {
        /// Operating system error.
        source: std::io::Error,
    },
}

/// A running agent.
#[derive(Debug)]
pub struct Process {
    inputs: InputSender,
    event_loop: JoinHandle<EndpointThread>,
    links: Links,
    admin: Admin,
}

/// Handle to stop an agent from another thread.
#[derive(Debug, Clone)]
pub struct StopHandle(InputSender);

impl StopHandle {
    /// Starts a graceful stop.
    pub fn stop(&self) {
        // This fails only after the event loop has exited, when the process is about to exit.
        let _closed = self.0.send(Input::Stop);
    }
}

impl Process {
    /// Starts an agent.
    ///
    /// # Errors
    /// [`Error`] when an address cannot be used or a thread cannot be started.
    pub fn start(settings: &Settings, log: Logger) -> Result<Self> {
        let endpoint = parse_address("endpoint", &settings.endpoint)?;
        let admin = parse_address("admin", &settings.admin)?;
        let instance = random_instance().context(RandomSnafu)?;
        let mut registry = Registry::with_prefix("knapweedwall");
        let metrics = Metrics::default();
        metrics.register(&mut registry);
        let (inputs, receiver) = input_queue();
        let links = spawn_links(settings, instance, &inputs, &mut registry, &log)?;
        let readiness = Readiness::default();
        let admin = admin::spawn(admin, registry, readiness.clone())
            .context(AdminSnafu { address: admin })?;
        log::event(&log, &started_event(settings, instance, admin.address()));
        let client = HttpEndpointClient::new(endpoint, settings.slots);
        let endpoint = EndpointThread::spawn(Arc::new(client), inputs.clone())
            .context(ThreadSnafu { name: "endpoint" })?;
        let event_loop = EventLoop {
            state_machine: Agent::new(state_machine_settings(settings), metrics),
            inputs: receiver,
            links: links.handle(),
            endpoint,
            readiness,
            log,
        };
        let event_loop = std::thread::Builder::new()
            .name("decide".into())
            .spawn(move || event_loop.run())
            .context(ThreadSnafu { name: "decide" })?;
        Ok(Self {
            inputs,
            event_loop,
            links,
            admin,
        })
    }

    /// Address of the admin listener.
    #[must_use]
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Handle to stop the agent from another thread.
    #[must_use]
    pub fn stop_handle(&self) -> StopHandle {
        StopHandle(self.inputs.clone())
    }

    /// Waits until the agent has stopped.
    ///
    /// # Errors
    /// [`Error::Panic`] when the event loop panicked.
    pub fn join(self) -> Result<()> {
        let endpoint = self.event_loop.join();
        self.links.shutdown(LINK_FLUSH_TIMEOUT);
        let Ok(endpoint) = endpoint else {
            return PanicSnafu { name: "decide" }.fail();
        };
        endpoint.shutdown();
        Ok(())
    }
}

fn parse_address(field: &'static str, value: &SmolStr) -> Result<SocketAddr> {
    value.parse::<SocketAddr>().context(AddressSnafu {
        field,
        value: value.clone(),
    })
}

fn state_machine_settings(settings: &Settings) -> agent::Settings {
    agent::Settings {
        slots: settings.slots,
        stop_limit: settings.stop_limit,
        ledger: LedgerLimits::default(),
    }
}

fn spawn_links(
    settings: &Settings,
    instance: Instance,
    inputs: &InputSender,
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
    let sink = Box::new(LinkSink(inputs.clone()));
    Links::spawn(links, identity, sink, registry, log.clone()).context(ThreadSnafu { name: "link" })
}

fn started_event(settings: &Settings, instance: Instance, admin: SocketAddr) -> Event {
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
