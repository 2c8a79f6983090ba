//! Counters of the links.

use std::array;

use knapweedwall_wire::frame::Body;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::kind::{self, KINDS};

type Labels = [(&'static str, &'static str); 2];

/// Frames and bytes of one direction, by kind of message.
#[derive(Debug)]
struct Direction {
    frames: [Counter; KINDS],
    bytes: [Counter; KINDS],
}

impl Direction {
    fn count(&self, body: usize, bytes: usize) {
        self.frames[body].inc();
        self.bytes[body].inc_by(bytes as u64);
    }
}

/// Counters of the links, registered with the process's registry.
#[derive(Debug)]
pub(super) struct Metrics {
    sent: Direction,
    received: Direction,
    /// Links that are up.
    pub(super) up: Gauge,
    /// Links that ended.
    pub(super) ended: Counter,
    /// Pauses because the ring to `decide` was full.
    pub(super) stalls: Counter,
    /// System calls that wrote frames.
    pub(super) writes: Counter,
}

impl Metrics {
    pub(super) fn register(registry: &mut Registry) -> Self {
        let frames = Family::<Labels, Counter>::default();
        let bytes = Family::<Labels, Counter>::default();
        let direction = |name: &'static str| {
            let of = |family: &Family<Labels, Counter>, kind: usize| {
                family.get_or_create_owned(&[("direction", name), ("kind", kind::NAMES[kind])])
            };
            Direction {
                frames: array::from_fn(|kind| of(&frames, kind)),
                bytes: array::from_fn(|kind| of(&bytes, kind)),
            }
        };
        let metrics = Self {
            sent: direction("out"),
            received: direction("in"),
            up: Gauge::default(),
            ended: Counter::default(),
            stalls: Counter::default(),
            writes: Counter::default(),
        };
        registry.register("link_frames", "Frames by kind of message", frames);
        registry.register("link_bytes", "Bytes of frames by kind of message", bytes);
        registry.register("links_up", "Links that are up", metrics.up.clone());
        registry.register("links_ended", "Links that ended", metrics.ended.clone());
        registry.register(
            "link_stalls",
            "Pauses in reading because the ring to the decisions was full",
            metrics.stalls.clone(),
        );
        registry.register(
            "link_writes",
            "System calls that wrote frames",
            metrics.writes.clone(),
        );
        metrics
    }

    pub(super) fn sent(&self, kind: usize, bytes: usize) {
        self.sent.count(kind, bytes);
    }

    pub(super) fn received(&self, body: &Body, bytes: usize) {
        self.received.count(kind::index(body), bytes);
    }
}
