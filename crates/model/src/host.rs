//! The hosts in the platform's host list.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Name;

/// The kind of process that runs on a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostKind {
    /// A gateway and a dispatcher of this system.
    EntryHost,
    /// A model engine.
    Engine,
    /// A service without a model, addressed by name.
    Service(Name),
}

/// Whether a host accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// The host accepts new requests.
    Live,
    /// The host finishes its requests in flight and accepts no new ones.
    Leaving,
}

/// One row of the platform's host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Host {
    /// The host's name, unique in the deployment.
    pub name: Name,
    /// The host's availability zone.
    pub zone: Name,
    /// The kind of process that runs on the host.
    pub kind: HostKind,
    /// The QUIC address of an entry host's dispatcher, or a backend server's HTTP address.
    pub address: SocketAddr,
    /// Whether the host accepts new requests.
    pub state: HostState,
}

impl Host {
    /// Returns whether the host is a live model engine.
    pub fn is_live_engine(&self) -> bool {
        self.kind == HostKind::Engine && self.state == HostState::Live
    }

    /// Returns whether the host is an entry host.
    pub fn is_entry_host(&self) -> bool {
        self.kind == HostKind::EntryHost
    }
}
