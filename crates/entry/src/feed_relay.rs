//! Relays the store's feeds from the watchers of a zone to its other entry hosts.

use std::net::{IpAddr, SocketAddr};

use futures::{SinkExt, StreamExt};
use guavaspread_fleet::{
    RelayedServers, WatcherFreshness, revision_era, watchers_to_follow, zone_watchers,
};
use tokio::sync::{broadcast, mpsc};
use tokio::task::JoinHandle;
use tokio_util::codec::Framed;

use crate::connection_pool::connect;
use crate::peer_message::{FEED_FORMAT, FeedUpdate, PeerRequest, PeerResponse};
use crate::peers::{codec, frame};
use crate::platform::{Feed, FeedBatch, FeedRow};
use crate::prelude::*;
use crate::state::EntryState;
use crate::store_watch::apply_batch;

/// Interval between a watcher's heartbeats; followers add the time since the last message to the
/// age of the data in it.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Interval between selections of the watchers to follow.
const WATCHER_SELECTION_INTERVAL: Duration = Duration::from_millis(1_000);
/// How long a watcher that refused this host is not asked again. A watcher that restarts with
/// another build is followed at the latest after this time; until then this host reads the store.
const REFUSAL_TTL: Duration = Duration::from_secs(10);
/// Interval between two log lines on the refusals of one follower. Followers of earlier builds ask
/// once a second.
const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(60);
/// How long a watcher's call for changes of a feed may wait in the store.
pub(crate) const CONTROL_FEED_WAIT: Duration = Duration::from_millis(700);
/// Interval between a watcher's reads of the servers feed.
pub(crate) const SERVERS_FEED_INTERVAL: Duration = Duration::from_millis(1_200);
/// How old relayed data may be: the wait of the watcher's call, and the transit of the response.
const CONTROL_FEED_TTL: Duration = Duration::from_millis(1_200);
const SERVERS_FEED_TTL: Duration = Duration::from_millis(1_700);
/// Interval between reads of the streams' versions. A host that has not learned of a change yet begins
/// streams at the previous version, which the others take into account for the TTL.
pub(crate) const STREAM_VERSIONS_FEED_INTERVAL: Duration = Duration::from_secs(6);
pub(crate) const STREAM_VERSIONS_FEED_TTL: Duration = Duration::from_secs(7);

/// Returns how old relayed data of a feed may be.
fn feed_ttl(feed: Feed) -> Duration {
    match feed {
        Feed::Control => CONTROL_FEED_TTL,
        Feed::Servers => SERVERS_FEED_TTL,
        Feed::StreamVersions => STREAM_VERSIONS_FEED_TTL,
    }
}

/// Updates that a follower may lag behind; beyond that it gets snapshots of the feeds.
const FOLLOWER_LAG_MAX: usize = 64;

const FEEDS: [Feed; 3] = [Feed::Control, Feed::Servers, Feed::StreamVersions];

/// State of one feed: what the watchers relayed, and when this host read it.
#[derive(Default)]
struct RelayedFeed {
    freshness: RefCell<WatcherFreshness>,
    /// When the store last responded to this host.
    read_at: Cell<Option<Duration>>,
    revision: Cell<Option<u64>>,
}

/// Relayed state of the feeds, as received from watchers and as sent to followers.
pub(crate) struct FeedRelay {
    feeds: [RelayedFeed; 3],
    relayed_servers: RefCell<RelayedServers>,
    updates: broadcast::Sender<Bytes>,
    /// When watchers refused this host.
    refused_at: RefCell<HashMap<SocketAddr, Duration>>,
    /// When a refusal of each follower was last logged.
    refusal_logged_at: RefCell<HashMap<IpAddr, Duration>>,
}

impl Default for FeedRelay {
    fn default() -> Self {
        FeedRelay {
            feeds: Default::default(),
            relayed_servers: RefCell::default(),
            updates: broadcast::Sender::new(FOLLOWER_LAG_MAX),
            refused_at: RefCell::default(),
            refusal_logged_at: RefCell::default(),
        }
    }
}

