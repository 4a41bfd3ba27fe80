//! The choice of the next order: which adapter is loaded, and which makes way.

use super::{
    EngineLedger, FETCHES_MAX, LOAD_TIMEOUT, LOADS_MAX, ModelState, State, WAITING_PER_S, Wanted,
};
use crate::order::OrderKind;
use crate::prelude::*;
use crate::roster::AdapterId;

impl EngineLedger {
    /// Chooses the next order, or tells when to look again.
    pub(super) fn next_kind(&mut self, now: Duration) -> Result<OrderKind, Option<Duration>> {
        self.forget_unwanted(now);
        match self.model_state {
            ModelState::Absent => return Ok(OrderKind::LoadModel),
            ModelState::Loading { ask_at } if ask_at <= now => return Ok(OrderKind::LoadModel),
            ModelState::Loading { ask_at } => return Err(Some(ask_at)),
            ModelState::Ready => {}
        }
        if let Some(kind) = self.next_question(now) {
            return Ok(kind);
        }
        match self.next_load(now) {
            Some(kind) => Ok(kind),
            None => Err(self.wake_at()),
        }
    }

    /// Tells whether another load may start, and whether it may be one from the store.
    fn room_for_loads(&self) -> (bool, bool) {
        let loading = self.places.iter().filter(|(_, p)| matches!(p.state, State::Loading { .. }));
        let (mut loads, mut fetches) = (0, 0);
        for (id, _) in loading {
            loads += 1;
            fetches += usize::from(!self.recent.contains(id));
        }
        (loads < LOADS_MAX, loads < LOADS_MAX && fetches < FETCHES_MAX)
    }

    /// Asks whether a load or unload is complete, by ordering it again.
    fn next_question(&mut self, now: Duration) -> Option<OrderKind> {
        let (id, place) = self.places.iter().find(|(_, place)| match place.state {
            State::Ready => false,
            State::Loading { ask_at, .. } | State::Unloading { ask_at } => ask_at <= now,
        })?;
        let adapter = id.adapter.clone();
        match place.state {
            State::Loading { since, .. } if now >= since + LOAD_TIMEOUT => {
                self.observe_at = Some(now);
                Some(OrderKind::Load { adapter, version: Some(place.version) })
            }
            State::Loading { .. } => {
                Some(OrderKind::Load { adapter, version: Some(place.version) })
            }
            State::Ready | State::Unloading { .. } => Some(OrderKind::Unload { adapter }),
        }
    }

    /// Loads the adapter that is wanted most, after making room for it; one at hand goes
    /// before those that come from the store.
    fn next_load(&self, now: Duration) -> Option<OrderKind> {
        let (may_load, may_fetch) = self.room_for_loads();
        let is_missing = |id: &AdapterId, wanted: &Wanted| match self.places.get(id) {
            None => true,
            Some(place) => place.state == State::Ready && place.version < wanted.version,
        };
        // Many requests, or one that has waited long, go first.
        let weight = |wanted: &Wanted| {
            let waited = now.saturating_sub(wanted.since).as_secs_f64();
            f64::from(wanted.waiting) + waited * WAITING_PER_S
        };
        let waiting = self
            .wanted
            .iter()
            .filter(|(id, wanted)| is_missing(id, wanted) && !self.unknown.contains_key(*id));
        let (id, wanted) = waiting.max_by(|(a, x), (b, y)| {
            let at_hand = self.recent.contains(*a).cmp(&self.recent.contains(*b));
            at_hand.then(weight(x).total_cmp(&weight(y))).then(b.cmp(a))
        })?;
        let is_at_hand = self.recent.contains(id);
        if !(if is_at_hand { may_load } else { may_fetch }) {
            return None;
        }
        if !self.places.contains_key(id) && self.places.len() >= self.capacity() {
            return self.victim(now).map(|adapter| OrderKind::Unload { adapter });
        }
        let version = (wanted.version > 0).then_some(wanted.version);
        Some(OrderKind::Load { adapter: id.adapter.clone(), version })
    }

    /// Picks the adapter that makes way: the least wanted of those that no request uses.
    ///
    /// An unload of an adapter in use would hold up every other order until its runs end.
    fn victim(&self, now: Duration) -> Option<Arc<str>> {
        // One unload at a time makes room for one load.
        if self.places.values().any(|place| matches!(place.state, State::Unloading { .. })) {
            return None;
        }
        let idle = self.places.iter().filter(|(id, place)| {
            place.state == State::Ready
                && !self.in_use.contains_key(*id)
                && !self.wanted.contains_key(*id)
        });
        let demand = |id: &AdapterId| self.demand.count(id, now);
        let coldest = idle.min_by(|(a, _), (b, _)| demand(a).total_cmp(&demand(b)));
        coldest.map(|(id, _)| id.adapter.clone())
    }

    fn wake_at(&self) -> Option<Duration> {
        let asks = self.places.values().filter_map(|place| match place.state {
            State::Ready => None,
            State::Loading { ask_at, .. } | State::Unloading { ask_at } => Some(ask_at),
        });
        asks.min()
    }
}
