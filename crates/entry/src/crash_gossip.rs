//! Gossip about contents that crash servers, between entry hosts.
//!
//! Each content has two tracking hosts in each zone, which every host derives from the leases. A
//! host that sees a server crash sends an update to the tracking hosts. From the second crash on,
//! the tracking hosts relay the update to the other hosts of their zone. The messages for one
//! crash therefore grow with the number of zones, and only content that keeps crashing servers
//! reaches every host. An update is sent again until the host acknowledges it.

use std::collections::HashSet;

use futures::future::join_all;
use futures::{StreamExt, stream};
use guavaspread_fleet::{
    Admission, Backoff, ContentReport, ContentSummary, HostLease, PersistedContents, PromptParts,
    tracking_hosts,
};
use guavaspread_model::ContentId;
use tokio::sync::Notify;

use crate::peer_message::{CrashUpdate, CrashUpdateReply};
use crate::platform::StoreError;
use crate::prelude::*;
use crate::state::EntryState;
use crate::store_watch;

/// Source of a report in log lines.
pub(crate) const PEER: &str = "a peer";
/// Delay before a failed write to the store is retried.
const PERSIST_RETRY_INTERVAL: Duration = Duration::from_millis(1_500);
/// First delay before updates without an acknowledgement are sent again. It doubles up to the
/// maximum below, so that a host receives its updates soon after a network partition has healed.
const GOSSIP_RETRY_INTERVAL: Duration = Duration::from_millis(500);
const GOSSIP_RETRY_INTERVAL_MAX: Duration = Duration::from_millis(2_000);
/// Interval between checks for rows of expired contents.
const PERSIST_INTERVAL: Duration = Duration::from_secs(30);
/// Number of acknowledgements beyond which those of expired contents are removed.
const ACKS_MAX: usize = 16_384;
/// Updates in flight at once: each may open a connection.
const CONCURRENT_UPDATES_MAX: usize = 16;
/// Reports in one update or reply.
const REPORTS_PER_UPDATE_MAX: usize = 256;
/// Peers from which a host requests reports when it starts.
const BOOTSTRAP_PEERS_MAX: usize = 4;
/// How long the requests to these peers may delay readiness.
const BOOTSTRAP_TIMEOUT: Duration = Duration::from_millis(1_000);
const BOOTSTRAP_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Names a content or a prompt part in a log line.
pub(crate) struct Label(pub(crate) ContentId);

impl std::fmt::Display for Label {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.0.prompt_part() {
            Some(part) => write!(f, "prompt part {part:x}"),
            None => write!(f, "content {}", self.0),
        }
    }
}

/// Tracks which reports other hosts and the store have.
#[derive(Default)]
pub(crate) struct CrashGossip {
    changed: Notify,
    unpersisted: Notify,
    pub(crate) probe_ended: Notify,
    /// The local revision of a content's report that each host acknowledged last.
    acked_revisions: RefCell<HashMap<(Arc<str>, ContentId), u64>>,
    acked_by_all: RefCell<AckedByAll>,
    /// Contents with a row in the store.
    persisted: RefCell<PersistedContents>,
    /// Whether the requests for reports at the start have finished.
    has_bootstrapped: Cell<bool>,
}

/// Caches the contents without pending updates, which a gossip round skips.
#[derive(Default)]
struct AckedByAll {
    /// The hosts for which the cache is valid.
    hosts: Vec<Arc<str>>,
    /// Local revision of each content's report that all its receivers acknowledged.
    contents: HashMap<ContentId, u64>,
}

impl CrashGossip {
    /// Wakes the tasks that send and persist reports after a change.
    pub(crate) fn notify_change(&self) {
        self.changed.notify_one();
        self.unpersisted.notify_one();
    }

    /// Wakes the requests that wait for a probe.
    pub(crate) fn notify_probe_ended(&self) {
        self.probe_ended.notify_waiters();
    }

    /// Writes the reports again that the store may have lost.
    pub(crate) fn on_store_restored(&self) {
        *self.persisted.borrow_mut() = PersistedContents::default();
        self.unpersisted.notify_one();
    }

    /// Returns whether the requests for reports at the start have finished or timed out.
    pub(crate) fn has_bootstrapped(&self) -> bool {
        self.has_bootstrapped.get()
    }

    fn has_acked(&self, holder: &Arc<str>, known: &ContentSummary) -> bool {
        let acked_revisions = self.acked_revisions.borrow();
        acked_revisions
            .get(&(holder.clone(), known.content))
            .is_some_and(|acked| *acked >= known.revision)
    }

