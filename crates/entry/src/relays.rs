//! News of the store, passed on between the entry hosts of a zone.

use std::net::SocketAddr;

use futures::{SinkExt, StreamExt};
use guavaspread_fleet::{Hearsay, PassedOn, followed, watchers};
use tokio::sync::{broadcast, mpsc};
use tokio::task::JoinHandle;
use tokio_util::codec::Framed;

use crate::border::{Feed, Listing, Update};
use crate::channel::connect;
use crate::follow::on_listing;
use crate::message::{FromOwner, News, ToOwner};
use crate::peers::{codec, frame};
use crate::prelude::*;
use crate::state::Entry;

/// Between two messages of a watcher; its followers count the time since the last.
const BEAT: Duration = Duration::from_millis(300);
/// Between two looks at who the watchers are.
const CHOICE_INTERVAL: Duration = Duration::from_millis(1_000);
/// How long a watcher's question for changes may wait.
pub(crate) const CONTROL_WAIT: Duration = Duration::from_millis(700);
/// Between two questions of a watcher for the list of servers.
pub(crate) const SERVERS_PAUSE: Duration = Duration::from_millis(1_200);
/// How old a watcher's news may be: its question's wait, and the way of the answer.
const CONTROL_FRESH_FOR: Duration = Duration::from_millis(1_200);
const SERVERS_FRESH_FOR: Duration = Duration::from_millis(1_700);
/// Returns how old a watcher's news of a list may be.
fn fresh_for(feed: Feed) -> Duration {
    match feed {
        Feed::Control => CONTROL_FRESH_FOR,
        Feed::Servers => SERVERS_FRESH_FOR,
    }
}

/// News that a follower may be behind; one that is further behind gets the whole lists.
const NEWS_MAX: usize = 64;

const FEEDS: [Feed; 2] = [Feed::Control, Feed::Servers];

/// Holds what one list was last heard of.
#[derive(Default)]
struct Heard {
    hearsay: RefCell<Hearsay>,
    /// When the store answered this host.
    read_at: Cell<Option<Duration>>,
    revision: Cell<Option<u64>>,
}

/// Holds the news of both lists, heard and passed on.
pub(crate) struct Relays {
    heard: [Heard; 2],
    passed_on: RefCell<PassedOn>,
    news: broadcast::Sender<Bytes>,
}

impl Default for Relays {
    fn default() -> Self {
        Relays {
            heard: Default::default(),
            passed_on: RefCell::default(),
            news: broadcast::Sender::new(NEWS_MAX),
        }
    }
}

impl Relays {
    /// Tells whether a watcher's news of a list can stand for a look at the store.
    ///
    /// Those who follow this host rely on its own looks.
    pub(crate) fn is_fresh(&self, feed: Feed, now: Duration) -> bool {
        !self.has_followers() && self.heard(feed).hearsay.borrow().is_fresh(fresh_for(feed), now)
    }

    /// Tells whether all that one watcher passes on is fresh.
    fn is_fresh_from(&self, watcher: SocketAddr, now: Duration) -> bool {
        FEEDS.into_iter().all(|feed| {
            self.heard(feed).hearsay.borrow().is_fresh_from(watcher, fresh_for(feed), now)
        })
    }

    /// Returns the revision up to which a list was heard.
    pub(crate) fn revision(&self, feed: Feed) -> Option<u64> {
        self.heard(feed).revision.get()
    }

    /// Tells whether other hosts rely on what this one reads.
    pub(crate) fn has_followers(&self) -> bool {
        self.news.receiver_count() > 0
    }

    /// Passes on what was read from the store.
    pub(crate) fn on_read(&self, entry: &Entry, feed: Feed, listing: &Listing, whole: bool) {
        let now = entry.clock.now();
        self.heard(feed).read_at.set(Some(now));
        if !self.has_followers() {
            // Who follows next gets the whole list first.
            self.passed_on.borrow_mut().reset(std::iter::empty(), now);
            return;
        }
        if listing.updates.is_empty() {
            return;
        }
        let updates = match whole {
            true => self.all_of(feed, listing, now),
            false => self.news_of(listing, now),
        };
        // Without rows it still tells up to which revision they know the list.
        let listing = Some((feed, Listing { updates, revision: listing.revision }));
        let news = News { listing, whole, ages_ms: self.ages(now) };
        // Followers that have left meanwhile need no news.
        let _ = self.news.send(frame(&FromOwner::News(news)));
    }

    /// Returns all rows of a whole list.
    fn all_of(&self, feed: Feed, listing: &Listing, now: Duration) -> Vec<Update> {
        if feed == Feed::Servers {
            let servers = listing.updates.iter().filter_map(|update| match update {
                Update::Server { server, .. } => Some(&**server),
                _ => None,
            });
            self.passed_on.borrow_mut().reset(servers, now);
        }
        listing.updates.clone()
    }

    /// Returns the rows that followers need to hear of.
    fn news_of(&self, listing: &Listing, now: Duration) -> Vec<Update> {
        let mut passed_on = self.passed_on.borrow_mut();
        let is_news = |update: &&Update| match update {
            Update::Server { server, .. } => passed_on.is_news(server, now),
            Update::Gone { id, .. } | Update::Unreadable { key: id, .. } => {
                passed_on.on_gone(id);
                true
            }
            Update::Catalog(_) | Update::Version { .. } => true,
        };
        listing.updates.iter().filter(is_news).cloned().collect()
    }

