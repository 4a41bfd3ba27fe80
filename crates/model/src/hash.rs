//! Hash functions whose results are the same on every host.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Returns the score of `node` for `key`; the node with the highest score ranks first.
///
/// Rendezvous hashing (highest random weight; Thaler and Ravishankar, 1998): removing a
/// node moves only the keys for which that node ranked first.
pub fn rendezvous_score(key: &str, node: &str) -> u64 {
    xxh3_64_with_seed(node.as_bytes(), xxh3_64(key.as_bytes()))
}

/// Hashes bytes with XXH3; the quarantine identifies content that crashes engines by this hash.
pub fn content_hash(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}
