//! The settings of an entry host's process.

use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;

use serde::Deserialize;

use crate::prelude::*;

/// Holds the settings.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct EntrySettings {
    /// The entry host's name.
    pub host: Arc<str>,
    /// Its address.
    pub ip: IpAddr,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where the load balancer asks whether it takes callers.
    pub ready: SocketAddr,
    /// The first and last port free for the entry hosts' own use.
    pub ports: [u16; 2],
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// How long a planned stop may take, in seconds.
    pub grace_s: f64,
    /// How long an engine rests between the orders of two holders, in milliseconds.
    pub lease_ms: u64,
    /// How long a leaving server may still be sent work, in milliseconds.
    pub drain_ms: u64,
    /// How long a configuration may take to be in force here, in milliseconds.
    pub apply_ms: u64,
    /// Repeated sends to a service, as a share of its requests.
    pub retry_share: f64,
    /// Repeated sends to a service beyond that share, over all entry hosts.
    pub retry_slack: f64,
    /// What the host's link carries, in Mbit a second; 0 if that is not known.
    #[serde(default)]
    pub link_mbps: f64,
    /// What is logged.
    #[serde(default = "default_log")]
    pub log: Arc<str>,
}

/// What a question to the store may take, with a second one after it failed, in
/// milliseconds.
pub(crate) const STORE_MARGIN_MS: u64 = 800;

fn default_log() -> Arc<str> {
    "info".into()
}

/// Represents settings that can't be used.
#[derive(Debug)]
pub struct SettingsError {
    detail: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.detail)
    }
}

impl std::error::Error for SettingsError {}

impl EntrySettings {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// Fails on a file that can't be read, a key that is unknown or missing, a value of
    /// the wrong form, or values that clash; the message names the key and line.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|e| SettingsError {
            detail: format!("settings {} can't be read: {e}", path.display()),
        })?;
        Self::parse(&text)
    }

    /// Parses and checks a text.
    ///
    /// # Errors
    ///
    /// Fails as [`EntrySettings::read`] does.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let cfg: Self = toml::from_str(text)
            .map_err(|e| SettingsError { detail: format!("settings can't be used: {e}") })?;
        match cfg.contradiction() {
            None => Ok(cfg),
            Some((key, what)) => {
                let line = text.lines().position(|line| line.trim_start().starts_with(key));
                let line = line.map_or_else(String::new, |line| format!(" at line {}", line + 1));
                let detail = format!("settings can't be used: `{key}`{line} {what}");
                Err(SettingsError { detail })
            }
        }
    }

    /// Returns where the entry hosts reach each other.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.ports[0])
    }

    fn contradiction(&self) -> Option<(&'static str, &'static str)> {
        if self.host.is_empty() {
            return Some(("host", "is empty"));
        }
        if self.zone.is_empty() {
            return Some(("zone", "is empty"));
        }
        if self.ports[0] == 0 || self.ports[0] > self.ports[1] {
            return Some(("ports", "is not a range of ports"));
        }
        if self.listen == self.ready {
            return Some(("ready", "is the same address as `listen`"));
        }
        if self.store == self.listen || self.store == self.ready {
            return Some(("store", "is an address of this process"));
        }
        if !(self.grace_s.is_finite() && self.grace_s > 0.0) {
            return Some(("grace-s", "must be above 0"));
        }
        if self.drain_ms < STORE_MARGIN_MS * 2 {
            return Some(("drain-ms", "must be at least 1600"));
        }
        if self.apply_ms < STORE_MARGIN_MS * 2 {
            return Some(("apply-ms", "must be at least 1600"));
        }
        if !(0.0..=1.0).contains(&self.retry_share) {
            return Some(("retry-share", "must lie between 0 and 1"));
        }
        if !(self.retry_slack.is_finite() && self.retry_slack >= 0.0) {
            return Some(("retry-slack", "must not be below 0"));
        }
        if !(self.link_mbps.is_finite() && self.link_mbps >= 0.0) {
            return Some(("link-mbps", "must not be below 0"));
        }
        None
    }
}
