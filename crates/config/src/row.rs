//! The rows through which a change comes into force.

use guavaspread_model::{Change, Name};
use serde::{Deserialize, Serialize};

/// Says which revision is in force and which one is on its way.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Head {
    /// The last revision committed.
    pub committed: u64,
    /// The highest revision ever staged; an aborted one is not used again.
    pub highest: u64,
    /// The change that waits for acknowledgements.
    pub staged: Option<Staged>,
}

/// Names a staged change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Staged {
    /// Its revision.
    pub revision: u64,
    /// The entry host that proposed it.
    pub proposer: Name,
    /// Tells apart two proposals through one host.
    pub token: u64,
}

/// Holds the changes of one revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ChangeRecord {
    /// The revision.
    pub revision: u64,
    /// The revision that they apply to.
    pub base: u64,
    /// The changes, in order.
    pub changes: Vec<Change>,
}

/// Identifies a process that follows the configuration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Member {
    /// Its entry host.
    pub host: Name,
    /// Which process of that host, as in `gateway`.
    pub process: Name,
}

/// Names a process that follows the configuration, and the staged revision that it holds.
///
/// A process writes its row before it first reads the head, so a proposer that
/// reads the rows after staging sees every process that does not know of the
/// staged change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Acknowledgement {
    /// The process.
    pub member: Member,
    /// Differs between two processes on the same host.
    pub incarnation: u64,
    /// The highest staged revision that it holds.
    pub revision: u64,
}
