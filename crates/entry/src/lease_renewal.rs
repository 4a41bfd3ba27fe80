//! Renewal of leases through a delegate, one host that writes in batches for its zone.

use guavaspread_fleet::{HostLease, LeaseWrite, RenewalBatch, revision_era, zone_watchers};
use tokio::sync::{Notify, oneshot};

use crate::peer_message::Renewal;
use crate::platform::{StoreError, WriteOutcome};
use crate::prelude::*;
use crate::state::EntryState;
use crate::store_watch;

/// Time over which hosts spread their own writes when no delegate responds. Without the spread, the
/// writes of a zone could exceed the store's limit of about 300 transactions per second and table.
const DIRECT_WRITE_SPREAD: Duration = Duration::from_millis(800);

/// How long a host renews its lease itself after the delegates failed. A second timeout of the
/// delegates could outlast the lease.
const DIRECT_WRITE_TIME: Duration = Duration::from_secs(8);

/// Renewals that wait for this host's next batch.
#[derive(Default)]
pub(crate) struct LeaseRenewals {
    batch: RefCell<RenewalBatch<oneshot::Sender<Option<Renewal>>>>,
    renewal_added: Notify,
    /// Until when this host renews its own lease after the delegates failed.
    direct_until: Cell<Duration>,
}

impl LeaseRenewals {
    /// Adds a lease to the next batch and waits for the write; `None` if it fails.
    pub(crate) async fn renew(&self, entry: &EntryState, lease: HostLease) -> Option<Renewal> {
        let (reply_tx, reply_rx) = oneshot::channel();
        self.batch.borrow_mut().add(lease, reply_tx, entry.clock.now());
        self.renewal_added.notify_one();
        reply_rx.await.ok().flatten()
    }
}

/// Returns whether the zone has hosts that renew the leases of others.
pub(crate) fn has_delegate(entry: &EntryState) -> bool {
    let zone = entry.cfg.borrow().zone.clone();
    let leases = entry.leases.borrow();
    !zone_watchers(&zone, leases.live_hosts(entry.clock.now())).is_empty()
}

/// Writes leases and claims.
///
/// Sends a plain renewal to a delegate of the zone. Writes to the store directly for any other
/// change, and if no delegate succeeds.
///
/// # Errors
///
/// Returns the errors of [`Store::write_leases`](crate::Store::write_leases).
pub(crate) async fn write_leases(
    entry: &Rc<EntryState>,
    write: &LeaseWrite,
) -> Result<WriteOutcome, StoreError> {
    let now = entry.clock.now();
    if write.is_renewal() && now >= entry.renewals.direct_until.get() {
        let delegates = {
            let leases = entry.leases.borrow();
            zone_watchers(&write.host.zone, leases.live_hosts(now))
        };
        let has_delegates = !delegates.is_empty();
        for (delegate, address) in delegates {
            let lease = write.host.clone();
            let renewal = match delegate == entry.holder {
                true => entry.renewals.renew(entry, lease).await,
                false => entry.peers.renew(address, lease, entry.clock).await,
            };
            if let Some(Renewal { revision, store_time_ms, lease_summary }) = renewal {
                if revision_era(revision) != write.era {
                    entry.on_store_revision(revision);
                    return Err(StoreError::OtherEra);
                }
                entry.leases.borrow_mut().on_lease_summary(&lease_summary, entry.clock.now());
                // A delegate of an earlier build does not state the number.
                if lease_summary.holder_count > 0 {
                    entry.on_holder_count(lease_summary.holder_count);
                }
                return Ok(WriteOutcome::Done { revision, store_time_ms });
            }
        }
        if has_delegates {
            entry.renewals.direct_until.set(entry.clock.now() + DIRECT_WRITE_TIME);
            let jitter = entry.leases.borrow().jitter_fraction();
            tokio::time::sleep(DIRECT_WRITE_SPREAD.mul_f64(jitter)).await;
        }
    }
    entry.platform.store.write_leases(write).await
}

/// Writes the batches of requested renewals, until the process ends.
pub(crate) async fn write_batches(entry: Rc<EntryState>) {
    loop {
        let due_at = entry.renewals.batch.borrow().due_at();
        let now = entry.clock.now();
        match due_at {
            None => entry.renewals.renewal_added.notified().await,
            Some(at) if at > now => {
                // A new renewal may fill the batch, which is then due at once.
                let renewal_added = entry.renewals.renewal_added.notified();
                let _ = tokio::time::timeout(at.saturating_sub(now), renewal_added).await;
            }
            Some(_) => write_batch(&entry).await,
        }
    }
}

async fn write_batch(entry: &Rc<EntryState>) {
    let due = entry.renewals.batch.borrow_mut().take_batch(entry.clock.now());
    // One read of the table replaces a read by each requesting host.
    let after = entry.leases.borrow().revision();
    store_watch::read_leases(entry, after).await;
    let (era, condition) = {
        let leases = entry.leases.borrow();
        (leases.era(), leases.renewal_condition())
    };
    // The hosts of another era get no reply and write their leases themselves.
    let due = due.into_iter().filter(|(lease, _)| revision_era(lease.revision) == era);
    let (leases, reply_senders): (Vec<_>, Vec<_>) = due.unzip();
    let Some(condition) = condition else { return };
    let Some(write) = LeaseWrite::from_renewals(era, condition, leases) else { return };
    let lease_summary = entry.leases.borrow().lease_summary(entry.clock.now());
    let renewal = match entry.platform.store.write_leases(&write).await {
        Ok(WriteOutcome::Done { revision, store_time_ms }) => {
            Some(Renewal { revision, store_time_ms, lease_summary })
        }
        Ok(WriteOutcome::Conflict) => {
            log::info!(
                "{} batched lease renewals met a conflicting write; their hosts retry alone",
                reply_senders.len()
            );
            None
        }
        Err(e) => {
            log::warn!(
                "writing {} batched lease renewals failed; their hosts retry alone: {e}",
                reply_senders.len()
            );
            None
        }
    };
    for reply_tx in reply_senders {
        // The receiver may have timed out.
        let _ = reply_tx.send(renewal.clone());
    }
}
