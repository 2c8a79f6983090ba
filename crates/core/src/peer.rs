//! Other processes and the connections to them.

use derive_more::{From, Into};
use smol_str::SmolStr;

use crate::ids::Instance;

/// One open connection to another process; made by the `link` thread.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, From, Into)]
pub struct LinkKey(pub u64);

/// Role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Entry process.
    Entry,
    /// Agent beside an endpoint.
    Agent,
}

/// The other side of a connection, as it introduced itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerInfo {
    /// Role.
    pub role: Role,
    /// Name from its settings.
    pub name: SmolStr,
    /// Zone from its settings.
    pub zone: SmolStr,
    /// Run of the process.
    pub instance: Instance,
    /// Frame listener, for entry processes.
    pub address: SmolStr,
    /// Slots, for agents.
    pub slots: u32,
}
