//! The stored row of a claimed request.

use guavaspread_model::{Name, Refusal};
use serde::{Deserialize, Serialize};

/// Identifies the process that claims a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Claimer {
    /// The entry host of the process.
    pub host: Name,
    /// Differs between two processes on the same host.
    pub incarnation: u64,
}

/// A response that is stored for repeated requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct StoredResponse {
    /// The HTTP status.
    pub status: u16,
    /// The value of the `Content-Type` header.
    pub content_type: Option<String>,
    /// Whether the parts are the events of a stream.
    pub stream: bool,
    /// The events of a stream, or the whole body as one part.
    pub parts: Vec<String>,
}

/// The progress of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum ClaimState {
    /// The request may be running.
    Claimed,
    /// The request ran; the response is stored.
    Done(StoredResponse),
    /// The request ran or may have run; no response is stored.
    Ended(Refusal),
}

/// The claim of a process on a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ClaimRow {
    /// The hash of the request's method, path and body.
    pub content: u64,
    /// The process that claims the request.
    pub claimer: Claimer,
    /// Identifies the attempt of the process.
    pub token: u64,
    /// The progress of the request.
    pub state: ClaimState,
}
