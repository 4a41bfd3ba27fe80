//! The stored row of an engine's ownership.

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
    /// The address on which the process accepts TCP connections from before its first ownership
    /// until it ends.
    pub probe: SocketAddr,
}

/// A former owner that may still have commands or requests in flight.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct FormerOwner {
    /// The process that owned the engine.
    pub holder: Holder,
    /// The fencing number of that ownership.
    pub fence: u64,
    /// The adapter that the process may still unload.
    pub evicting: Option<AdapterVersion>,
}

/// The ownership of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct OwnerRow {
    /// The owner.
    pub holder: Holder,
    /// The fencing number, which increases with each change of owner.
    pub fence: u64,
    /// The number of writes by the current owner, which makes each renewal a change.
    #[serde(rename = "beat")]
    pub renewals: u64,
    /// Whether the owner wants another process to take over now.
    pub leaving: bool,
    /// The adapter that the owner may be about to unload.
    pub evicting: Option<AdapterVersion>,
    /// The former owners that may still have commands or requests in flight.
    pub former: Vec<FormerOwner>,
}

impl OwnerRow {
    /// Returns the row of an engine without a previous owner.
    pub(crate) fn first(holder: Holder) -> Self {
        OwnerRow {
            holder,
            fence: 1,
            renewals: 0,
            leaving: false,
            evicting: None,
            former: Vec::new(),
        }
    }

    /// Returns the row after a takeover by `holder`.
    pub(crate) fn taken_over(&self, holder: Holder) -> Self {
        let mut former = self.former.clone();
        former.push(FormerOwner {
            holder: self.holder.clone(),
            fence: self.fence,
            evicting: self.evicting.clone(),
        });
        // An earlier process on the same host is dead, because its address is free.
        former.retain(|f| f.holder.host != holder.host);
        let fence = self.fence + 1;
        OwnerRow { holder, fence, renewals: 0, leaving: false, evicting: None, former }
    }

    /// Returns the row of the owner's next renewal.
    pub(crate) fn renewed(&self) -> Self {
        OwnerRow { renewals: self.renewals + 1, ..self.clone() }
    }
}
