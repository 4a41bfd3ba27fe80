//! The stored rows of the commit protocol.

use guavaspread_model::{Change, Name};
use serde::{Deserialize, Serialize};

/// The committed revision and the staged change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ConfigHead {
    /// The last committed revision.
    pub committed: u64,
    /// The highest revision ever staged; the revision of an aborted change is not reused.
    pub highest: u64,
    /// The change that awaits acknowledgements.
    pub staged: Option<StagedChange>,
}

/// A reference to a staged change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct StagedChange {
    /// The revision of the change.
    pub revision: u64,
    /// The entry host that proposed the change.
    pub proposer: Name,
    /// A random number that distinguishes proposals from one host.
    pub token: u64,
}

/// The changes of one revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ChangeRecord {
    /// The revision.
    pub revision: u64,
    /// The revision to which the changes apply.
    pub base: u64,
    /// The changes, in order.
    pub changes: Vec<Change>,
}

/// Identifies a process that follows the configuration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Member {
    /// The entry host of the process.
    pub host: Name,
    /// The name of the process on the host, such as `gateway`.
    pub process: Name,
}

/// The last acknowledgement of a process that follows the configuration.
///
/// A process writes this row before it reads the head for the first time. So a proposer that
/// reads the rows after it staged a change finds every process that may not have read the change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Acknowledgement {
    /// The process that acknowledges.
    pub member: Member,
    /// Differs between two processes on the same host.
    pub incarnation: u64,
    /// The highest revision that the process has acknowledged, or 0.
    pub revision: u64,
}
