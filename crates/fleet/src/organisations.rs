//! Organisations and the keys by which their callers name themselves.
//!
//! Keys are held as salted digests: neither a dump nor a message to a peer tells one. A key that
//! could mean two organisations means none, because each other choice would charge one of them for
//! the requests of the other.

use std::collections::hash_map::Entry;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::prelude::*;

/// The longest key. Longer ones are no keys, as each request's key is hashed.
pub const KEY_BYTES_MAX: usize = 512;
const DIGEST_BYTES: usize = 16;
/// The share of a quota's tolerance that is granted. The rest covers what keepers grant while a zone
/// that is cut off is not known to be.
const TOLERANCE_SHARE: f64 = 0.7;

/// Random bytes that are hashed with each key.
pub type KeySalt = [u8; 16];

/// How the size of a request is counted.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum QuotaUnit {
    /// Each request counts one.
    Requests,
    /// Each request counts its tokens.
    Tokens {
        /// What a request counts that states no tokens.
        plain: u64,
    },
}

/// How much an organisation may send through all hosts together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// What the rate and the burst count.
    pub unit: QuotaUnit,
    /// The sustained rate, in units per second; above 0.
    pub rate_per_s: f64,
    /// What may be sent at once after a pause, in units.
    pub burst: f64,
}

impl Quota {
    /// Returns the quota with a higher rate: what may be used of the tolerance of each window.
    ///
    /// What a quota allows over a window, with its tolerance, is the organisation's to use.
    pub fn with_tolerance(self, tolerance: &QuotaTolerance) -> Self {
        if tolerance.window.is_zero() {
            return self;
        }
        let window_s = tolerance.window.as_secs_f64();
        let window = self.rate_per_s * window_s + self.burst;
        // A slack in another unit, such as tokens for requests, must not make the quota void.
        let allowed = window * tolerance.overage + tolerance.slack.min(window);
        Quota { rate_per_s: self.rate_per_s + allowed * TOLERANCE_SHARE / window_s, ..self }
    }

    /// Returns what a request counts that states this number of tokens.
    pub fn cost(&self, tokens: Option<u64>) -> f64 {
        match self.unit {
            QuotaUnit::Requests => 1.0,
            QuotaUnit::Tokens { plain } => tokens.unwrap_or(plain) as f64,
        }
    }
}

/// How far a quota may be exceeded over a window, by all hosts together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaTolerance {
    /// The window.
    pub window: Duration,
    /// A share of the window's quota.
    pub overage: f64,
    /// Units beyond that.
    pub slack: f64,
}

/// An organisation whose callers have keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// The name.
    pub name: Arc<str>,
    /// The priority of its requests, which goes before that of the route.
    pub priority: Option<u8>,
    /// What it may send; `None` if it is not limited.
    pub quota: Option<Quota>,
}

/// Who sent a request, by its key.
#[derive(Clone, Debug, PartialEq)]
pub enum Caller {
    /// The request needs no key.
    Anonymous,
    /// The key names this organisation.
    Organisation(Arc<Organisation>),
    /// The key is missing or names nobody.
    Unknown,
}

/// A key that is not used, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UnusedKey {
    /// An empty key of the organisation.
    Empty(Arc<str>),
    /// A key of the organisation is longer than [`KEY_BYTES_MAX`].
    TooLong(Arc<str>),
    /// The organisations have the same key.
    Ambiguous(Arc<str>, Arc<str>),
}

impl std::fmt::Display for UnusedKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            UnusedKey::Empty(name) => write!(f, "organisation {name} has an empty key"),
            UnusedKey::TooLong(name) => {
                write!(f, "organisation {name} has a key of more than {KEY_BYTES_MAX} bytes")
            }
            UnusedKey::Ambiguous(first, second) => {
                write!(f, "organisations {first} and {second} have the same key")
            }
        }
    }
}

/// The organisations of a configuration, found by their keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Organisations {
    salt: KeySalt,
    organisations: Vec<Arc<Organisation>>,
    /// The index of each key's organisation; `None` for a key of several.
    by_key: HashMap<[u8; DIGEST_BYTES], Option<usize>>,
}

impl Organisations {
    /// Creates the organisations with their keys; also returns which keys are not used.
    pub fn new<'a, K>(
        salt: KeySalt,
        organisations: impl IntoIterator<Item = (Organisation, K)>,
    ) -> (Self, Vec<UnusedKey>)
    where
        K: IntoIterator<Item = &'a str>,
    {
        let mut all = Organisations { salt, organisations: Vec::new(), by_key: HashMap::new() };
        let mut unused = Vec::new();
        for (organisation, keys) in organisations {
            let index = all.organisations.len();
            all.organisations.push(Arc::new(organisation));
            unused.extend(keys.into_iter().filter_map(|key| all.add_key(index, key)));
        }
        (all, unused)
    }

    fn add_key(&mut self, index: usize, key: &str) -> Option<UnusedKey> {
        let name = &self.organisations[index].name;
        if key.is_empty() {
            return Some(UnusedKey::Empty(name.clone()));
        }
        if key.len() > KEY_BYTES_MAX {
            return Some(UnusedKey::TooLong(name.clone()));
        }
        let digest = self.digest(key.as_bytes());
        let mut known = match self.by_key.entry(digest) {
            Entry::Vacant(vacant) => {
                vacant.insert(Some(index));
                return None;
            }
            Entry::Occupied(known) => known,
        };
        let first = (*known.get()).filter(|first| *first != index)?;
        known.insert(None);
        Some(UnusedKey::Ambiguous(self.organisations[first].name.clone(), name.clone()))
    }

    /// Returns the organisation that has a key.
    pub fn find(&self, key: &[u8]) -> Option<&Arc<Organisation>> {
        if key.is_empty() || key.len() > KEY_BYTES_MAX {
            return None;
        }
        let index = self.by_key.get(&self.digest(key)).copied().flatten()?;
        self.organisations.get(index)
    }

    /// Returns all organisations, in the order of the configuration.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Organisation>> {
        self.organisations.iter()
    }

    fn digest(&self, key: &[u8]) -> [u8; DIGEST_BYTES] {
        let digest = Sha256::new().chain_update(self.salt).chain_update(key).finalize();
        let mut first = [0; DIGEST_BYTES];
        first.copy_from_slice(&digest[..DIGEST_BYTES]);
        first
    }
}
