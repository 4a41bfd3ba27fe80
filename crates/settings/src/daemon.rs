//! The settings of the gateway and the dispatcher.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

use guavaspread_model::{KeyHash, Name};
use guavaspread_placement::{Policy, Preset};
use guavaspread_wire::Identity;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::error::{Error, ErrorCode, Result};

/// Names the process and its place.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ProcessSettings {
    /// The entry host's name, as in the platform's list.
    pub host: Name,
    /// Its availability zone.
    pub zone: Name,
    /// The address of the platform's services.
    pub platform: SocketAddr,
    /// The address that connections to other processes start from.
    #[serde(default = "default_source")]
    pub source: IpAddr,
}

/// Names the files that hold the process's identity.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct TlsSettings {
    /// The authority's certificate.
    pub authority: PathBuf,
    /// The process's certificate.
    pub certificate: PathBuf,
    /// The process's private key.
    pub key: PathBuf,
}

/// Says what is logged.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct LogSettings {
    /// A level, or a list of `module=level`.
    pub level: String,
}

impl Default for LogSettings {
    fn default() -> Self {
        LogSettings { level: "info".to_owned() }
    }
}

/// Says where spans go.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct TraceSettings {
    /// The address of an OTLP collector that takes protobuf over HTTP.
    pub otlp: Option<SocketAddr>,
}

/// Bounds what a gateway takes on.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct Limits {
    /// The largest body of a request, in bytes.
    pub body_bytes_max: usize,
    /// How long a caller may take to send its body, in milliseconds.
    pub body_timeout_ms: u32,
    /// Requests under way at once.
    pub requests_max: usize,
    /// Retries as a share of first attempts.
    pub retry_share: f64,
    /// How long a planned stop waits for requests under way, in milliseconds.
    pub drain_ms: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            body_bytes_max: 1024 * 1024,
            body_timeout_ms: 10_000,
            requests_max: 4_096,
            retry_share: 0.1,
            drain_ms: 60_000,
        }
    }
}

/// Bounds each engine that a dispatcher owns.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct EngineLimits {
    /// Adapter slots.
    pub slots: usize,
    /// Requests in the batch.
    pub batch: usize,
    /// Requests that may wait.
    pub waiting: usize,
    /// Adapter loads under way at once.
    pub loads: usize,
    /// How long a load usually takes, in milliseconds.
    pub load_ms: u32,
    /// The longest silence of a backend server during an answer, in milliseconds.
    pub silence_ms: u32,
    /// Whether engines refuse orders that carry an old fencing number.
    pub check_fences: bool,
}

impl Default for EngineLimits {
    fn default() -> Self {
        EngineLimits {
            slots: 8,
            batch: 32,
            waiting: 512,
            loads: 2,
            load_ms: 250,
            silence_ms: 5_000,
            check_fences: false,
        }
    }
}

/// Holds a gateway's settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct GatewaySettings {
    /// Where callers and operators connect, over HTTP.
    pub listen: SocketAddr,
    /// Traffic threads.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// The SHA-256 of each operator's bearer key.
    #[serde(default)]
    pub operator_keys: Vec<KeyHash>,
    /// The process and its place.
    pub process: ProcessSettings,
    /// Its identity towards the other processes.
    pub tls: TlsSettings,
    /// What it takes on.
    #[serde(default)]
    pub limits: Limits,
    /// The bounds of each engine, as the dispatchers have them.
    #[serde(default)]
    pub engine: EngineLimits,
    /// The weights, by preset.
    #[serde(default = "default_preset")]
    pub preset: Preset,
    /// The weights, one by one; goes before the preset.
    #[serde(default)]
    pub policy: Option<Policy>,
    /// What is logged.
    #[serde(default)]
    pub log: LogSettings,
    /// Where spans go.
    #[serde(default)]
    pub trace: TraceSettings,
}

/// Holds a dispatcher's settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct DispatcherSettings {
    /// Where the other processes connect, over QUIC.
    pub listen: SocketAddr,
    /// Where metrics and health are served, over HTTP.
    pub metrics: SocketAddr,
    /// The process and its place.
    pub process: ProcessSettings,
    /// Its identity towards the other processes.
    pub tls: TlsSettings,
    /// The bounds of each engine.
    #[serde(default)]
    pub engine: EngineLimits,
    /// The weights, by preset.
    #[serde(default = "default_preset")]
    pub preset: Preset,
    /// The weights, one by one; goes before the preset.
    #[serde(default)]
    pub policy: Option<Policy>,
    /// How long a planned stop waits for requests under way, in milliseconds.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: u32,
    /// What is logged.
    #[serde(default)]
    pub log: LogSettings,
    /// Where spans go.
    #[serde(default)]
    pub trace: TraceSettings,
}

fn default_source() -> IpAddr {
    IpAddr::V4(Ipv4Addr::UNSPECIFIED)
}

fn default_threads() -> usize {
    2
}

