//! Heartbeats of incarnations that the worker has not named in a response to a call.

use std::time::Duration;

use smallvec::SmallVec;

use super::io::Heartbeat;

/// Maximum number of heartbeats that are kept. The oldest one is dropped beyond it; its sender repeats
/// it.
const MAX_HEARTBEATS: usize = 4;

/// The last heartbeat of each of these incarnations, with its time of arrival.
#[derive(Debug, Default)]
pub(super) struct AnnouncedHeartbeats {
    heartbeats: SmallVec<[(Duration, Heartbeat); 1]>,
}

impl AnnouncedHeartbeats {
    /// Adds a heartbeat, unless a later one of its incarnation has arrived.
    pub(super) fn add(&mut self, now: Duration, heartbeat: Heartbeat) {
        for (_, known) in &self.heartbeats {
            if known.incarnation == heartbeat.incarnation && known.number >= heartbeat.number {
                return;
            }
        }
        self.heartbeats
            .retain(|(_, known)| known.incarnation != heartbeat.incarnation);
        if self.heartbeats.len() >= MAX_HEARTBEATS {
            self.heartbeats.remove(0);
        }
        self.heartbeats.push((now, heartbeat));
    }

    /// Takes the heartbeat of an incarnation.
    pub(super) fn take_of(&mut self, incarnation: u64) -> Option<Heartbeat> {
        let mut heartbeats = self.heartbeats.iter();
        let at = heartbeats.position(|(_, heartbeat)| heartbeat.incarnation == incarnation)?;
        Some(self.heartbeats.remove(at).1)
    }

    /// Takes the heartbeats that arrived before `time`, or at it.
    pub(super) fn take_before(&mut self, time: Duration) -> SmallVec<[Heartbeat; 1]> {
        let mut taken = SmallVec::new();
        for (at, heartbeat) in std::mem::take(&mut self.heartbeats) {
            if at <= time {
                taken.push(heartbeat);
            } else {
                self.heartbeats.push((at, heartbeat));
            }
        }
        taken
    }

    pub(super) fn is_empty(&self) -> bool {
        self.heartbeats.is_empty()
    }
}
