//! The borders to the platform, to callers and to backend servers.
//!
//! What lies behind them speaks a dialect of its own; it translates and decides
//! nothing.

use std::net::SocketAddr;

use async_trait::async_trait;
use guavaspread_fleet::{
    AdapterId, Catalog, ContentNote, HeldModel, LeaseTable, LeaseWrite, LoadReport, Order,
    OrderResult, Said, Server,
};
use guavaspread_model::ContentId;
use http::{HeaderMap, Request, StatusCode, request};
use http_body_util::Full;
use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Tells two lists of the store apart, each followed by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Feed {
    /// Configurations and versions of adapters.
    Control,
    /// The backend servers.
    Servers,
}

/// Holds one row of a list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Update {
    /// A configuration.
    Catalog(Box<Catalog>),
    /// A version of an adapter, that exists from now on.
    Version {
        /// The adapter.
        id: AdapterId,
        /// Its version.
        version: u64,
    },
    /// A server's entry.
    Server {
        /// The entry.
        server: Box<Server>,
        /// The revision of its row.
        revision: u64,
    },
    /// A server's entry that was removed.
    Gone {
        /// The server's id.
        id: Arc<str>,
        /// The revision of the removal.
        revision: u64,
    },
    /// A row that can't be read; it names nothing to use.
    Unreadable {
        /// The row's key.
        key: Arc<str>,
        /// Its revision.
        revision: u64,
        /// What is wrong with it.
        reason: String,
    },
}

/// Holds rows of a list, as of a revision.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Listing {
    /// The rows, oldest change first.
    pub updates: Vec<Update>,
    /// The revision.
    pub revision: u64,
}

/// Tells how a write of lease rows ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    /// All were written.
    Done {
        /// The revision of the write.
        revision: u64,
        /// The store's clock, in milliseconds.
        shown_ms: u64,
    },
    /// A row was not as expected; nothing was written.
    Conflict,
}

/// Tells why the store did not answer as asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// There is no way to it, or it is silent; the call may have had its effect.
    Unreachable(String),
    /// It refuses or breaks off; the call may have had its effect.
    Refused(String),
    /// The changes asked for are no longer kept.
    HistoryLost,
    /// Its answer can't be read.
    BadAnswer(String),
}

impl StoreError {
    /// Tells whether the store had work with the call.
    pub fn is_refusal(&self) -> bool {
        matches!(self, StoreError::Refused(_) | StoreError::BadAnswer(_))
    }
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StoreError::Unreachable(detail) => write!(f, "the store can't be reached: {detail}"),
            StoreError::Refused(detail) => write!(f, "the store can't be used: {detail}"),
            StoreError::HistoryLost => f.write_str("the store no longer keeps these changes"),
            StoreError::BadAnswer(detail) => write!(f, "the store's answer is bad: {detail}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// Reads and writes the platform's store.
#[async_trait(?Send)]
pub trait Store {
    /// Reads a whole list.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer as asked.
    async fn list(&self, feed: Feed) -> Result<Listing, StoreError>;

    /// Reads what changed in a list behind `after`, waiting up to `wait` for a change.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer as asked, or forgot the changes.
    async fn changes(&self, feed: Feed, after: u64, wait: Duration) -> Result<Listing, StoreError>;

    /// Reads the leases and claims that changed behind `after`, or all of them.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer as asked, or forgot the changes.
    async fn leases(&self, after: Option<u64>) -> Result<LeaseTable, StoreError>;

    /// Writes leases and claims, all if each is at the revision given in it, or else none.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer as asked; the write may have been done.
    async fn write_leases(&self, write: &LeaseWrite) -> Result<Written, StoreError>;

    /// Writes notes of contents, as they are at that moment of the store's clock, in place of
    /// those before, and removes others.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer as asked; the write may have been done.
    async fn write_contents(
        &self,
        notes: &[ContentNote],
        shown_ms: u64,
        removed: &[ContentId],
    ) -> Result<(), StoreError>;
}

/// Holds what the decisions need to know of a caller's request.
#[derive(Clone, Debug, Default)]
pub struct Asked {
    /// The id of this attempt of the caller.
    pub id: Arc<str>,
    /// How long the caller waits, if it says so.
    pub patience: Option<Duration>,
    /// The model, if it names one.
    pub model: Option<Arc<str>>,
    /// The adapter of that model, if it names one.
    pub adapter: Option<Arc<str>>,
    /// The tokens of its prompt, 0 if it does not say.
    pub prompt_tokens: u32,
}

/// Holds what an entry host adds to a request that it passes on.
#[derive(Clone, Debug)]
pub struct Sending<'a> {
    /// The server that is to run it, and no other.
    pub server: &'a Server,
    /// How long the server may take.
    pub left: Duration,
    /// The version of the adapter that is to run it.
    pub version: Option<u64>,
    /// Its rank, 0 first.
    pub priority: u8,
}

/// Holds what the head of a server's answer says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    /// The id of the request that it answers.
    pub id: Option<Arc<str>>,
    /// Whether the server vouches that the answer is its own.
    pub is_sealed: bool,
    /// Whether the server did not run the request.
    pub not_run: bool,
    /// The server that answered, if it says so.
    pub server: Option<Arc<str>>,
    /// What it says of its load.
    pub load: Option<LoadReport>,
    /// What else it says of itself.
    pub said: Said,
}

impl AnswerHead {
    /// Tells whether a server other than `id` answered.
    pub fn is_other_server(&self, id: &str) -> bool {
        self.server.as_deref().is_some_and(|server| server != id)
    }
}

/// Translates requests and answers.
pub trait Dialect {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Fails with what is wrong with it.
    fn read(&self, head: &request::Parts) -> Result<Asked, String>;

    /// Rewrites the headers of a caller's request for a server.
    fn prepare(&self, headers: &mut HeaderMap, sending: &Sending<'_>);

    /// Makes a question for how a server is, that no other server at its address answers as it.
    fn probe(&self, server: &Server, path: &str) -> Request<Full<Bytes>>;

    /// Reads the head of a server's answer.
    fn answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead;
}

/// Holds what an engine reports of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// Orders accepted so far.
    pub sequence: u64,
    /// What it holds.
    pub models: Vec<HeldModel>,
    /// Adapters on their way to it.
    pub coming: Vec<(AdapterId, u64)>,
}

/// Gives orders to engines.
#[async_trait(?Send)]
pub trait Engines {
    /// Sends an order; also returns what the engine said of itself.
    async fn order(
        &self,
        server: &Server,
        order: &Order,
        holder: &str,
        fence: u64,
    ) -> (OrderResult, Said);

    /// Asks an engine what it holds; also returns what it said of itself.
    ///
    /// The result is the reason when it does not answer.
    async fn report(&self, server: &Server) -> (Result<EngineReport, String>, Said);
}

/// Holds the borders that an entry host is built on.
#[derive(Clone)]
pub struct Borders {
    /// The platform's store.
    pub store: Rc<dyn Store>,
    /// The dialect of callers and servers.
    pub dialect: Rc<dyn Dialect>,
    /// The engines.
    pub engines: Rc<dyn Engines>,
}

/// Makes the borders for a process with these settings.
pub trait Platform {
    /// Makes the borders; `store` is the address in the settings.
    fn borders(&self, store: SocketAddr) -> Borders;
}
