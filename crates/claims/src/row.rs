//! The row that says who runs a request.

use guavaspread_model::{Name, Refusal};
use serde::{Deserialize, Serialize};

/// Identifies the process that claims a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Claimer {
    /// Its entry host.
    pub host: Name,
    /// Differs between two processes on the same host.
    pub incarnation: u64,
}

/// Keeps an answer for a repeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The `Content-Type`.
    pub content_type: Option<String>,
    /// Whether the parts are the events of a stream.
    pub stream: bool,
    /// The events of a stream, or a plain body in one part.
    pub parts: Vec<String>,
}

/// Tells how far a request has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum ClaimState {
    /// It may be running.
    Claimed,
    /// It ran, and this is its answer.
    Done(StoredAnswer),
    /// It ran or may have run, and its answer is not kept.
    Ended(Refusal),
}

/// Says who runs a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ClaimRow {
    /// The hash of the request's method, path and body.
    pub content: u64,
    /// The process that runs it.
    pub claimer: Claimer,
    /// Identifies this attempt of that process.
    pub token: u64,
    /// How far it has come.
    pub state: ClaimState,
}
