//! What a proxy does to its connections.

use std::time::Duration;

/// Direction of bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the side that connected to the proxy to the target.
    Forward,
    /// From the target back.
    Backward,
}

/// Present faults of a proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Rules {
    /// Holds bytes from the connecting side to the target.
    pub cut_forward: bool,
    /// Holds bytes from the target back.
    pub cut_backward: bool,
    /// Added to the way of every byte, in each direction.
    pub delay: Duration,
    /// Grows with each reset of all connections.
    pub(super) resets: u64,
    /// Grows when the present connections break on the connecting side only.
    pub(super) breaks: u64,
    /// Grows when the present connections fall silent; later ones are not concerned.
    pub(super) silences: u64,
}

impl Rules {
    /// Whether bytes of this direction are held on a connection made after `silences` silences.
    pub(super) fn holds(&self, direction: Direction, silences: u64) -> bool {
        self.silences != silences || self.cut(direction)
    }

    /// Whether bytes of this direction are held on new connections.
    #[must_use]
    pub fn cut(&self, direction: Direction) -> bool {
        match direction {
            Direction::Forward => self.cut_forward,
            Direction::Backward => self.cut_backward,
        }
    }
}
