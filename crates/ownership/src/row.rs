//! The row that says who owns an engine.

use std::net::SocketAddr;

use guavaspread_model::{AdapterVersion, Name};
use serde::{Deserialize, Serialize};

/// Identifies one process on one entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Holder {
    /// The entry host.
    pub host: Name,
    /// Differs between two processes on the same host.
    pub incarnation: u64,
    /// Where the process listens over TCP from before it owns anything until it ends.
    pub probe: SocketAddr,
}

/// Records an owner that may still have orders or requests on the way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Former {
    /// Who owned the engine.
    pub holder: Holder,
    /// The fencing number of that ownership.
    pub fence: u64,
    /// The adapter that it may be about to unload.
    pub evicting: Option<AdapterVersion>,
}

/// Says who owns an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct OwnerRow {
    /// The owner.
    pub holder: Holder,
    /// Grows with each change of owner.
    pub fence: u64,
    /// Grows with each write of one owner.
    pub beat: u64,
    /// Whether the owner asks to be relieved at once.
    pub leaving: bool,
    /// The adapter that the owner may be about to unload.
    pub evicting: Option<AdapterVersion>,
    /// Former owners that have not struck themselves off.
    pub former: Vec<Former>,
}

impl OwnerRow {
    /// Makes the row of an engine that nobody owned before.
    pub(crate) fn first(holder: Holder) -> Self {
        OwnerRow { holder, fence: 1, beat: 0, leaving: false, evicting: None, former: Vec::new() }
    }

    /// Makes the row in which `holder` takes over.
    pub(crate) fn taken_over(&self, holder: Holder) -> Self {
        let mut former = self.former.clone();
        former.push(Former {
            holder: self.holder.clone(),
            fence: self.fence,
            evicting: self.evicting.clone(),
        });
        // The address of a process is free only once the process before it is dead.
        former.retain(|f| f.holder.host != holder.host);
        let fence = self.fence + 1;
        OwnerRow { holder, fence, beat: 0, leaving: false, evicting: None, former }
    }

    /// Makes the row of the owner's next write.
    pub(crate) fn renewed(&self) -> Self {
        OwnerRow { beat: self.beat + 1, ..self.clone() }
    }
}
