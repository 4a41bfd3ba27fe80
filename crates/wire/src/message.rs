//! Messages between gateways and dispatchers.
//!
//! Postcard encodes them by position: the order of fields and variants is part of the protocol.

use bytes::Bytes;
use guavaspread_config::{Acknowledgement, ConfigHead};
use guavaspread_model::{AdapterVersion, Code, Name, Priority, Refusal};
use serde::{Deserialize, Serialize};

/// A W3C trace context, propagated from hop to hop.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct TraceContext {
    /// The `traceparent` header; empty when the caller sent none.
    pub traceparent: String,
}

/// A request that a gateway sends to a dispatcher to run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RunCommand {
    /// The request's id, the same on every hop.
    pub id: u128,
    /// The backend server whose engine runs the request.
    pub engine: Name,
    /// The adapter that the request names.
    pub adapter: AdapterVersion,
    /// The exponentially decayed count of the adapter's requests at this gateway.
    pub demand: f32,
    /// The path of the request to the engine.
    pub path: String,
    /// The `Content-Type` of the body, if the caller sent one.
    pub content_type: Option<String>,
    /// The body that is sent to the backend server.
    pub body: Bytes,
    /// Whether the response is a stream of events.
    pub stream: bool,
    /// The time that remains until the deadline, in milliseconds.
    pub timeout_ms: u32,
    /// The value of a completed request, relative to other classes.
    pub worth: u32,
    /// The priority in the engine's queue.
    pub priority: Priority,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether the request must run without others on the engine, because it may crash the engine.
    pub exclusive: bool,
    /// The number of events that the caller has received; the response starts after them.
    pub events_delivered: u32,
    /// The revision of the configuration under which the gateway admitted the request.
    pub revision: u64,
    /// The caller's trace context.
    pub trace: TraceContext,
}

/// The first message of a stream to a dispatcher.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DispatcherRequest {
    /// Runs a request; the response is a sequence of [`RunEvent`]s.
    Run(Box<RunCommand>),
    /// Reads the state of the dispatcher's engines; the response is a [`StatusReply`].
    Status,
    /// Reads the peer's gossip state; the response is a [`GossipReply`].
    Gossip,
    /// Announces a head row that was just written; the response is a `bool`.
    HeadUpdate(ObservedHead),
    /// Announces the hash of content that crashes engines; the response is a `bool`.
    Quarantine(u64),
    /// Writes a member's acknowledgement to the table in a batch with those of other members.
    ///
    /// The response is a `bool`: whether the table contains the acknowledgement.
    Acknowledge(Acknowledgement),
}

/// An event of a run, sent by the dispatcher.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunEvent {
    /// The backend server sent the head of its response.
    ResponseHead {
        /// The HTTP status.
        status: u16,
        /// The `Content-Type`, if the response has one.
        content_type: Option<String>,
        /// The owner's current summary of the engine.
        digest: Option<Box<EngineDigest>>,
    },
    /// One event of a stream, or a part of a body that is no stream.
    Data(Bytes),
    /// The response is complete.
    Done,
    /// The run ended without a complete response.
    Refused(Refusal),
}

/// The state of one adapter that an engine has loaded.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct LoadedAdapter {
    /// The adapter.
    pub adapter: AdapterVersion,
    /// The number of requests that run with the adapter.
    pub running: u32,
    /// The exponentially decayed demand, in requests per second.
    pub demand: f32,
}

/// The state of one backend server, reported by its owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct BackendStatus {
    /// The backend server.
    pub host: Name,
    /// The entry host that owns the server, if any.
    pub owner: Option<Name>,
    /// The fencing number of the ownership.
    pub fence: u64,
    /// The number of requests that run.
    pub running: u32,
    /// The number of requests in the queue.
    pub waiting: u32,
    /// The loaded adapters.
    pub loaded: Vec<LoadedAdapter>,
}

/// The number of refusals with one code.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RefusalCount {
    /// The code.
    pub code: Code,
    /// The number of refusals.
    pub count: u64,
}

/// The response to [`DispatcherRequest::Status`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct StatusReply {
    /// The entry host that sends the reply.
    pub entry_host: Name,
    /// The host's availability zone.
    pub zone: Name,
    /// The revision of the configuration in force on the host.
    pub revision: u64,
    /// The state of the backend servers that the host owns.
    pub backends: Vec<BackendStatus>,
    /// Refusals since the process started, by code.
    pub refused: Vec<RefusalCount>,
}

/// The configuration's head row together with its age.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ObservedHead {
    /// The row.
    pub head: ConfigHead,
    /// The row's revision in the table; 0 if the row does not exist.
    pub revision: u64,
    /// The time since the row was read from the table, in milliseconds.
    pub age_ms: u32,
}

/// The response to [`DispatcherRequest::Gossip`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct GossipReply {
    /// The head row, if the peer knows it.
    pub head: Option<ObservedHead>,
    /// Hashes of content that crashes engines; the most recent is last.
    pub quarantined: Vec<u64>,
    /// Summaries of the backend servers that the peer owns.
    pub digests: Vec<EngineDigest>,
}

/// An owner's summary of one backend server, gossiped between hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct EngineDigest {
    /// The backend server.
    pub host: Name,
    /// The entry host that owns the server.
    pub owner: Name,
    /// The fencing number of the ownership.
    pub fence: u64,
    /// The sequence number of the summary; it increases within one ownership.
    pub sequence: u64,
    /// The number of requests that run or wait.
    pub load: u16,
    /// The demand of the adapter that would be evicted next, in requests per second.
    pub coldest_demand: f32,
    /// Short hashes of the loaded adapters.
    pub loaded_hashes: Vec<u32>,
}