    fn is_acked_by_all(&self, known: &ContentSummary) -> bool {
        self.acked_by_all.borrow().contents.get(&known.content) == Some(&known.revision)
    }

    /// Forgets the acknowledgements of a host that restarted and lost its reports.
    fn forget_host(&self, holder: &str) {
        self.acked_revisions.borrow_mut().retain(|(other, _), _| &**other != holder);
        self.acked_by_all.borrow_mut().contents.clear();
    }

    /// Updates the list of hosts; a change of it invalidates the cache of acknowledged contents.
    fn update_hosts(&self, hosts: &[&HostLease], contents: &HashSet<ContentId>) {
        let mut acked_by_all = self.acked_by_all.borrow_mut();
        if acked_by_all.hosts.iter().ne(hosts.iter().map(|host| &host.holder)) {
            acked_by_all.hosts = hosts.iter().map(|host| host.holder.clone()).collect();
            acked_by_all.contents.clear();
            let known: HashSet<&Arc<str>> = acked_by_all.hosts.iter().collect();
            self.acked_revisions.borrow_mut().retain(|(host, _), _| known.contains(host));
        }
        if self.acked_revisions.borrow().len() > ACKS_MAX {
            self.acked_revisions.borrow_mut().retain(|(_, content), _| contents.contains(content));
            acked_by_all.contents.retain(|content, _| contents.contains(content));
        }
    }
}

impl EntryState {
    /// Clears the crashes of a content whose response is complete.
    pub(crate) fn on_completed(&self, content: ContentId) {
        if self.quarantine.borrow().is_empty() {
            return;
        }
        if self.quarantine.borrow_mut().on_completed(content, self.clock.now()) {
            log::info!("content {content} completed; its server crashes no longer count");
            self.crash_gossip.notify_change();
        }
    }

    /// Clears the crashes of the prompt parts of a request whose response is complete.
    pub(crate) fn on_parts_completed(&self, parts: &PromptParts) {
        let cleared = self.quarantine.borrow_mut().on_parts_completed(parts, self.clock.now());
        for part in cleared.released {
            let part = Label(part);
            log::info!("{part} was completed and is released; its server crashes no longer count");
            self.metrics.parts_released.inc();
        }
        if cleared.has_crashes {
            self.crash_gossip.notify_change();
        }
    }

    /// Merges a peer's reports and replies with those that the peer lacks.
    pub(crate) fn on_crash_update(&self, update: CrashUpdate) -> CrashUpdateReply {
        let now = self.clock.now();
        let mut reply =
            CrashUpdateReply { request_id: update.request_id, ..CrashUpdateReply::default() };
        self.merge_reports(&update.reports, PEER);
        if let Some(content) = update.trial {
            reply.is_granted = self.grant_trial(content);
        }
        let quarantine = self.quarantine.borrow();
        if let Some(host) = &update.new_host {
            self.crash_gossip.forget_host(host);
            self.crash_gossip.notify_change();
            let zone_wide = quarantine.summaries().filter(|known| known.is_for_all_hosts);
            let reports = zone_wide.filter_map(|known| quarantine.report(known.content, now));
            reply.reports = reports.take(REPORTS_PER_UPDATE_MAX).collect();
        } else {
            let outdated = update.reports.iter().filter(|report| quarantine.has_more_than(report));
            reply.reports =
                outdated.filter_map(|report| quarantine.report(report.content, now)).collect();
        }
        reply
    }

    /// Merges reports that were read from the store.
    pub(crate) fn on_persisted_reports(&self, reports: &[ContentReport]) {
        for report in reports {
            self.crash_gossip.persisted.borrow_mut().on_read(report.content);
        }
        self.merge_reports(reports, "the store");
    }

    pub(crate) fn merge_reports(&self, reports: &[ContentReport], source: &str) {
        let now = self.clock.now();
        let has_changed = |report: &&ContentReport| self.quarantine.borrow_mut().merge(report, now);
        let changed: Vec<ContentId> =
            reports.iter().filter(has_changed).map(|report| report.content).collect();
        if changed.is_empty() {
            return;
        }
        self.quarantine.borrow_mut().clear_explained(now);
        self.crash_gossip.notify_change();
        for content in changed {
            self.log_quarantine(content, source);
        }
    }

    pub(crate) fn grant_trial(&self, content: ContentId) -> bool {
        let is_granted = self.quarantine.borrow_mut().grant_trial(content, self.clock.now());
        if is_granted {
            let content = Label(content);
            log::info!("{content} is admitted once as a trial after its quarantine");
            self.metrics.trials.inc();
            self.crash_gossip.notify_change();
        }
        is_granted
    }

