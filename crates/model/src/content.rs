//! Content-derived ids of requests.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Identifies the content of a request, so that repetitions of it are recognized.
///
/// The id is the first 128 bits of a SHA-256 digest. With a weaker hash a caller could craft
/// content with the id of another caller's content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ContentId(u128);

impl ContentId {
    /// Hashes the parts of the content with their lengths, so the boundaries of the parts matter.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hash = Sha256::new();
        for part in parts {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        let digest = hash.finalize();
        ContentId(digest.iter().take(16).fold(0, |id, byte| id << 8 | u128::from(*byte)))
    }
}

impl fmt::Display for ContentId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl std::str::FromStr for ContentId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(ContentId)
    }
}
