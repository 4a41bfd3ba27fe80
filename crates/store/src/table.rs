//! The client interface to the transactional table and the host list.

use async_trait::async_trait;
use guavaspread_model::Host;
use serde::{Deserialize, Serialize};

use crate::error::Result;

/// One row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Row {
    /// The key.
    pub key: String,
    /// The value, a JSON document.
    pub value: String,
    /// The revision of the write that set this value.
    pub revision: u64,
}

/// The revision that a row must have for a commit to succeed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Condition {
    /// The key.
    pub key: String,
    /// The required revision, or `None` if the row must not exist.
    pub revision: Option<u64>,
}

/// A write that sets or deletes one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Write {
    /// The key.
    pub key: String,
    /// The new value, or `None` to delete the row.
    pub value: Option<String>,
}

/// Writes that are committed atomically if every condition holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Transaction {
    /// The conditions; all must hold.
    pub conditions: Vec<Condition>,
    /// The writes.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Adds a write of `key` on the condition that the row is at `revision`.
    pub fn compare_and_set(mut self, key: &str, revision: Option<u64>, value: String) -> Self {
        self.conditions.push(Condition { key: key.to_owned(), revision });
        self.writes.push(Write { key: key.to_owned(), value: Some(value) });
        self
    }
}

/// The result of a successful commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct CommitReceipt {
    /// The revision of all rows that the commit wrote.
    pub revision: u64,
}

/// The row whose condition did not hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Conflict {
    /// The key.
    pub key: String,
}

/// A client of the platform's services.
#[async_trait(?Send)]
pub trait PlatformClient {
    /// Reads one row.
    ///
    /// # Errors
    ///
    /// Fails when the table does not respond.
    async fn get(&self, key: &str) -> Result<Option<Row>>;

    /// Reads the rows whose keys start with `prefix`, ordered by key.
    ///
    /// # Errors
    ///
    /// Fails when the table does not respond.
    async fn list(&self, prefix: &str) -> Result<Vec<Row>>;

    /// Commits a transaction.
    ///
    /// # Errors
    ///
    /// Fails when a condition does not hold, the table is unreachable, or its response is lost.
    async fn commit(&self, tx: &Transaction) -> Result<CommitReceipt>;

    /// Reads the list of hosts.
    ///
    /// # Errors
    ///
    /// Fails when the list can't be read.
    async fn list_hosts(&self) -> Result<Vec<Host>>;
}
