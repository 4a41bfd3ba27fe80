//! Settings of the gateway and the dispatcher.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

use guavaspread_model::{KeyHash, Name};
use guavaspread_placement::{Policy, Preset};
use guavaspread_wire::Identity;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::error::{Error, ErrorCode, Result};

/// The process's host, zone and addresses.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ProcessSettings {
    /// The entry host's name in the platform's host list.
    pub host: Name,
    /// The entry host's availability zone.
    pub zone: Name,
    /// The address of the platform's services.
    pub platform: SocketAddr,
    /// The source address of connections to other processes.
    #[serde(default = "default_source")]
    pub source: IpAddr,
}

/// The files with the process's TLS identity.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct TlsSettings {
    /// The file with the certificate of the certificate authority.
    pub authority: PathBuf,
    /// The file with the process's certificate.
    pub certificate: PathBuf,
    /// The file with the process's private key.
    pub key: PathBuf,
}

/// The settings of the log.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct LogSettings {
    /// A log level, or a list of `module=level`.
    pub level: String,
}

impl Default for LogSettings {
    fn default() -> Self {
        LogSettings { level: "info".to_owned() }
    }
}

/// The settings of trace export.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct TraceSettings {
    /// The address of an OTLP collector that accepts protobuf over HTTP; without it, spans are not
    /// exported.
    pub otlp: Option<SocketAddr>,
}

/// The limits of a gateway.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct GatewayLimits {
    /// The largest request body, in bytes.
    pub body_bytes_max: usize,
    /// The time limit for a caller to send the request body, in milliseconds.
    pub body_timeout_ms: u32,
    /// The maximum number of requests in flight.
    pub requests_max: usize,
    /// The retry budget, as a fraction of first attempts.
    pub retry_share: f64,
    /// How long a planned shutdown waits for requests in flight, in milliseconds.
    pub drain_ms: u32,
}

impl Default for GatewayLimits {
    fn default() -> Self {
        GatewayLimits {
            body_bytes_max: 1024 * 1024,
            body_timeout_ms: 10_000,
            requests_max: 4_096,
            retry_share: 0.1,
            drain_ms: 60_000,
        }
    }
}

/// The limits of each engine that a dispatcher owns.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", default, deny_unknown_fields)]
pub struct EngineLimits {
    /// The number of adapter slots.
    pub slots: usize,
    /// The maximum number of running requests.
    pub batch: usize,
    /// The maximum number of waiting requests.
    pub waiting: usize,
    /// The maximum number of concurrent adapter loads.
    pub loads: usize,
    /// The expected duration of an adapter load, in milliseconds.
    pub load_ms: u32,
    /// The longest time without data from a backend server during a response, in milliseconds.
    pub silence_ms: u32,
    /// Whether engines reject commands with an old fencing number.
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

/// The settings of a gateway.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct GatewaySettings {
    /// The HTTP address for callers and operators.
    pub listen: SocketAddr,
    /// The number of threads that serve requests.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// The SHA-256 hashes of the operators' bearer keys.
    #[serde(default)]
    pub operator_keys: Vec<KeyHash>,
    /// The process's host, zone and addresses.
    pub process: ProcessSettings,
    /// The TLS identity for connections to other processes.
    pub tls: TlsSettings,
    /// The limits of the gateway.
    #[serde(default)]
    pub limits: GatewayLimits,
    /// The limits of each engine; they must equal those of the dispatchers.
    #[serde(default)]
    pub engine: EngineLimits,
    /// The preset of the scheduling weights.
    #[serde(default = "default_preset")]
    pub preset: Preset,
    /// The individual scheduling weights; they replace the preset.
    #[serde(default)]
    pub policy: Option<Policy>,
    /// The settings of the log.
    #[serde(default)]
    pub log: LogSettings,
    /// The settings of trace export.
    #[serde(default)]
    pub trace: TraceSettings,
}

