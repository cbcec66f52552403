//! Following the changes of a table of the store, and reading whole tables.

use std::collections::VecDeque;
use std::time::Duration;

use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use log::{info, warn};
use pool::Ms;

use crate::clock;
use crate::interfaces::{Feed, Page, Store, StoreError};

/// A page of changes with at least this many rows is taken as full; the store returns up to 500 rows at a time. The next poll
/// follows a full page at once, or a table that changes fast would outpace a follower that pauses after each page.
const FULL_PAGE_ROWS: usize = 450;
/// Age of an answer above which the next poll doesn't wait for changes.
const LATE_ANSWER: Ms = 300;
/// Initial number of concurrent reads of a table: enough to hide the round trip between regions.
const INITIAL_CONCURRENT_READS: usize = 32;
/// Maximum number of concurrent reads of a table.
const MAX_CONCURRENT_READS: usize = 64;
/// Minimum number of concurrent reads after failures: one that waits for its timeout must not delay all others.
const MIN_CONCURRENT_READS: usize = 2;
/// Initial delay of reads after a failed one; doubled after each further round of failures until one succeeds.
const MIN_READ_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Upper bound of that delay, and so of the time until a reader notices that the store is back.
const MAX_READ_RETRY_DELAY: Duration = Duration::from_millis(320);

/// Timing of the polls of a follower. Each poll counts as a call to the store.
#[derive(Clone, Copy, Debug)]
pub struct PollTiming {
    /// How long a poll waits for changes. A dead connection is noticed only when no answer arrives soon after this time, so it
    /// bounds how long a change may go unseen.
    pub wait: Duration,
    /// Pause after an answer with changes, which bounds the rate of polls of a table that changes all the time.
    pub pause: Duration,
    /// Pause after a failed poll.
    pub retry: Duration,
}

impl Default for PollTiming {
    fn default() -> Self {
        Self {
            wait: Duration::from_millis(900),
            pause: Duration::ZERO,
            retry: Duration::from_millis(120),
        }
    }
}

impl PollTiming {
    /// Sets how long a poll waits for changes.
    #[must_use]
    pub fn wait(self, wait: Duration) -> Self {
        Self { wait, ..self }
    }

    /// Sets the pause after an answer with changes.
    #[must_use]
    pub fn pause(self, pause: Duration) -> Self {
        Self { pause, ..self }
    }

    /// Sets the pause after a failed poll.
    #[must_use]
    pub fn retry(self, retry: Duration) -> Self {
        Self { retry, ..self }
    }
}

/// What a follower receives.
#[derive(Debug)]
pub enum Change {
    /// All rows of the followed parts; rows that are not listed don't exist.
    Snapshot(Page),
    /// Rows that changed, the newest last.
    Update(Feed),
    /// The store did not answer or refused.
    Failed(StoreError),
}

/// Follows parts of a table without end and passes each change to `apply`. Without a version `from` to start at, and when the
/// store no longer has the history since the last change, it reads all rows.
///
/// After a failure the next poll doesn't wait for changes, since any answer shows that the store is back. With a poll that waits,
/// hosts refused callers for one to two seconds after the end of an outage.
///
/// Reads may be stale while the store compacts its history. A list that is older than changes passed on before is read again, so
/// that `apply` never receives older rows after newer ones.
pub async fn follow(
    store: &dyn Store,
    table: &str,
    parts: &[String],
    from: Option<u64>,
    timing: PollTiming,
    mut apply: impl FnMut(Change),
) {
    let mut cursor = Cursor::new(store, table, parts, from, timing);
    loop {
        let pause = cursor.poll(&mut apply).await;
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
    }
}

/// Position of a follower in the changes of a table.
pub(crate) struct Cursor<'a> {
    store: &'a dyn Store,
    table: &'a str,
    parts: &'a [String],
    timing: PollTiming,
    /// The newest transaction whose changes were passed on.
    newest: u64,
    /// All rows as of some transaction are known, so changes since then are sufficient.
    listed: bool,
    /// How long the next poll waits for changes.
    wait: Duration,
}

impl<'a> Cursor<'a> {
    /// Creates a cursor at the transaction `from`. Without one, the first poll reads all rows.
    pub(crate) fn new(
        store: &'a dyn Store,
        table: &'a str,
        parts: &'a [String],
        from: Option<u64>,
        timing: PollTiming,
    ) -> Self {
        // Rows that the caller has read already may be old, so the first poll returns at once.
        let wait = from.map_or(timing.wait, |_| Duration::ZERO);
        Self {
            store,
            table,
            parts,
            timing,
            newest: from.unwrap_or(0),
            listed: from.is_some(),
            wait,
        }
    }

    /// Changes the timing from the next poll on.
    pub(crate) fn set_timing(&mut self, timing: PollTiming) {
        if !self.wait.is_zero() {
            self.wait = timing.wait;
        }
        self.timing = timing;
    }

    /// The newest transaction whose changes were passed on.
    pub(crate) fn newest(&self) -> u64 {
        self.newest
    }

