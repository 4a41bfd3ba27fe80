//! Names and adapter versions; both are immutable and cheap to clone.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::error::{Error, ErrorCode, Result};

const NAME_BYTES_MAX: usize = 63;

/// A valid name: 1 to 63 of `a-z 0-9 . _ -`, starting with a letter or digit.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(Arc<str>);

impl Name {
    /// Validates `text` and creates a name from it.
    ///
    /// # Errors
    ///
    /// Fails when `text` is empty, too long or contains any other character.
    pub fn new(text: &str) -> Result<Self> {
        let bytes = text.as_bytes();
        let has_valid_start = bytes.first().is_some_and(u8::is_ascii_alphanumeric);
        let is_allowed = |b: &u8| {
            b.is_ascii_lowercase() || b.is_ascii_digit() || matches!(b, b'.' | b'_' | b'-')
        };
        if !has_valid_start || bytes.len() > NAME_BYTES_MAX || !bytes.iter().all(is_allowed) {
            return Err(Error::new(ErrorCode::InvalidName, text));
        }
        Ok(Name(text.into()))
    }

    /// Returns the text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for Name {
    type Error = Error;

    fn try_from(text: String) -> Result<Self> {
        Name::new(&text)
    }
}

impl From<Name> for String {
    fn from(name: Name) -> String {
        name.as_str().to_owned()
    }
}

impl FromStr for Name {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        Name::new(text)
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&self.0, f)
    }
}

/// One version of an organisation's adapter, written `organisation/adapter@version`.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct AdapterVersion {
    organisation: Name,
    adapter: Name,
    version: u32,
}

impl AdapterVersion {
    /// Creates an adapter version from its three parts.
    pub fn new(organisation: Name, adapter: Name, version: u32) -> Self {
        AdapterVersion { organisation, adapter, version }
    }

    /// Returns the organisation that the adapter belongs to.
    pub fn organisation(&self) -> &Name {
        &self.organisation
    }

    /// Returns the adapter's name within its organisation.
    pub fn adapter(&self) -> &Name {
        &self.adapter
    }

    /// Returns the version.
    pub fn version(&self) -> u32 {
        self.version
    }
}

impl FromStr for AdapterVersion {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let invalid = || Error::new(ErrorCode::InvalidAdapter, text);
        let (organisation, rest) = text.split_once('/').ok_or_else(invalid)?;
        let Some((adapter, version)) = rest.split_once('@') else {
            return Err(Error::new(ErrorCode::MissingVersion, text));
        };
        Ok(AdapterVersion {
            organisation: Name::new(organisation)?,
            adapter: Name::new(adapter)?,
            version: version.parse().map_err(|_| invalid())?,
        })
    }
}

impl TryFrom<String> for AdapterVersion {
    type Error = Error;

    fn try_from(text: String) -> Result<Self> {
        text.parse()
    }
}

impl From<AdapterVersion> for String {
    fn from(adapter: AdapterVersion) -> String {
        adapter.to_string()
    }
}

impl fmt::Display for AdapterVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}@{}", self.organisation, self.adapter, self.version)
    }
}

impl fmt::Debug for AdapterVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}