    fn heard(&self, feed: Feed) -> &Heard {
        match feed {
            Feed::Control => &self.heard[0],
            Feed::Servers => &self.heard[1],
        }
    }

    /// Returns how old the knowledge of each list is, in milliseconds.
    fn ages(&self, now: Duration) -> [u32; 2] {
        FEEDS.map(|feed| {
            let read_at = self.heard(feed).read_at.get();
            read_at.map_or(u32::MAX, |at| now.saturating_sub(at).as_millis() as u32)
        })
    }

    fn on_news(&self, entry: &Rc<Entry>, watcher: SocketAddr, news: News) {
        let now = entry.clock.now();
        if let Some((feed, listing)) = news.listing {
            let known = self.heard(feed).revision.get();
            self.heard(feed).revision.set(known.max(Some(listing.revision)));
            on_listing(entry, feed, listing, news.whole, now);
        }
        for (feed, age_ms) in FEEDS.into_iter().zip(news.ages_ms) {
            let age = Duration::from_millis(age_ms.into());
            self.heard(feed).hearsay.borrow_mut().on_news(watcher, age, now);
        }
    }

    fn on_lost(&self, watcher: SocketAddr) {
        for feed in FEEDS {
            self.heard(feed).hearsay.borrow_mut().on_lost(watcher);
        }
    }
}

/// Sends a follower all there is, then each news, until it leaves.
pub(crate) async fn pass_on(entry: Rc<Entry>, follower: mpsc::Sender<Bytes>) {
    let mut news = entry.relays.news.subscribe();
    for feed in FEEDS {
        if follower.send(whole(&entry, feed)).await.is_err() {
            return;
        }
    }
    loop {
        let next = tokio::time::timeout(BEAT, news.recv()).await;
        let frames = match next {
            Ok(Ok(frame)) => vec![frame],
            Ok(Err(broadcast::error::RecvError::Lagged(_))) => {
                FEEDS.iter().map(|feed| whole(&entry, *feed)).collect()
            }
            Ok(Err(broadcast::error::RecvError::Closed)) => return,
            Err(_) => {
                let ages_ms = entry.relays.ages(entry.clock.now());
                vec![frame(&FromOwner::News(News { listing: None, whole: false, ages_ms }))]
            }
        };
        for frame in frames {
            if follower.send(frame).await.is_err() {
                return;
            }
        }
    }
}

/// Encodes all that this host knows of a list.
fn whole(entry: &Entry, feed: Feed) -> Bytes {
    let mut updates = Vec::new();
    match feed {
        Feed::Control => {
            if let Some(catalog) = &*entry.catalog.borrow() {
                updates.push(Update::Catalog(Box::new((**catalog).clone())));
            }
            for (id, known) in entry.versions.borrow().iter() {
                updates.push(Update::Version { id: id.clone(), version: known.version });
            }
        }
        Feed::Servers => {
            for (server, revision) in entry.roster.borrow().rows() {
                updates.push(Update::Server { server: Box::new((**server).clone()), revision });
            }
        }
    }
    let revision = match feed {
        Feed::Control => 0,
        Feed::Servers => entry.roster.borrow().revision(),
    };
    let listing = Some((feed, Listing { updates, revision }));
    let ages_ms = entry.relays.ages(entry.clock.now());
    frame(&FromOwner::News(News { listing, whole: true, ages_ms }))
}

/// Follows the watchers of the zone, unless this host is one.
pub(crate) async fn subscribe(entry: Rc<Entry>) {
    let mut following: HashMap<SocketAddr, JoinHandle<()>> = HashMap::new();
    loop {
        tokio::time::sleep(CHOICE_INTERVAL).await;
        let zone = entry.cfg.borrow().zone.clone();
        let now = entry.clock.now();
        let ranked = watchers(&zone, entry.leases.borrow().hosts(now));
        let is_fresh = |watcher| entry.relays.is_fresh_from(watcher, now);
        let chosen = followed(ranked, &entry.holder, is_fresh);
        following.retain(|address, task| {
            let kept = !task.is_finished() && chosen.contains(address);
            if !kept {
                task.abort();
                entry.relays.on_lost(*address);
            }
            kept
        });
        for address in chosen {
            following.entry(address).or_insert_with(|| {
                tokio::task::spawn_local(follow_watcher(entry.clone(), address))
            });
        }
    }
}

async fn follow_watcher(entry: Rc<Entry>, address: SocketAddr) {
    let stream = match connect(address).await {
        Ok(stream) => stream,
        Err(e) => {
            log::warn!("watcher {address} can't be reached: {e}");
            return;
        }
    };
    let mut framed = Framed::new(stream, codec());
    if framed.send(frame(&ToOwner::Watch)).await.is_err() {
        return;
    }
    while let Some(Ok(frame)) = framed.next().await {
        match postcard::from_bytes(&frame) {
            Ok(FromOwner::News(news)) => entry.relays.on_news(&entry, address, news),
            Ok(FromOwner::Reply(_) | FromOwner::Renewed { .. } | FromOwner::Crashes(_))
            | Err(_) => {
                log::warn!("watcher {address} sent what was not asked for");
                return;
            }
        }
    }
    log::info!("watcher {address} is no longer heard");
}
