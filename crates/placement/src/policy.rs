//! The weights that users set.

use std::time::Duration;

use guavaspread_model::Priority;
use serde::{Deserialize, Serialize};

/// Names a set of weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Preset {
    /// Weighs load stalls most.
    StallsFirst,
    /// Weighs full batches most.
    BatchesFirst,
}

/// Weighs one kind of work against another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct Policy {
    /// How long demand takes to fade by half, in milliseconds.
    pub demand_half_life_ms: u32,
    /// The factor on the worth of interactive work.
    pub interactive_weight: f64,
    /// The factor on the worth of drafts.
    pub draft_weight: f64,
    /// The factor on the worth of overnight work.
    pub overnight_weight: f64,
    /// After how long a wait a request counts twice, in milliseconds.
    pub ageing_ms: u32,
    /// How many engines of the rendezvous order a request may be placed on.
    pub choices: usize,
    /// How many displaced requests count as the same in choosing an engine for a load.
    pub cost_step: f64,
    /// The load, as a share of an engine's batch, from which an adapter is given another replica.
    pub replicate_load: f64,
    /// What a request counts for in choosing an engine when it has to cross zones, in requests.
    pub zone_cost: f64,
}

impl Policy {
    /// Returns the weights of a preset.
    pub fn preset(preset: Preset) -> Self {
        match preset {
            Preset::StallsFirst => Policy::default(),
            Preset::BatchesFirst => Policy {
                interactive_weight: 4.0,
                draft_weight: 2.0,
                overnight_weight: 1.0,
                replicate_load: 1.5,
                zone_cost: 0.5,
                ..Policy::default()
            },
        }
    }

    /// Returns the half-life of demand.
    pub fn demand_half_life(&self) -> Duration {
        Duration::from_millis(self.demand_half_life_ms.into())
    }

    /// Returns the factor on the worth of work of one priority.
    pub fn weight(&self, priority: Priority) -> f64 {
        match priority {
            Priority::Interactive => self.interactive_weight,
            Priority::Draft => self.draft_weight,
            Priority::Overnight => self.overnight_weight,
        }
    }
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            demand_half_life_ms: 400_000,
            interactive_weight: 16.0,
            draft_weight: 2.0,
            overnight_weight: 1.0,
            ageing_ms: 5_000,
            choices: 16,
            cost_step: 1.0,
            replicate_load: 1.0,
            zone_cost: 1.0,
        }
    }
}