fn default_preset() -> Preset {
    Preset::StallsFirst
}

fn default_drain_ms() -> u32 {
    60_000
}

impl GatewaySettings {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// Fails on a key that is unknown, a value of the wrong form, or values that clash.
    pub fn read(path: &Path) -> Result<Self> {
        Self::parse(&read_file(path)?, path)
    }

    /// Parses and checks a text; `path` only names it in errors.
    ///
    /// # Errors
    ///
    /// Fails on a key that is unknown, a value of the wrong form, or values that clash.
    pub fn parse(text: &str, path: &Path) -> Result<Self> {
        let cfg: Self = parse(text, path)?;
        cfg.contradictions().map_err(|e| Error::new(ErrorCode::Contradiction, path, e))?;
        Ok(cfg)
    }

    /// Returns the weights in force.
    pub fn policy(&self) -> Policy {
        self.policy.clone().unwrap_or_else(|| Policy::preset(self.preset))
    }

    fn contradictions(&self) -> std::result::Result<(), String> {
        self.engine.contradictions()?;
        check_policy(&self.policy())?;
        if self.threads == 0 {
            return Err("`threads` must be at least 1".to_owned());
        }
        if self.limits.body_bytes_max == 0 || self.limits.requests_max == 0 {
            return Err(
                "`limits.body-bytes-max` and `limits.requests-max` must be at least 1".to_owned()
            );
        }
        if !(0.0..=1.0).contains(&self.limits.retry_share) {
            return Err("`limits.retry-share` must lie between 0 and 1".to_owned());
        }
        if self.listen == self.process.platform {
            return Err("`listen` and `process.platform` are the same address".to_owned());
        }
        Ok(())
    }
}

impl DispatcherSettings {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// Fails on a key that is unknown, a value of the wrong form, or values that clash.
    pub fn read(path: &Path) -> Result<Self> {
        Self::parse(&read_file(path)?, path)
    }

    /// Parses and checks a text; `path` only names it in errors.
    ///
    /// # Errors
    ///
    /// Fails on a key that is unknown, a value of the wrong form, or values that clash.
    pub fn parse(text: &str, path: &Path) -> Result<Self> {
        let cfg: Self = parse(text, path)?;
        cfg.contradictions().map_err(|e| Error::new(ErrorCode::Contradiction, path, e))?;
        Ok(cfg)
    }

    /// Returns the weights in force.
    pub fn policy(&self) -> Policy {
        self.policy.clone().unwrap_or_else(|| Policy::preset(self.preset))
    }

    fn contradictions(&self) -> std::result::Result<(), String> {
        self.engine.contradictions()?;
        check_policy(&self.policy())?;
        if self.metrics == self.process.platform {
            return Err("`metrics` and `process.platform` are the same address".to_owned());
        }
        Ok(())
    }
}

impl EngineLimits {
    fn contradictions(&self) -> std::result::Result<(), String> {
        if self.slots == 0 || self.batch == 0 || self.loads == 0 {
            return Err(
                "`engine.slots`, `engine.batch` and `engine.loads` must be at least 1".to_owned()
            );
        }
        if self.loads > self.slots {
            return Err("`engine.loads` must not exceed `engine.slots`".to_owned());
        }
        if self.silence_ms < self.load_ms {
            return Err("`engine.silence-ms` must not be below `engine.load-ms`".to_owned());
        }
        Ok(())
    }
}

fn check_policy(policy: &Policy) -> std::result::Result<(), String> {
    let weights = [
        policy.interactive_weight,
        policy.draft_weight,
        policy.overnight_weight,
        policy.replicate_load,
    ];
    if weights.iter().any(|weight| !weight.is_finite() || *weight <= 0.0) {
        return Err("the weights of `policy` must be above 0".to_owned());
    }
    if policy.choices == 0 || policy.demand_half_life_ms == 0 {
        return Err(
            "`policy.choices` and `policy.demand-half-life-ms` must be at least 1".to_owned()
        );
    }
    Ok(())
}

impl TlsSettings {
    /// Reads the files and makes the identity.
    ///
    /// # Errors
    ///
    /// Fails when a file can't be read or holds no certificate or key.
    pub fn identity(&self) -> Result<Identity> {
        let authority = read_file(&self.authority)?;
        let certificate = read_file(&self.certificate)?;
        let key = read_file(&self.key)?;
        Identity::from_pem(authority.as_bytes(), certificate.as_bytes(), key.as_bytes())
            .map_err(|e| Error::new(ErrorCode::Contradiction, &self.certificate, e))
    }
}

fn read_file(path: &Path) -> Result<String> {
    std::fs::read_to_string(path).map_err(|e| Error::new(ErrorCode::Unreadable, path, e))
}

fn parse<T: DeserializeOwned>(text: &str, path: &Path) -> Result<T> {
    toml::from_str(text).map_err(|e| Error::new(ErrorCode::Syntax, path, e))
}
