//! # guavaspread entry
//!
//! The process of an entry host, which forwards callers' requests to the backend servers.
//!
//! The process runs on one thread: with a quarter of a core, passing work between threads
//! would cost more than it gains. `guavaspread-fleet` makes the decisions, and this crate
//! does the I/O.
//!
//! | to | use |
//! |---|---|
//! | run an entry host | [`run`], [`EntrySettings`] |
//! | support a platform | [`Platform`], [`Store`], [`Dialect`], [`Engines`] |
//! | send HTTP requests to servers | [`Pool`] |

mod access;
mod body;
mod border;
mod channel;
mod clock;
mod follow;
mod front;
mod headers;
mod idle_bytes;
mod intake;
mod message;
mod metrics;
mod orders;
mod peers;
mod prelude;
mod process;
mod record;
mod refusals;
mod relay;
mod relays;
mod renewals;
mod respond;
mod resume;
mod settings;
mod state;
mod suspects;
mod word;

pub use border::{
    AnswerHead, Asked, Borders, Dialect, EngineReport, Engines, Feed, Listing, Platform, Sending,
    Store, StoreError, Update, Written,
};
pub use channel::{AnswerBody, Answered, Pool, SendError};
pub use clock::Clock;
pub use process::run;
pub use settings::{EntrySettings, SettingsError};
