//! Commands to an engine and their results.

use crate::engine_reach::CallOutcome;
use crate::prelude::*;

/// The operation of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandKind {
    /// Loads a model.
    LoadModel,
    /// Loads an adapter or replaces it with a newer version.
    Load {
        /// The adapter's name.
        adapter: Arc<str>,
        /// The version to load; `None` for the newest.
        version: Option<u64>,
    },
    /// Unloads an adapter.
    Unload {
        /// The adapter's name.
        adapter: Arc<str>,
    },
}

/// A load or unload command to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineCommand {
    /// The model to which the command applies.
    pub model: Arc<str>,
    /// The operation.
    pub kind: CommandKind,
    /// The number of accepted commands that the engine must have counted; it rejects the command
    /// otherwise.
    pub expected_sequence: u64,
}

/// The result of a command, by the engine's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandResult {
    /// The engine is executing the command.
    Accepted,
    /// The engine has completed the command, or there was nothing to do.
    Completed,
    /// Another command is in progress, or the number of accepted commands differs.
    Conflict,
    /// The engine rejected the command for another reason and did nothing.
    Refused,
    /// The model, adapter or version does not exist; the engine did nothing.
    NotFound,
    /// The command was not sent, because no connection to the engine could be opened.
    NotSent,
    /// No response arrived; the engine may have accepted the command.
    NoResponse,
}

impl CommandResult {
    /// Returns the outcome of the command as a call to the engine.
    pub fn call_outcome(self) -> CallOutcome {
        match self {
            CommandResult::Accepted
            | CommandResult::Completed
            | CommandResult::Conflict
            | CommandResult::Refused
            | CommandResult::NotFound => CallOutcome::Answered,
            CommandResult::NotSent => CallOutcome::NotSent,
            CommandResult::NoResponse => CallOutcome::NoResponse,
        }
    }
}

/// Whether an adapter can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// The adapter is loaded in this version.
    Ready(u64),
    /// The adapter is loading or waits to be loaded; holds the estimated time until it is ready.
    Loading(Duration),
    /// An older version is in use on this engine; another engine has the new version sooner.
    OldVersionInUse,
    /// The engine's batch is full, and as many requests as allowed wait for it.
    Full,
    /// The engine can't hold the adapter, or its queue of loads is too slow.
    Unavailable,
    /// The engine recently reported that the adapter does not exist.
    NotFound,
}

/// The next action for an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SchedulerStep {
    /// Send this command and report its result.
    Send(EngineCommand),
    /// Fetch the engine's report of its models and adapters.
    FetchReport,
    /// Do nothing until this time, unless an event is reported.
    Wait(Option<Duration>),
}
