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

/// The upper half of the ids of prompt parts; a digest has it by chance once in 2^64.
const PROMPT_PART_TAG: u64 = u64::from_be_bytes(*b"prompart");

impl ContentId {
    /// Returns the id of a prompt part, which many requests may share.
    pub fn of_prompt_part(part: u64) -> Self {
        ContentId(u128::from(PROMPT_PART_TAG) << 64 | u128::from(part))
    }

    /// Returns the platform's id of the prompt part; `None` for the content of a request.
    pub fn prompt_part(self) -> Option<u64> {
        ((self.0 >> 64) as u64 == PROMPT_PART_TAG).then_some(self.0 as u64)
    }

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
