//! Rows of the pools' owners, as last read.
//!
//! The pattern: all hosts lose power or are killed at once, and come back within the same second. Reading the row of each
//! pool's owner ten times a second, 300 hosts with six pools would make 18,000 reads a second, three times what the store of
//! such a deployment takes. One question for changes, which the store answers when there is something new, tells a host of
//! all pools. It begins at the rows as they are, never in the past: 150 hosts that were told of all rewrites since they had
//! last asked lost the store for seconds when one owner was killed.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use log::warn;
use tokio::sync::watch;

use crate::claim::parse;
use crate::host::{Host, lock};
use crate::interfaces::StoreError;
use crate::rows::{OWNER, OwnerRow, pool_part};

/// A question for changes waits this long; then owners without a link are looked for anew.
const WAIT: Duration = Duration::from_millis(900);
/// Pause after a failed call.
const PAUSE: Duration = Duration::from_millis(120);

/// An owner's row with its version.
pub(crate) type Found = (OwnerRow, u64);

/// What is known of one owner's row.
#[derive(Clone, Debug, Default)]
pub(crate) enum Known {
    /// It has not been read.
    #[default]
    Unread,
    /// There was none when it was read.
    Absent,
    /// The row as last read.
    There(Found),
}

impl Known {
    fn is_older_than(&self, found: &Known) -> bool {
        match (self, found) {
            (_, Self::Unread) => false,
            (Self::Unread, _) | (Self::Absent, Self::There(_)) => true,
            (Self::There((_, known)), Self::There((_, version))) => known < version,
            (Self::Absent | Self::There(_), Self::Absent) => false,
        }
    }
}

impl From<Option<Found>> for Known {
    fn from(found: Option<Found>) -> Self {
        found.map_or(Self::Absent, Self::There)
    }
}

/// What is known of the owners' rows.
#[derive(Debug, Default)]
pub(crate) struct OwnerRows {
    pools: Mutex<Vec<watch::Sender<Known>>>,
}

impl OwnerRows {
    /// Tells the row of a pool's owner whenever a newer one is known.
    pub(crate) fn subscribe(&self, pool: u32) -> watch::Receiver<Known> {
        self.with(pool, watch::Sender::subscribe)
    }

    fn with<T>(&self, pool: u32, act: impl FnOnce(&watch::Sender<Known>) -> T) -> T {
        let mut pools = lock(&self.pools);
        let at = pool as usize;
        while pools.len() <= at {
            pools.push(watch::Sender::new(Known::Unread));
        }
        act(&pools[at])
    }

    /// A row was read. An older one than is known already changes nothing: reads may lag behind.
    pub(crate) fn note(&self, pool: u32, found: Option<Found>) {
        let found = Known::from(found);
        self.with(pool, |known| {
            known.send_if_modified(|known| {
                let newer = known.is_older_than(&found);
                if newer {
                    *known = found;
                }
                newer
            });
        });
    }
}

/// Reads the row of a pool's owner and notes it; tells also up to which transaction it was read.
pub(crate) async fn read(host: &Host, pool: u32) -> Option<(Option<Found>, u64)> {
    let page = host.store.list(OWNER, &pool_part(pool)).await.ok()?;
    let found = parse(&page.rows, OWNER);
    host.owner_rows.note(pool, found.clone());
    Some((found, page.version))
}

/// Reads the rows of all pools' owners; tells up to which transaction.
async fn read_all(host: &Host) -> Option<u64> {
    let mut version = u64::MAX;
    for pool in 0..host.pool_map().pool_count() {
        let (_, read) = read(host, pool).await?;
        version = version.min(read);
    }
    Some(version)
}

/// Follows the owners' rows while one of the pools has no owner that this host knows.
pub(crate) async fn follow(host: &Arc<Host>) {
    let mut after = None;
    let mut pools = 0;
    loop {
        let owner_missing = host.owner_missing.notified();
        if !host.has_unknown_owner() {
            // All that changes until then is of no interest: the rows are read anew.
            after = None;
            owner_missing.await;
            continue;
        }
        if pools != host.pool_map().pool_count() {
            after = None;
        }
        let Some(newest) = after else {
            pools = host.pool_map().pool_count();
            after = read_all(host).await;
            if after.is_none() {
                tokio::time::sleep(PAUSE).await;
            }
            continue;
        };
        match host.store.feed(OWNER, newest, WAIT).await {
            Ok(feed) => {
                after = Some(feed.version.max(newest));
                for row in &feed.rows {
                    let pool = row.part.strip_prefix("pool-");
                    let pool = pool.and_then(|pool| pool.parse().ok());
                    if let (Some(pool), Some(found)) =
                        (pool, parse(std::slice::from_ref(row), OWNER))
                    {
                        host.owner_rows.note(pool, Some(found));
                    }
                }
            }
            Err(StoreError::HistoryCompacted) => after = None,
            Err(error) => {
                warn!(error:% = error; "owners are not followed for now");
                // What was missed meanwhile may not be told any more.
                after = None;
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}
