//! Handling of command results.

use super::{
    AdapterScheduler, CACHED_ADAPTERS_MAX, CACHED_LOAD_TIME, COMMAND_TIME_DIVISOR,
    CONFLICT_BACKOFF, FIRST_POLL_FRACTION, LOAD_TIME_DECAY, MODEL_POLL_INTERVAL, ModelState,
    NOT_FOUND_TTL, POLL_INTERVAL, REFUSED_BACKOFF, REFUSED_COOLDOWN, REPORT_LAG, RETRIES_MAX, Slot,
    SlotState, UnansweredCommand,
};
use crate::engine_command::{CommandKind, CommandResult, EngineCommand};
use crate::prelude::*;
use crate::server_list::AdapterId;

impl AdapterScheduler {
    /// Records the result of the command in flight.
    pub fn on_command_result(&mut self, result: CommandResult, now: Duration) {
        let Some(command) = self.in_flight.take() else {
            return;
        };
        let unanswered = self.unanswered.take();
        if !matches!(
            result,
            CommandResult::Refused | CommandResult::NotSent | CommandResult::NoResponse
        ) {
            self.refused_until = Duration::ZERO;
        }
        if result != CommandResult::NoResponse
            && let Some(sent_at) = self.sent_at.take()
        {
            let took = now.saturating_sub(sent_at);
            self.command_time =
                (self.command_time * (COMMAND_TIME_DIVISOR - 1) + took) / COMMAND_TIME_DIVISOR;
        }
        match (result, unanswered) {
            (CommandResult::Accepted, unanswered) => {
                let is_counted = !unanswered.is_some_and(|unanswered| unanswered.assumed_applied);
                self.on_accepted(&command, is_counted, now);
            }
            (CommandResult::Completed, unanswered) => {
                let is_counted = !unanswered.is_some_and(|unanswered| unanswered.assumed_applied);
                self.on_completed(&command, is_counted, now);
            }
            (CommandResult::Conflict, Some(unanswered))
                if !unanswered.assumed_applied && self.can_assume_applied(&command) =>
            {
                let expected_sequence = command.expected_sequence.saturating_add(1);
                self.sequence = Some(expected_sequence);
                let command = EngineCommand { expected_sequence, ..command };
                self.unanswered =
                    Some(UnansweredCommand { command, assumed_applied: true, ..unanswered });
            }
            (CommandResult::Conflict, _) => self.fetch_report_at = Some(now + CONFLICT_BACKOFF),
            (CommandResult::NotFound, _) => {
                if let CommandKind::Load { adapter, .. } = command.kind {
                    let id = AdapterId { model: command.model, adapter };
                    self.not_found.insert(id, now + NOT_FOUND_TTL);
                }
                self.resume_at = now + POLL_INTERVAL;
            }
            (CommandResult::Refused | CommandResult::NotSent, unanswered) => {
                self.unanswered = unanswered;
                self.resume_at = now + REFUSED_BACKOFF;
                self.refused_until = now + REFUSED_COOLDOWN;
            }
            (CommandResult::NoResponse, unanswered) => {
                let (assumed_applied, retries) =
                    unanswered.map_or((false, 0), |last| (last.assumed_applied, last.retries));
                if retries >= RETRIES_MAX {
                    self.give_up(&command, now);
                } else {
                    self.unanswered =
                        Some(UnansweredCommand { command, assumed_applied, retries: retries + 1 });
                }
            }
        }
    }

    /// Returns whether an unanswered command may be repeated with the count that its effect would
    /// have left.
    ///
    /// Another abandoned command, possibly of a former owner, may have taken effect instead. The
    /// repeated command is then not a poll but one more load, which needs a free slot.
    fn can_assume_applied(&self, command: &EngineCommand) -> bool {
        let is_load = matches!(command.kind, CommandKind::Load { .. });
        !is_load || self.slots.len() + 2 <= self.capacity()
    }

    /// Stops repeating a command. It may still take effect, so its adapter occupies a slot until
    /// the engine's report decides.
    fn give_up(&mut self, command: &EngineCommand, now: Duration) {
        if let CommandKind::Load { adapter, version } = &command.kind {
            let id = AdapterId { model: command.model.clone(), adapter: adapter.clone() };
            let state =
                SlotState::Loading { since: now, poll_at: now + REPORT_LAG, was_polled: true };
            let version = version.unwrap_or(0);
            self.slots.entry(id).or_insert(Slot { version, state });
        }
        self.fetch_report_at = Some(now + REPORT_LAG);
    }

