//! # guavaspread model
//!
//! The domain types that every other package shares: names, adapter versions,
//! request classes, hosts, the configuration and the numbered result codes.
//! Nothing in here reads a clock or does I/O.
//!
//! | to | reach for |
//! |---|---|
//! | name an adapter at a version | [`AdapterVersion`] |
//! | refuse a request | [`Refusal`], [`Code`], [`Ran`] |
//! | know what operators declared | [`Config`], [`Change`] |
//! | know which machines exist | [`Host`], [`HostKind`], [`HostState`] |
//! | rank hosts for a key | [`rendezvous_score`] |
//! | know a request when it comes again | [`ContentId`] |
//!
//! ```
//! use guavaspread_model::AdapterVersion;
//!
//! let adapter: AdapterVersion = "kita-shigoto/intake@3".parse()?;
//! assert_eq!(adapter.version(), 3);
//! # Ok::<(), guavaspread_model::Error>(())
//! ```

mod code;
mod config;
mod content;
mod error;
mod hash;
mod host;
mod name;

pub mod prelude;

pub use code::{Code, Ran, Refusal};
pub use config::{
    Adapter, Change, Config, DEFAULT_CLASS, KeyHash, Organisation, Priority, RequestClass, Service,
    ServiceRoute,
};
pub use content::ContentId;
pub use error::{Category, Error, Result};
pub use hash::{content_hash, rendezvous_score};
pub use host::{Host, HostKind, HostState};
pub use name::{AdapterVersion, Name};
