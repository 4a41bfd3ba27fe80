//! Messages between entry hosts.
//!
//! A host with a request for an adapter sends it to the owner of the engine. Messages are encoded
//! with postcard in length-delimited frames. Several requests may be in flight on a connection;
//! an id links each reply to its request.
//!
//! Hosts of two builds run side by side during an upgrade (docs/design/two-builds.md). Postcard
//! encodes positions only, so variants and fields are only ever appended:
//!
//! - a variant, at the end of its enum. A host closes a connection whose first message it does not
//!   know, and ignores any later one.
//! - a field, as the last of the whole message, decoded with
//!   [`appended`](guavaspread_fleet::appended).
//!
//! [`FeedUpdate`] is exempt: hosts exchange updates only if their [`FEED_FORMAT`] is the same.

use guavaspread_fleet::{
    ContentReport, HostLease, LeaseSummary, LimitReport, PermitDecision, PermitRequest,
};
use guavaspread_model::ContentId;
use serde::{Deserialize, Serialize};

use crate::platform::{Feed, FeedBatch};
use crate::prelude::*;

/// The format of [`FeedUpdate`] and of all types in it.
///
/// It has to rise with each change of the encoding, or of what a value in it means. Otherwise a
/// follower of another build decodes an update into other values.
pub const FEED_FORMAT: u32 = 1;

/// A message from the host that opened the connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Requests the use of an adapter.
    UseAdapter(AdapterRequest),
    /// Reports the first token of the request that uses the adapter granted under this request id.
    FirstToken(u32),
    /// Releases the adapter granted under this request id.
    ReleaseAdapter(u32),
    /// Requests the renewal of the sender's lease in a batch with those of other hosts.
    RenewLease(RenewalRequest),
    /// Subscribes to the store's feeds in a format that the message does not state. Earlier builds
    /// send it; it is refused.
    WatchFeeds,
    /// Reports server crashes by content.
    Crashes(CrashUpdate),
    /// Requests a permit to send a request to a server with a rate limit.
    Permit(PermitCall),
    /// Reports a server's rate limit.
    RateLimit(LimitUpdate),
    /// Asks which software version began a stream.
    StreamVersion {
        /// Links the reply to this request.
        request_id: u32,
        /// The stream.
        stream: u64,
    },
    /// Asks whether a request is within an organisation's quota.
    Quota(QuotaCall),
    /// Gives back the cost of a granted request that has not run.
    QuotaReturn {
        /// The organisation.
        organisation: Arc<str>,
        /// The cost, in units of the quota.
        cost: u64,
    },
    /// Tells the issuers of quotas that a zone reaches them.
    QuotaPing(QuotaPing),
    /// Asks for a tunnel to a server; the first message of its connection, which becomes the tunnel.
    OpenTunnel(TunnelRequest),
    /// Subscribes to the store's feeds as the receiver reads them; the first message of its
    /// connection.
    FollowFeeds {
        /// The sender's [`FEED_FORMAT`].
        format: u32,
    },
}

/// A message from the host that accepted the connection.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerResponse {
    /// Replies to a request for an adapter.
    Adapter(AdapterReply),
    /// Relays an update of the store's feeds.
    FeedUpdate(FeedUpdate),
    /// Replies to a request for a renewal.
    LeaseRenewed {
        /// The id of the request.
        request_id: u32,
        /// The result of the write; `None` if the sender of the request must renew the lease
        /// itself.
        renewal: Option<Renewal>,
    },
    /// Acknowledges a crash update.
    Crashes(CrashUpdateReply),
    /// Replies to a request for a permit.
    Permit(PermitReply),
    /// Tells which software version began a stream.
    StreamVersion {
        /// The id of the request.
        request_id: u32,
        /// The version; `None` if the stream did not begin at the sender of the reply.
        software: Option<Arc<str>>,
    },
    /// Replies to a request within a quota.
    Quota {
        /// The id of the request.
        request_id: u32,
        /// How long the quota has no room, in milliseconds; `None` if the request is granted.
        refused_ms: Option<u32>,
    },
    /// Replies to a ping.
    QuotaPong {
        /// The id of the request.
        request_id: u32,
        /// Digest of the hosts that the sender of the reply knows.
        hosts_digest: u64,
    },
    /// Replies to a request for a tunnel.
    Tunnel(TunnelReply),
}

/// Names the server to which a tunnel is to lead.
///
/// The receiver looks up the address in its own server list, so that a tunnel leads to no other
/// place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TunnelRequest {
    /// The server's id.
    pub server: Arc<str>,
    /// When the server started, in Unix milliseconds; tells apart processes with the same id.
    pub started_at_ms: u64,
}

/// Whether a tunnel was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TunnelReply {
    /// The connection is the tunnel from now on.
    Opened,
    /// The sender of the reply opens no tunnels now.
    Refused,
    /// The sender of the reply does not know the server, or can't connect to it.
    ServerUnreachable,
}

/// The part of a host in a quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaRole {
    /// Grants requests of all hosts.
    Issuer,
    /// As [`QuotaRole::Issuer`]; the receiver decides, also if it knows another issuer.
    LastIssuer,
    /// Grants requests of its zone while the issuer is out of reach.
    Keeper,
}

/// Asks whether a request is within an organisation's quota.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaCall {
    /// Links the reply to this request.
    pub request_id: u32,
    /// The organisation.
    pub organisation: Arc<str>,
    /// What the request counts, in units of the quota.
    pub cost: u64,
    /// The role in which the receiver is asked.
    pub role: QuotaRole,
}

