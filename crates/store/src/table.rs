//! The transactional table, the object store and the host list as a trait.

use async_trait::async_trait;
use guavaspread_model::Host;
use serde::{Deserialize, Serialize};

use crate::error::Result;

/// Holds one row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Row {
    /// The key.
    pub key: String,
    /// The value, a JSON text.
    pub value: String,
    /// The revision of the write that made this value.
    pub revision: u64,
}

/// Demands that a row is at a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Condition {
    /// The key.
    pub key: String,
    /// The revision, or `None` when the row must not exist.
    pub revision: Option<u64>,
}

/// Sets or deletes a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Write {
    /// The key.
    pub key: String,
    /// The new value, or `None` to delete the row.
    pub value: Option<String>,
}

/// Writes rows together, if every condition holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Transaction {
    /// What must hold.
    pub conditions: Vec<Condition>,
    /// What is written.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Adds a write of `key` that demands the row at `revision`.
    pub fn swap(mut self, key: &str, revision: Option<u64>, value: String) -> Self {
        self.conditions.push(Condition { key: key.to_owned(), revision });
        self.writes.push(Write { key: key.to_owned(), value: Some(value) });
        self
    }
}

/// Reports a commit that took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Committed {
    /// The revision of every row written.
    pub revision: u64,
}

/// Names the row whose condition did not hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Conflict {
    /// The key.
    pub key: String,
}

/// Reaches the platform's services.
#[async_trait(?Send)]
pub trait Platform {
    /// Reads one row.
    ///
    /// # Errors
    ///
    /// Fails when the table does not answer.
    async fn get(&self, key: &str) -> Result<Option<Row>>;

    /// Reads the rows whose keys start with `prefix`, in key order.
    ///
    /// # Errors
    ///
    /// Fails when the table does not answer.
    async fn list(&self, prefix: &str) -> Result<Vec<Row>>;

    /// Commits a transaction.
    ///
    /// # Errors
    ///
    /// Fails when a condition does not hold, the table can't be reached, or its answer is lost.
    async fn commit(&self, tx: &Transaction) -> Result<Committed>;

    /// Reads the list of hosts.
    ///
    /// # Errors
    ///
    /// Fails when the list can't be read.
    async fn hosts(&self) -> Result<Vec<Host>>;
}
