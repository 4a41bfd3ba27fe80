//! Orders to an engine, and what comes of them.

use crate::prelude::*;

/// Tells what an order does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// Load a model.
    LoadModel,
    /// Load an adapter, or replace it by a newer version.
    Load {
        /// The adapter's name.
        adapter: Arc<str>,
        /// Its version; `None` for the newest.
        version: Option<u64>,
    },
    /// Unload an adapter.
    Unload {
        /// The adapter's name.
        adapter: Arc<str>,
    },
}

/// Holds one order for an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The model concerned.
    pub model: Arc<str>,
    /// What to do.
    pub kind: OrderKind,
    /// The number of orders that the engine must have accepted so far.
    pub expected: u64,
}

/// Tells what an engine answered to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// It carries the order out.
    Accepted,
    /// What was ordered holds already.
    Holds,
    /// Another order is under way, or the number of orders differs.
    Conflict,
    /// The engine refused for another reason; nothing was done.
    Refused,
    /// The engine knows no such model, adapter or version; nothing was done.
    Unknown,
    /// No answer: the order may have been accepted.
    Lost,
}

/// Tells whether an adapter can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// It is loaded in that version.
    Ready(u64),
    /// It is being loaded, or waits for that, for about so long.
    Loading(Duration),
    /// An older version is in use here; another engine has the new one sooner.
    InUse,
    /// The engine runs as many requests as it can, and a few wait.
    Full,
    /// The engine can't hold it, or its orders take too long for those that wait already.
    Impossible,
    /// The engine said just now that there is no such adapter.
    Unknown,
}

/// Answers what to do next for an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send this order and report its result.
    Order(Order),
    /// Ask the engine what it holds.
    Observe,
    /// Nothing until that moment, unless something new is reported.
    Wait(Option<Duration>),
}