impl FeedRelay {
    /// Returns whether relayed data of a feed is fresh enough to replace a read of the store.
    ///
    /// A host with followers always reads the store itself, since the followers rely on its reads.
    pub(crate) fn is_fresh(&self, feed: Feed, now: Duration) -> bool {
        !self.has_followers() && self.feed(feed).freshness.borrow().is_fresh(feed_ttl(feed), now)
    }

    /// Returns whether all feeds relayed by a watcher are fresh.
    fn is_watcher_fresh(&self, watcher: SocketAddr, now: Duration) -> bool {
        FEEDS.into_iter().all(|feed| {
            self.feed(feed).freshness.borrow().is_watcher_fresh(watcher, feed_ttl(feed), now)
        })
    }

    /// Returns the latest revision of a feed that a watcher relayed.
    pub(crate) fn revision(&self, feed: Feed) -> Option<u64> {
        self.feed(feed).revision.get()
    }

    /// Returns whether other hosts follow this one.
    pub(crate) fn has_followers(&self) -> bool {
        self.updates.receiver_count() > 0
    }

    /// Relays rows read from the store to the followers.
    pub(crate) fn on_read(
        &self,
        entry: &EntryState,
        feed: Feed,
        batch: &FeedBatch,
        is_snapshot: bool,
    ) {
        let now = entry.clock.now();
        self.feed(feed).read_at.set(Some(now));
        if !self.has_followers() {
            // The next follower starts from snapshots of the feeds.
            self.relayed_servers.borrow_mut().clear();
            return;
        }
        if batch.rows.is_empty() {
            return;
        }
        let rows = match is_snapshot {
            true => self.snapshot_rows(feed, batch, now),
            false => self.changed_rows(batch, now),
        };
        // An update without rows still advances the followers' revision.
        let batch = Some((feed, FeedBatch { rows, ..*batch }));
        let update = FeedUpdate { batch, is_snapshot, ages_ms: self.data_ages(now) };
        // Sending fails only if all followers have disconnected.
        let _ = self.updates.send(frame(&PeerResponse::FeedUpdate(update)));
    }

    /// Returns all rows of a snapshot and records the servers in it as relayed.
    fn snapshot_rows(&self, feed: Feed, batch: &FeedBatch, now: Duration) -> Vec<FeedRow> {
        if feed == Feed::Servers {
            let servers = batch.rows.iter().filter_map(|row| match row {
                FeedRow::Server { server, .. } => Some(&**server),
                _ => None,
            });
            let era = revision_era(batch.revision);
            self.relayed_servers.borrow_mut().on_list(servers, era, now);
        }
        batch.rows.clone()
    }

    /// Returns the changed rows that followers need.
    fn changed_rows(&self, batch: &FeedBatch, now: Duration) -> Vec<FeedRow> {
        let mut relayed_servers = self.relayed_servers.borrow_mut();
        let should_relay = |row: &&FeedRow| match row {
            FeedRow::Server { server, .. } => relayed_servers.relay_if_changed(server, now),
            FeedRow::Removed { id, .. } | FeedRow::Unreadable { key: id, .. } => {
                relayed_servers.on_removed(id);
                true
            }
            FeedRow::Catalog(_) | FeedRow::Version { .. } | FeedRow::StreamVersions(_) => true,
        };
        batch.rows.iter().filter(should_relay).cloned().collect()
    }

    fn feed(&self, feed: Feed) -> &RelayedFeed {
        match feed {
            Feed::Control => &self.feeds[0],
            Feed::Servers => &self.feeds[1],
            Feed::StreamVersions => &self.feeds[2],
        }
    }

    /// Returns, for each feed, the time since the store last responded, in milliseconds.
    fn data_ages(&self, now: Duration) -> [u32; 3] {
        FEEDS.map(|feed| {
            let read_at = self.feed(feed).read_at.get();
            read_at.map_or(u32::MAX, |at| now.saturating_sub(at).as_millis() as u32)
        })
    }

    /// Returns the time since the store last responded to this host, or to a watcher that it follows.
    pub(crate) fn data_age(&self, feed: Feed, now: Duration) -> Duration {
        let relayed = self.feed(feed);
        let read_at = relayed.read_at.get().max(relayed.freshness.borrow().latest_at());
        read_at.map_or(Duration::MAX, |at| now.saturating_sub(at))
    }

