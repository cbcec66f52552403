//! What a host needs from outside, as traits.

use std::time::Duration;

use async_trait::async_trait;
use pool::{
    Ms, Pace, StageKey, Start, StartAnswer, Stop, StopAnswer, WorkerId, WorkerInfo, WorkerReport,
};
use snafu::Snafu;

use crate::catalog::Catalog;

/// A row of the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Its table.
    pub table: String,
    /// Its part of the table.
    pub part: String,
    /// Its key.
    pub key: String,
    /// What it holds; `None` if it is not there (any more).
    pub value: Option<Vec<u8>>,
    /// The transaction that wrote it last; 0 if it was never there.
    pub version: u64,
}

/// Why a call to the store failed.
#[derive(Debug, Snafu)]
pub enum StoreError {
    /// Nothing was done.
    #[snafu(display("the store refused: {why}"))]
    Refused {
        /// What it said.
        why: String,
    },
    /// Nothing was done, and the same call will never be: it is wrong or too large.
    #[snafu(display("the store rejected: {why}"))]
    Rejected {
        /// What it said.
        why: String,
    },
    /// It may have been done, or may be done yet.
    #[snafu(display("no answer from the store: {why}"))]
    Lost {
        /// What was seen.
        why: String,
    },
    /// A condition did not hold; with the rows as they are.
    #[snafu(display("a condition did not hold"))]
    Conflict {
        /// The rows of the conditions.
        rows: Vec<Row>,
    },
    /// The history that was asked for is gone.
    #[snafu(display("the history is gone"))]
    Gone,
}

/// Conditions and writes that take effect together or not at all, within one part, and in others if `also` names any.
#[derive(Clone, Debug, Default)]
pub struct Transaction {
    /// The part that all rows are in.
    pub part: String,
    /// Table, key and version that a row must have; 0: it must not be there.
    pub checks: Vec<(String, String, u64)>,
    /// Table, key and new value.
    pub puts: Vec<(String, String, Vec<u8>)>,
    /// Table and key of rows to delete.
    pub deletes: Vec<(String, String)>,
    /// What takes effect together with it in other parts. A store may refuse that, and takes twice as long for it.
    pub also: Vec<Transaction>,
}

/// Rows as of one moment.
#[derive(Clone, Debug, Default)]
pub struct Page {
    /// The rows.
    pub rows: Vec<Row>,
    /// The newest transaction of that moment.
    pub version: u64,
    /// The key at which the next page begins; `None` if there is none.
    pub next: Option<String>,
    /// When this was the newest there was, by [`crate::clock::now`]: a reader sets it to a time that is surely not too
    /// late, since an answer may have been on its way for long.
    pub at: Ms,
}

impl Page {
    /// Adds a further page: both together are as old as the older one.
    pub fn add(&mut self, page: Self) {
        self.version = self.version.min(page.version);
        self.at = self.at.min(page.at);
        self.rows.extend(page.rows);
        self.next = page.next;
    }
}

/// Rows that changed.
pub type Feed = Page;

/// The platform's table service.
#[async_trait]
pub trait Store: Send + Sync {
    /// Writes a transaction and tells its number.
    ///
    /// # Errors
    /// What is known of it then.
    async fn commit(&self, transaction: &Transaction) -> Result<u64, StoreError>;

    /// Reads rows of a part of a table, from a key on, as many as the store tells at once.
    ///
    /// # Errors
    /// [`StoreError::Refused`] or [`StoreError::Lost`].
    async fn page(&self, table: &str, part: &str, from: &str) -> Result<Page, StoreError>;

    /// Reads all rows of a part of a table, or fails with the first page that does. What is read is as old as its oldest
    /// page; a feed that goes on from there tells the rest.
    ///
    /// # Errors
    /// [`StoreError::Refused`] or [`StoreError::Lost`].
    async fn list(&self, table: &str, part: &str) -> Result<Page, StoreError> {
        let mut all = self.page(table, part, "").await?;
        while let Some(from) = all.next.take() {
            let page = self.page(table, part, &from).await?;
            all.add(page);
        }
        Ok(all)
    }

    /// Reads one row.
    ///
    /// # Errors
    /// [`StoreError::Refused`] or [`StoreError::Lost`].
    async fn get(&self, table: &str, part: &str, key: &str) -> Result<Option<Row>, StoreError>;

    /// Waits for changes of a table after a transaction.
    ///
    /// # Errors
    /// [`StoreError::Gone`] if they can't be told any more.
    async fn feed(&self, table: &str, after: u64, wait: Duration) -> Result<Feed, StoreError>;
}

/// Why a hold failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HoldFailure {
    /// Another owner has a higher epoch there.
    Fenced,
    /// Another worker answers at that address.
    Other,
    /// Nothing answers there.
    Away,
    /// No answer.
    Lost,
}

/// The workers.
#[async_trait]
pub trait Workers: Send + Sync {
    /// Starts a task.
    async fn start(&self, address: &str, epoch: u64, start: &Start) -> StartAnswer;

    /// Stops a run.
    async fn stop(&self, address: &str, epoch: u64, stop: &Stop) -> StopAnswer;

    /// Changes the pace of a run; `true` if it was confirmed.
    async fn pace(&self, address: &str, epoch: u64, pace: &Pace) -> bool;

    /// Renews the lease (until `lease` on the worker's clock, if given), lets it forget ends up to `noted`, and lists
    /// its runs; waits up to `wait` for an end.
    ///
    /// # Errors
    /// Why there is no listing.
    async fn hold(
        &self,
        address: &str,
        worker: &WorkerId,
        epoch: u64,
        lease: Option<Ms>,
        noted: u64,
        wait: Duration,
    ) -> Result<WorkerReport, HoldFailure>;
}

/// Workers that may run a step, each with its ticket, and how long the tickets hold.
pub type Allowed = (Vec<(WorkerId, String)>, Ms);

/// The advisor.
#[async_trait]
pub trait Advisor: Send + Sync {
    /// Asks which of the workers may run a step; `None` if there is no answer.
    async fn ask(&self, stage: &StageKey, workers: &[WorkerId], takes: Duration)
    -> Option<Allowed>;
}

/// Reads what others write into the store.
pub trait Decode: Send + Sync {
    /// The configuration; `None` if it can't be read.
    fn catalog(&self, value: &[u8]) -> Option<Catalog>;

    /// A worker; `None` if the row names none.
    fn worker(&self, key: &str, value: &[u8]) -> Option<WorkerInfo>;
}
