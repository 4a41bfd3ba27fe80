//! Whether a request for an adapter may go to an engine.
//!
//! The host that owns the engine's orders is asked; it loads the adapter, and keeps it
//! there until it is told that the request has ended. Without an answer of an owner,
//! what was granted last and what the list of servers shows decide: engines refuse what
//! they do not hold.

use guavaspread_fleet::{AdapterId, Grant, LoadReport, PlacementKey, Prompt, Server};

use crate::message::{Answer, Ask};
use crate::orders::Use;
use crate::peers::Granted;
use crate::prelude::*;
use crate::state::Entry;

/// How long a request waits for an adapter's load. Another engine is no way out while
/// the weight store is crowded: a second load would crowd it more.
pub(crate) const LOAD_WAIT: Duration = Duration::from_millis(2_500);
/// How long a stream that has begun waits for a load elsewhere: its caller watches it stand
/// still, and may as well ask again.
pub(crate) const RESUME_WAIT: Duration = Duration::from_millis(1_000);
/// Time kept for the run itself.
const RUN_RESERVE: Duration = Duration::from_millis(100);
/// How long an older version may still be used: the time in which owners replace it.
const OLD_VERSION_FOR: Duration = Duration::from_millis(2_500);

/// How long a grant is remembered, for when its owner does not answer.
const GRANT_KEPT_FOR: Duration = Duration::from_secs(5);

/// Keeps an adapter on its engine until the request ends.
#[derive(Default)]
pub(crate) struct Kept {
    here: Option<Use>,
    at_peer: Option<Granted>,
}

impl Kept {
    /// Reports that the request's first token has come.
    pub(crate) fn on_read(&self, now: Duration) {
        if let Some(here) = &self.here {
            here.on_read(now);
        }
        if let Some(at_peer) = &self.at_peer {
            at_peer.on_read();
        }
    }
}

/// Says what is asked of an engine.
pub(crate) struct Want<'a> {
    /// The adapter.
    pub(crate) id: &'a AdapterId,
    /// The request's prompt.
    pub(crate) prompt: Prompt,
    /// Whether the engine refused the request just now.
    pub(crate) missed: bool,
    /// Whether the engine may fetch the adapter from the weight store.
    pub(crate) may_fetch: bool,
    /// How long a load may take.
    pub(crate) load_wait: Duration,
    /// When the request is given up.
    pub(crate) until: Duration,
}

/// Tells whether a server may be sent the request.
pub(crate) enum Access {
    /// It may, for this version of the adapter if one is known.
    Granted(Option<u64>, Kept),
    /// It may not.
    Denied,
    /// It would have to fetch the adapter from the weight store.
    Absent,
    /// It fetches the adapter, but not in time for this request: it may come back then.
    NotSoon(Duration),
    /// It has as many requests as it can run.
    Full,
    /// It knows no such adapter.
    Unknown,
}

/// Asks for the use of an adapter on an engine.
pub(crate) async fn request(
    entry: &Rc<Entry>,
    (key, server): (PlacementKey, &Arc<Server>),
    want: Want<'_>,
) -> Access {
    let now = entry.clock.now();
    let Want { id, prompt, missed, may_fetch, load_wait, until } = want;
    let (newest, version_min) = versions(entry, id, now);
    let left = until.saturating_sub(now + RUN_RESERVE).min(load_wait);
    let ask = Ask {
        number: 0,
        engine: server.id.to_string(),
        model: id.model.to_string(),
        adapter: id.adapter.to_string(),
        version: newest,
        wait_ms: left.as_millis() as u32,
        missed,
        may_fetch,
        tokens: prompt.tokens,
        due_ms: prompt.due.saturating_sub(now).as_millis() as u32,
        pause_ms: prompt.pause.unwrap_or_default().as_millis() as u32,
    };
    let answer = ask_owner(entry, server, ask).await;
    if let Some((Answer::Granted { running, .. } | Answer::Full { running }, _)) = answer {
        let load = LoadReport { running, waiting: 0, slots: server.slots };
        entry.placement.borrow_mut().on_report(key, load, entry.clock.now());
    }
    match answer {
        Some((Answer::Full { .. }, _)) => Access::Full,
        Some((Answer::Unknown, _)) => Access::Unknown,
        Some((Answer::Absent, _)) => Access::Absent,
        Some((Answer::NotSoon(ms), _)) => Access::NotSoon(Duration::from_millis(ms.into())),
        Some((Answer::Granted { version, .. }, kept)) => {
            let now = entry.clock.now();
            let grant = Grant { version, until: now + GRANT_KEPT_FOR };
            entry.grants.borrow_mut().insert(server.id.clone(), id.clone(), grant, now);
            Access::Granted(Some(version), kept)
        }
        Some((Answer::Loading | Answer::NotYet | Answer::Impossible, _)) => Access::Denied,
        Some((Answer::NotOwner, _)) | None if missed => Access::Denied,
        Some((Answer::NotOwner, _)) | None => remembered(entry, server, id, version_min),
    }
}

/// Returns the newest version of an adapter, and the oldest that may still be used.
fn versions(entry: &Entry, id: &AdapterId, now: Duration) -> (u64, u64) {
    match entry.versions.borrow().get(id) {
        Some(known) if now >= known.since + OLD_VERSION_FOR => (known.version, known.version),
        Some(known) => (known.version, 0),
        None => (0, 0),
    }
}

async fn ask_owner(entry: &Rc<Entry>, server: &Arc<Server>, ask: Ask) -> Option<(Answer, Kept)> {
    let owner = {
        let leases = entry.leases.borrow();
        leases.holder(&server.id).map(|(holder, address)| (holder.clone(), address))
    };
    let (holder, address) = owner?;
    if holder == entry.holder {
        let (answer, here) = entry.orders.answer(entry, &ask, || ()).await;
        return Some((answer, Kept { here, at_peer: None }));
    }
    let (answer, at_peer) = entry.peers.ask(address, ask, entry.clock).await?;
    if answer == Answer::NotOwner {
        entry.leases.borrow_mut().on_doubt();
        entry.leases_changed.notify_waiters();
    } else {
        entry.leases.borrow_mut().on_heard(&holder, entry.clock.now());
    }
    Some((answer, Kept { here: None, at_peer }))
}

/// Goes by the last grant, or by the list of servers, which lags.
fn remembered(entry: &Entry, server: &Arc<Server>, id: &AdapterId, version_min: u64) -> Access {
    let now = entry.clock.now();
    if let Some(grant) = entry.grants.borrow().get(&server.id, id, version_min, now) {
        return Access::Granted(Some(grant.version), Kept::default());
    }
    let roster = entry.roster.borrow();
    let current = roster.get(&server.id).unwrap_or(server);
    let held = current.models.iter().filter(|model| model.name == id.model);
    let mut adapters = held.flat_map(|model| model.adapters.iter());
    match adapters.find(|a| a.name == id.adapter && a.version >= version_min) {
        Some(adapter) => Access::Granted(Some(adapter.version), Kept::default()),
        None => Access::Denied,
    }
}
