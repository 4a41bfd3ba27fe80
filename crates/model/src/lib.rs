//! # guavaspread model
//!
//! The domain types shared by all other crates: names, adapter versions, request
//! classes, hosts, the configuration and the numbered result codes. This crate
//! does no I/O and reads no clock.
//!
//! | task | API |
//! |---|---|
//! | identify a version of an adapter | [`AdapterVersion`] |
//! | refuse a request | [`Refusal`], [`Code`], [`Ran`] |
//! | read or change the configuration | [`Config`], [`Change`] |
//! | describe a host | [`Host`], [`HostKind`], [`HostState`] |
//! | rank hosts for a key | [`rendezvous_score`] |
//! | recognize a repeated request | [`ContentId`] |
//! | check the status of a response | [`is_final_status`] |
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
mod status;

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
pub use status::is_final_status;
