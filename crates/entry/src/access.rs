//! Access of requests to adapters on engines.
//!
//! Before a request that names an adapter is sent to an engine, access is requested from the entry
//! host that owns the engine. The owner loads the adapter and keeps it loaded until it learns
//! that the request has ended. If no owner responds, the last grant or the server list decides.
//! A wrong decision is harmless, because engines refuse requests for adapters that they have not
//! loaded.

use guavaspread_fleet::{AdapterId, Grant, LoadReport, PlacementKey, Prompt, Server};
use serde::Serialize;

use crate::owned_engines::AdapterGuard;
use crate::peer_message::{AdapterRequest, AdapterStatus};
use crate::peers::RemoteAdapterGuard;
use crate::prelude::*;
use crate::state::EntryState;

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
/// How long the last grant may be used when the owner does not respond.
const GRANT_TTL: Duration = Duration::from_secs(5);

/// Keeps an adapter loaded on its engine until dropped, at the end of the request.
#[derive(Default)]
pub(crate) struct AdapterHold {
    local: Option<AdapterGuard>,
    remote: Option<RemoteAdapterGuard>,
}

impl AdapterHold {
    /// Reports that the request's first token has arrived.
    pub(crate) fn on_first_token(&self, now: Duration) {
        if let Some(local) = &self.local {
            local.on_first_token(now);
        }
        if let Some(remote) = &self.remote {
            remote.on_first_token();
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
    pub(crate) was_refused: bool,
    /// Whether the engine may fetch the adapter from the weight store.
    pub(crate) may_fetch: bool,
    /// The longest time to wait for a load.
    pub(crate) load_timeout: Duration,
    /// The deadline of the request.
    pub(crate) deadline: Duration,
}

/// What the version of a granted request was decided by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum GrantBasis {
    /// The engine's owner.
    Owner,
    /// The last grant of an owner that does not respond.
    LastGrant,
    /// The engine's row in the server list, while its owner does not respond.
    ServerList,
}

/// The result of an access request.
pub(crate) enum Access {
    /// The request may be sent, for this version of the adapter.
    Granted(u64, GrantBasis, AdapterHold),
    /// The request names no adapter and may be sent.
    NoAdapter,
    /// The request may not be sent.
    Denied,
    /// The engine's owner does not respond or released it; an adapter may be loaded there after this
    /// time.
    OwnerLost(Duration),
    /// The engine would have to fetch the adapter from the weight store.
    FetchRequired,
    /// The load takes longer than the request can wait; the caller may retry after this time.
    LoadTooLate(Duration),
    /// The engine runs as many requests as it can.
    Full,
    /// The engine does not know the adapter.
    NotFound,
}

/// Requests access to an adapter on an engine.
pub(crate) async fn request(
    entry: &Rc<EntryState>,
    (key, server): (PlacementKey, &Arc<Server>),
    params: AccessParams<'_>,
) -> Access {
    let now = entry.clock.now();
    let AccessParams { id, prompt, was_refused, may_fetch, load_timeout, deadline } = params;
    let version_min = entry.versions.borrow().newest(id);
    let load_wait = deadline.saturating_sub(now + RUN_TIME_RESERVE).min(load_timeout);
    let request = AdapterRequest {
        request_id: 0,
        engine: server.id.to_string(),
        model: id.model.to_string(),
        adapter: id.adapter.to_string(),
        version_min,
        load_wait_ms: load_wait.as_millis() as u32,
        was_refused,
        may_fetch,
        prompt_tokens: prompt.tokens,
        first_token_deadline_ms: prompt.first_token_deadline.saturating_sub(now).as_millis() as u32,
        event_gap_max_ms: prompt.event_gap_max.unwrap_or_default().as_millis() as u32,
    };
    let reply = request_from_owner(entry, server, request).await;
    if let Some((AdapterStatus::Granted { running, .. } | AdapterStatus::Full { running }, _)) =
        reply
    {
        let load = LoadReport { running, waiting: 0, slots: server.slots };
        entry.placement.borrow_mut().on_load_report(key, load, entry.clock.now());
    }
    match reply {
        Some((AdapterStatus::Full { .. }, _)) => Access::Full,
        Some((AdapterStatus::NotFound, _)) => Access::NotFound,
        Some((AdapterStatus::FetchRequired, _)) => Access::FetchRequired,
        Some((AdapterStatus::LoadTooLate(ms), _)) => {
            Access::LoadTooLate(Duration::from_millis(ms.into()))
        }
        Some((AdapterStatus::Granted { version, .. }, hold)) => {
            let now = entry.clock.now();
            let grant = Grant { version, expires_at: now + GRANT_TTL };
            entry.grant_cache.borrow_mut().insert(server.id.clone(), id.clone(), grant, now);
            Access::Granted(version, GrantBasis::Owner, hold)
        }
        Some((
            AdapterStatus::Loading | AdapterStatus::LoadTimedOut | AdapterStatus::Unavailable,
            _,
        )) => Access::Denied,
        Some((AdapterStatus::NotOwner, _)) | None if was_refused => denied(entry, server),
        Some((AdapterStatus::NotOwner, _)) | None => {
            decide_without_owner(entry, server, id, version_min)
        }
    }
}

async fn request_from_owner(
    entry: &Rc<EntryState>,
    server: &Arc<Server>,
    request: AdapterRequest,
) -> Option<(AdapterStatus, AdapterHold)> {
    let owner = {
        let leases = entry.leases.borrow();
        leases.owner_of(&server.id).map(|(holder, address)| (holder.clone(), address))
    };
    let (holder, address) = owner?;
    if holder == entry.holder {
        let (status, local) = entry.owned_engines.acquire_adapter(entry, &request, || ()).await;
        return Some((status, AdapterHold { local, remote: None }));
    }
    let reply = entry.peers.request_adapter(address, request, entry.clock).await;
    let Some((status, remote)) = reply else {
        if entry.leases.borrow_mut().on_peer_silent(&holder, entry.clock.now()) {
            entry.leases_changed.notify_waiters();
        }
        return None;
    };
    if status == AdapterStatus::NotOwner {
        entry.leases.borrow_mut().on_not_owner(&holder);
        entry.leases_changed.notify_waiters();
    } else {
        entry.leases.borrow_mut().on_peer_response(&holder, entry.clock.now());
    }
    Some((status, AdapterHold { local: None, remote }))
}

/// Decides without the owner, by the last grant or else by the server list, which lags.
///
/// A version below `version_min` is not accepted: a host that has just started, or that was
/// partitioned, can't tell how long ago the newer one was named.
fn decide_without_owner(
    entry: &EntryState,
    server: &Arc<Server>,
    id: &AdapterId,
    version_min: u64,
) -> Access {
    let now = entry.clock.now();
    if let Some(grant) = entry.grant_cache.borrow().get(&server.id, id, version_min, now) {
        return Access::Granted(grant.version, GrantBasis::LastGrant, AdapterHold::default());
    }
    let server_list = entry.server_list.borrow();
    let current = server_list.get(&server.id).unwrap_or(server);
    let with_model = current.models.iter().filter(|model| model.name == id.model);
    let mut adapters = with_model.flat_map(|model| model.adapters.iter());
    match adapters.find(|a| a.name == id.adapter && a.version >= version_min) {
        Some(adapter) => {
            Access::Granted(adapter.version, GrantBasis::ServerList, AdapterHold::default())
        }
        None => denied(entry, server),
    }
}

/// Denies access, with the time until an adapter may be loaded if the engine has no owner that
/// reaches it.
fn denied(entry: &EntryState, server: &Server) -> Access {
    let wait = entry.leases.borrow().load_wait(&server.id, entry.clock.now());
    wait.map_or(Access::Denied, Access::OwnerLost)
}
