//! The snapshot of engines, owners and load that the control thread publishes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use guavaspread_control::Snapshot;
use guavaspread_placement::EngineView;
use guavaspread_wire::EngineDigest;

use crate::prelude::*;

/// Describes one engine to the request threads.
#[derive(Clone, Debug)]
pub(crate) struct EngineEntry {
    pub(crate) host: Name,
    pub(crate) zone: Name,
    /// Whether the engine accepts new requests.
    pub(crate) is_accepting: bool,
    /// Address of the owner's dispatcher, if the owner is known.
    pub(crate) dispatcher_address: Option<SocketAddr>,
    /// The owner's last digest.
    pub(crate) digest: Option<Arc<EngineDigest>>,
}

/// Holds all data that the request threads validate and route requests with.
#[derive(Clone, Debug)]
pub(crate) struct RoutingState {
    pub(crate) snapshot: Snapshot,
    pub(crate) engines: Vec<EngineEntry>,
    /// Hashes of content that crashes engines.
    pub(crate) quarantined: BTreeSet<u64>,
}

impl RoutingState {
    /// Joins the host list, the owners and the digests.
    pub(crate) fn new(
        snapshot: Snapshot,
        owners: &BTreeMap<Name, Name>,
        digests: &BTreeMap<Name, Arc<EngineDigest>>,
        quarantined: BTreeSet<u64>,
    ) -> Self {
        let config = snapshot.config_view.config.clone();
        let engines = snapshot.hosts.iter().filter(|host| host.kind == HostKind::Engine);
        let engines = engines.map(|host| {
            let digest = digests.get(&host.name).cloned();
            // The owner's digest is newer than the owner row, which is read less often.
            let owner = digest.as_ref().map(|d| &d.owner).or_else(|| owners.get(&host.name));
            let dispatcher_address =
                owner.and_then(|owner| snapshot.host(owner)).map(|h| h.address);
            let drained = config.as_ref().is_some_and(|c| c.drained.contains(&host.name));
            let is_accepting =
                host.state == HostState::Live && !drained && dispatcher_address.is_some();
            EngineEntry {
                host: host.name.clone(),
                zone: host.zone.clone(),
                is_accepting,
                dispatcher_address,
                digest,
            }
        });
        let engines = engines.collect();
        RoutingState { snapshot, engines, quarantined }
    }
}

/// Applies an owner's digest to the router's view of an engine.
pub(crate) fn with_digest(view: EngineView, digest: &EngineDigest) -> EngineView {
    EngineView {
        load: digest.load.into(),
        coldest_demand: digest.coldest_demand.into(),
        loaded: digest.loaded_hashes.iter().copied().collect(),
        ..view
    }
}

impl EngineEntry {
    /// Returns the engine as the router of a gateway in `zone` sees it.
    pub(crate) fn router_view(&self, zone: &Name, batch: u32) -> EngineView {
        let view = EngineView {
            host: Some(self.host.clone()),
            same_zone: self.zone == *zone,
            is_accepting: self.is_accepting,
            batch,
            ..EngineView::default()
        };
        match &self.digest {
            Some(digest) => with_digest(view, digest),
            None => view,
        }
    }

    /// Returns the fencing number and sequence of the last digest, which order the digests.
    pub(crate) fn digest_version(&self) -> Option<(u64, u64)> {
        self.digest.as_ref().map(|digest| (digest.fence, digest.sequence))
    }
}
