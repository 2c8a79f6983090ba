//! Links under test and raw connections that play the other side.

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

/// Longest wait for anything in these tests; far above what a busy machine needs.
pub const WAIT: Duration = Duration::from_secs(30);

struct Ring(Sender<LinkEvent>);

impl Sink for Ring {
    fn offer(&mut self, events: &mut VecDeque<LinkEvent>) {
        while let Some(event) = events.pop_front() {
            if let Err(error) = self.0.try_send(event) {
                events.push_front(error.into_inner());
                return;
            }
        }
    }
}

/// Links with their events and counters.
pub struct Node {
    pub links: Links,
    pub events: Receiver<LinkEvent>,
    pub registry: Registry,
}

impl Node {
    pub fn open(role: Role, name: &str, instance: u64, settings: Settings) -> Self {
        Self::with_ring(role, name, instance, settings, 65_536)
    }

    pub fn with_ring(
        role: Role,
        name: &str,
        instance: u64,
        settings: Settings,
        ring: usize,
    ) -> Self {
        let identity = Identity {
            role,
            name: name.into(),
            zone: "a".into(),
            instance: Instance(instance),
            address: SmolStr::default(),
            slots: 4,
        };
        let (sender, events) = bounded(ring);
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let mut registry = Registry::default();
        let sink = Box::new(Ring(sender));
        let links = Links::spawn(settings, identity, sink, &mut registry, log).unwrap();
        Self {
            links,
            events,
            registry,
        }
    }

    /// An entry process that listens on a free port.
    pub fn entry(name: &str, instance: u64, seeds: &[SocketAddr]) -> Self {
        Self::open(Role::Entry, name, instance, listening(seeds))
    }

    pub fn address(&self) -> SocketAddr {
        self.links.address().unwrap()
    }

    pub fn next(&self) -> LinkEvent {
        self.events.recv_timeout(WAIT).unwrap()
    }

    /// Waits until the sample `line` of the metrics has at least the value `least`.
    pub fn metric_reaches(&self, line: &str, least: u64) {
        let end = std::time::Instant::now() + WAIT;
        while self.metric(line) < least {
            assert!(
                std::time::Instant::now() < end,
                "{line} stays below {least}"
            );
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    pub fn metric(&self, line: &str) -> u64 {
        let mut text = String::new();
        prometheus_client::encoding::text::encode(&mut text, &self.registry).unwrap();
        let value = text.lines().find_map(|found| found.strip_prefix(line));
        value.map_or(0, |value| value.trim().parse().unwrap())
    }
}

pub fn listening(seeds: &[SocketAddr]) -> Settings {
    Settings {
        listen: Some("127.0.0.1:0".parse().unwrap()),
        seeds: seeds.iter().map(|seed| seed.to_string().into()).collect(),
        ..Settings::default()
    }
}

/// A raw connection that plays the other side of a link.
pub struct Raw {
    pub socket: TcpStream,
    buffer: BytesMut,
    codec: FrameCodec,
}

impl Raw {
    pub fn connect(address: SocketAddr) -> Self {
        Self::from(TcpStream::connect(address).unwrap())
    }

    pub fn from(socket: TcpStream) -> Self {
        socket.set_read_timeout(Some(WAIT)).unwrap();
        Self {
            socket,
            buffer: BytesMut::new(),
            codec: FrameCodec::default(),
        }
    }

    /// Connects and introduces itself as an agent.
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

    /// The next frame, or none when the connection is closed.
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

    /// Code of the `Reject` that ends the connection.
    pub fn rejected(&mut self) -> String {
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
