//! Refusal of requests whose content, or a part of whose prompt, keeps crashing servers.

use guavaspread_fleet::{Admission, PartsAdmission};
use guavaspread_model::Refusal;

use super::{Call, Progress};
use crate::admission;
use crate::prelude::*;
use crate::record::{Record, Step};
use crate::refusals::{part_quarantined, quarantined};

/// Servers that one request may crash before it is given up, however close in time they crashed.
const OWN_CRASHES_MAX: u32 = 3;

impl Call {
    /// Refuses the request if its content or a part of its prompt is quarantined.
    pub(super) async fn check_quarantine(
        &self,
        progress: &mut Progress,
        record: &mut Record,
    ) -> Option<Refusal> {
        let was_trial = progress.is_trial;
        if let Some(remaining) = self.quarantined_for(progress).await {
            self.entry.metrics.requests_held.inc();
            record.add(Step::Held { left_ms: remaining.as_millis() as u64 });
            return Some(quarantined(&progress.attempts, remaining));
        }
        if was_trial {
            return None;
        }
        let remaining = self.part_quarantined_for(progress).await?;
        self.entry.metrics.part_refusals.inc();
        record.add(Step::PartHeld { left_ms: remaining.as_millis() as u64 });
        Some(part_quarantined(&progress.attempts, remaining))
    }

    /// Returns whether neither the content nor a part of the prompt is quarantined now.
    pub(super) fn is_admitted(&self) -> bool {
        let now = self.entry.clock.now();
        let quarantine = self.entry.quarantine.borrow();
        quarantine.admission(self.content, now) == Admission::Allowed
            && quarantine.parts_admission(&self.info.prompt_parts, now) == PartsAdmission::Allowed
    }

    /// Returns for how long the request's content is quarantined, if it is.
    async fn quarantined_for(&self, progress: &mut Progress) -> Option<Duration> {
        let sent = progress.attempts.sent_count();
        if self.entry.quarantine.borrow().is_empty() && sent < 2 {
            return None;
        }
        if progress.is_trial {
            return (!progress.attempts.has_not_run()).then_some(Duration::ZERO);
        }
        if !progress.attempts.has_not_run() {
            // Wait for the probe, so that a crash during the last attempt is counted below.
            let parts = &self.info.prompt_parts;
            admission::await_crash_probe(&self.entry, self.content, parts, sent).await;
        }
        let crashes = self.entry.quarantine.borrow().crash_count(self.content);
        if sent >= OWN_CRASHES_MAX && crashes >= OWN_CRASHES_MAX as usize {
            return Some(Duration::ZERO);
        }
        match admission::check_admission(&self.entry, self.content).await {
            Admission::Allowed => None,
            Admission::Quarantined(remaining) => Some(remaining),
            Admission::Trial => {
                progress.is_trial = true;
                None
            }
        }
    }

    /// Returns for how long a part of the request's prompt is quarantined, if one is.
    async fn part_quarantined_for(&self, progress: &mut Progress) -> Option<Duration> {
        let parts = &self.info.prompt_parts;
        let is_retry = !progress.attempts.has_not_run();
        if is_retry && self.entry.quarantine.borrow().part_that_bars_retry(parts).is_some() {
            return Some(Duration::ZERO);
        }
        match admission::check_parts(&self.entry, parts).await {
            PartsAdmission::Allowed => None,
            PartsAdmission::Quarantined(_, remaining) => Some(remaining),
            PartsAdmission::Trial(_) => {
                progress.is_trial = true;
                None
            }
        }
    }
}
