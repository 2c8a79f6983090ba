//! Resources of workers and tasks.

use knapweedwall_wire as wire;

/// Resources of a worker, or resources that a task requires.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Resources {
    /// CPU in thousandths of a core.
    pub cpu: u32,
    /// Memory in megabytes.
    pub memory: u32,
    /// Number of accelerators.
    pub gpus: u32,
}

impl Resources {
    /// Returns whether `request` fits into these resources.
    #[must_use]
    pub fn can_fit(self, request: Self) -> bool {
        request.cpu <= self.cpu && request.memory <= self.memory && request.gpus <= self.gpus
    }

    /// Returns how many times `request` fits into these resources.
    #[must_use]
    pub fn count_fitting(self, request: Self) -> u32 {
        let fit =
            |available: u32, required: u32| available.checked_div(required).unwrap_or(u32::MAX);
        let cpu = fit(self.cpu, request.cpu);
        cpu.min(fit(self.memory, request.memory))
            .min(fit(self.gpus, request.gpus))
    }

    /// Adds two sets of resources, saturating at the numeric bounds.
    #[must_use]
    pub fn saturating_add(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            memory: self.memory.saturating_add(other.memory),
            gpus: self.gpus.saturating_add(other.gpus),
        }
    }

    /// Returns the smaller amount of each resource.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.min(other.cpu),
            memory: self.memory.min(other.memory),
            gpus: self.gpus.min(other.gpus),
        }
    }

    /// Subtracts `other` from these resources, saturating at zero.
    #[must_use]
    pub fn saturating_sub(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }
}

impl From<wire::Room> for Resources {
    fn from(resources: wire::Room) -> Self {
        Self {
            cpu: resources.cpu,
            memory: resources.memory_mb,
            gpus: resources.gpus,
        }
    }
}

impl From<Resources> for wire::Room {
    fn from(resources: Resources) -> Self {
        Self {
            cpu: resources.cpu,
            memory_mb: resources.memory,
            gpus: resources.gpus,
        }
    }
}
