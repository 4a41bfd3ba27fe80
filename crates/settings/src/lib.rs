//! # guavaspread settings
//!
//! The settings of the daemons, read from TOML and checked as a whole before a
//! start. docs/SETTINGS.md describes every key.
//!
//! | to | reach for |
//! |---|---|
//! | read a gateway's settings | [`GatewaySettings::read`] |
//! | read a dispatcher's settings | [`DispatcherSettings::read`] |
//!
//! A fault names the file, the line or the key, and what would be right.

mod daemon;
mod error;

pub use daemon::{
    DispatcherSettings, EngineLimits, GatewaySettings, Limits, LogSettings, ProcessSettings,
    TlsSettings, TraceSettings,
};
pub use error::{Category, Error, Result};
