//! What the processes say to each other.

use bytes::Bytes;
use guavaspread_config::{Acknowledgement, Head};
use guavaspread_model::{AdapterVersion, Code, Name, Priority, Refusal};
use serde::{Deserialize, Serialize};

/// Carries a W3C trace context from hop to hop, as its `traceparent` text.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct TraceContext {
    /// The `traceparent` header, empty when the caller sent none.
    pub traceparent: String,
}

/// Orders a dispatcher to run one request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RunOrder {
    /// Identifies this request through every hop.
    pub id: u128,
    /// The backend server whose engine runs it.
    pub engine: Name,
    /// The adapter that the request named.
    pub adapter: AdapterVersion,
    /// The decayed count of requests for the adapter that this gateway has seen.
    pub demand: f32,
    /// The path on the engine.
    pub path: String,
    /// The `Content-Type` of the body, if the caller sent one.
    pub content_type: Option<String>,
    /// The body as it goes to the backend server.
    pub body: Bytes,
    /// Whether the answer is a stream of events.
    pub stream: bool,
    /// What remains until the deadline, in milliseconds.
    pub deadline_ms: u32,
    /// What an answer is worth.
    pub worth: u32,
    /// Which work goes first.
    pub priority: Priority,
    /// Whether the request may run again.
    pub repeatable: bool,
    /// Whether nothing else may run beside it, because it may crash the engine.
    pub alone: bool,
    /// How many events the caller has had; the answer starts behind them.
    pub events_seen: u32,
    /// The revision of the configuration that allowed the run.
    pub revision: u64,
    /// The caller's trace.
    pub trace: TraceContext,
}

/// Opens a stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ask {
    /// Runs a request; answered by [`RunEvent`]s.
    Run(Box<RunOrder>),
    /// Asks what the dispatcher holds; answered by one [`StatusReply`].
    Status,
    /// Asks for what the peer knows; answered by one [`ExchangeReply`].
    Exchange,
    /// Tells of a head row that was just written; answered by a `bool`.
    Head(SeenHead),
    /// Tells of content that crashes engines; answered by a `bool`.
    Quarantine(u64),
    /// Writes a member's acknowledgement to the table, together with others; answered by a
    /// `bool` that tells whether it stands there.
    Acknowledge(Acknowledgement),
}

/// Reports on a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunEvent {
    /// The backend server answered with this status and content type.
    Head {
        /// The HTTP status.
        status: u16,
        /// The `Content-Type`, if there is one.
        content_type: Option<String>,
        /// What the owner says of the engine now.
        digest: Option<Box<DigestEntry>>,
    },
    /// One event of a stream, or one piece of a plain answer.
    Data(Bytes),
    /// The answer is whole.
    Done,
    /// The run ended without a whole answer.
    Refused(Refusal),
}

/// Describes one adapter that an engine holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct LoadedAdapter {
    /// The adapter.
    pub adapter: AdapterVersion,
    /// Requests that run on it.
    pub running: u32,
    /// Decayed demand, in requests a second.
    pub demand: f32,
}

/// Describes one backend server as its owner sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct BackendReport {
    /// The backend server.
    pub host: Name,
    /// The entry host that owns it, if one does.
    pub owner: Option<Name>,
    /// The fencing number of that ownership.
    pub fence: u64,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// What is loaded.
    pub loaded: Vec<LoadedAdapter>,
}

/// Counts the refusals with one code.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RefusalCount {
    /// The code.
    pub code: Code,
    /// How many there were.
    pub count: u64,
}

/// Answers [`Ask::Status`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct StatusReply {
    /// The entry host that answers.
    pub entry_host: Name,
    /// Its availability zone.
    pub zone: Name,
    /// The revision of the configuration in force there.
    pub revision: u64,
    /// What it knows first hand of its backend servers.
    pub backends: Vec<BackendReport>,
    /// Refusals since the start.
    pub refused: Vec<RefusalCount>,
}

/// Carries the configuration's head row as somebody read it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct SeenHead {
    /// The row.
    pub head: Head,
    /// The table's revision of the row, 0 while there is none.
    pub revision: u64,
    /// How long ago it was read from the table, in milliseconds.
    pub age_ms: u32,
}

/// Answers [`Ask::Exchange`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ExchangeReply {
    /// The head row, if the peer knows it.
    pub head: Option<SeenHead>,
    /// Hashes of content that crashes engines, the newest last.
    pub quarantined: Vec<u64>,
    /// What the peer says of the backend servers that it owns.
    pub digests: Vec<DigestEntry>,
}

/// Carries what the owner of a backend server says of it, from host to host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct DigestEntry {
    /// The backend server.
    pub host: Name,
    /// The entry host that owns it.
    pub owner: Name,
    /// The fencing number of the ownership.
    pub fence: u64,
    /// Grows with each statement of one ownership.
    pub sequence: u64,
    /// Requests that run or wait.
    pub load: u16,
    /// The demand of the adapter that would be evicted next, in requests a second.
    pub coldest: f32,
    /// Short hashes of the adapters loaded.
    pub loaded: Vec<u32>,
}
