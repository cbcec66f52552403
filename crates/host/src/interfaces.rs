//! External interfaces of a host: store, workers, advisor and decoding of foreign rows.

use std::fmt;
use std::time::Duration;

use async_trait::async_trait;
use pool::{
    Ms, Pace, StageKey, Start, StartAnswer, Stop, StopAnswer, WorkerId, WorkerInfo, WorkerReport,
};
use snafu::Snafu;

use crate::catalog::Catalog;
use crate::invalid_catalog::InvalidCatalog;

/// A row of the store.
#[derive(Clone, PartialEq)]
pub struct Row {
    /// The table that it is in.
    pub table: String,
    /// The part of the table that it is in.
    pub part: String,
    /// Key, unique within its part of the table.
    pub key: String,
    /// Content; `None` if the row doesn't exist or was deleted.
    pub value: Option<Vec<u8>>,
    /// The transaction that wrote the row last; 0 if it never existed.
    pub version: u64,
}

impl fmt::Debug for Row {
    /// Shows only the length of the value, which may contain keys of customers.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Row")
            .field("table", &self.table)
            .field("part", &self.part)
            .field("key", &self.key)
            .field("value_bytes", &self.value.as_ref().map(Vec::len))
            .field("version", &self.version)
            .finish()
    }
}

/// Why a call to the store failed.
#[derive(Debug, Snafu)]
pub enum StoreError {
    /// The call had no effect, and may be repeated.
    #[snafu(display("the store refused the call: {why}"))]
    Refused {
        /// Reason given by the store.
        why: String,
    },
    /// The call had no effect, and will be rejected whenever it is repeated: it is invalid or too large.
    #[snafu(display("the store rejected the call: {why}"))]
    Rejected {
        /// Reason given by the store.
        why: String,
    },
    /// The call may have taken effect, or may still do so.
    #[snafu(display("no answer from the store: {why}"))]
    Lost {
        /// What was seen instead of an answer.
        why: String,
    },
    /// A condition of the transaction did not hold.
    #[snafu(display("a condition of the transaction did not hold"))]
    Conflict {
        /// Present versions of the rows of the conditions.
        rows: Vec<Row>,
    },
    /// The store no longer has the requested history.
    #[snafu(display("the store no longer has the requested history"))]
    HistoryCompacted,
}

/// Conditions and writes that take effect atomically, within one part, and in further parts if `other_parts` names any.
#[derive(Clone, Debug, Default)]
pub struct Transaction {
    /// The part that all rows are in.
    pub part: String,
    /// Conditions: table, key and the version that the row must have, or 0 if it must not exist.
    pub checks: Vec<(String, String, u64)>,
    /// Writes: table, key and new value.
    pub puts: Vec<(String, String, Vec<u8>)>,
    /// Deletions: table and key.
    pub deletes: Vec<(String, String)>,
    /// Conditions and writes in other parts. A store may refuse transactions over several parts, and takes twice as long for
    /// them.
    pub other_parts: Vec<Transaction>,
}

/// Rows as of one version of the store.
#[derive(Clone, Debug, Default)]
pub struct Page {
    /// The rows; in a feed, the newest last.
    pub rows: Vec<Row>,
    /// The newest transaction that the rows reflect.
    pub version: u64,
    /// Key at which the next page begins; `None` on the last page.
    pub next: Option<String>,
    /// Latest time, by [`crate::clock::now`], at which the page is certain to have been up to date. Readers set it, since an
    /// answer may have been in transit for long.
    pub at: Ms,
}

impl Page {
    /// Appends a further page. The result has the version and time of the older of the two.
    pub fn add(&mut self, page: Self) {
        self.version = self.version.min(page.version);
        self.at = self.at.min(page.at);
        self.rows.extend(page.rows);
        self.next = page.next;
    }
}

/// Changed rows.
pub type Feed = Page;

/// The platform's table service.
#[async_trait]
pub trait Store: Send + Sync {
    /// Commits a transaction and returns its version.
    ///
    /// # Errors
    /// What is known of its effect; see [`StoreError`].
    async fn commit(&self, transaction: &Transaction) -> Result<u64, StoreError>;

