//! The interfaces to the platform's store, to callers and to backend servers.
//!
//! A platform implements these traits for its own formats. The implementations translate and
//! make no decisions.

use std::fmt;
use std::net::SocketAddr;

use async_trait::async_trait;
use guavaspread_fleet::{
    AdapterId, Catalog, CommandResult, ContentReport, EngineCommand, LeaseTable, LeaseWrite,
    LoadReport, LoadedModel, PromptParts, Server, ServerNotice, VersionHistory,
};
use guavaspread_model::ContentId;
use http::{HeaderMap, Request, StatusCode, request};
use http_body_util::Full;
use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// A feed of rows in the store; each feed is watched separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Feed {
    /// Configurations and adapter versions.
    Control,
    /// The rows of the backend servers.
    Servers,
    /// The software versions at which resumable streams begin.
    StreamVersions,
}

/// A change of one row of a feed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum FeedRow {
    /// A new configuration.
    Catalog(Box<Catalog>),
    /// A new version of an adapter.
    Version {
        /// The adapter.
        id: AdapterId,
        /// The new version.
        version: u64,
    },
    /// A server's row, added or changed.
    Server {
        /// The server that the row describes.
        server: Box<Server>,
        /// The revision of the row.
        revision: u64,
    },
    /// A server's row was removed.
    Removed {
        /// The server's id.
        id: Arc<str>,
        /// The revision of the removal.
        revision: u64,
    },
    /// The versions at which the streams of a service began.
    StreamVersions(StreamVersionRow),
    /// A row that can't be decoded; it is skipped.
    Unreadable {
        /// The row's key.
        key: Arc<str>,
        /// The row's revision.
        revision: u64,
        /// Why the row can't be decoded.
        reason: String,
    },
}

/// The software versions at which the resumable streams of a service began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamVersionRow {
    /// The service.
    pub service: Arc<str>,
    /// The versions.
    pub history: VersionHistory,
    /// The revision of the row; 0 if the store has none.
    pub revision: u64,
}

/// Rows of a feed, as of a revision of the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FeedBatch {
    /// The rows, oldest change first.
    pub rows: Vec<FeedRow>,
    /// The revision of the store.
    pub revision: u64,
    /// The store's clock, in milliseconds.
    pub store_time_ms: u64,
}

/// The result of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// All rows were written.
    Done {
        /// The revision of the write.
        revision: u64,
        /// The store's clock, in milliseconds.
        store_time_ms: u64,
    },
    /// A row had another revision than expected; nothing was written.
    Conflict,
}

/// A failed call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The store can't be reached or does not respond; the call may have taken effect.
    Unreachable(String),
    /// The store rejected the call or closed the connection; the call may have taken effect.
    Refused(String),
    /// The store has discarded the requested changes, or came back from an older copy since.
    HistoryCompacted,
    /// The store came back from an older copy; a write was prepared before, and whether it took
    /// effect is unknown.
    OtherEra,
    /// The store's response can't be decoded.
    InvalidResponse(String),
}

impl StoreError {
    /// Returns whether the call reached the store, so that retries add load and need a backoff.
    pub fn has_reached_store(&self) -> bool {
        matches!(self, StoreError::Refused(_) | StoreError::InvalidResponse(_))
    }
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StoreError::Unreachable(detail) => write!(f, "the store can't be reached: {detail}"),
            StoreError::Refused(detail) => {
                write!(f, "the store rejected the call or closed the connection: {detail}")
            }
            StoreError::HistoryCompacted => {
                f.write_str("the store has discarded the requested changes")
            }
            StoreError::OtherEra => f.write_str("the store came back from an older copy"),
            StoreError::InvalidResponse(detail) => {
                write!(f, "the store's response can't be decoded: {detail}")
            }
        }
    }
}

impl std::error::Error for StoreError {}

