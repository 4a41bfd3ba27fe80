//! # guavaspread settings
//!
//! The settings of the daemons. They are read from TOML and validated as a whole
//! before a daemon starts. docs/SETTINGS.md describes every key.
//!
//! | task | API |
//! |---|---|
//! | read a gateway's settings | [`GatewaySettings::read`] |
//! | read a dispatcher's settings | [`DispatcherSettings::read`] |
//!
//! An error names the file, the line or the key, and the expected value.

mod daemon;
mod error;

pub use daemon::{
    DispatcherSettings, EngineLimits, GatewayLimits, GatewaySettings, LogSettings, ProcessSettings,
    TlsSettings, TraceSettings,
};
pub use error::{Category, Error, Result};
