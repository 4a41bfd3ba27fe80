//! What the control thread knows of engines, their owners and their load.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use guavaspread_control::Snapshot;
use guavaspread_placement::EngineView;
use guavaspread_wire::DigestEntry;

use crate::prelude::*;

/// Describes one engine to the traffic threads.
#[derive(Clone, Debug)]
pub(crate) struct EngineEntry {
    pub(crate) host: Name,
    pub(crate) zone: Name,
    /// Whether it takes new work.
    pub(crate) open: bool,
    /// The owner's dispatcher, if one is known.
    pub(crate) dispatcher: Option<SocketAddr>,
    /// What the owner said last.
    pub(crate) digest: Option<Arc<DigestEntry>>,
}

/// Shows the traffic threads everything that they decide on.
#[derive(Clone, Debug)]
pub(crate) struct Board {
    pub(crate) snapshot: Snapshot,
    pub(crate) engines: Vec<EngineEntry>,
    /// Hashes of content that crashes engines.
    pub(crate) quarantined: BTreeSet<u64>,
}

impl Board {
    /// Joins the host list, the owners and the digests.
    pub(crate) fn new(
        snapshot: Snapshot,
        owners: &BTreeMap<Name, Name>,
        digests: &BTreeMap<Name, Arc<DigestEntry>>,
        quarantined: BTreeSet<u64>,
    ) -> Self {
        let config = snapshot.view.config.clone();
        let engines = snapshot.hosts.iter().filter(|host| host.kind == HostKind::Engine);
        let engines = engines.map(|host| {
            let digest = digests.get(&host.name).cloned();
            // The owner's own word is newer than the row that was read before.
            let owner = digest.as_ref().map(|d| &d.owner).or_else(|| owners.get(&host.name));
            let dispatcher = owner.and_then(|owner| snapshot.host(owner)).map(|h| h.address);
            let drained = config.as_ref().is_some_and(|c| c.drained.contains(&host.name));
            let open = host.state == HostState::Live && !drained && dispatcher.is_some();
            EngineEntry {
                host: host.name.clone(),
                zone: host.zone.clone(),
                open,
                dispatcher,
                digest,
            }
        });
        let engines = engines.collect();
        Board { snapshot, engines, quarantined }
    }
}

/// Takes over what the owner says of an engine.
pub(crate) fn with_digest(view: EngineView, digest: &DigestEntry) -> EngineView {
    EngineView {
        load: digest.load.into(),
        coldest: digest.coldest.into(),
        loaded: digest.loaded.iter().copied().collect(),
        ..view
    }
}

impl EngineEntry {
    /// Describes the engine to the router of a gateway in `zone`.
    pub(crate) fn view(&self, zone: &Name, batch: u32) -> EngineView {
        let view = EngineView {
            host: Some(self.host.clone()),
            same_zone: self.zone == *zone,
            open: self.open,
            batch,
            ..EngineView::default()
        };
        match &self.digest {
            Some(digest) => with_digest(view, digest),
            None => view,
        }
    }

    /// Returns the number of the owner's last statement, to tell a new one from an old one.
    pub(crate) fn statement(&self) -> Option<(u64, u64)> {
        self.digest.as_ref().map(|digest| (digest.fence, digest.sequence))
    }
}
