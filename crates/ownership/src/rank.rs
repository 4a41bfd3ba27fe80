//! The entry hosts that may own an engine.

use guavaspread_model::{Host, HostState, Name, rendezvous_score};

/// The maximum number of entry hosts that may own one engine.
pub const CANDIDATES_MAX: usize = 3;

/// Returns the entry hosts that may own `engine`, the preferred one first.
///
/// The candidates are the first live entry hosts of the engine's availability zone in the
/// engine's rendezvous order. Their number is limited so that the work per host does not grow
/// with the fleet.
pub fn candidates(engine: &Host, hosts: &[Host]) -> Vec<Name> {
    let entry_hosts = hosts.iter().filter(|host| {
        host.is_entry_host() && host.state == HostState::Live && host.zone == engine.zone
    });
    let mut scored: Vec<(u64, &Name)> = entry_hosts
        .map(|host| (rendezvous_score(engine.name.as_str(), host.name.as_str()), &host.name))
        .collect();
    scored.sort_by(|a, b| b.cmp(a));
    scored.into_iter().take(CANDIDATES_MAX).map(|(_, name)| name.clone()).collect()
}

/// Returns the index of `host` among the candidates for `engine`.
pub fn candidate_rank(engine: &Host, host: &Name, hosts: &[Host]) -> Option<usize> {
    candidates(engine, hosts).iter().position(|name| name == host)
}