/// A client of the platform's store.
///
/// Revisions are those of [`revision`](guavaspread_fleet::revision): they rise also when the store
/// comes back from an older copy. Responses of an earlier era than the latest one known are
/// errors.
#[async_trait(?Send)]
pub trait Store {
    /// Records an era of the store that a peer or a row has told of. Later responses that state an
    /// earlier one count as responses of this era.
    fn note_era(&self, era: u64);

    /// Closes the channels that carry no call, so that the next calls open new ones.
    fn close_idle_channels(&self);

    /// Changes the address of the store for the calls that follow.
    fn set_address(&self, address: SocketAddr);

    /// Reads all rows of a feed.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be reached, rejects the call or returns invalid data.
    async fn snapshot(&self, feed: Feed) -> Result<FeedBatch, StoreError>;

    /// Reads the changes of a feed after revision `after`, waiting up to `wait` for one.
    ///
    /// # Errors
    ///
    /// Fails like [`Store::snapshot`], and if the store has discarded the changes.
    async fn changes_since(
        &self,
        feed: Feed,
        after: u64,
        wait: Duration,
    ) -> Result<FeedBatch, StoreError>;

    /// Reads the leases and claims that changed after revision `after`, or all of them.
    ///
    /// # Errors
    ///
    /// Fails like [`Store::snapshot`], and if the store has discarded the changes.
    async fn read_leases(&self, after: Option<u64>) -> Result<LeaseTable, StoreError>;

    /// Writes leases and claims atomically, if each row still has the revision stated in it.
    ///
    /// # Errors
    ///
    /// Fails like [`Store::snapshot`]; the write may have taken effect.
    async fn write_leases(&self, write: &LeaseWrite) -> Result<WriteOutcome, StoreError>;

    /// Writes the versions at which a service's streams began, if the row has the revision stated.
    ///
    /// # Errors
    ///
    /// Fails like [`Store::snapshot`]; the write may have taken effect.
    async fn write_stream_versions(
        &self,
        row: &StreamVersionRow,
    ) -> Result<WriteOutcome, StoreError>;

    /// Overwrites the reports of these contents, and deletes those of the contents `removed`.
    ///
    /// `store_time_ms` is the time of the store's clock at which the reports apply.
    ///
    /// # Errors
    ///
    /// Fails like [`Store::snapshot`]; the write may have taken effect.
    async fn write_content_reports(
        &self,
        reports: &[ContentReport],
        store_time_ms: u64,
        removed: &[ContentId],
    ) -> Result<(), StoreError>;
}

/// The properties of a caller's request, read from its head.
#[derive(Clone, Debug, Default)]
pub struct RequestInfo {
    /// The id of the request; a caller uses a new one for each of its attempts.
    pub id: Arc<str>,
    /// The id of the request that began the stream, if this one continues a stream.
    pub resumes: Option<Arc<str>>,
    /// How long the caller waits for the response, if stated.
    pub caller_timeout: Option<Duration>,
    /// The model, if named.
    pub model: Option<Arc<str>>,
    /// The adapter of the model, if named.
    pub adapter: Option<Arc<str>>,
    /// The number of tokens of the prompt, 0 if not stated.
    pub prompt_tokens: u32,
    /// The parts of the prompt that other requests may share; none if not stated.
    pub prompt_parts: PromptParts,
    /// The tokens of the prompt and the most that may be generated, if stated.
    pub tokens: Option<u64>,
}

/// Who sent a request, as its server is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender<'a> {
    /// Callers need no keys; the headers stay as they are.
    Unchecked,
    /// The route needs no key.
    Anonymous,
    /// The organisation that has the request's key.
    Organisation(&'a str),
}

/// The properties that an entry host adds to a forwarded request.
#[derive(Clone, Debug)]
pub struct ForwardInfo<'a> {
    /// The only server that may run the request.
    pub server: &'a Server,
    /// The time until the deadline.
    pub remaining: Duration,
    /// The version of the adapter that has to run the request.
    pub version: Option<u64>,
    /// The priority; 0 is the highest.
    pub priority: u8,
    /// Who sent the request.
    pub sender: Sender<'a>,
}

