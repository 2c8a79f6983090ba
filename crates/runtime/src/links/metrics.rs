//! Metrics of the links.

use std::array;

use knapweedwall_wire::frame::Body;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::frame_kind::{self, KIND_COUNT};

type Labels = [(&'static str, &'static str); 2];

/// Counters of frames and bytes in one direction, by index of the frame kind.
#[derive(Debug)]
struct Direction {
    frames: [Counter; KIND_COUNT],
    bytes: [Counter; KIND_COUNT],
}

impl Direction {
    fn count(&self, kind: usize, bytes: usize) {
        self.frames[kind].inc();
        self.bytes[kind].inc_by(bytes as u64);
    }
}

/// Metrics of the links, registered with the registry of the process.
#[derive(Debug)]
pub(super) struct Metrics {
    sent: Direction,
    received: Direction,
    /// Open links.
    pub(super) up: Gauge,
    /// Links that have been closed.
    pub(super) ended: Counter,
    /// Delays in reading because the sink was full.
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
                family
                    .get_or_create_owned(&[("direction", name), ("kind", frame_kind::NAMES[kind])])
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
        self.received.count(frame_kind::index(body), bytes);
    }
}
