//! Watches the platform's store: configurations, adapter versions, servers and leases.

use guavaspread_fleet::{Backoff, FeedTiming, LeaseAction, LeaseWrite};

use crate::platform::{Feed, FeedBatch, FeedRow, StoreError, WriteOutcome};
use crate::prelude::*;
use crate::settings::STORE_CALL_MARGIN_MS;
use crate::state::EntryState;
use crate::{feed_relay, lease_renewal};

/// Interval between checks whether the feed relayed by a watcher is still fresh.
const RELAY_CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Delay before the retry of a failed call to the store; a read on a channel that may have fallen
/// silent is first retried at once.
const STORE_RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Longest delay between retries while the store rejects calls. It lies well below the time in
/// which a configuration must take effect after an outage, `contact_ms` of the sites. Retries put
/// no load on a store that is unreachable, so the delay does not grow in this case.
const STORE_RETRY_INTERVAL_MAX: Duration = Duration::from_millis(1_200);

/// The shortest wait of a read that may wait: shorter ones would return before most changes.
const FEED_WAIT_MIN: Duration = Duration::from_millis(100);

/// The longest interval between reads of the list of hosts in a zone without delegates.
const HOSTS_READ_INTERVAL: Duration = Duration::from_secs(30);
/// How old the list of hosts may be when hosts have to agree on a coordinator or inform each other.
const HOSTS_TTL: Duration = Duration::from_secs(3);

/// Watches one feed until the process ends.
pub(crate) async fn watch_feed(entry: Rc<EntryState>, feed: Feed) {
    let mut after: Option<u64> = None;
    let mut is_store_failing = false;
    let mut is_relayed = false;
    let mut backoff = Backoff::new(STORE_RETRY_INTERVAL, STORE_RETRY_INTERVAL_MAX);
    loop {
        if after.is_some() && entry.feed_relay.is_fresh(feed, entry.clock.now()) {
            // A watcher of the zone relays the feed, so this host need not read it.
            is_relayed = true;
            tokio::time::sleep(RELAY_CHECK_INTERVAL).await;
            after = after.max(entry.feed_relay.revision(feed));
            continue;
        }
        if std::mem::take(&mut is_relayed) {
            // What made the watchers fall silent may have hit the channels to the store too.
            entry.platform.store.close_idle_channels();
        }
        let batch = match after {
            None => entry.platform.store.snapshot(feed).await,
            Some(after) => {
                // After a failure the call only checks whether the store responds again.
                let wait = feed_timing(&entry, feed).wait;
                let wait = if is_store_failing { Duration::ZERO } else { wait };
                entry.platform.store.changes_since(feed, after, wait).await
            }
        };
        let now = entry.clock.now();
        match batch {
            Ok(batch) => {
                if std::mem::take(&mut is_store_failing) {
                    log::info!("the store is available again for feed {feed:?}");
                }
                backoff.on_success();
                let is_snapshot = after.is_none();
                after = Some(batch.revision.max(after.unwrap_or(0)));
                entry.feed_relay.on_read(&entry, feed, &batch, is_snapshot);
                apply_batch(&entry, feed, batch, is_snapshot, now);
                let interval = feed_timing(&entry, feed).interval;
                if !interval.is_zero() {
                    tokio::time::sleep(interval).await;
                }
            }
            Err(StoreError::HistoryCompacted) => {
                log::warn!(
                    "the store lost changes of feed {feed:?} after {after:?}; reading all rows"
                );
                backoff.on_success();
                after = None;
            }
            Err(e) => {
                let is_first = !std::mem::replace(&mut is_store_failing, true);
                if is_first {
                    log::warn!("reading feed {feed:?} failed, will retry: {e}");
                }
                if feed == Feed::Servers {
                    entry.server_list.borrow_mut().on_store_unavailable(now);
                }
                let delay = match (e.has_reached_store(), is_first) {
                    (true, _) => backoff.on_failure(),
                    // The channel may have fallen silent, while a new one works.
                    (false, true) => Duration::ZERO,
                    (false, false) => STORE_RETRY_INTERVAL,
                };
                tokio::time::sleep(delay).await;
            }
        }
    }
}

/// Returns how often this host reads a feed.
///
/// A call in flight when the network is partitioned, or when its channel falls silent, blocks the
/// feed until the call times out. Both times are bounded so that the host is up to date in time.
fn feed_timing(entry: &EntryState, feed: Feed) -> FeedTiming {
    let cfg = entry.cfg.borrow();
    let has_followers = entry.feed_relay.has_followers();
    let ms = Duration::from_millis;
    let usual = match feed {
        Feed::StreamVersions => {
            let interval = feed_relay::STREAM_VERSIONS_FEED_INTERVAL;
            return FeedTiming { interval, wait: Duration::ZERO };
        }
        Feed::Control if has_followers => {
            FeedTiming { interval: Duration::ZERO, wait: feed_relay::CONTROL_FEED_WAIT }
        }
        Feed::Control => FeedTiming { interval: Duration::ZERO, wait: ms(cfg.apply_ms) },
        // The servers feed changes all the time.
        Feed::Servers if has_followers => FeedTiming {
            interval: feed_relay::SERVERS_FEED_INTERVAL,
            wait: feed_relay::CONTROL_FEED_WAIT,
        },
        Feed::Servers => {
            let interval = cfg.drain_ms.saturating_sub(STORE_CALL_MARGIN_MS + 400);
            FeedTiming { interval: ms(interval), wait: ms(cfg.drain_ms) }
        }
    };
    let cycle_max = match feed {
        Feed::Control => cfg.version_cycle_max(),
        Feed::Servers | Feed::StreamVersions => cfg.feed_cycle_max(),
    };
    usual.bounded(cycle_max, FEED_WAIT_MIN)
}

