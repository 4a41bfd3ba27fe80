//! The policies that are compared.

use guavaspread_placement::{Policy, Preset};
use serde::{Deserialize, Serialize};

use crate::baseline::{Chooser, LeastLoaded, Pooled, Rendezvous};

/// Names a policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyName {
    /// The least loaded engine, evicting what was used least recently.
    LeastLoadedLru,
    /// The adapter's first engine by rendezvous hash, evicting what was used least recently.
    RendezvousLru,
    /// Any engine, evicting what is used again last: the bound.
    Clairvoyant,
    /// The product, weighing stalls first.
    StallsFirst,
    /// The product, weighing full batches first.
    BatchesFirst,
}

impl PolicyName {
    /// Lists every policy.
    pub const ALL: &'static [PolicyName] = &[
        PolicyName::LeastLoadedLru,
        PolicyName::RendezvousLru,
        PolicyName::Clairvoyant,
        PolicyName::StallsFirst,
        PolicyName::BatchesFirst,
    ];

    /// Returns the name on reports.
    pub fn as_str(self) -> &'static str {
        match self {
            PolicyName::LeastLoadedLru => "least-loaded-lru",
            PolicyName::RendezvousLru => "rendezvous-lru",
            PolicyName::Clairvoyant => "clairvoyant",
            PolicyName::StallsFirst => "stalls-first",
            PolicyName::BatchesFirst => "batches-first",
        }
    }

    pub(crate) fn policy(self) -> Policy {
        match self {
            PolicyName::BatchesFirst => Policy::preset(Preset::BatchesFirst),
            _ => Policy::preset(Preset::StallsFirst),
        }
    }

    pub(crate) fn chooser(self) -> Option<Box<dyn Chooser>> {
        match self {
            PolicyName::LeastLoadedLru => Some(Box::new(LeastLoaded)),
            PolicyName::RendezvousLru => Some(Box::new(Rendezvous)),
            PolicyName::Clairvoyant => Some(Box::new(Pooled)),
            PolicyName::StallsFirst | PolicyName::BatchesFirst => None,
        }
    }
}