/// The properties of a server's response, read from its head.
#[derive(Clone, Debug, PartialEq)]
pub struct ResponseInfo {
    /// The id of the request that the response belongs to.
    pub id: Option<Arc<str>>,
    /// Whether the server signed the response as its own.
    pub is_sealed: bool,
    /// What the response says about whether the request ran.
    pub run_statement: RunStatement,
    /// The id of the server that responded, if stated.
    pub server: Option<Arc<str>>,
    /// The server's load, if stated.
    pub load: Option<LoadReport>,
    /// How long work takes on the server at this moment, if stated; 1 is the usual.
    pub pace: Option<f64>,
    /// The server's notice: whether it is draining, and how long it wants no requests.
    pub notice: ServerNotice,
}

/// What a response says about whether the server ran the request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RunStatement {
    /// Nothing.
    #[default]
    None,
    /// The server did not run the request.
    NotRun,
    /// The server did not run the request, but the status is that of one that ran.
    Contradictory,
}

impl ResponseInfo {
    /// Returns whether the server states without a contradiction that it did not run the request.
    pub fn is_not_run(&self) -> bool {
        self.run_statement == RunStatement::NotRun
    }

    /// Returns whether the response states that a server other than `id` sent it.
    pub fn is_other_server(&self, id: &str) -> bool {
        self.server.as_deref().is_some_and(|server| server != id)
    }
}

/// Reads and writes the platform's HTTP headers.
pub trait Protocol {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns the reason if the head is malformed.
    fn parse_request(&self, head: &request::Parts) -> Result<RequestInfo, String>;

    /// Returns the key of a caller's request; `None` if it has none, or several.
    fn caller_key<'a>(&self, head: &'a request::Parts) -> Option<&'a [u8]>;

    /// Rewrites the headers of a caller's request for the server that it is forwarded to.
    fn set_forward_headers(&self, headers: &mut HeaderMap, forward_info: &ForwardInfo<'_>);

    /// Builds a health check that another server at the same address rejects as misdirected.
    fn probe_request(&self, server: &Server, path: &str) -> Request<Full<Bytes>>;

    /// Reads the head of a server's response.
    fn parse_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseInfo;
}

/// The state that an engine reports.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// The number of commands accepted so far.
    pub sequence: u64,
    /// The models and adapters that are loaded.
    pub models: Vec<LoadedModel>,
    /// The adapters that are being loaded, with their versions.
    pub loading: Vec<(AdapterId, u64)>,
}

/// Why there is no report of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReportError {
    /// The engine did not respond.
    NoResponse(String),
    /// The engine's response is no report.
    Invalid(String),
}

impl fmt::Display for ReportError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (ReportError::NoResponse(detail) | ReportError::Invalid(detail)) = self;
        f.write_str(detail)
    }
}

/// A client of the model engines.
#[async_trait(?Send)]
pub trait EngineClient {
    /// Sends a load or unload command; also returns the notice in the engine's response.
    ///
    /// `fence` is the fencing number of `holder`, the host that owns the engine.
    async fn send_command(
        &self,
        server: &Server,
        command: &EngineCommand,
        holder: &str,
        fence: u64,
    ) -> (CommandResult, ServerNotice);

    /// Reads an engine's report; also returns the notice in the engine's response.
    ///
    /// The `Err` of the result is the reason why there is no report.
    async fn fetch_report(
        &self,
        server: &Server,
    ) -> (Result<EngineReport, ReportError>, ServerNotice);
}

/// The platform's implementations that an entry host uses.
#[derive(Clone)]
pub struct PlatformClients {
    /// The client of the store.
    pub store: Rc<dyn Store>,
    /// The HTTP headers of callers and servers.
    pub protocol: Rc<dyn Protocol>,
    /// The client of the model engines.
    pub engines: Rc<dyn EngineClient>,
}

/// Creates the implementations of the interfaces for one platform.
pub trait Platform {
    /// Creates the implementations; `store` is the store's address from the settings.
    fn clients(&self, store: SocketAddr) -> PlatformClients;
}
