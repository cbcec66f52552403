//! How a table of the store is followed.

use std::collections::VecDeque;
use std::time::Duration;

use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use log::{info, warn};
use pool::Ms;

use crate::clock;
use crate::outside::{Feed, Page, Store, StoreError};

/// An answer with as many rows as this is taken for a full one: the store tells 500 rows at a time. It is followed by the
/// next question at once: a large table may change faster than it is told with a pause after each answer.
const FULL: usize = 450;
/// Age of an answer from which on the next one is asked for without a wait.
const LATE_ANSWER_MS: Ms = 300;
/// Reads that are under way at once when a table is read, at first: enough for the way between regions.
const READS_FIRST: usize = 32;
/// The same at most.
const READS_MOST: usize = 64;
/// The same after failures: one that waits for its time-out must not hold up all others.
const READS_LEAST: usize = 2;
/// Pause of all reads after one that failed; twice as long after each further round of failures until one succeeds.
const READ_RETRY_FIRST: Duration = Duration::from_millis(20);
/// The same at most: this much later than it could a reader notices that the store is back.
const READ_RETRY_MOST: Duration = Duration::from_millis(320);

/// How often a follower asks. Each question is a call that the store counts.
#[derive(Clone, Copy, Debug)]
pub struct Rhythm {
    /// A question for changes waits this long. A connection that has gone silent shows when no answer comes soon after, so
    /// this bounds how long a change may go unseen.
    pub wait: Duration,
    /// Pause after an answer with changes: a table that changes all the time would be asked about all the time.
    pub pause: Duration,
    /// Pause after a failed call.
    pub retry: Duration,
}

impl Default for Rhythm {
    fn default() -> Self {
        Self {
            wait: Duration::from_millis(900),
            pause: Duration::ZERO,
            retry: Duration::from_millis(120),
        }
    }
}

impl Rhythm {
    /// With this longest wait for changes.
    #[must_use]
    pub fn wait(self, wait: Duration) -> Self {
        Self { wait, ..self }
    }

    /// With this pause after changes.
    #[must_use]
    pub fn pause(self, pause: Duration) -> Self {
        Self { pause, ..self }
    }

    /// With this pause after a failed call.
    #[must_use]
    pub fn retry(self, retry: Duration) -> Self {
        Self { retry, ..self }
    }
}

/// What a follower learns.
#[derive(Debug)]
pub enum Change {
    /// All rows as they are: what isn't among them is not there.
    All(Page),
    /// Rows that changed, the newest last.
    Some(Feed),
    /// The store did not answer or refused.
    Failed(StoreError),
}

/// Follows parts of a table for good and tells each change. It starts anew from all rows when the history is gone.
///
/// After a failure it asks for what there is now, without waiting for changes: the answer tells that the store is back.
/// A host that waited for a change refused callers for one to two seconds after an outage had ended.
///
/// Reads may lag behind while the store compacts its history: a list that is older than what was seen already is read
/// again, so that nothing older is ever told after something newer.
pub async fn follow(
    store: &dyn Store,
    table: &str,
    parts: &[String],
    from: Option<u64>,
    rhythm: Rhythm,
    mut tell: impl FnMut(Change),
) {
    let mut newest = from.unwrap_or(0);
    let mut listed = from.is_some();
    // What is known already may be old.
    let mut wait = if listed { Duration::ZERO } else { rhythm.wait };
    loop {
        if !listed {
            let page = read(store, table, parts, newest).await;
            newest = page.version;
            tell(Change::All(page));
            listed = true;
        }
        let asked = clock::now();
        match store.feed(table, newest, wait).await {
            Ok(mut feed) => {
                newest = newest.max(feed.version);
                let full = feed.rows.len() >= FULL;
                feed.at = known_at(asked, wait, &feed);
                // After an answer that took long a short one tells that nothing has changed since.
                let late = clock::now().saturating_sub(feed.at) > LATE_ANSWER_MS;
                wait = if late { Duration::ZERO } else { rhythm.wait };
                feed.rows.retain(|row| parts.contains(&row.part));
                let any = !feed.rows.is_empty();
                tell(Change::Some(feed));
                if any && !full && !rhythm.pause.is_zero() {
                    tokio::time::sleep(rhythm.pause).await;
                }
            }
            Err(StoreError::Gone) => listed = false,
            Err(error) => {
                wait = Duration::ZERO;
                tell(Change::Failed(error));
                tokio::time::sleep(rhythm.retry).await;
            }
        }
    }
}

/// When an answer for changes was the newest there was, if it was asked for at this time. One that tells of nothing was
/// given when the wait was over, any other at some time since it was asked for.
fn known_at(asked: Ms, wait: Duration, feed: &Feed) -> Ms {
    let waited = if feed.rows.is_empty() {
        wait.as_millis() as Ms
    } else {
        0
    };
    (asked + waited).min(clock::now())
}

/// Reads all rows of parts of a table, as of the oldest moment among them, but not before the transaction `least`.
///
/// Each page is read until it is there. A store that fails a part of all calls, or a line that loses a part of all packets,
/// fails some of sixty reads nearly always: begun anew each time, a takeover took 1.5 s longer. Fewer are under way after a
/// failure and more after an answer, since a thin line has no room for many at once.
pub async fn read(store: &dyn Store, table: &str, parts: &[String], least: u64) -> Page {
    let mut all = Page {
        version: u64::MAX,
        at: Ms::MAX,
        ..Page::default()
    };
    read_each(store, table, parts, least, |page| all.add(page)).await;
    all
}

/// The same, and tells each page when it is there.
pub async fn read_each(
    store: &dyn Store,
    table: &str,
    parts: &[String],
    least: u64,
    mut tell: impl FnMut(Page),
) {
    let first = |part| (part, String::new());
    let mut left: VecDeque<(&String, String)> = parts.iter().map(first).collect();
    let mut most = READS_FIRST;
    let mut pause = Duration::ZERO;
    let mut reads = FuturesUnordered::new();
    loop {
        while reads.len() < most
            && let Some((part, from)) = left.pop_front()
        {
            reads.push(async move {
                tokio::time::sleep(pause).await;
                let asked = clock::now();
                let page = store.page(table, part, &from).await;
                (
                    part,
                    from,
                    pause,
                    page.map(|page| Page { at: asked, ..page }),
                )
            });
        }
        let Some((part, from, paused, page)) = reads.next().await else {
            return;
        };
        match page {
            Ok(page) if page.version >= least => {
                most = (most + 1).min(READS_MOST);
                pause = Duration::ZERO;
                let next = page.next.clone();
                tell(page);
                if let Some(next) = next {
                    left.push_front((part, next));
                }
                continue;
            }
            Ok(page) => {
                info!(table = table, part = part.as_str(), version = page.version, least = least; "what was read is too old");
            }
            Err(error) => {
                warn!(table = table, part = part.as_str(), error:% = error; "can't be read yet");
                most = (most / 2).max(READS_LEAST);
            }
        }
        left.push_back((part, from));
        // Reads that were under way together count once.
        if paused == pause {
            pause = (pause * 2).clamp(READ_RETRY_FIRST, READ_RETRY_MOST);
        }
    }
}
