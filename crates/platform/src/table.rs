//! The transactional table.

use async_trait::async_trait;
use serde::{Deserialize, Serialize};

use crate::Error;

/// Version of a row: the number of the transaction that wrote it. It rises, also across rows.
pub type Version = u64;

/// One row.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// Its key.
    pub key: String,
    /// The transaction that wrote it; 0 if the row was never there.
    pub version: Version,
    /// What it holds; `None` if it was deleted or never there.
    pub value: Option<String>,
}

/// A row must have this version (0: must not exist) for the transaction to be written.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Check {
    /// The row.
    pub key: String,
    /// Its version; 0 if it must not exist.
    pub version: Version,
}

/// What to put into a row.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Write {
    /// The row.
    pub key: String,
    /// Its new value; `None` deletes it.
    pub value: Option<String>,
}

/// Checks and writes that take effect together or not at all.
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
    /// Every one must hold.
    pub checks: Vec<Check>,
    /// What is written then.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// The row must have this version.
    #[must_use]
    pub fn check(mut self, key: impl Into<String>, version: Version) -> Self {
        self.checks.push(Check {
            key: key.into(),
            version,
        });
        self
    }

    /// Puts a value into a row.
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

/// Rows of a range.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scan {
    /// The transaction up to which the range was read.
    pub version: Version,
    /// Rows written after the asked version, deleted ones included.
    pub rows: Vec<Row>,
}

/// The platform's table.
#[async_trait]
pub trait Table: Send + Sync {
    /// Writes a transaction and tells its number.
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