/// Tells the issuers of quotas that a zone reaches them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaPing {
    /// Links the reply to this request.
    pub request_id: u32,
    /// The zone of the sender.
    pub zone: Arc<str>,
    /// The organisations.
    pub organisations: Vec<Arc<str>>,
    /// Digest of the hosts that the sender knows.
    pub hosts_digest: u64,
}

/// Requests a permit to send a request to a server with a rate limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitCall {
    /// Links the reply to this request.
    pub request_id: u32,
    /// The server and its limit, as the sender knows it.
    pub report: LimitReport,
    /// The request to the permit issuer.
    pub request: PermitRequest,
    /// Digest of the hosts that the sender knows.
    pub hosts_digest: u64,
}

/// Replies to a [`PermitCall`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitReply {
    /// The id of the request.
    pub request_id: u32,
    /// The decision.
    pub decision: PermitDecision,
    /// The server's limit, as the sender of the reply knows it.
    pub report: LimitReport,
    /// Digest of the hosts that the sender of the reply knows.
    pub hosts_digest: u64,
}

/// Reports a server's rate limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitUpdate {
    /// The server and its limit.
    pub report: LimitReport,
    /// To whom the receiver passes the report on.
    pub relay: LimitRelay,
    /// The host that issues the server's permits, if it announces itself. The receiver may not
    /// know it, and may be unable to read the leases.
    pub coordinator: Option<HostLease>,
    /// Digest of the hosts that the sender knows.
    pub hosts_digest: u64,
}

/// To whom the receiver of a [`LimitUpdate`] passes it on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LimitRelay {
    /// To all hosts: the receiver is the server's coordinator.
    AllHosts,
    /// To the hosts of the receiver's zone.
    Zone,
    /// To nobody.
    None,
}

/// Reports the server crashes by content that the sender knows of.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashUpdate {
    /// Links the reply to this update.
    pub request_id: u32,
    /// The reports, one for each content.
    pub reports: Vec<ContentReport>,
    /// The content for which the sender requests a trial.
    pub trial: Option<ContentId>,
    /// The sender's name, if the sender has just started and has no reports yet.
    pub new_host: Option<Arc<str>>,
}

/// Acknowledges a [`CrashUpdate`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashUpdateReply {
    /// The id of the update.
    pub request_id: u32,
    /// Reports that contain crashes, cleared crashes or trials missing from the update.
    pub reports: Vec<ContentReport>,
    /// Whether the requested trial is granted.
    pub is_granted: bool,
}

/// Requests the renewal of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewalRequest {
    /// Links the reply to this request.
    pub request_id: u32,
    /// The row to write, on condition that the stored row has the revision given in it.
    pub lease: HostLease,
}

/// The result of a renewal that the store accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// The revision of the write.
    pub revision: u64,
    /// The store's clock, in milliseconds.
    pub store_time_ms: u64,
    /// Summary of the valid leases.
    pub lease_summary: LeaseSummary,
}

/// Relays rows of a feed, or only the age of the sender's data.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FeedUpdate {
    /// The feed and its rows; `None` in a heartbeat.
    pub batch: Option<(Feed, FeedBatch)>,
    /// Whether the rows are the whole feed.
    pub is_snapshot: bool,
    /// For each feed, the time since the store last responded, in milliseconds.
    pub ages_ms: [u32; 3],
}

/// Requests the use of an adapter on an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterRequest {
    /// Links the replies to this request.
    pub request_id: u32,
    /// The engine's id.
    pub engine: String,
    /// The model.
    pub model: String,
    /// The adapter of that model.
    pub adapter: String,
    /// The lowest acceptable version.
    pub version_min: u64,
    /// How long the reply may wait for a load, in milliseconds.
    pub load_wait_ms: u32,
    /// Whether the engine has just refused a request because it has not loaded the adapter.
    pub was_refused: bool,
    /// Whether the adapter may be fetched from the weight store.
    pub may_fetch: bool,
    /// Number of tokens in the request's prompt.
    pub prompt_tokens: u32,
    /// The time until the first token is due, in milliseconds.
    pub first_token_deadline_ms: u32,
    /// The longest allowed gap between events of the response, in milliseconds; 0 for no limit.
    pub event_gap_max_ms: u32,
}

/// Replies to an [`AdapterRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterReply {
    /// The id of the request.
    pub request_id: u32,
    /// Whether the adapter may be used.
    pub status: AdapterStatus,
}

/// Whether an adapter may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdapterStatus {
    /// The adapter is loaded and stays loaded until the request releases it.
    Granted {
        /// The loaded version.
        version: u64,
        /// Number of requests that use the engine's adapters.
        running: u32,
    },
    /// The adapter is still being loaded; another reply follows.
    Loading,
    /// The adapter was not loaded in time.
    LoadTimedOut,
    /// The adapter must be fetched from the weight store, which the request does not allow.
    FetchRequired,
    /// The adapter will be ready in about this many milliseconds, too late for this request.
    LoadTooLate(u32),
    /// The engine can't hold the adapter, or can't load it soon.
    Unavailable,
    /// The engine is at capacity.
    Full {
        /// Number of requests that use its adapters.
        running: u32,
    },
    /// The engine does not know the adapter.
    NotFound,
    /// The receiver of the request does not own the engine.
    NotOwner,
}
