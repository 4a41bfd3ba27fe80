//! The machines that the platform lists.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Name;

/// Tells what runs on a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostKind {
    /// A gateway and a dispatcher of this system.
    EntryHost,
    /// A model engine.
    Engine,
    /// A plain service, routed to by name.
    Service(Name),
}

/// Tells whether a host takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// The host takes new work.
    Live,
    /// The host finishes what it has and takes nothing new.
    Leaving,
}

/// Describes one row of the platform's host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Host {
    /// The host's name, unique in the deployment.
    pub name: Name,
    /// The availability zone that the host stands in.
    pub zone: Name,
    /// What runs there.
    pub kind: HostKind,
    /// Where it is reached: a dispatcher's QUIC address, a backend server's HTTP address.
    pub address: SocketAddr,
    /// Whether it takes new work.
    pub state: HostState,
}

impl Host {
    /// Tells whether the host is a live model engine.
    pub fn is_live_engine(&self) -> bool {
        self.kind == HostKind::Engine && self.state == HostState::Live
    }

    /// Tells whether the host is an entry host.
    pub fn is_entry_host(&self) -> bool {
        self.kind == HostKind::EntryHost
    }
}
