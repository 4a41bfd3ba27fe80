//! The placement weights from the settings.

use std::time::Duration;

use guavaspread_model::Priority;
use serde::{Deserialize, Serialize};

/// A predefined set of weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Preset {
    /// Minimizes the requests that wait for an adapter load.
    StallsFirst,
    /// Maximizes batch utilization.
    BatchesFirst,
}

/// Weights for scheduling, eviction and routing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct Policy {
    /// The half-life of demand, in milliseconds.
    pub demand_half_life_ms: u32,
    /// The factor on the worth of interactive requests.
    pub interactive_weight: f64,
    /// The factor on the worth of draft requests.
    pub draft_weight: f64,
    /// The factor on the worth of overnight requests.
    pub overnight_weight: f64,
    /// The wait that doubles the score of a queued request, in milliseconds.
    pub ageing_ms: u32,
    /// The number of engines in rendezvous order that are considered for a load.
    pub choices: usize,
    /// The step to which eviction costs are rounded down, in displaced requests.
    ///
    /// Engines whose costs fall into the same step are chosen in rendezvous order.
    pub cost_step: f64,
    /// The load, as a fraction of the batch, at which an engine counts as overloaded and its
    /// adapters may get another replica.
    pub replicate_load: f64,
    /// The cost of sending a request to another availability zone, in queued requests.
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

    /// Returns the factor on the worth of requests of `priority`.
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