    /// Logs whether a content is quarantined, and the source of the report.
    pub(crate) fn log_quarantine(&self, content: ContentId, source: &str) {
        let now = self.clock.now();
        let quarantine = self.quarantine.borrow();
        let crashes = quarantine.crash_count(content);
        match quarantine.admission(content, now) {
            Admission::Quarantined(remaining) => {
                let remaining_s = remaining.as_secs();
                let ages_ms: Vec<u128> =
                    quarantine.crash_ages(content, now).iter().map(Duration::as_millis).collect();
                let content = Label(content);
                log::warn!(
                    "{content} is quarantined for {remaining_s} s after {crashes} server \
                     crashes {ages_ms:?} ms ago, reported by {source}"
                );
            }
            // The parts of most requests on a crashed server are sound.
            Admission::Allowed | Admission::Trial if content.prompt_part().is_some() => {}
            Admission::Allowed | Admission::Trial => {
                log::info!(
                    "content {content} is not quarantined after {crashes} server crashes, \
                     reported by {source}"
                );
            }
        }
    }

    /// Returns the metrics in the text format.
    pub(crate) fn metrics_text(&self) -> String {
        let quarantined_count = self.quarantine.borrow().quarantined_count(self.clock.now());
        self.metrics.contents_held.set(quarantined_count as i64);
        let part_count = self.quarantine.borrow().quarantined_part_count(self.clock.now());
        self.metrics.parts_held.set(part_count as i64);
        self.metrics.left_zone.set(self.placement.borrow().left_zone_count() as i64);
        self.metrics.text()
    }
}

/// Sends reports to other hosts until the process ends.
pub(crate) async fn gossip(entry: Rc<EntryState>) {
    // A store or peers that do not respond must not block readiness.
    let bootstrapping = tokio::time::timeout(BOOTSTRAP_TIMEOUT, bootstrap(&entry)).await;
    if bootstrapping.is_err() {
        log::warn!(
            "the peers' reports of content crashes did not arrive in time; serving without them"
        );
    }
    entry.crash_gossip.has_bootstrapped.set(true);
    let mut backoff = Backoff::new(GOSSIP_RETRY_INTERVAL, GOSSIP_RETRY_INTERVAL_MAX);
    loop {
        let changed = entry.crash_gossip.changed.notified();
        if send_all(&entry).await {
            backoff.on_success();
            changed.await;
        } else {
            // A host did not acknowledge its update; the next round sends the update again.
            let _ = tokio::time::timeout(backoff.on_failure(), changed).await;
        }
    }
}

/// Persists reports that must outlive all hosts, until the process ends.
pub(crate) async fn persist(entry: Rc<EntryState>) {
    loop {
        let unpersisted = entry.crash_gossip.unpersisted.notified();
        let wait = match persist_changes(&entry).await {
            Ok(()) => PERSIST_INTERVAL,
            Err(e) => {
                log::warn!("content reports could not be written to the store, will retry: {e}");
                tokio::time::sleep(PERSIST_RETRY_INTERVAL).await;
                continue;
            }
        };
        // Contents expire without a notification.
        let _ = tokio::time::timeout(wait, unpersisted).await;
    }
}

/// Writes new rows to the store and removes those of expired contents.
async fn persist_changes(entry: &EntryState) -> Result<(), StoreError> {
    let now = entry.clock.now();
    let (written, removed, reports, store_time_ms) = {
        let (quarantine, leases) = (entry.quarantine.borrow(), entry.leases.borrow());
        let Some(store_time_ms) = leases.store_time_ms(now) else { return Ok(()) };
        let hosts: Vec<&HostLease> = leases.live_hosts_at_last_read().collect();
        let mut persisted = entry.crash_gossip.persisted.borrow_mut();
        let hosts = || hosts.iter().copied();
        let written = persisted.to_write(&entry.holder, quarantine.summaries(), hosts());
        let removed = persisted.to_remove(&entry.holder, &quarantine, hosts());
        let reports: Vec<ContentReport> =
            written.iter().filter_map(|known| quarantine.report(known.content, now)).collect();
        (written, removed, reports, store_time_ms)
    };
    if written.is_empty() && removed.is_empty() {
        return Ok(());
    }
    entry.platform.store.write_content_reports(&reports, store_time_ms, &removed).await?;
    entry.crash_gossip.persisted.borrow_mut().on_written(&written, &removed);
    Ok(())
}