    fn on_accepted(&mut self, command: &EngineCommand, is_counted: bool, now: Duration) {
        if is_counted && !self.is_poll(command) {
            self.sequence = Some(command.expected_sequence.saturating_add(1));
            self.last_accepted_at = now;
        }
        match &command.kind {
            CommandKind::LoadModel => {
                self.slots.clear();
                self.model_state = ModelState::Loading { poll_at: now + MODEL_POLL_INTERVAL };
            }
            CommandKind::Load { adapter, version } => {
                let id = AdapterId { model: command.model.clone(), adapter: adapter.clone() };
                let expected = if self.recently_unloaded.contains(&id) {
                    CACHED_LOAD_TIME
                } else {
                    self.load_time
                };
                let version = version.unwrap_or_else(|| self.target_version(&id));
                let previous = self.slots.get(&id).map(|slot| slot.state);
                let state = match previous {
                    Some(SlotState::Loading { since, .. }) => {
                        SlotState::Loading { since, poll_at: now + POLL_INTERVAL, was_polled: true }
                    }
                    _ => {
                        let poll_at = now + expected.mul_f64(FIRST_POLL_FRACTION);
                        SlotState::Loading { since: now, poll_at, was_polled: false }
                    }
                };
                self.slots.insert(id, Slot { version, state });
            }
            CommandKind::Unload { adapter } => {
                let id = AdapterId { model: command.model.clone(), adapter: adapter.clone() };
                if let Some(slot) = self.slots.get_mut(&id) {
                    slot.state = SlotState::Unloading { poll_at: now + POLL_INTERVAL };
                }
            }
        }
    }

    /// Returns whether a command only polls a load or unload in progress, which the engine does not
    /// count as another command.
    fn is_poll(&self, command: &EngineCommand) -> bool {
        let state = |adapter: &Arc<str>| {
            let id = AdapterId { model: command.model.clone(), adapter: adapter.clone() };
            self.slots.get(&id).map(|slot| slot.state)
        };
        match &command.kind {
            CommandKind::LoadModel => matches!(self.model_state, ModelState::Loading { .. }),
            CommandKind::Load { adapter, .. } => {
                matches!(state(adapter), Some(SlotState::Loading { .. }))
            }
            CommandKind::Unload { adapter } => {
                matches!(state(adapter), Some(SlotState::Unloading { .. }))
            }
        }
    }

    fn on_completed(&mut self, command: &EngineCommand, is_counted: bool, now: Duration) {
        let is_unload = matches!(command.kind, CommandKind::Unload { .. });
        if is_unload && is_counted && !self.is_poll(command) {
            // The engine unloads an adapter without running requests at once, and counts the
            // command.
            self.sequence = Some(command.expected_sequence.saturating_add(1));
            self.last_accepted_at = now;
        }
        match &command.kind {
            CommandKind::LoadModel => self.model_state = ModelState::Ready,
            CommandKind::Load { adapter, version } => {
                let id = AdapterId { model: command.model.clone(), adapter: adapter.clone() };
                if let Some(SlotState::Loading { since, was_polled, .. }) =
                    self.slots.get(&id).map(|slot| slot.state)
                    && !self.recently_unloaded.contains(&id)
                {
                    self.load_time = match was_polled {
                        true => (self.load_time * 7 + now.saturating_sub(since)) / 8,
                        // The load may have completed some time before.
                        false => self.load_time.mul_f64(LOAD_TIME_DECAY),
                    };
                }
                let version = version.unwrap_or_else(|| self.target_version(&id));
                self.recently_unloaded.retain(|other| *other != id);
                self.slots.insert(id, Slot { version, state: SlotState::Ready });
            }
            CommandKind::Unload { adapter } => {
                let id = AdapterId { model: command.model.clone(), adapter: adapter.clone() };
                let slot = self.slots.remove(&id);
                if slot.is_some_and(|slot| self.is_outdated(&id, slot.version)) {
                    // The engine has to fetch the newer version.
                    return;
                }
                self.recently_unloaded.push_back(id);
                if self.recently_unloaded.len() > CACHED_ADAPTERS_MAX {
                    self.recently_unloaded.pop_front();
                }
            }
        }
    }
}