    /// Reads one page of the rows of a part of a table, starting at the key `from`.
    ///
    /// # Errors
    /// [`StoreError::Refused`] or [`StoreError::Lost`].
    async fn page(&self, table: &str, part: &str, from: &str) -> Result<Page, StoreError>;

    /// Reads all rows of a part of a table, or fails with the first page that does. The result has the version of its oldest
    /// page; a feed from that version on delivers the changes since.
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

    /// Returns the changes of a table since the transaction `after`; waits up to `wait` for the first one.
    ///
    /// # Errors
    /// [`StoreError::HistoryCompacted`] if the store no longer has all of them; [`StoreError::Refused`] or [`StoreError::Lost`].
    async fn feed(&self, table: &str, after: u64, wait: Duration) -> Result<Feed, StoreError>;
}

/// Why a poll of a worker failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PollFailure {
    /// The worker has seen an owner with a higher epoch.
    Fenced,
    /// Another worker answered at the address.
    Other,
    /// The address could not be reached.
    Away,
    /// The call was sent but not answered.
    Lost,
}

/// Ends of runs that a worker may forget, because they are stored.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Acknowledgement {
    /// Incarnation of the worker that numbered these ends, in Unix milliseconds; 0 if not reported.
    pub incarnation: u64,
    /// Number of the last of them; 0 for none.
    pub last_end: u64,
}

/// The reply to a start command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StartReply {
    /// The outcome.
    pub answer: StartAnswer,
    /// The clock of the incarnation that replied, if the reply shows it.
    pub clock: Option<Ms>,
}

impl From<StartAnswer> for StartReply {
    fn from(answer: StartAnswer) -> Self {
        Self {
            answer,
            clock: None,
        }
    }
}

/// Calls to workers.
#[async_trait]
pub trait Workers: Send + Sync {
    /// Starts a task on the incarnation that the command names, and on no other: its deadline is a time on the clock of that
    /// incarnation. A task that may have crashed workers starts only on one that has answered right before.
    ///
    /// Where connections outlive an incarnation, the start may reach the next one; the clock of the reply shows what lease that one has.
    async fn start(&self, address: &str, epoch: u64, start: &Start) -> StartReply;

    /// Stops a run.
    async fn stop(&self, address: &str, epoch: u64, stop: &Stop) -> StopAnswer;

    /// Changes the pace of a run; `true` if the worker confirmed it.
    async fn pace(&self, address: &str, epoch: u64, pace: &Pace) -> bool;

    /// Long poll of a worker: renews its lease (until `lease` on the worker's clock, if given), lets it discard the ends of runs
    /// that are `acknowledged`, and returns its runs; waits up to `wait` for the end of a run.
    ///
    /// The lease and the acknowledgement reach only the incarnation that the acknowledgement names. Another one has a clock of its
    /// own, on which the lease may end much later, and numbers its ends from the start, so it would discard ends that nobody has read.
    /// Where it is uncertain which incarnation receives the poll, the poll requests no lease and acknowledges nothing.
    ///
    /// # Errors
    /// Why there is no listing.
    async fn poll(
        &self,
        address: &str,
        worker: &WorkerId,
        epoch: u64,
        lease: Option<Ms>,
        acknowledged: Acknowledgement,
        wait: Duration,
    ) -> Result<WorkerReport, PollFailure>;
}

/// Workers that may run a step, each with its ticket, and how long the tickets are valid.
pub type Tickets = (Vec<(WorkerId, String)>, Ms);

/// The advisor, which decides which workers may run a step.
#[async_trait]
pub trait Advisor: Send + Sync {
    /// Returns those of the workers that may run a step; `None` if the advisor didn't answer.
    async fn query(
        &self,
        stage: &StageKey,
        workers: &[WorkerId],
        expected_duration: Duration,
    ) -> Option<Tickets>;
}

/// Decodes rows that other systems write into the store.
pub trait Decode: Send + Sync {
    /// Decodes the configuration.
    ///
    /// # Errors
    /// Why it can't be used. The error contains no key.
    fn catalog(&self, value: &[u8]) -> Result<Catalog, InvalidCatalog>;

    /// Decodes the row of a worker; `None` if the row doesn't describe one.
    fn worker(&self, key: &str, value: &[u8]) -> Option<WorkerInfo>;
}
