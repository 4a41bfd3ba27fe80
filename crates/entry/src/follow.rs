//! Follows the platform's store: configurations, versions, servers and leases.

use guavaspread_fleet::{Backoff, LeaseNext};

use crate::border::{Feed, Listing, StoreError, Update, Written};
use crate::prelude::*;
use crate::settings::STORE_MARGIN_MS;
use crate::state::Entry;
use crate::{relays, renewals};

/// Between two looks whether the watchers' news are still fresh.
const RELAYED_PAUSE: Duration = Duration::from_millis(150);
/// Between a first failed try to reach the store and the next.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Between two tries at most of a store that refuses: its return shows well before a
/// configuration has to be in force again, `contact_ms` of the sites. One that can't be
/// reached has no work with the tries, and is tried again after the first pause.
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(1_200);

/// Follows one list until the process ends.
pub(crate) async fn follow(entry: Rc<Entry>, feed: Feed) {
    let mut after: Option<u64> = None;
    let mut away = false;
    let mut backoff = Backoff::new(RETRY_PAUSE, RETRY_PAUSE_MAX);
    loop {
        if after.is_some() && entry.relays.is_fresh(feed, entry.clock.now()) {
            // A watcher of the zone passes on what it reads.
            tokio::time::sleep(RELAYED_PAUSE).await;
            after = after.max(entry.relays.revision(feed));
            continue;
        }
        let listing = match after {
            None => entry.borders.store.list(feed).await,
            Some(after) => {
                // While the store is away, only whether it answers at all is of interest.
                let wait = if away { Duration::ZERO } else { wait(&entry, feed) };
                entry.borders.store.changes(feed, after, wait).await
            }
        };
        let now = entry.clock.now();
        match listing {
            Ok(listing) => {
                if std::mem::take(&mut away) {
                    log::info!("the store is back for {feed:?}");
                }
                backoff.on_success();
                let whole = after.is_none();
                after = Some(listing.revision.max(after.unwrap_or(0)));
                entry.relays.on_read(&entry, feed, &listing, whole);
                on_listing(&entry, feed, listing, whole, now);
                if feed == Feed::Servers {
                    tokio::time::sleep(servers_pause(&entry)).await;
                }
            }
            Err(StoreError::HistoryLost) => {
                log::warn!("the store forgot changes of {feed:?} behind {after:?}; reads all");
                backoff.on_success();
                after = None;
            }
            Err(e) => {
                if !std::mem::replace(&mut away, true) {
                    log::warn!("{feed:?} is not followed: {e}");
                }
                if feed == Feed::Servers {
                    entry.roster.borrow_mut().on_away(now);
                }
                let pause = if e.is_refusal() { backoff.on_failure() } else { RETRY_PAUSE };
                tokio::time::sleep(pause).await;
            }
        }
    }
}

/// Returns how long the store may hold a question for changes. One that is on its way
/// when a cut begins blocks the list until it times out, which must not take much longer
/// than a configuration may take.
fn wait(entry: &Entry, feed: Feed) -> Duration {
    if entry.relays.has_followers() {
        return relays::CONTROL_WAIT;
    }
    let cfg = entry.cfg.borrow();
    match feed {
        Feed::Control => Duration::from_millis(cfg.apply_ms),
        Feed::Servers => Duration::from_millis(cfg.drain_ms),
    }
}

/// Returns the time between two questions for changes of the list of servers, which
/// change all the time.
fn servers_pause(entry: &Entry) -> Duration {
    if entry.relays.has_followers() {
        return relays::SERVERS_PAUSE;
    }
    Duration::from_millis(entry.cfg.borrow().drain_ms.saturating_sub(STORE_MARGIN_MS + 400))
}

/// Takes over rows, as read here or by a watcher.
pub(crate) fn on_listing(
    entry: &Rc<Entry>,
    feed: Feed,
    listing: Listing,
    whole: bool,
    now: Duration,
) {
    let mut changes = Vec::new();
    let mut servers = Vec::new();
    for update in listing.updates {
        match update {
            Update::Catalog(catalog) => entry.on_catalog(*catalog),
            Update::Version { id, version } => entry.on_version(id, version),
            Update::Server { server, revision } if whole => servers.push((*server, revision)),
            Update::Server { server, revision } => {
                changes.extend(entry.roster.borrow_mut().upsert(*server, revision));
            }
            Update::Gone { id, revision } => {
                changes.extend(entry.roster.borrow_mut().remove(&id, revision, now));
            }
            Update::Unreadable { key, revision, reason } => {
                entry.metrics.unreadable_rows.inc();
                log::warn!("row {key} can't be read: {reason}");
                if feed == Feed::Servers {
                    changes.extend(entry.roster.borrow_mut().remove(&key, revision, now));
                }
            }
        }
    }
    if feed == Feed::Servers {
        let mut roster = entry.roster.borrow_mut();
        roster.on_back(now);
        if whole {
            changes.extend(roster.replace(servers, listing.revision, now));
        }
        changes.extend(roster.expire(now));
    }
    entry.on_roster(changes);
}

/// Renews and claims leases until the process ends.
pub(crate) async fn hold_leases(entry: Rc<Entry>) {
    loop {
        let changed = entry.leases_changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        let now = entry.clock.now();
        let next = entry.leases.borrow_mut().next(now);
        match next {
            LeaseNext::Read(after) => read_leases(&entry, after).await,
            LeaseNext::Write(write) => {
                let result = renewals::write_leases(&entry, &write).await;
                let mut leases = entry.leases.borrow_mut();
                match result {
                    Ok(Written::Done { revision, shown_ms }) => {
                        leases.on_written(write, revision, shown_ms, now, entry.clock.now());
                    }
                    Ok(Written::Conflict) => leases.on_conflict(),
                    Err(e) => {
                        log::warn!("leases were not written: {e}");
                        leases.on_write_failed(entry.clock.now());
                    }
                }
            }
            LeaseNext::Wait(at) => {
                let wait = at.saturating_sub(now).max(Duration::from_millis(10));
                // Waking without a change only asks the book again.
                let _ = tokio::time::timeout(wait, changed).await;
            }
        }
        entry.orders.sync(&entry);
    }
}

/// Reads the leases, or what changed of them.
pub(crate) async fn read_leases(entry: &Rc<Entry>, after: Option<u64>) {
    let sent_at = entry.clock.now();
    let table = entry.borders.store.leases(after).await;
    let now = entry.clock.now();
    match table {
        Ok(mut table) => {
            let contents = std::mem::take(&mut table.contents);
            entry.leases.borrow_mut().on_read(table, after.is_none(), sent_at, now);
            let holders = entry.leases.borrow().hosts(now).count();
            entry.on_holders(holders);
            entry.on_saved(&contents);
        }
        Err(StoreError::HistoryLost) => {
            log::warn!("the store forgot changes of the leases behind {after:?}; reads all");
            entry.leases.borrow_mut().on_history_lost();
        }
        Err(e) => {
            log::warn!("leases were not read: {e}");
            entry.leases.borrow_mut().on_read_failed(now, e.is_refusal());
        }
    }
}