    fn on_feed_update(&self, entry: &Rc<EntryState>, watcher: SocketAddr, update: FeedUpdate) {
        let now = entry.clock.now();
        if let Some((feed, batch)) = update.batch {
            let known = self.feed(feed).revision.get();
            self.feed(feed).revision.set(known.max(Some(batch.revision)));
            apply_batch(entry, feed, batch, update.is_snapshot, now);
        }
        for (feed, age_ms) in FEEDS.into_iter().zip(update.ages_ms) {
            let age = Duration::from_millis(age_ms.into());
            self.feed(feed).freshness.borrow_mut().on_update(watcher, age, now);
        }
    }

    /// Counts and logs a follower with another feed format.
    pub(crate) fn on_follower_refused(&self, entry: &EntryState, follower: IpAddr) {
        entry.metrics.refused_followers.inc();
        let now = entry.clock.now();
        let mut logged_at = self.refusal_logged_at.borrow_mut();
        logged_at.retain(|_, at| now < *at + REFUSAL_LOG_INTERVAL);
        if logged_at.contains_key(&follower) {
            return;
        }
        logged_at.insert(follower, now);
        log::info!(
            "the host at {follower} can't follow this one: its feed format is not {FEED_FORMAT}; it \
             reads the store itself"
        );
    }

    /// Records that a watcher refused this host.
    fn on_refused(&self, watcher: SocketAddr, now: Duration) {
        self.refused_at.borrow_mut().insert(watcher, now);
    }

    /// Returns the watchers that may be asked for their feeds.
    fn without_refusing(&self, mut watchers: Vec<SocketAddr>, now: Duration) -> Vec<SocketAddr> {
        let mut refused_at = self.refused_at.borrow_mut();
        refused_at.retain(|_, at| now < *at + REFUSAL_TTL);
        watchers.retain(|watcher| !refused_at.contains_key(watcher));
        watchers
    }

    fn remove_watcher(&self, watcher: SocketAddr) {
        for feed in FEEDS {
            self.feed(feed).freshness.borrow_mut().on_disconnected(watcher);
        }
    }
}

/// Sends a follower snapshots of the feeds and then each update, until it disconnects.
pub(crate) async fn relay_feeds(entry: Rc<EntryState>, follower: mpsc::Sender<Bytes>) {
    let mut updates = entry.feed_relay.updates.subscribe();
    for feed in FEEDS {
        if follower.send(snapshot(&entry, feed)).await.is_err() {
            return;
        }
    }
    loop {
        let next = tokio::time::timeout(HEARTBEAT_INTERVAL, updates.recv()).await;
        let frames = match next {
            Ok(Ok(frame)) => vec![frame],
            Ok(Err(broadcast::error::RecvError::Lagged(_))) => {
                FEEDS.iter().map(|feed| snapshot(&entry, *feed)).collect()
            }
            Ok(Err(broadcast::error::RecvError::Closed)) => return,
            Err(_) => {
                let ages_ms = entry.feed_relay.data_ages(entry.clock.now());
                vec![frame(&PeerResponse::FeedUpdate(FeedUpdate {
                    batch: None,
                    is_snapshot: false,
                    ages_ms,
                }))]
            }
        };
        for frame in frames {
            if follower.send(frame).await.is_err() {
                return;
            }
        }
    }
}

/// Encodes a snapshot of a feed.
fn snapshot(entry: &EntryState, feed: Feed) -> Bytes {
    let mut rows = Vec::new();
    let now = entry.clock.now();
    match feed {
        Feed::Control => {
            if let Some(catalog) = &*entry.catalog.borrow() {
                rows.push(FeedRow::Catalog(Box::new((**catalog).clone())));
            }
            for (id, version) in entry.versions.borrow().iter() {
                rows.push(FeedRow::Version { id: id.clone(), version });
            }
        }
        Feed::Servers => {
            for (server, revision) in entry.server_list.borrow().rows() {
                rows.push(FeedRow::Server { server: Box::new((**server).clone()), revision });
            }
        }
        Feed::StreamVersions => {
            rows.extend(entry.stream_versions.rows().into_iter().map(FeedRow::StreamVersions));
        }
    }
    let revision = match feed {
        Feed::Control => 0,
        Feed::Servers => entry.server_list.borrow().revision(),
        Feed::StreamVersions => entry.stream_versions.revision(),
    };
    let store_time_ms = entry.stream_versions.store_time_ms(now).unwrap_or(0);
    let batch = Some((feed, FeedBatch { rows, revision, store_time_ms }));
    let ages_ms = entry.feed_relay.data_ages(now);
    frame(&PeerResponse::FeedUpdate(FeedUpdate { batch, is_snapshot: true, ages_ms }))
}

