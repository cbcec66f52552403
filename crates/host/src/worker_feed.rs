//! Changes of the table of workers, which one owner reads for all.
//!
//! The row of a worker changes with each of its heartbeats, and a poll of the store returns the changes of a whole table. If the
//! owner of each pool read all of them, the bytes would grow with the number of workers times the number of pools. So the owner of
//! pool 0 alone follows the table. It passes on to the other owners the rows that say more than that their workers are alive,
//! which are few.
//!
//! Each [`WorkerChanges`] names the transactions between which it holds all changes, so a gap is noticed. An owner polls the
//! store itself to close a gap, and as long as it isn't certain that what it was told is recent: the reader may have failed, may
//! have lost the store, or may be slow.

use std::hash::{Hash as _, Hasher as _};
use std::sync::Arc;
use std::time::Duration;

use pool::Ms;
use rustc_hash::{FxHashMap, FxHasher};
use serde::{Deserialize, Serialize};
use tokio::sync::broadcast;
use tokio::time::{Instant, timeout_at};

use crate::follow::{Change, Cursor, PollTiming, is_full};
use crate::interfaces::{Decode, Feed, Page, Row, Store};

/// An owner relies on the reader while what it was told is certain to have been true this recently. It covers a batch every 350 ms
/// and the heartbeat that the batch refers to, with one of each lost.
const MAX_AGE: Ms = 1_400;
/// A worker whose row hasn't changed for this many of its heartbeats is passed on with its next row. Its entry expires after three and
/// may have been away: an owner that saw it removed has to learn that it is back, although the reader saw no difference.
const MAX_SILENT_HEARTBEATS: u32 = 2;

/// Changes of the table of workers beyond heartbeats.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerChanges {
    /// The transaction after which they begin.
    pub after: u64,
    /// The transaction up to which they are complete.
    pub up_to: u64,
    /// Time since they were certain to be up to date, in milliseconds.
    pub age: Ms,
    /// Time at which the receiving host sent the last heartbeat that the reader has received, on that host's clock; 0 if there
    /// was none. What the reader knew was true after that, however long the message takes.
    pub echoed_at: Ms,
    /// The changed rows.
    pub rows: Vec<ChangedRow>,
}

/// A changed row of the table of workers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangedRow {
    /// Id of the worker.
    pub key: String,
    /// The transaction that wrote the row.
    pub version: u64,
    /// Content; empty if it can't be decoded, `None` if the row was removed.
    pub value: Option<String>,
}

impl WorkerChanges {
    /// Latest time, on the receiving host's clock, at which an owner that has applied them is certain to have been up to date.
    fn certain_at(&self) -> Ms {
        self.echoed_at.saturating_sub(self.age)
    }

    /// The rows that are newer than this transaction, as rows of `table`.
    fn rows_after(&self, version: u64, table: &str) -> Vec<Row> {
        let newer = self.rows.iter().filter(|row| row.version > version);
        newer
            .map(|row| Row {
                table: table.to_owned(),
                part: String::new(),
                key: row.key.clone(),
                value: row.value.clone().map(String::into_bytes),
                version: row.version,
            })
            .collect()
    }
}

/// What is known of a worker's row.
#[derive(Clone, Copy, Debug)]
struct KnownRow {
    /// Digest of what owners go by.
    digest: u64,
    /// When the row changed last.
    changed_at: Ms,
}

/// Finds the rows that say more than that their workers are alive.
#[derive(Debug)]
pub struct ChangeFilter {
    /// A worker that was silent for longer is passed on with its next row.
    max_silence: Ms,
    known: FxHashMap<String, KnownRow>,
    /// The transaction up to which changes were filtered; `None` if no page was.
    version: Option<u64>,
}

impl ChangeFilter {
    /// Creates a filter for workers with this time between two heartbeats.
    #[must_use]
    pub fn new(heartbeat: Duration) -> Self {
        Self {
            max_silence: (heartbeat * MAX_SILENT_HEARTBEATS).as_millis() as Ms,
            known: FxHashMap::default(),
            version: None,
        }
    }

    /// Continues after a transaction as of which all rows were read. The next changes don't include those up to it.
    pub fn skip_to(&mut self, version: u64) {
        self.version = self.version.max(Some(version));
    }

    /// The changes of an answer of the store that was received at `now`; `None` if it isn't known after which transaction they
    /// begin.
    pub fn filter(&mut self, now: Ms, feed: &Feed, decode: &dyn Decode) -> Option<WorkerChanges> {
        let after = self.version?;
        let up_to = feed.version.max(after);
        self.version = Some(up_to);
        let rows = feed
            .rows
            .iter()
            .filter_map(|row| self.filter_row(now, row, decode));
        let rows = rows.collect();
        // An answer that is full says nothing about later changes.
        let age = if is_full(feed) {
            Ms::MAX
        } else {
            now.saturating_sub(feed.at)
        };
        Some(WorkerChanges {
            after,
            up_to,
            age,
            echoed_at: 0,
            rows,
        })
    }

    fn filter_row(&mut self, now: Ms, row: &Row, decode: &dyn Decode) -> Option<ChangedRow> {
        let changed = |value| ChangedRow {
            key: row.key.clone(),
            version: row.version,
            value,
        };
        let Some(value) = row.value.as_deref() else {
            self.known.remove(&row.key);
            return Some(changed(None));
        };
        let info = decode.worker(&row.key, value);
        let mut hasher = FxHasher::default();
        info.hash(&mut hasher);
        let found = KnownRow {
            digest: hasher.finish(),
            changed_at: now,
        };
        let before = self.known.insert(row.key.clone(), found);
        let is_heartbeat = before.is_some_and(|before| {
            before.digest == found.digest
                && now.saturating_sub(before.changed_at) <= self.max_silence
        });
        if is_heartbeat {
            return None;
        }
        let text = info.and_then(|_| String::from_utf8(value.to_vec()).ok());
        Some(changed(Some(text.unwrap_or_default())))
    }
}

/// Follows the table of workers from the transaction `from` on, by what the reader passes on as long as that is recent, and by
/// polls of the store otherwise. Passes each change to `apply`. `now` is the clock of [`WorkerChanges::echoed_at`].
pub async fn follow_reader(
    store: &dyn Store,
    table: &str,
    from: u64,
    mut passed_on: broadcast::Receiver<Arc<WorkerChanges>>,
    timing: PollTiming,
    now: impl Fn() -> Ms,
    mut apply: impl FnMut(Change),
) {
    let parts = [String::new()];
    let mut cursor = Cursor::new(store, table, &parts, Some(from), timing);
    let mut rely_until = Instant::now();
    loop {
        match timeout_at(rely_until, passed_on.recv()).await {
            // An older batch is of no use, but a later one may follow it without a gap.
            Ok(Ok(changes)) if changes.up_to < cursor.newest() => {}
            Ok(Ok(changes)) if changes.after <= cursor.newest() => {
                let rows = changes.rows_after(cursor.newest(), table);
                cursor.advance(changes.up_to);
                let left = (changes.certain_at() + MAX_AGE).saturating_sub(now());
                rely_until = rely_until.max(Instant::now() + Duration::from_millis(left));
                if !rows.is_empty() {
                    apply(Change::Update(Page {
                        rows,
                        version: changes.up_to,
                        at: changes.certain_at().min(now()),
                        ..Page::default()
                    }));
                }
            }
            // There is a gap, or what was passed on isn't recent.
            Ok(Ok(_) | Err(_)) | Err(_) => {
                let pause = cursor.poll(&mut apply).await;
                rely_until = Instant::now() + pause;
            }
        }
    }
}
