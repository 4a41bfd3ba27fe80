//! Whether a request leaves its availability zone, and how many do.
//!
//! Leaving pays when the request takes longer at home, by more than the crossing costs. All hosts
//! of a zone see the same loads, and late; each therefore sends only a share in proportion to the
//! gain, so that the flow neither overshoots nor swings.

/// Where a request is placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneChoice {
    /// Among the servers of the own zone.
    Stay,
    /// Among those of other zones.
    Leave,
}

/// Returns the share of requests that leave the zone.
///
/// The times are those that a request is expected to take at the best server here and elsewhere, in
/// times of a usual request; `None` if there is none. `crossing` is what a crossing costs.
pub fn leaving_share(here: Option<f64>, elsewhere: Option<f64>, crossing: f64) -> f64 {
    match (here, elsewhere) {
        (_, None) => 0.0,
        (None, Some(_)) => 1.0,
        (Some(here), Some(elsewhere)) if here > 0.0 => {
            ((here - elsewhere - crossing) / here).clamp(0.0, 1.0)
        }
        (Some(_), Some(_)) => 0.0,
    }
}

/// Decides on one request; `draw` is uniform between 0 and below 1.
pub fn choose_zone(
    here: Option<f64>,
    elsewhere: Option<f64>,
    crossing: f64,
    draw: f64,
) -> ZoneChoice {
    match draw < leaving_share(here, elsewhere, crossing) {
        true => ZoneChoice::Leave,
        false => ZoneChoice::Stay,
    }
}
