//! # guavaspread entry
//!
//! The process of an entry host that sends callers' requests straight to the backend
//! servers. It runs on one thread: a quarter of a core leaves nothing for handing work
//! between threads. Decisions are made in `guavaspread-fleet`; here they are carried
//! out.
//!
//! | to | reach for |
//! |---|---|
//! | run an entry host | [`run`], [`EntrySettings`] |
//! | put it on a platform | [`Platform`], [`Store`], [`Dialect`], [`Engines`] |
//! | speak HTTP to servers | [`Pool`] |

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
