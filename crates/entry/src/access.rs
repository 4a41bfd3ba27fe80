//! Access of requests to adapters on engines.
//!
//! Before a request that names an adapter is sent to an engine, the entry host that owns the
//! engine is asked for access. The owner loads the adapter and keeps it loaded until it learns
//! that the request has ended. If no owner answers, the last grant or the list of servers
//! decides. Such a guess is safe, because engines refuse requests for adapters that they have
//! not loaded.

use guavaspread_fleet::{AdapterId, Grant, LoadReport, PlacementKey, Prompt, Server};

use crate::message::{Answer, Ask};
use crate::orders::Use;
use crate::peers::Granted;
use crate::prelude::*;
use crate::state::Entry;

/// How long a request waits for its adapter to load.
///
/// Giving up earlier and trying another engine does not help while the weight store is congested:
/// a second load would add to the congestion.
pub(crate) const LOAD_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long a resumed stream waits for its adapter to load on another engine.
///
/// Shorter than [`LOAD_TIMEOUT`]: the caller sees the stream stall and can repeat the request.
pub(crate) const RESUME_LOAD_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time before the deadline that is reserved for running the request.
const RUN_TIME_RESERVE: Duration = Duration::from_millis(100);
/// How long the previous version of an adapter may still be used while owners replace it.
const OLD_VERSION_TTL: Duration = Duration::from_millis(2_500);

/// How long the last grant may be used when the owner does not answer.
const GRANT_TTL: Duration = Duration::from_secs(5);

/// Keeps an adapter loaded on its engine until dropped, at the end of the request.
#[derive(Default)]
pub(crate) struct AdapterHold {
    local: Option<Use>,
    remote: Option<Granted>,
}

impl AdapterHold {
    /// Reports that the request's first token has arrived.
    pub(crate) fn on_read(&self, now: Duration) {
        if let Some(local) = &self.local {
            local.on_read(now);
        }
        if let Some(remote) = &self.remote {
            remote.on_read();
        }
    }
}

/// The parameters of an access request.
pub(crate) struct AccessParams<'a> {
    /// The adapter that the request uses.
    pub(crate) id: &'a AdapterId,
    /// The request's prompt.
    pub(crate) prompt: Prompt,
    /// Whether the engine refused the previous attempt of this request.
    pub(crate) missed: bool,
    /// Whether the engine may fetch the adapter from the weight store.
    pub(crate) may_fetch: bool,
    /// The longest time to wait for a load.
    pub(crate) load_timeout: Duration,
    /// The deadline of the request.
    pub(crate) deadline: Duration,
}

/// The result of an access request.
pub(crate) enum Access {
    /// The request may be sent, for this version of the adapter if one is known.
    Granted(Option<u64>, AdapterHold),
    /// The request may not be sent.
    Denied,
    /// The engine would have to fetch the adapter from the weight store.
    Absent,
    /// The load takes longer than the request can wait; the caller may retry after this time.
    NotSoon(Duration),
    /// The engine runs as many requests as it can.
    Full,
    /// The engine does not know the adapter.
    Unknown,
}

/// Requests access to an adapter on an engine.
pub(crate) async fn request(
    entry: &Rc<Entry>,
    (key, server): (PlacementKey, &Arc<Server>),
    params: AccessParams<'_>,
) -> Access {
    let now = entry.clock.now();
    let AccessParams { id, prompt, missed, may_fetch, load_timeout, deadline } = params;
    let (newest, version_min) = versions(entry, id, now);
    let left = deadline.saturating_sub(now + RUN_TIME_RESERVE).min(load_timeout);
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
        due_ms: prompt.first_token_deadline.saturating_sub(now).as_millis() as u32,
        pause_ms: prompt.event_gap_max.unwrap_or_default().as_millis() as u32,
    };
    let answer = request_from_owner(entry, server, ask).await;
    if let Some((Answer::Granted { running, .. } | Answer::Full { running }, _)) = answer {
        let load = LoadReport { running, waiting: 0, slots: server.slots };
        entry.placement.borrow_mut().on_load_report(key, load, entry.clock.now());
    }
    match answer {
        Some((Answer::Full { .. }, _)) => Access::Full,
        Some((Answer::Unknown, _)) => Access::Unknown,
        Some((Answer::Absent, _)) => Access::Absent,
        Some((Answer::NotSoon(ms), _)) => Access::NotSoon(Duration::from_millis(ms.into())),
        Some((Answer::Granted { version, .. }, hold)) => {
            let now = entry.clock.now();
            let grant = Grant { version, expires_at: now + GRANT_TTL };
            entry.grants.borrow_mut().insert(server.id.clone(), id.clone(), grant, now);
            Access::Granted(Some(version), hold)
        }
        Some((Answer::Loading | Answer::NotYet | Answer::Impossible, _)) => Access::Denied,
        Some((Answer::NotOwner, _)) | None if missed => Access::Denied,
        Some((Answer::NotOwner, _)) | None => decide_without_owner(entry, server, id, version_min),
    }
}

/// Returns the newest version of an adapter and the oldest version that may still be used.
fn versions(entry: &Entry, id: &AdapterId, now: Duration) -> (u64, u64) {
    match entry.versions.borrow().get(id) {
        Some(known) if now >= known.since + OLD_VERSION_TTL => (known.version, known.version),
        Some(known) => (known.version, 0),
        None => (0, 0),
    }
}

async fn request_from_owner(
    entry: &Rc<Entry>,
    server: &Arc<Server>,
    ask: Ask,
) -> Option<(Answer, AdapterHold)> {
    let owner = {
        let leases = entry.leases.borrow();
        leases.owner_of(&server.id).map(|(holder, address)| (holder.clone(), address))
    };
    let (holder, address) = owner?;
    if holder == entry.holder {
        let (answer, local) = entry.orders.answer(entry, &ask, || ()).await;
        return Some((answer, AdapterHold { local, remote: None }));
    }
    let (answer, remote) = entry.peers.ask(address, ask, entry.clock).await?;
    if answer == Answer::NotOwner {
        entry.leases.borrow_mut().mark_stale();
        entry.leases_changed.notify_waiters();
    } else {
        entry.leases.borrow_mut().on_peer_response(&holder, entry.clock.now());
    }
    Some((answer, AdapterHold { local: None, remote }))
}

/// Decides without the owner, by the last grant or else by the list of servers, which lags.
fn decide_without_owner(
    entry: &Entry,
    server: &Arc<Server>,
    id: &AdapterId,
    version_min: u64,
) -> Access {
    let now = entry.clock.now();
    if let Some(grant) = entry.grants.borrow().get(&server.id, id, version_min, now) {
        return Access::Granted(Some(grant.version), AdapterHold::default());
    }
    let roster = entry.roster.borrow();
    let current = roster.get(&server.id).unwrap_or(server);
    let with_model = current.models.iter().filter(|model| model.name == id.model);
    let mut adapters = with_model.flat_map(|model| model.adapters.iter());
    match adapters.find(|a| a.name == id.adapter && a.version >= version_min) {
        Some(adapter) => Access::Granted(Some(adapter.version), AdapterHold::default()),
        None => Access::Denied,
    }
}