/// Applies rows of a feed that this host read or a watcher relayed.
pub(crate) fn apply_batch(
    entry: &Rc<EntryState>,
    feed: Feed,
    batch: FeedBatch,
    is_snapshot: bool,
    now: Duration,
) {
    entry.on_store_revision(batch.revision);
    let mut changes = Vec::new();
    let mut servers = Vec::new();
    let mut stream_versions = Vec::new();
    for row in batch.rows {
        match row {
            FeedRow::Catalog(catalog) => entry.on_catalog(*catalog),
            FeedRow::Version { id, version } => entry.on_new_version(id, version),
            FeedRow::Server { server, revision } if is_snapshot => {
                servers.push((*server, revision))
            }
            FeedRow::Server { server, revision } => {
                changes.extend(entry.server_list.borrow_mut().upsert(*server, revision));
            }
            FeedRow::Removed { id, revision } => {
                changes.extend(entry.server_list.borrow_mut().remove(&id, revision, now));
            }
            FeedRow::StreamVersions(row) => stream_versions.push(row),
            FeedRow::Unreadable { key, revision, reason } => {
                entry.metrics.unreadable_rows.inc();
                log::warn!("row {key} can't be parsed and counts as missing: {reason}");
                if feed == Feed::Servers {
                    changes.extend(entry.server_list.borrow_mut().remove(&key, revision, now));
                }
            }
        }
    }
    if feed == Feed::Servers {
        let mut server_list = entry.server_list.borrow_mut();
        server_list.on_store_read(now);
        if is_snapshot {
            changes.extend(server_list.replace_all(servers, batch.revision, now));
        }
        changes.extend(server_list.remove_missing(now));
    }
    if feed == Feed::StreamVersions {
        entry.stream_versions.on_read(stream_versions, batch.store_time_ms, is_snapshot, now);
    }
    entry.on_server_changes(changes);
}

/// Renews this host's lease and claims engines until the process ends.
pub(crate) async fn hold_leases(entry: Rc<EntryState>) {
    let mut has_lease = false;
    loop {
        let changed = entry.leases_changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        let now = entry.clock.now();
        let next = entry.leases.borrow_mut().next_action(now);
        match next {
            LeaseAction::Read(after) => read_leases(&entry, after).await,
            LeaseAction::Write(write) => {
                let has_delegate = lease_renewal::has_delegate(&entry);
                let result = lease_renewal::write_leases(&entry, &write).await;
                let is_written = matches!(result, Ok(WriteOutcome::Done { .. }));
                on_lease_write(&entry, write, result, now);
                if is_written && !std::mem::replace(&mut has_lease, true) {
                    // Of two hosts that start together, the one that writes last learns of the
                    // other by this read. It does not count for `refresh_hosts`, because further
                    // hosts may start.
                    let after = entry.leases.borrow().revision();
                    read_leases(&entry, after).await;
                } else if is_written && !has_delegate {
                    // Nothing else tells of the hosts that have started since.
                    let (read_at, after) = {
                        let leases = entry.leases.borrow();
                        (leases.read_at(), leases.revision())
                    };
                    if now >= read_at + HOSTS_READ_INTERVAL {
                        read_leases(&entry, after).await;
                    }
                }
            }
            LeaseAction::Wait(at) => {
                let wait = at.saturating_sub(now).max(Duration::from_millis(10));
                // A wake-up without a change is harmless: the next step is computed again.
                let _ = tokio::time::timeout(wait, changed).await;
            }
        }
        entry.owned_engines.sync(&entry);
    }
}

fn on_lease_write(
    entry: &EntryState,
    write: LeaseWrite,
    result: Result<WriteOutcome, StoreError>,
    sent_at: Duration,
) {
    let mut leases = entry.leases.borrow_mut();
    match result {
        Ok(WriteOutcome::Done { revision, store_time_ms }) => {
            leases.on_written(write, revision, store_time_ms, sent_at, entry.clock.now());
        }
        Ok(WriteOutcome::Conflict) => leases.on_conflict(),
        Err(e) => {
            log::warn!("writing leases failed, will retry: {e}");
            leases.on_write_failed(entry.clock.now());
        }
    }
}

/// Reads the list of hosts if it is outdated; returns whether it was read.
///
/// The lease task reads the list only while an engine has no owner.
pub(crate) async fn refresh_hosts(entry: &Rc<EntryState>) -> bool {
    let now = entry.clock.now();
    if entry.hosts_read_at.get().is_some_and(|at| now < at + HOSTS_TTL) {
        return false;
    }
    entry.hosts_read_at.set(Some(now));
    let after = entry.leases.borrow().revision();
    read_leases(entry, after).await;
    true
}

/// Reads the leases that changed after revision `after`, or all leases for `None`.
pub(crate) async fn read_leases(entry: &Rc<EntryState>, after: Option<u64>) {
    let sent_at = entry.clock.now();
    let table = entry.platform.store.read_leases(after).await;
    let now = entry.clock.now();
    match table {
        Ok(mut table) => {
            let content_reports = std::mem::take(&mut table.content_reports);
            entry.on_lease_table(table, after.is_none(), sent_at);
            entry.announced_hosts.borrow_mut().clear();
            let holder_count = entry.leases.borrow().live_hosts(now).count();
            entry.on_holder_count(holder_count);
            entry.on_persisted_reports(&content_reports);
        }
        Err(StoreError::HistoryCompacted) => {
            log::warn!("the store lost changes of the leases after {after:?}; reading all rows");
            entry.leases.borrow_mut().on_history_lost();
        }
        Err(e) => {
            log::warn!("reading leases failed, will retry: {e}");
            entry.leases.borrow_mut().on_read_failed(now, e.has_reached_store());
        }
    }
}