/// Requests reports from hosts that are already running, those of the own zone first.
async fn bootstrap(entry: &Rc<EntryState>) {
    while entry.leases.borrow().revision().is_none() {
        tokio::time::sleep(BOOTSTRAP_POLL_INTERVAL).await;
    }
    let zone = entry.cfg.borrow().zone.clone();
    let mut hosts: Vec<HostLease> = {
        let leases = entry.leases.borrow();
        let others = leases.live_hosts_at_last_read().filter(|host| host.holder != entry.holder);
        others.cloned().collect()
    };
    hosts.sort_by_key(|host| host.zone != zone);
    hosts.truncate(BOOTSTRAP_PEERS_MAX);
    let requests = hosts.iter().map(|host| {
        let new_host = Some(entry.holder.clone());
        let update = CrashUpdate { new_host, ..CrashUpdate::default() };
        entry.peers.send_crash_update(host.address, update, entry.clock)
    });
    for reply in join_all(requests).await.into_iter().flatten() {
        entry.merge_reports(&reply.reports, PEER);
    }
}

/// Sends all pending updates; returns whether every host acknowledged its update.
async fn send_all(entry: &Rc<EntryState>) -> bool {
    let all_acked = send_pending(entry).await;
    // The store may be slow or unavailable, so the known hosts get their updates first.
    let has_reports = !entry.quarantine.borrow().is_empty();
    if has_reports && store_watch::refresh_hosts(entry).await {
        send_pending(entry).await
    } else {
        all_acked
    }
}

async fn send_pending(entry: &Rc<EntryState>) -> bool {
    let sends = stream::iter(pending(entry)).map(|(host, known)| send_update(entry, host, known));
    let acks: Vec<bool> = sends.buffer_unordered(CONCURRENT_UPDATES_MAX).collect().await;
    !acks.contains(&false)
}

async fn send_update(entry: &Rc<EntryState>, host: HostLease, known: Vec<ContentSummary>) -> bool {
    let now = entry.clock.now();
    let reports = {
        let quarantine = entry.quarantine.borrow();
        known.iter().filter_map(|known| quarantine.report(known.content, now)).collect()
    };
    let update = CrashUpdate { reports, ..CrashUpdate::default() };
    let Some(reply) = entry.peers.send_crash_update(host.address, update, entry.clock).await else {
        log::debug!("{} did not acknowledge the reports of {} contents", host.holder, known.len());
        return false;
    };
    for known in known {
        entry
            .crash_gossip
            .acked_revisions
            .borrow_mut()
            .insert((host.holder.clone(), known.content), known.revision);
    }
    entry.merge_reports(&reply.reports, PEER);
    true
}

/// Lists the pending updates: the receiving hosts and the contents to report to each.
fn pending(entry: &EntryState) -> Vec<(HostLease, Vec<ContentSummary>)> {
    let leases = entry.leases.borrow();
    let hosts: Vec<&HostLease> = leases.live_hosts_at_last_read().collect();
    let zone = entry.cfg.borrow().zone.clone();
    let mut pending: HashMap<Arc<str>, (HostLease, Vec<ContentSummary>)> = HashMap::new();
    let contents: Vec<ContentSummary> = entry.quarantine.borrow().summaries().collect();
    entry.crash_gossip.update_hosts(&hosts, &contents.iter().map(|known| known.content).collect());
    for known in contents {
        if entry.crash_gossip.is_acked_by_all(&known) {
            continue;
        }
        let mut is_acked_by_all = true;
        let tracking_hosts = tracking_hosts(known.content, hosts.iter().copied());
        let is_tracking = tracking_hosts.iter().any(|host| host.holder == entry.holder);
        let is_zone_receiver =
            |host: &&HostLease| is_tracking && known.is_for_all_hosts && host.zone == zone;
        let trackers = tracking_hosts.iter().copied().filter(|_| known.is_local_origin);
        for host in trackers.chain(hosts.iter().copied().filter(is_zone_receiver)) {
            if host.holder == entry.holder || entry.crash_gossip.has_acked(&host.holder, &known) {
                continue;
            }
            is_acked_by_all = false;
            let (_, contents) =
                pending.entry(host.holder.clone()).or_insert_with(|| (host.clone(), Vec::new()));
            if contents.len() < REPORTS_PER_UPDATE_MAX && !contents.contains(&known) {
                contents.push(known);
            }
        }
        if is_acked_by_all {
            entry
                .crash_gossip
                .acked_by_all
                .borrow_mut()
                .contents
                .insert(known.content, known.revision);
        }
    }
    pending.into_values().collect()
}
