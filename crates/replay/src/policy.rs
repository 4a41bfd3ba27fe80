//! Policies that a replay compares.

use guavaspread_placement::{Policy, Preset};
use serde::{Deserialize, Serialize};

use crate::baseline::{CheapestEviction, EngineSelector, LeastLoaded, Rendezvous};

/// Policy of a replay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyName {
    /// Selects the least loaded engine; evicts the least recently used adapter.
    LeastLoadedLru,
    /// Selects an engine by rendezvous hashing; evicts the least recently used adapter.
    RendezvousLru,
    /// Knows the whole trace and evicts the adapter whose next use is furthest away.
    ///
    /// The other policies are compared with it as a bound.
    Clairvoyant,
    /// The daemons' policy with the preset `stalls-first`.
    StallsFirst,
    /// The daemons' policy with the preset `batches-first`.
    BatchesFirst,
}

impl PolicyName {
    /// All policies, in the order of reports.
    pub const ALL: &'static [PolicyName] = &[
        PolicyName::LeastLoadedLru,
        PolicyName::RendezvousLru,
        PolicyName::Clairvoyant,
        PolicyName::StallsFirst,
        PolicyName::BatchesFirst,
    ];

    /// Returns the name of the policy in reports.
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

    pub(crate) fn engine_selector(self) -> Option<Box<dyn EngineSelector>> {
        match self {
            PolicyName::LeastLoadedLru => Some(Box::new(LeastLoaded)),
            PolicyName::RendezvousLru => Some(Box::new(Rendezvous)),
            PolicyName::Clairvoyant => Some(Box::new(CheapestEviction)),
            PolicyName::StallsFirst | PolicyName::BatchesFirst => None,
        }
    }
}
