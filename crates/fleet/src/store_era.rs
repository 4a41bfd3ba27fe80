//! The era that the platform's store states in its responses.
//!
//! The era rises each time that the store comes back from an older copy. A response of an earlier
//! era describes rows that are gone; it may arrive late, and is not used then. A store that has
//! never stated an era is in era 0.
//!
//! A faulty statement never stops a host from following the store: a response without a valid era
//! counts as one of the latest era known, and so does one of an earlier era if its call was sent
//! after the latest era was known, so that it can't be late.

use crate::prelude::*;
use crate::revision::ERA_MAX;

/// The era in the head of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatedEra {
    /// The response states no era.
    Absent,
    /// The response states an era that can't be read.
    Invalid,
    /// The response states this era.
    Era(u64),
}

/// Whether a response may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraCheck {
    /// The response is of this era, as the one before.
    Current(u64),
    /// The response is the first one of this era.
    Began(u64),
    /// The response is of an earlier era than the one known.
    Outdated,
}

/// Tracks the era of the store.
#[derive(Clone, Debug, Default)]
pub struct StoreEra {
    known: u64,
    /// When the first response of the known era arrived.
    known_since: Duration,
}

impl StoreEra {
    /// Returns the latest era known, 0 if the store has stated none.
    pub fn known(&self) -> u64 {
        self.known
    }

    /// Checks the response to a call that was sent at `sent_at`, and records its era.
    pub fn on_response(&mut self, stated: StatedEra, sent_at: Duration, now: Duration) -> EraCheck {
        match stated {
            StatedEra::Era(era) if era > self.known && era <= ERA_MAX => {
                self.known = era;
                self.known_since = now;
                EraCheck::Began(era)
            }
            StatedEra::Era(era) if era < self.known && sent_at < self.known_since => {
                EraCheck::Outdated
            }
            StatedEra::Era(_) | StatedEra::Absent | StatedEra::Invalid => {
                EraCheck::Current(self.known)
            }
        }
    }
}
