//! Renewals of leases, by one host of a zone for the others.

use guavaspread_fleet::{HostLease, LeaseWrite, RenewalGroup, watchers};
use tokio::sync::{Notify, oneshot};

use crate::border::{StoreError, Written};
use crate::follow;
use crate::message::Renewal;
use crate::prelude::*;
use crate::state::Entry;

/// Over how long hosts spread their own writes when no delegate answers: the store takes some
/// 300 transactions a second for a table.
const SPREAD: Duration = Duration::from_millis(800);

/// How long a host writes for itself after delegates failed: a lease bears no second wait for
/// them.
const ALONE_FOR: Duration = Duration::from_secs(8);

/// Holds the renewals that wait for this host's next write.
#[derive(Default)]
pub(crate) struct Renewals {
    group: RefCell<RenewalGroup<oneshot::Sender<Option<Renewal>>>>,
    joined: Notify,
    /// Until when this host writes for itself, as delegates did not.
    alone_until: Cell<Duration>,
}

impl Renewals {
    /// Renews a lease along with others; `None` if that did not work.
    pub(crate) async fn join(&self, entry: &Entry, lease: HostLease) -> Option<Renewal> {
        let (asker, answer) = oneshot::channel();
        self.group.borrow_mut().join(lease, asker, entry.clock.now());
        self.joined.notify_one();
        answer.await.ok().flatten()
    }
}

/// Writes leases and claims: a mere renewal by the zone's delegate, anything else, or without
/// one that answers, by this host itself.
///
/// # Errors
///
/// Fails as [`Store::write_leases`](crate::Store::write_leases) does.
pub(crate) async fn write_leases(
    entry: &Rc<Entry>,
    write: &LeaseWrite,
) -> Result<Written, StoreError> {
    let now = entry.clock.now();
    if write.is_renewal() && now >= entry.renewals.alone_until.get() {
        let delegates = {
            let leases = entry.leases.borrow();
            watchers(&write.host.zone, leases.hosts(now))
        };
        let has_delegates = !delegates.is_empty();
        for (delegate, address) in delegates {
            let lease = write.host.clone();
            let renewal = match delegate == entry.holder {
                true => entry.renewals.join(entry, lease).await,
                false => entry.peers.renew(address, lease, entry.clock).await,
            };
            if let Some(Renewal { revision, shown_ms, last }) = renewal {
                entry.leases.borrow_mut().on_leases_last(&last, entry.clock.now());
                return Ok(Written::Done { revision, shown_ms });
            }
        }
        if has_delegates {
            entry.renewals.alone_until.set(entry.clock.now() + ALONE_FOR);
            let lot = entry.leases.borrow().lot();
            tokio::time::sleep(SPREAD.mul_f64(lot)).await;
        }
    }
    entry.borders.store.write_leases(write).await
}

/// Writes the renewals that this host was asked for, until the process ends.
pub(crate) async fn write(entry: Rc<Entry>) {
    loop {
        let due_at = entry.renewals.group.borrow().due_at();
        let now = entry.clock.now();
        match due_at {
            None => entry.renewals.joined.notified().await,
            Some(at) if at > now => {
                // A full group is written at once.
                let joined = entry.renewals.joined.notified();
                let _ = tokio::time::timeout(at.saturating_sub(now), joined).await;
            }
            Some(_) => write_group(&entry).await,
        }
    }
}

async fn write_group(entry: &Rc<Entry>) {
    let taken = entry.renewals.group.borrow_mut().take(entry.clock.now());
    let (leases, askers): (Vec<_>, Vec<_>) = taken.into_iter().unzip();
    let Some(write) = LeaseWrite::of_renewals(leases) else { return };
    // One look at the table stands for those of all who ask.
    let after = entry.leases.borrow().revision();
    follow::read_leases(entry, after).await;
    let last = entry.leases.borrow().leases_last(entry.clock.now());
    let renewal = match entry.borders.store.write_leases(&write).await {
        Ok(Written::Done { revision, shown_ms }) => Some(Renewal { revision, shown_ms, last }),
        Ok(Written::Conflict) => {
            log::info!("{} leases were not renewed together: one has changed", askers.len());
            None
        }
        Err(e) => {
            log::warn!("{} leases were not renewed together: {e}", askers.len());
            None
        }
    };
    for asker in askers {
        // Who asked may have given it up.
        let _ = asker.send(renewal.clone());
    }
}
