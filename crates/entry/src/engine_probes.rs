//! Probes of released engines: a host claims such an engine only if it reaches it.

use crate::prelude::*;
use crate::state::EntryState;

/// Interval between checks whether engines are to be probed. Adds to the time in which an engine has
/// no owner.
const PROBE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Probes engines by fetching their reports, until the process ends.
pub(crate) async fn probe_engines(entry: Rc<EntryState>) {
    loop {
        tokio::time::sleep(PROBE_CHECK_INTERVAL).await;
        let now = entry.clock.now();
        for engine in entry.leases.borrow_mut().engines_to_probe(now) {
            tokio::task::spawn_local(probe(entry.clone(), engine));
        }
    }
}

async fn probe(entry: Rc<EntryState>, engine: Arc<str>) {
    let Some(server) = entry.server_list.borrow().get(&engine).cloned() else { return };
    let (report, notice) = entry.platform.engines.fetch_report(&server).await;
    entry.on_server_notice(&server, notice);
    match report {
        Ok(_) => {
            log::debug!("engine {engine} without an owner is within reach of this host");
            entry.leases.borrow_mut().on_engine_reached(&engine, entry.clock.now());
            entry.leases_changed.notify_waiters();
        }
        Err(e) => log::debug!("engine {engine} without an owner is out of reach: {e}"),
    }
}
