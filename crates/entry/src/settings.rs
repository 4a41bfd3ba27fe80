//! The settings of an entry host's process.

use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;

use guavaspread_fleet::{OLD_VERSION_BEGIN_TIMEOUT, QuotaTolerance};
use serde::Deserialize;

use crate::prelude::*;

/// Settings of an entry host, read from a TOML file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct EntrySettings {
    /// The entry host's name.
    pub host: Arc<str>,
    /// The IP address of the entry host.
    pub ip: IpAddr,
    /// The availability zone of the entry host.
    pub zone: Arc<str>,
    /// The address on which callers connect.
    pub listen: SocketAddr,
    /// The address of the readiness check for the load balancer.
    pub ready: SocketAddr,
    /// The first and last port of the range that is free for the entry hosts' own use.
    pub ports: [u16; 2],
    /// The address on which metrics are served.
    pub metrics: SocketAddr,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// How long a graceful shutdown may take, in seconds.
    pub grace_s: f64,
    /// The delay between an engine's last command from one owner and its first command from the
    /// next, in milliseconds.
    pub lease_ms: u64,
    /// How long a draining server may still be sent requests, in milliseconds.
    pub drain_ms: u64,
    /// The interval at which servers renew their rows, in milliseconds.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// How long a configuration may take to come into force on this host, in milliseconds.
    pub apply_ms: u64,
    /// How long after a disturbance of its connections this host may be out of date, in
    /// milliseconds.
    #[serde(default = "default_contact_ms")]
    pub contact_ms: u64,
    /// How long after a version of an adapter was named a request may begin on an older one, in
    /// milliseconds.
    #[serde(default = "default_version_ms")]
    pub version_ms: u64,
    /// Whether a host that can't know of keys that were taken away refuses requests with keys.
    #[serde(default)]
    pub strict_revoke: bool,
    /// How old the host's configuration may be for that, in milliseconds.
    #[serde(default = "default_revoke_ms")]
    pub revoke_ms: u64,
    /// What a request to another availability zone costs, in times of a usual request.
    #[serde(default = "default_zone_crossing_cost")]
    pub zone_crossing_cost: f64,
    /// The window over which an organisation's quota is judged, in seconds.
    #[serde(default)]
    pub quota_window_s: f64,
    /// How far the quota of a window may be exceeded, as a share of it.
    #[serde(default)]
    pub quota_overage: f64,
    /// How far it may be exceeded beyond that share, in units of the quota.
    #[serde(default)]
    pub quota_slack: f64,
    /// Retries to a service, as a share of its requests.
    pub retry_share: f64,
    /// Retries to a service beyond that share, summed over all entry hosts.
    pub retry_slack: f64,
    /// Whether the whole deployment starts for the first time.
    #[serde(default = "default_first_start")]
    pub first_start: bool,
    /// The bandwidth of the host's network link, in Mbit per second; 0 if unknown.
    #[serde(default)]
    pub link_mbps: f64,
    /// The log filter.
    #[serde(default = "default_log")]
    pub log: Arc<str>,
}

/// Time for a call to the store and one retry, in milliseconds.
pub(crate) const STORE_CALL_MARGIN_MS: u64 = 800;

/// Timeout of a read of the store, in addition to the requested wait, in milliseconds. A slow store
/// takes 240 ms (60 times 4 ms).
pub const STORE_READ_TIMEOUT_MS: u64 = 800;
/// Time for the read after a silent channel was noticed, and for the changes to take effect, in
/// milliseconds.
const STORE_CATCH_UP_MS: u64 = 400;
/// The shortest time for the interval between two reads of a feed and the wait of a read, in
/// milliseconds. With less, the hosts would read without a pause.
const FEED_CYCLE_MIN_MS: u64 = 800;
/// Time for the withdrawal of a request to reach its engine, in milliseconds.
const WITHDRAWAL_MS: u64 = 300;
/// What of `version-ms` is not the cycle of reads: the noticing of a silent channel, the time in which
/// requests may begin, and their withdrawal.
const VERSION_REST_MS: u64 = STORE_READ_TIMEOUT_MS
    + STORE_CATCH_UP_MS
    + OLD_VERSION_BEGIN_TIMEOUT.as_millis() as u64
    + WITHDRAWAL_MS;
const VERSION_MIN_MS: u64 = FEED_CYCLE_MIN_MS + VERSION_REST_MS;
const CONTACT_MIN_MS: u64 = FEED_CYCLE_MIN_MS + STORE_READ_TIMEOUT_MS + STORE_CATCH_UP_MS;

/// Longest interval at which servers renew their rows, in milliseconds. An end of a response may wait
/// for longer than that.
const HEARTBEAT_MAX_MS: u64 = 60_000;

/// Longest graceful shutdown, in seconds. A time that no duration holds would end the process when
/// it stops.
const GRACE_MAX_S: f64 = 86_400.0;

