//! The transactional table.

use async_trait::async_trait;
use serde::{Deserialize, Serialize};

use crate::Error;

/// Version of a row: the number of the transaction that wrote it. Numbers increase over the whole
/// table, not just per row.
pub type Version = u64;

/// A row of the table.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// Its key.
    pub key: String,
    /// Number of the transaction that wrote it; 0 if the row never existed.
    pub version: Version,
    /// Its value; `None` if it was deleted or never existed.
    pub value: Option<String>,
}

/// A condition of a transaction: the row has this version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Check {
    /// Key of the row.
    pub key: String,
    /// Its version; 0 if the row must not exist.
    pub version: Version,
}

/// A write of a transaction.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// New value of the row; `None` deletes it.
    pub value: Option<String>,
}

/// Checks and writes that take effect atomically.
///
/// ```
/// use platform::Transaction;
///
/// let take = Transaction::default()
///     .check("rack/n1", 7)
///     .put("rack/n1", "{\"owner\":\"p1\"}");
/// assert_eq!(take.writes.len(), 1);
/// ```
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Transaction {
    /// Conditions, all of which must hold.
    pub checks: Vec<Check>,
    /// Writes that are made if they do.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Requires a row to have this version.
    #[must_use]
    pub fn check(mut self, key: impl Into<String>, version: Version) -> Self {
        self.checks.push(Check {
            key: key.into(),
            version,
        });
        self
    }

    /// Writes a value to a row.
    #[must_use]
    pub fn put(mut self, key: impl Into<String>, value: impl Into<String>) -> Self {
        self.writes.push(Write {
            key: key.into(),
            value: Some(value.into()),
        });
        self
    }

    /// Deletes a row.
    #[must_use]
    pub fn delete(mut self, key: impl Into<String>) -> Self {
        self.writes.push(Write {
            key: key.into(),
            value: None,
        });
        self
    }
}

/// Result of a range read.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scan {
    /// Number of the last transaction that the result includes.
    pub version: Version,
    /// Rows written after the requested version, including deleted rows.
    pub rows: Vec<Row>,
}

/// The platform's table.
#[async_trait]
pub trait Table: Send + Sync {
    /// Commits a transaction and returns its number.
    ///
    /// # Errors
    /// [`Error::Conflict`] if a check failed, [`Error::Down`] if nothing was written,
    /// [`Error::Lost`] if it may have been written.
    async fn commit(&self, transaction: Transaction) -> Result<Version, Error>;

    /// Reads all rows with one of these prefixes that were written after `since`.
    ///
    /// # Errors
    /// [`Error::Down`] or [`Error::Lost`].
    async fn scan(&self, prefixes: &[&str], since: Version) -> Result<Scan, Error>;
}
