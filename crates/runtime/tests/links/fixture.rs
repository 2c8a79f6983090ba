//! Links under test, and raw connections that act as their peers.

use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use bytes::BytesMut;
use crossbeam_channel::{Receiver, Sender, bounded};
use knapweedwall_core::{Instance, Role};
use knapweedwall_runtime::links::{Identity, LinkEvent, Links, Settings, Sink};
use knapweedwall_wire::frame::Body;
use knapweedwall_wire::{self as wire, FrameCodec};
use prometheus_client::registry::Registry;
use smol_str::SmolStr;
use tokio_util::codec::{Decoder, Encoder};

/// Timeout of every wait in these tests; far above what a busy machine needs.
pub const TIMEOUT: Duration = Duration::from_secs(30);

struct ChannelSink(Sender<LinkEvent>);

impl Sink for ChannelSink {
    fn offer(&mut self, events: &mut VecDeque<LinkEvent>) {
        while let Some(event) = events.pop_front() {
            if let Err(error) = self.0.try_send(event) {
                events.push_front(error.into_inner());
                return;
            }
        }
    }
}

/// A link thread with its events and metrics.
pub struct Node {
    pub links: Links,
    pub events: Receiver<LinkEvent>,
    pub registry: Registry,
}

impl Node {
    pub fn spawn(role: Role, name: &str, instance: u64, settings: Settings) -> Self {
        Self::with_event_capacity(role, name, instance, settings, 65_536)
    }

    pub fn with_event_capacity(
        role: Role,
        name: &str,
        instance: u64,
        settings: Settings,
        event_capacity: usize,
    ) -> Self {
        let identity = Identity {
            role,
            name: name.into(),
            zone: "a".into(),
            instance: Instance(instance),
            address: SmolStr::default(),
            slots: 4,
        };
        let (sender, events) = bounded(event_capacity);
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let mut registry = Registry::default();
        let sink = Box::new(ChannelSink(sender));
        let links = Links::spawn(settings, identity, sink, &mut registry, log).unwrap();
        Self {
            links,
            events,
            registry,
        }
    }

    /// Spawns an entry process that listens on a free port.
    pub fn entry(name: &str, instance: u64, seeds: &[SocketAddr]) -> Self {
        Self::spawn(Role::Entry, name, instance, listener_settings(seeds))
    }

    pub fn address(&self) -> SocketAddr {
        self.links.address().unwrap()
    }

    pub fn next(&self) -> LinkEvent {
        self.events.recv_timeout(TIMEOUT).unwrap()
    }

    /// Waits until the metric sample `name` has at least the value `min`.
    pub fn wait_for_metric(&self, name: &str, min: u64) {
        let deadline = std::time::Instant::now() + TIMEOUT;
        while self.metric(name) < min {
            assert!(
                std::time::Instant::now() < deadline,
                "{name} stays below {min}"
            );
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Value of the metric sample `name`, written with its labels; 0 if there is none.
    pub fn metric(&self, name: &str) -> u64 {
        let mut text = String::new();
        prometheus_client::encoding::text::encode(&mut text, &self.registry).unwrap();
        let value = text.lines().find_map(|line| line.strip_prefix(name));
        value.map_or(0, |value| value.trim().parse().unwrap())
    }
}

pub fn listener_settings(seeds: &[SocketAddr]) -> Settings {
    Settings {
        listen: Some("127.0.0.1:0".parse().unwrap()),
        seeds: seeds.iter().map(|seed| seed.to_string().into()).collect(),
        ..Settings::default()
    }
}

/// A raw connection that acts as the peer of a link.
pub struct RawPeer {
    pub socket: TcpStream,
    buffer: BytesMut,
    codec: FrameCodec,
}

impl RawPeer {
    pub fn connect(address: SocketAddr) -> Self {
        Self::from(TcpStream::connect(address).unwrap())
    }

    pub fn from(socket: TcpStream) -> Self {
        socket.set_read_timeout(Some(TIMEOUT)).unwrap();
        Self {
            socket,
            buffer: BytesMut::new(),
            codec: FrameCodec::default(),
        }
    }

    /// Connects and completes the handshake as an agent.
    pub fn agent(address: SocketAddr, instance: u64) -> Self {
        let mut raw = Self::connect(address);
        raw.send(Body::Hello(hello(instance)));
        assert!(matches!(raw.next(), Some(Body::Welcome(_))));
        raw
    }

    pub fn send(&mut self, body: Body) {
        let mut bytes = BytesMut::new();
        FrameCodec::default().encode(body, &mut bytes).unwrap();
        self.socket.write_all(&bytes).unwrap();
    }

    /// Reads the next frame; `None` once the connection is closed.
    pub fn next(&mut self) -> Option<Body> {
        loop {
            if let Some(body) = self.codec.decode(&mut self.buffer).unwrap() {
                return Some(body);
            }
            let mut chunk = [0; 4096];
            match self.socket.read(&mut chunk) {
                Ok(0) => return None,
                Ok(bytes) => self.buffer.extend_from_slice(&chunk[..bytes]),
                Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => return None,
                Err(error) => panic!("no frame: {error}"),
            }
        }
    }

    /// Reads until the connection is closed and returns the code of the last `Reject`; empty if there
    /// was none.
    pub fn reject_code(&mut self) -> String {
        let mut code = String::new();
        while let Some(body) = self.next() {
            if let Body::Reject(reject) = body {
                code = reject.code;
            }
        }
        code
    }
}

pub fn hello(instance: u64) -> wire::Hello {
    wire::Hello {
        role: wire::Role::Agent.into(),
        name: "agent-1".into(),
        zone: "a".into(),
        instance,
        address: String::new(),
        slots: 8,
        config_version: 0,
    }
}

pub fn heartbeat(counter: u64) -> Body {
    Body::Heartbeat(wire::Heartbeat {
        counter,
        ..wire::Heartbeat::default()
    })
}
