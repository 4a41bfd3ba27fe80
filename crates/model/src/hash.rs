//! Hashes that every host computes alike.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Scores `node` for `key`; the node with the highest score ranks first.
///
/// Highest random weight hashing, Thaler and Ravishankar, 1998: removing a node
/// moves only the keys that it ranked first for.
pub fn rendezvous_score(key: &str, node: &str) -> u64 {
    xxh3_64_with_seed(node.as_bytes(), xxh3_64(key.as_bytes()))
}

/// Hashes the content of a request, for the quarantine of content that crashes engines.
pub fn content_hash(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}
