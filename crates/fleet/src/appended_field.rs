//! Fields that a later build appended to a message between hosts.

use serde::{Deserialize, Deserializer};

/// Decodes the last field of a message; a sender of an earlier build may lack it.
///
/// # Errors
///
/// Never fails: the field has its default if it is missing or invalid.
pub fn appended<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de> + Default,
{
    Ok(T::deserialize(deserializer).unwrap_or_default())
}
