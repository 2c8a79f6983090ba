//! Peer processes and the links to them.

use derive_more::{From, Into};
use smol_str::SmolStr;

use crate::ids::Instance;

/// Id of an open connection to a peer, assigned by the link manager in the crate
/// `knapweedwall-runtime`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, From, Into)]
pub struct LinkKey(pub u64);

/// Role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Entry process.
    Entry,
    /// Agent, which runs on the host of an endpoint or worker.
    Agent,
}

/// Description of a peer, from its handshake.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerInfo {
    /// Role of the process.
    pub role: Role,
    /// Name in the peer's settings.
    pub name: SmolStr,
    /// Zone in the peer's settings.
    pub zone: SmolStr,
    /// Id of the process, which changes when it restarts.
    pub instance: Instance,
    /// Address of the frame listener; set by entry processes only.
    pub address: SmolStr,
    /// Number of slots; set by agents only.
    pub slots: u32,
}