fn default_heartbeat_ms() -> u64 {
    1_200
}

fn default_contact_ms() -> u64 {
    3_000
}

fn default_version_ms() -> u64 {
    5_000
}

fn default_zone_crossing_cost() -> f64 {
    0.2
}

fn default_revoke_ms() -> u64 {
    5_000
}

fn default_first_start() -> bool {
    true
}

fn default_log() -> Arc<str> {
    "info".into()
}

/// The error of invalid settings.
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
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read, a key is unknown or missing, a value has the
    /// wrong type, or values contradict each other. The message names the key and the line.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|e| SettingsError {
            detail: format!("can't read settings file {}: {e}", path.display()),
        })?;
        Self::parse(&text)
    }

    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`EntrySettings::read`], except for reading the file.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let cfg: Self = toml::from_str(text)
            .map_err(|e| SettingsError { detail: format!("invalid settings: {e}") })?;
        match cfg.find_invalid() {
            None => Ok(cfg),
            Some((key, problem)) => {
                let line = text.lines().position(|line| line.trim_start().starts_with(key));
                let line = line.map_or_else(String::new, |line| format!(" at line {}", line + 1));
                let detail = format!("invalid settings: `{key}`{line} {problem}");
                Err(SettingsError { detail })
            }
        }
    }

    /// Returns the address on which other entry hosts connect to this host.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.ports[0])
    }

    /// Returns the longest time for the interval between two reads of a feed and the wait of a read,
    /// with which a silent channel to the store is noticed in time.
    pub(crate) fn feed_cycle_max(&self) -> Duration {
        let rest_ms = CONTACT_MIN_MS - FEED_CYCLE_MIN_MS;
        Duration::from_millis(self.contact_ms.saturating_sub(rest_ms))
    }

    /// Returns the longest interval between two reads of the feed with the versions of adapters, with
    /// which no request begins on an older version later than `version-ms`.
    pub(crate) fn version_cycle_max(&self) -> Duration {
        let cycle_max = Duration::from_millis(self.version_ms.saturating_sub(VERSION_REST_MS));
        cycle_max.min(self.feed_cycle_max())
    }

    /// Returns how long to wait for evidence that a server ended a response itself. The row of a
    /// crashed server expires after two to three heartbeats, and must not be taken for that of a
    /// server that left.
    pub(crate) fn end_evidence_timeout(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms) * 3 / 2
    }

    /// Returns how far quotas may be exceeded.
    pub(crate) fn quota_tolerance(&self) -> QuotaTolerance {
        QuotaTolerance {
            window: Duration::from_secs_f64(self.quota_window_s.min(86_400.0)),
            overage: self.quota_overage,
            slack: self.quota_slack,
        }
    }

    fn find_invalid(&self) -> Option<(&'static str, &'static str)> {
        if self.host.is_empty() {
            return Some(("host", "must not be empty"));
        }
        if self.zone.is_empty() {
            return Some(("zone", "must not be empty"));
        }
        if self.ports[0] == 0 || self.ports[0] > self.ports[1] {
            return Some(("ports", "must be a port range, lowest port first"));
        }
        if self.listen == self.ready {
            return Some(("ready", "must differ from `listen`"));
        }
        if self.store == self.listen || self.store == self.ready {
            return Some(("store", "must not be an address of this process"));
        }
        if !(self.grace_s > 0.0 && self.grace_s <= GRACE_MAX_S) {
            return Some(("grace-s", "must be above 0 and at most 86400"));
        }
        if self.drain_ms < STORE_CALL_MARGIN_MS * 2 {
            return Some(("drain-ms", "must be at least 1600"));
        }
        if self.heartbeat_ms == 0 || self.heartbeat_ms > HEARTBEAT_MAX_MS {
            return Some(("heartbeat-ms", "must be above 0 and at most 60000"));
        }
        if self.apply_ms < STORE_CALL_MARGIN_MS * 2 {
            return Some(("apply-ms", "must be at least 1600"));
        }
        if self.contact_ms < CONTACT_MIN_MS {
            return Some(("contact-ms", "must be at least 2000"));
        }
        if self.version_ms < VERSION_MIN_MS {
            return Some(("version-ms", "must be at least 3800"));
        }
        let tolerances = [
            ("zone-crossing-cost", self.zone_crossing_cost),
            ("quota-window-s", self.quota_window_s),
            ("quota-overage", self.quota_overage),
            ("quota-slack", self.quota_slack),
        ];
        for (key, value) in tolerances {
            if !(value.is_finite() && value >= 0.0) {
                return Some((key, "must not be below 0"));
            }
        }
        if !(0.0..=1.0).contains(&self.retry_share) {
            return Some(("retry-share", "must be between 0 and 1"));
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
