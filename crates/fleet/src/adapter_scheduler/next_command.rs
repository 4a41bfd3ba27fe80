//! Selection of the next command: the adapter to load or to evict.

use super::{
    AdapterScheduler, CONCURRENT_FETCHES_MAX, CONCURRENT_LOADS_MAX, LOAD_TIMEOUT, LoadRequest,
    ModelState, SlotState, WAIT_WEIGHT_PER_S,
};
use crate::engine_command::CommandKind;
use crate::prelude::*;
use crate::server_list::AdapterId;

impl AdapterScheduler {
    /// Returns the next command, or the time of the next poll.
    pub(super) fn next_command(&mut self, now: Duration) -> Result<CommandKind, Option<Duration>> {
        self.prune_load_requests(now);
        match self.model_state {
            ModelState::Absent => return Ok(CommandKind::LoadModel),
            ModelState::Loading { poll_at } if poll_at <= now => return Ok(CommandKind::LoadModel),
            ModelState::Loading { poll_at } => return Err(Some(poll_at)),
            ModelState::Ready => {}
        }
        if let Some(kind) = self.next_poll(now) {
            return Ok(kind);
        }
        if let Some(adapter) = self.next_withdrawn() {
            return Ok(CommandKind::Unload { adapter });
        }
        match self.next_load(now) {
            Some(kind) => Ok(kind),
            None => Err(self.next_poll_at()),
        }
    }

    /// Returns whether another load may start, and whether it may fetch from the weight store.
    fn load_permits(&self) -> (bool, bool) {
        let loading =
            self.slots.iter().filter(|(_, p)| matches!(p.state, SlotState::Loading { .. }));
        let (mut loads, mut fetches) = (0, 0);
        for (id, _) in loading {
            loads += 1;
            fetches += usize::from(!self.recently_unloaded.contains(id));
        }
        (
            loads < CONCURRENT_LOADS_MAX,
            loads < CONCURRENT_LOADS_MAX && fetches < CONCURRENT_FETCHES_MAX,
        )
    }

    /// Polls the completion of a load or unload by repeating its command.
    fn next_poll(&mut self, now: Duration) -> Option<CommandKind> {
        let (id, slot) = self.slots.iter().find(|(_, slot)| match slot.state {
            SlotState::Ready => false,
            SlotState::Loading { poll_at, .. } | SlotState::Unloading { poll_at } => poll_at <= now,
        })?;
        let adapter = id.adapter.clone();
        match slot.state {
            SlotState::Loading { since, .. } if now >= since + LOAD_TIMEOUT => {
                self.fetch_report_at = Some(now);
                Some(CommandKind::Load { adapter, version: Some(slot.version) })
            }
            SlotState::Loading { .. } => {
                Some(CommandKind::Load { adapter, version: Some(slot.version) })
            }
            SlotState::Ready | SlotState::Unloading { .. } => Some(CommandKind::Unload { adapter }),
        }
    }

    /// Loads the most requested adapter, after evicting another one if no slot is free.
    ///
    /// Cached adapters are loaded before those that are fetched from the weight store.
    fn next_load(&self, now: Duration) -> Option<CommandKind> {
        let (can_load, can_fetch) = self.load_permits();
        let is_missing = |id: &AdapterId, request: &LoadRequest| match self.slots.get(id) {
            None => true,
            Some(slot) => slot.state == SlotState::Ready && slot.version < request.version,
        };
        // Prefers adapters with many waiting requests, or whose requests have waited for long.
        let weight = |request: &LoadRequest| {
            let waited = now.saturating_sub(request.since).as_secs_f64();
            f64::from(request.waiters) + waited * WAIT_WEIGHT_PER_S
        };
        let missing = self
            .load_requests
            .iter()
            .filter(|(id, request)| is_missing(id, request) && !self.not_found.contains_key(*id));
        let (id, request) = missing.max_by(|(a, x), (b, y)| {
            let by_cached =
                self.recently_unloaded.contains(*a).cmp(&self.recently_unloaded.contains(*b));
            by_cached.then(weight(x).total_cmp(&weight(y))).then(b.cmp(a))
        })?;
        let is_cached = self.recently_unloaded.contains(id);
        if !(if is_cached { can_load } else { can_fetch }) {
            return None;
        }
        if !self.slots.contains_key(id) && self.slots.len() >= self.capacity() {
            return self.eviction_candidate(now).map(|adapter| CommandKind::Unload { adapter });
        }
        let version = (request.version > 0).then_some(request.version);
        Some(CommandKind::Load { adapter: id.adapter.clone(), version })
    }

    /// Returns the adapter to evict: the one in least demand that no request uses or waits for.
    ///
    /// An unload of an adapter in use would block all other commands until its requests end.
    fn eviction_candidate(&self, now: Duration) -> Option<Arc<str>> {
        // One unload at a time frees a slot for one load.
        if self.slots.values().any(|slot| matches!(slot.state, SlotState::Unloading { .. })) {
            return None;
        }
        let idle = self.slots.iter().filter(|(id, slot)| {
            slot.state == SlotState::Ready
                && !self.use_counts.contains_key(*id)
                && !self.load_requests.contains_key(*id)
        });
        let demand = |id: &AdapterId| self.demand.count(id, now);
        let least_demanded = idle.min_by(|(a, _), (b, _)| demand(a).total_cmp(&demand(b)));
        least_demanded.map(|(id, _)| id.adapter.clone())
    }

    /// Returns an idle adapter whose older version a withdrawn request may still wait for.
    fn next_withdrawn(&mut self) -> Option<Arc<str>> {
        let (slots, newest) = (&self.slots, &self.newest_versions);
        self.withdrawn
            .retain(|id| slots.get(id).is_some_and(|slot| newest.get(id) > Some(&slot.version)));
        let is_idle = |id: &&AdapterId| {
            let is_ready = slots.get(*id).is_some_and(|slot| slot.state == SlotState::Ready);
            is_ready && !self.use_counts.contains_key(*id)
        };
        self.withdrawn.iter().find(is_idle).map(|id| id.adapter.clone())
    }

    fn next_poll_at(&self) -> Option<Duration> {
        let poll_times = self.slots.values().filter_map(|slot| match slot.state {
            SlotState::Ready => None,
            SlotState::Loading { poll_at, .. } | SlotState::Unloading { poll_at } => Some(poll_at),
        });
        poll_times.min()
    }
}
