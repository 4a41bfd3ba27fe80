//! What entry hosts say to each other.
//!
//! A host that has a request for an adapter asks the host that owns the engine's
//! orders. Messages are postcard in length-delimited frames; several questions may be
//! open on a connection, told apart by their numbers.

use guavaspread_fleet::{ContentNote, HostLease, LeasesLast};
use guavaspread_model::ContentId;
use serde::{Deserialize, Serialize};

use crate::border::{Feed, Listing};
use crate::prelude::*;

/// What an entry host sends to the owner of an engine's orders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToOwner {
    /// Asks for the use of an adapter.
    Ask(Ask),
    /// Says that the first token has come of the request that the question of that number was
    /// for.
    Read(u32),
    /// Ends the use granted to the question of that number.
    Done(u32),
    /// Asks for a renewal of the sender's lease, along with those of others.
    Renew(RenewAsk),
    /// Asks for all that the host learns from the store.
    Watch,
    /// Says under which contents servers ended.
    Crashes(CrashNews),
}

/// What an entry host sends back.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum FromOwner {
    /// Answers a question.
    Reply(Reply),
    /// Passes on what the store said.
    News(News),
    /// Says that the lease was renewed, or that its host had better see to it.
    Renewed {
        /// The number of the question.
        number: u32,
        /// What the store said.
        renewal: Option<Renewal>,
    },
    /// Answers what was said of contents.
    Crashes(CrashReply),
}

/// Says what the sender knows of contents under which servers ended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNews {
    /// Tells the answer apart from others on the connection.
    pub number: u32,
    /// What is known.
    pub notes: Vec<ContentNote>,
    /// The content for which a trial is asked.
    pub trial: Option<ContentId>,
    /// Set to the sender's name by one that has started and knows nothing yet.
    pub new_host: Option<Arc<str>>,
}

/// Answers [`CrashNews`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReply {
    /// The number of the question.
    pub number: u32,
    /// What is known beyond what was said.
    pub notes: Vec<ContentNote>,
    /// Whether the trial is granted.
    pub is_granted: bool,
}

/// Asks for the renewal of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewAsk {
    /// Tells the answer apart from others on the connection.
    pub number: u32,
    /// The row as it is to be written, if it is at the revision given in it.
    pub lease: HostLease,
}

/// What the store said of a renewal that it carried out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// The revision of the write.
    pub revision: u64,
    /// The store's clock, in milliseconds.
    pub shown_ms: u64,
    /// Which leases of other hosts last.
    pub last: LeasesLast,
}

/// Passes on rows of a list, or only how old the host's knowledge is.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct News {
    /// The rows, if there are any.
    pub listing: Option<(Feed, Listing)>,
    /// Whether the rows are the whole list.
    pub whole: bool,
    /// The time since the store last answered for each list, in milliseconds.
    pub ages_ms: [u32; 2],
}

/// Asks for the use of an adapter on an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Tells the answer apart from others on the connection.
    pub number: u32,
    /// The engine's id.
    pub engine: String,
    /// The model.
    pub model: String,
    /// The adapter of that model.
    pub adapter: String,
    /// The lowest version that will do.
    pub version: u64,
    /// How long the answer may wait for a load, in milliseconds.
    pub wait_ms: u32,
    /// Whether the engine refused a request for it just now.
    pub missed: bool,
    /// Whether the adapter may be fetched from the weight store.
    pub may_fetch: bool,
    /// The tokens of the request's prompt.
    pub tokens: u32,
    /// The time until its first token should come, in milliseconds.
    pub due_ms: u32,
    /// The longest pause between its events, in milliseconds; 0 if there is no bound.
    pub pause_ms: u32,
}

/// Answers an [`Ask`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The number of the question.
    pub number: u32,
    /// The answer.
    pub answer: Answer,
}

/// Tells whether an adapter may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// It is loaded, and stays while the request runs.
    Granted {
        /// The version loaded.
        version: u64,
        /// Requests that run on the engine's adapters.
        running: u32,
    },
    /// It is not loaded yet; another answer follows.
    Loading,
    /// It was not loaded in time.
    NotYet,
    /// It would have to be fetched from the weight store.
    Absent,
    /// It will be loaded, in about so many milliseconds: too late for this request.
    NotSoon(u32),
    /// The engine can't hold it, or not soon.
    Impossible,
    /// The engine runs as many requests as it can.
    Full {
        /// Requests that run on its adapters.
        running: u32,
    },
    /// The engine knows no such adapter.
    Unknown,
    /// The host asked does not own the engine's orders.
    NotOwner,
}
