//! # guavaspread entry
//!
//! The process of an entry host, which forwards callers' requests to the backend servers.
//!
//! The process runs on one thread: with a quarter of a core, passing work between threads
//! would cost more than it gains. `guavaspread-fleet` makes the decisions, and this crate
//! does the I/O.
//!
//! | task | types |
//! |---|---|
//! | run an entry host | [`run`], [`EntrySettings`] |
//! | implement a platform | [`Platform`], [`Store`], [`Protocol`], [`EngineClient`] |
//! | send HTTP requests to servers | [`ConnectionPool`], [`ServerResponse`] |

mod access;
mod admission;
mod body;
mod body_budget;
mod caller_io;
mod callers;
mod clock;
mod collect;
mod connection_pool;
mod crash_gossip;
mod crash_probe;
mod end_check;
mod engine_probes;
mod feed_relay;
mod forward;
mod headers;
mod http_server;
mod intake;
mod lease_renewal;
mod metrics;
mod owned_engines;
pub mod peer_message;
mod peer_server;
mod peers;
mod platform;
mod prelude;
mod process;
mod quotas;
mod rate_limits;
mod read_budget;
mod record;
mod refusals;
mod respond;
mod resume;
mod server_paths;
mod settings;
mod state;
mod store_watch;
mod stream_versions;
mod tunnel;
mod tunnel_server;
mod unnamed_responses;

pub use clock::Clock;
pub use connection_pool::{ConnectionPool, ResponseBody, SendError, ServerResponse};
pub use platform::{
    EngineClient, EngineReport, Feed, FeedBatch, FeedRow, ForwardInfo, Platform, PlatformClients,
    Protocol, ReportError, RequestInfo, ResponseInfo, RunStatement, Sender, Store, StoreError,
    StreamVersionRow, WriteOutcome,
};
pub use process::run;
pub use settings::{EntrySettings, STORE_READ_TIMEOUT_MS, SettingsError};
