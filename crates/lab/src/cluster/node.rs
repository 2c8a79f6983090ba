//! One process of a cluster with its addresses, across restarts.

use std::net::SocketAddr;

use super::process::{Launch, Process};

/// Role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Store stand-in.
    Store,
    /// Endpoint stand-in.
    Endpoint,
    /// Entry process.
    Entry,
    /// Agent.
    Agent,
}

/// A process of the cluster.
#[derive(Debug)]
pub struct Node {
    /// Role.
    pub role: Role,
    /// How to start it.
    pub(super) launch: Launch,
    /// The running or ended process.
    pub(super) process: Process,
    /// Address of its service: store, endpoint or HTTP API; for agents that of the admin listener.
    pub(super) service: SocketAddr,
    /// Admin listener, or the control address of a stand-in.
    pub(super) admin: SocketAddr,
}

impl Node {
    /// Base URL of the service.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.service)
    }

    /// Base URL of the admin listener or control address.
    #[must_use]
    pub fn admin(&self) -> String {
        format!("http://{}", self.admin)
    }

    /// Process id of the present run.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.process.pid()
    }
}
