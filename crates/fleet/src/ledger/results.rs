//! What becomes of an order: taken, held already, refused, or in doubt.

use super::{
    CONFLICT_PAUSE, Doubt, EngineLedger, FIRST_ASK_SHARE, LOAD_TIME_DECAY, MODEL_POLL_INTERVAL,
    ModelState, ORDER_TIME_SHARE, POLL_INTERVAL, Place, RECENT_MAX, REFUSED_FOR, REFUSED_PAUSE,
    RELOAD_TIME, REPEATS_MAX, REPORT_LAG, State, UNKNOWN_FOR,
};
use crate::order::{Order, OrderKind, OrderResult};
use crate::prelude::*;
use crate::roster::AdapterId;

impl EngineLedger {
    /// Reports what the engine answered to the order under way.
    pub fn on_result(&mut self, result: OrderResult, now: Duration) {
        let Some(order) = self.under_way.take() else {
            return;
        };
        let doubt = self.doubt.take();
        if !matches!(result, OrderResult::Refused | OrderResult::Lost) {
            self.refused_until = Duration::ZERO;
        }
        if result != OrderResult::Lost
            && let Some(given_at) = self.given_at.take()
        {
            let took = now.saturating_sub(given_at);
            self.order_time = (self.order_time * (ORDER_TIME_SHARE - 1) + took) / ORDER_TIME_SHARE;
        }
        match (result, doubt) {
            (OrderResult::Accepted, doubt) => {
                let counted = !doubt.is_some_and(|doubt| doubt.had_effect);
                self.on_accepted(&order, counted, now);
            }
            (OrderResult::Holds, doubt) => {
                let counted = !doubt.is_some_and(|doubt| doubt.had_effect);
                self.on_holds(&order, counted, now);
            }
            (OrderResult::Conflict, Some(doubt)) if !doubt.had_effect && self.may_ask(&order) => {
                let expected = order.expected + 1;
                self.sequence = Some(expected);
                let order = Order { expected, ..order };
                self.doubt = Some(Doubt { order, had_effect: true, ..doubt });
            }
            (OrderResult::Conflict, _) => self.observe_at = Some(now + CONFLICT_PAUSE),
            (OrderResult::Unknown, _) => {
                if let OrderKind::Load { adapter, .. } = order.kind {
                    let id = AdapterId { model: order.model, adapter };
                    self.unknown.insert(id, now + UNKNOWN_FOR);
                }
                self.resume_at = now + POLL_INTERVAL;
            }
            (OrderResult::Refused, doubt) => {
                self.doubt = doubt;
                self.resume_at = now + REFUSED_PAUSE;
                self.refused_until = now + REFUSED_FOR;
            }
            (OrderResult::Lost, doubt) => {
                let (had_effect, repeats) = doubt.map_or((false, 0), |d| (d.had_effect, d.repeats));
                if repeats >= REPEATS_MAX {
                    self.on_lost(&order, now);
                } else {
                    self.doubt = Some(Doubt { order, had_effect, repeats: repeats + 1 });
                }
            }
        }
    }

    /// Tells whether an order in doubt may be given anew to ask after it.
    ///
    /// Instead of it another one may have taken effect that was given up, also by a former
    /// owner: then it is no question but one more load.
    fn may_ask(&self, order: &Order) -> bool {
        let is_load = matches!(order.kind, OrderKind::Load { .. });
        !is_load || self.places.len() + 2 <= self.capacity()
    }

    /// Gives up asking after an order: it may still take effect, so its place counts, and
    /// the engine's report decides.
    fn on_lost(&mut self, order: &Order, now: Duration) {
        if let OrderKind::Load { adapter, version } = &order.kind {
            let id = AdapterId { model: order.model.clone(), adapter: adapter.clone() };
            let state = State::Loading { since: now, ask_at: now + REPORT_LAG, asked: true };
            let version = version.unwrap_or(0);
            self.places.entry(id).or_insert(Place { version, state });
        }
        self.observe_at = Some(now + REPORT_LAG);
    }

    fn on_accepted(&mut self, order: &Order, counted: bool, now: Duration) {
        if counted && !self.is_question(order) {
            self.sequence = Some(order.expected + 1);
            self.accepted_at = now;
        }
        match &order.kind {
            OrderKind::LoadModel => {
                self.places.clear();
                self.model_state = ModelState::Loading { ask_at: now + MODEL_POLL_INTERVAL };
            }
            OrderKind::Load { adapter, version } => {
                let id = AdapterId { model: order.model.clone(), adapter: adapter.clone() };
                let expected = if self.recent.contains(&id) { RELOAD_TIME } else { self.load_time };
                let version = version.unwrap_or_else(|| self.version_wanted(&id));
                let known = self.places.get(&id).map(|place| place.state);
                let state = match known {
                    Some(State::Loading { since, .. }) => {
                        State::Loading { since, ask_at: now + POLL_INTERVAL, asked: true }
                    }
                    _ => {
                        let ask_at = now + expected.mul_f64(FIRST_ASK_SHARE);
                        State::Loading { since: now, ask_at, asked: false }
                    }
                };
                self.places.insert(id, Place { version, state });
            }
            OrderKind::Unload { adapter } => {
                let id = AdapterId { model: order.model.clone(), adapter: adapter.clone() };
                if let Some(place) = self.places.get_mut(&id) {
                    place.state = State::Unloading { ask_at: now + POLL_INTERVAL };
                }
            }
        }
    }

    /// Tells whether an order only asks after one that is being carried out; the engine
    /// does not count it.
    fn is_question(&self, order: &Order) -> bool {
        let state = |adapter: &Arc<str>| {
            let id = AdapterId { model: order.model.clone(), adapter: adapter.clone() };
            self.places.get(&id).map(|place| place.state)
        };
        match &order.kind {
            OrderKind::LoadModel => matches!(self.model_state, ModelState::Loading { .. }),
            OrderKind::Load { adapter, .. } => {
                matches!(state(adapter), Some(State::Loading { .. }))
            }
            OrderKind::Unload { adapter } => {
                matches!(state(adapter), Some(State::Unloading { .. }))
            }
        }
    }

    fn on_holds(&mut self, order: &Order, counted: bool, now: Duration) {
        let is_unload = matches!(order.kind, OrderKind::Unload { .. });
        if is_unload && counted && !self.is_question(order) {
            // An adapter that no request uses is unloaded at once, and the order counts.
            self.sequence = Some(order.expected + 1);
            self.accepted_at = now;
        }
        match &order.kind {
            OrderKind::LoadModel => self.model_state = ModelState::Ready,
            OrderKind::Load { adapter, version } => {
                let id = AdapterId { model: order.model.clone(), adapter: adapter.clone() };
                if let Some(State::Loading { since, asked, .. }) =
                    self.places.get(&id).map(|place| place.state)
                    && !self.recent.contains(&id)
                {
                    self.load_time = match asked {
                        true => (self.load_time * 7 + now.saturating_sub(since)) / 8,
                        // It may have been complete for a while.
                        false => self.load_time.mul_f64(LOAD_TIME_DECAY),
                    };
                }
                let version = version.unwrap_or_else(|| self.version_wanted(&id));
                self.recent.retain(|other| *other != id);
                self.places.insert(id, Place { version, state: State::Ready });
            }
            OrderKind::Unload { adapter } => {
                let id = AdapterId { model: order.model.clone(), adapter: adapter.clone() };
                self.places.remove(&id);
                self.recent.push_back(id);
                if self.recent.len() > RECENT_MAX {
                    self.recent.pop_front();
                }
            }
        }
    }
}