/// The settings of a dispatcher.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct DispatcherSettings {
    /// The QUIC address for other processes.
    pub listen: SocketAddr,
    /// The HTTP address of metrics and health checks.
    pub metrics: SocketAddr,
    /// The process's host, zone and addresses.
    pub process: ProcessSettings,
    /// The TLS identity for connections to other processes.
    pub tls: TlsSettings,
    /// The limits of each engine.
    #[serde(default)]
    pub engine: EngineLimits,
    /// The preset of the scheduling weights.
    #[serde(default = "default_preset")]
    pub preset: Preset,
    /// The individual scheduling weights; they replace the preset.
    #[serde(default)]
    pub policy: Option<Policy>,
    /// How long a planned shutdown waits for requests in flight, in milliseconds.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: u32,
    /// The settings of the log.
    #[serde(default)]
    pub log: LogSettings,
    /// The settings of trace export.
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
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Fails on an unknown key, a value of the wrong type or format, or values that contradict
    /// each other.
    pub fn read(path: &Path) -> Result<Self> {
        Self::parse(&read_file(path)?, path)
    }

    /// Parses and validates a settings text; `path` is only used in errors.
    ///
    /// # Errors
    ///
    /// Fails on an unknown key, a value of the wrong type or format, or values that contradict
    /// each other.
    pub fn parse(text: &str, path: &Path) -> Result<Self> {
        let cfg: Self = parse(text, path)?;
        cfg.validate().map_err(|e| Error::new(ErrorCode::Inconsistent, path, e))?;
        Ok(cfg)
    }

    /// Returns the scheduling weights in force: `policy` if it is set, otherwise the preset's.
    pub fn policy(&self) -> Policy {
        self.policy.clone().unwrap_or_else(|| Policy::preset(self.preset))
    }

    fn validate(&self) -> std::result::Result<(), String> {
        self.engine.validate()?;
        validate_policy(&self.policy())?;
        if self.threads == 0 {
            return Err("`threads` must be at least 1".to_owned());
        }
        if self.limits.body_bytes_max == 0 || self.limits.requests_max == 0 {
            return Err(
                "`limits.body-bytes-max` and `limits.requests-max` must be at least 1".to_owned()
            );
        }
        if !(0.0..=1.0).contains(&self.limits.retry_share) {
            return Err("`limits.retry-share` must be between 0 and 1".to_owned());
        }
        if self.listen == self.process.platform {
            return Err("`listen` and `process.platform` are the same address".to_owned());
        }
        Ok(())
    }
}

impl DispatcherSettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Fails on an unknown key, a value of the wrong type or format, or values that contradict
    /// each other.
    pub fn read(path: &Path) -> Result<Self> {
        Self::parse(&read_file(path)?, path)
    }

    /// Parses and validates a settings text; `path` is only used in errors.
    ///
    /// # Errors
    ///
    /// Fails on an unknown key, a value of the wrong type or format, or values that contradict
    /// each other.
    pub fn parse(text: &str, path: &Path) -> Result<Self> {
        let cfg: Self = parse(text, path)?;
        cfg.validate().map_err(|e| Error::new(ErrorCode::Inconsistent, path, e))?;
        Ok(cfg)
    }

    /// Returns the scheduling weights in force: `policy` if it is set, otherwise the preset's.
    pub fn policy(&self) -> Policy {
        self.policy.clone().unwrap_or_else(|| Policy::preset(self.preset))
    }

    fn validate(&self) -> std::result::Result<(), String> {
        self.engine.validate()?;
        validate_policy(&self.policy())?;
        if self.metrics == self.process.platform {
            return Err("`metrics` and `process.platform` are the same address".to_owned());
        }
        Ok(())
    }
}

impl EngineLimits {
    fn validate(&self) -> std::result::Result<(), String> {
        if self.slots == 0 || self.batch == 0 || self.loads == 0 {
            return Err(
                "`engine.slots`, `engine.batch` and `engine.loads` must be at least 1".to_owned()
            );
        }
        if self.loads > self.slots {
            return Err("`engine.loads` must not exceed `engine.slots`".to_owned());
        }
        if self.silence_ms < self.load_ms {
            return Err("`engine.silence-ms` must not be less than `engine.load-ms`".to_owned());
        }
        Ok(())
    }
}

fn validate_policy(policy: &Policy) -> std::result::Result<(), String> {
    let weights = [
        policy.interactive_weight,
        policy.draft_weight,
        policy.overnight_weight,
        policy.replicate_load,
    ];
    if weights.iter().any(|weight| !weight.is_finite() || *weight <= 0.0) {
        return Err("the weights of `policy` must be greater than 0".to_owned());
    }
    if policy.choices == 0 || policy.demand_half_life_ms == 0 {
        return Err(
            "`policy.choices` and `policy.demand-half-life-ms` must be at least 1".to_owned()
        );
    }
    Ok(())
}

impl TlsSettings {
    /// Reads the files and creates the identity.
    ///
    /// # Errors
    ///
    /// Fails when a file can't be read or contains no valid certificate or key.
    pub fn identity(&self) -> Result<Identity> {
        let authority = read_file(&self.authority)?;
        let certificate = read_file(&self.certificate)?;
        let key = read_file(&self.key)?;
        Identity::from_pem(authority.as_bytes(), certificate.as_bytes(), key.as_bytes())
            .map_err(|e| Error::new(ErrorCode::Inconsistent, &self.certificate, e))
    }
}

fn read_file(path: &Path) -> Result<String> {
    std::fs::read_to_string(path).map_err(|e| Error::new(ErrorCode::Unreadable, path, e))
}

fn parse<T: DeserializeOwned>(text: &str, path: &Path) -> Result<T> {
    toml::from_str(text).map_err(|e| Error::new(ErrorCode::Syntax, path, e))
}