    /// Skips the changes up to this transaction, which the caller has received from elsewhere.
    pub(crate) fn advance(&mut self, version: u64) {
        self.newest = self.newest.max(version);
    }

    /// Polls the store once and passes on what it answers; returns the pause until the next poll.
    pub(crate) async fn poll(&mut self, apply: &mut impl FnMut(Change)) -> Duration {
        if !self.listed {
            let page = read(self.store, self.table, self.parts, self.newest).await;
            self.newest = page.version;
            apply(Change::Snapshot(page));
            self.listed = true;
        }
        let sent_at = clock::now();
        match self.store.feed(self.table, self.newest, self.wait).await {
            Ok(mut feed) => {
                self.newest = self.newest.max(feed.version);
                let full = is_full(&feed);
                feed.at = known_at(sent_at, self.wait, &feed);
                // After an answer that took long, an immediate poll confirms sooner that nothing has changed since.
                let late = clock::now().saturating_sub(feed.at) > LATE_ANSWER;
                self.wait = if late {
                    Duration::ZERO
                } else {
                    self.timing.wait
                };
                feed.rows.retain(|row| self.parts.contains(&row.part));
                let pause = if feed.rows.is_empty() || full {
                    Duration::ZERO
                } else {
                    self.timing.pause
                };
                apply(Change::Update(feed));
                pause
            }
            Err(StoreError::HistoryCompacted) => {
                self.listed = false;
                Duration::ZERO
            }
            Err(error) => {
                self.wait = Duration::ZERO;
                apply(Change::Failed(error));
                self.timing.retry
            }
        }
    }
}

/// Whether there may be more changes than an answer to a poll holds.
pub(crate) fn is_full(feed: &Feed) -> bool {
    feed.rows.len() >= FULL_PAGE_ROWS
}

/// Latest time at which the answer to a poll made at `sent_at` is certain to have been up to date. An answer without changes was
/// given at the end of the wait, any other at an unknown time since `sent_at`.
fn known_at(sent_at: Ms, wait: Duration, feed: &Feed) -> Ms {
    let waited = if feed.rows.is_empty() {
        wait.as_millis() as Ms
    } else {
        0
    };
    (sent_at + waited).min(clock::now())
}

/// Reads all rows of parts of a table, none of them older than the transaction `min_version`. The result carries the version and
/// time of the oldest page.
///
/// Each page is retried until it has been read. If the store fails some calls, or the network loses some packets, at least one of
/// sixty reads nearly always fails; when that restarted all of them, a takeover took 1.5 s longer. The number of concurrent reads
/// goes down after a failure and up after an answer, since a link of low bandwidth can't carry many at once.
pub async fn read(store: &dyn Store, table: &str, parts: &[String], min_version: u64) -> Page {
    let mut all = Page {
        version: u64::MAX,
        at: Ms::MAX,
        ..Page::default()
    };
    read_each(store, table, parts, min_version, |page| all.add(page)).await;
    all
}

/// Like [`read`], but passes each page to `apply` as soon as it has been read.
pub async fn read_each(
    store: &dyn Store,
    table: &str,
    parts: &[String],
    min_version: u64,
    mut apply: impl FnMut(Page),
) {
    let first_page = |part| (part, String::new());
    let mut remaining: VecDeque<(&String, String)> = parts.iter().map(first_page).collect();
    let mut max_reads = INITIAL_CONCURRENT_READS;
    let mut delay = Duration::ZERO;
    let mut reads = FuturesUnordered::new();
    loop {
        while reads.len() < max_reads
            && let Some((part, from)) = remaining.pop_front()
        {
            reads.push(async move {
                tokio::time::sleep(delay).await;
                let sent_at = clock::now();
                let page = store.page(table, part, &from).await;
                (
                    part,
                    from,
                    delay,
                    page.map(|page| Page {
                        at: sent_at,
                        ..page
                    }),
                )
            });
        }
        let Some((part, from, used_delay, page)) = reads.next().await else {
            return;
        };
        match page {
            Ok(page) if page.version >= min_version => {
                max_reads = (max_reads + 1).min(MAX_CONCURRENT_READS);
                delay = Duration::ZERO;
                let next = page.next.clone();
                apply(page);
                if let Some(next) = next {
                    remaining.push_front((part, next));
                }
                continue;
            }
            Ok(page) => {
                info!(table = table, part = part.as_str(), version = page.version, least = min_version; "page is older than required; reading it again");
            }
            Err(error) => {
                warn!(table = table, part = part.as_str(), error:% = error; "read of a page failed; retrying");
                max_reads = (max_reads / 2).max(MIN_CONCURRENT_READS);
            }
        }
        remaining.push_back((part, from));
        // Concurrent reads that fail together increase the delay once.
        if used_delay == delay {
            delay = (delay * 2).clamp(MIN_READ_RETRY_DELAY, MAX_READ_RETRY_DELAY);
        }
    }
}