/// Follows the watchers of the zone that precede this host in rank, until the process ends.
pub(crate) async fn follow_watchers(entry: Rc<EntryState>) {
    let mut following: HashMap<SocketAddr, JoinHandle<()>> = HashMap::new();
    loop {
        tokio::time::sleep(WATCHER_SELECTION_INTERVAL).await;
        let zone = entry.cfg.borrow().zone.clone();
        let now = entry.clock.now();
        let ranked = zone_watchers(&zone, entry.leases.borrow().live_hosts(now));
        let is_fresh = |watcher| entry.feed_relay.is_watcher_fresh(watcher, now);
        let chosen = watchers_to_follow(ranked, &entry.holder, is_fresh);
        let chosen = entry.feed_relay.without_refusing(chosen, now);
        following.retain(|address, task| {
            let is_kept = !task.is_finished() && chosen.contains(address);
            if !is_kept {
                task.abort();
                entry.feed_relay.remove_watcher(*address);
            }
            is_kept
        });
        for address in chosen {
            following.entry(address).or_insert_with(|| {
                tokio::task::spawn_local(follow_watcher(entry.clone(), address))
            });
        }
    }
}

/// How the connection to a watcher ended.
enum FollowEnd {
    /// There was no connection, or it broke off after updates.
    Lost,
    /// The watcher closed the connection without an update, or sent what this host can't decode: its
    /// feed format differs.
    Refused,
}

async fn follow_watcher(entry: Rc<EntryState>, address: SocketAddr) {
    let end = receive_updates(&entry, address).await;
    entry.feed_relay.remove_watcher(address);
    match end {
        FollowEnd::Lost => log::info!("the connection to watcher {address} ended"),
        FollowEnd::Refused => {
            log::warn!(
                "watcher {address} does not relay feeds of format {FEED_FORMAT}; reading the store \
                 unless another watcher does, will ask again in {} s",
                REFUSAL_TTL.as_secs()
            );
            entry.feed_relay.on_refused(address, entry.clock.now());
        }
    }
}

/// Applies a watcher's updates until the connection ends.
async fn receive_updates(entry: &Rc<EntryState>, address: SocketAddr) -> FollowEnd {
    let stream = match connect(address).await {
        Ok(stream) => stream,
        Err(e) => {
            log::warn!("connecting to watcher {address} failed: {e}");
            return FollowEnd::Lost;
        }
    };
    let mut framed = Framed::new(stream, codec());
    let request = PeerRequest::FollowFeeds { format: FEED_FORMAT };
    if framed.send(frame(&request)).await.is_err() {
        return FollowEnd::Lost;
    }
    let mut end = FollowEnd::Refused;
    while let Some(Ok(frame)) = framed.next().await {
        match postcard::from_bytes(&frame) {
            Ok(PeerResponse::FeedUpdate(update)) => {
                entry.feed_relay.on_feed_update(entry, address, update);
                end = FollowEnd::Lost;
            }
            Ok(
                PeerResponse::Adapter(_)
                | PeerResponse::LeaseRenewed { .. }
                | PeerResponse::Crashes(_)
                | PeerResponse::Permit(_)
                | PeerResponse::StreamVersion { .. }
                | PeerResponse::Quota { .. }
                | PeerResponse::QuotaPong { .. }
                | PeerResponse::Tunnel(_),
            )
            | Err(_) => {
                log::warn!("watcher {address} sent an unexpected message; closing the connection");
                return FollowEnd::Refused;
            }
        }
    }
    end
}
