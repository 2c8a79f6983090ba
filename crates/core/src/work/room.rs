//! Room on a worker.

use knapweedwall_wire as wire;

/// Room on a worker, or the room that a task takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Room {
    /// Thousandths of a core.
    pub cpu: u32,
    /// Memory in MB.
    pub memory: u32,
    /// Accelerators.
    pub gpus: u32,
}

impl Room {
    /// Whether `part` fits into this room.
    #[must_use]
    pub fn holds(self, part: Self) -> bool {
        part.cpu <= self.cpu && part.memory <= self.memory && part.gpus <= self.gpus
    }

    /// How often `part` fits into this room.
    #[must_use]
    pub fn times(self, part: Self) -> u32 {
        let fit = |whole: u32, part: u32| whole.checked_div(part).unwrap_or(u32::MAX);
        let cpu = fit(self.cpu, part.cpu);
        cpu.min(fit(self.memory, part.memory))
            .min(fit(self.gpus, part.gpus))
    }

    /// This room and `other` together.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            memory: self.memory.saturating_add(other.memory),
            gpus: self.gpus.saturating_add(other.gpus),
        }
    }

    /// What is left of this room without `part`; nothing where `part` is larger.
    #[must_use]
    pub fn minus(self, part: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(part.cpu),
            memory: self.memory.saturating_sub(part.memory),
            gpus: self.gpus.saturating_sub(part.gpus),
        }
    }
}

impl From<wire::Room> for Room {
    fn from(room: wire::Room) -> Self {
        Self {
            cpu: room.cpu,
            memory: room.memory_mb,
            gpus: room.gpus,
        }
    }
}

impl From<Room> for wire::Room {
    fn from(room: Room) -> Self {
        Self {
            cpu: room.cpu,
            memory_mb: room.memory,
            gpus: room.gpus,
        }
    }
}
