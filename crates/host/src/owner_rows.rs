//! The rows of the pools' owners, as last read from the store.
//!
//! All hosts may lose power or be killed at once and restart within the same second. If each of 300 hosts read the rows of six
//! owners ten times a second, that would make 18,000 reads a second, three times what the store of such a deployment
//! takes. So a host makes one long poll for changes of all these rows, which the store answers when there is something new. The
//! poll starts from the present rows, never from an earlier version: when one owner was killed, 150 hosts that received all
//! rewrites since their last poll lost the store for seconds.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use log::warn;
use tokio::sync::watch;

use crate::claim::parse;
use crate::host::{Host, lock};
use crate::interfaces::StoreError;
use crate::rows::{OWNER, OwnerRow, pool_part};

/// Longest wait of a long poll for changes; after it, the loop checks again which owners are unknown.
const POLL_WAIT: Duration = Duration::from_millis(900);
/// Maximum number of concurrent reads of owners' rows.
const MAX_CONCURRENT_READS: usize = 4;
/// Pause after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_millis(120);

/// An owner's row with its version.
pub(crate) type VersionedRow = (OwnerRow, u64);

/// What is known about one owner's row.
#[derive(Clone, Debug, Default)]
pub(crate) enum KnownRow {
    /// It has not been read yet.
    #[default]
    Unread,
    /// It did not exist when it was read.
    Absent,
    /// The row as last read.
    Present(VersionedRow),
}

impl KnownRow {
    fn is_older_than(&self, found: &KnownRow) -> bool {
        match (self, found) {
            (_, Self::Unread) => false,
            (Self::Unread, _) | (Self::Absent, Self::Present(_)) => true,
            (Self::Present((_, known)), Self::Present((_, version))) => known < version,
            (Self::Absent | Self::Present(_), Self::Absent) => false,
        }
    }
}

impl From<Option<VersionedRow>> for KnownRow {
    fn from(found: Option<VersionedRow>) -> Self {
        found.map_or(Self::Absent, Self::Present)
    }
}

/// What is known about the owners' rows of all pools.
#[derive(Debug, Default)]
pub(crate) struct OwnerRows {
    pools: Mutex<Vec<watch::Sender<KnownRow>>>,
}

impl OwnerRows {
    /// Returns a receiver that is notified whenever a newer row of a pool's owner is known.
    pub(crate) fn subscribe(&self, pool: u32) -> watch::Receiver<KnownRow> {
        self.with(pool, watch::Sender::subscribe)
    }

    fn with<T>(&self, pool: u32, act: impl FnOnce(&watch::Sender<KnownRow>) -> T) -> T {
        let mut pools = lock(&self.pools);
        let index = pool as usize;
        while pools.len() <= index {
            pools.push(watch::Sender::new(KnownRow::Unread));
        }
        act(&pools[index])
    }

    /// Records a row that was read. A row older than the known one is ignored, since reads may return old data.
    pub(crate) fn record(&self, pool: u32, found: Option<VersionedRow>) {
        let found = KnownRow::from(found);
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

/// Reads and records the row of a pool's owner; returns it with the transaction as of which it was read.
pub(crate) async fn read(host: &Host, pool: u32) -> Option<(Option<VersionedRow>, u64)> {
    let page = host.store.list(OWNER, &pool_part(pool)).await.ok()?;
    let found = parse(&page.rows, OWNER);
    host.owner_rows.record(pool, found.clone());
    Some((found, page.version))
}

/// Reads and records the rows of these pools' owners; returns the oldest transaction as of which one of them was read. The first
/// read goes alone, so that a store that is away gets one call of each host rather than one for each pool.
async fn read_all(host: &Host, pools: &[u32]) -> Option<u64> {
    let (first, others) = pools.split_first()?;
    let (_, mut version) = read(host, *first).await?;
    for group in others.chunks(MAX_CONCURRENT_READS) {
        let mut reads = FuturesUnordered::new();
        for &pool in group {
            reads.push(read(host, pool));
        }
        while let Some(read) = reads.next().await {
            version = version.min(read?.1);
        }
    }
    Some(version)
}

/// Pools whose owner this host doesn't know and whose rows it hasn't read since it began to follow them.
fn unread_pools(host: &Host, followed: &[u32]) -> Vec<u32> {
    let mut unknown = host.pools_without_known_owner();
    unknown.retain(|pool| !followed.contains(pool));
    unknown
}

/// Waits until there is such a pool. A poll for changes must not delay the first read of its row.
async fn wait_for_unread_pool(host: &Host, followed: &[u32]) {
    loop {
        let owner_missing = host.owner_missing.notified();
        if !unread_pools(host, followed).is_empty() {
            return;
        }
        owner_missing.await;
    }
}

/// Follows the owners' rows as long as there is a pool whose owner this host doesn't know. Only the rows of such pools are read: if
/// one owner is lost, the calls don't grow with the number of pools.
pub(crate) async fn follow(host: &Arc<Host>) {
    let mut after: Option<u64> = None;
    let mut followed: Vec<u32> = Vec::new();
    loop {
        let owner_missing = host.owner_missing.notified();
        if host.pools_without_known_owner().is_empty() {
            // Changes until then don't matter, since the rows are read again.
            after = None;
            owner_missing.await;
            continue;
        }
        if after.is_none() {
            followed.clear();
        }
        let unread = unread_pools(host, &followed);
        if !unread.is_empty() {
            match read_all(host, &unread).await {
                Some(version) => {
                    after = Some(after.map_or(version, |after| version.min(after)));
                    followed.extend(unread);
                }
                None => tokio::time::sleep(RETRY_DELAY).await,
            }
            continue;
        }
        let Some(newest) = after else { continue };
        let polled = tokio::select! {
            polled = host.store.feed(OWNER, newest, POLL_WAIT) => polled,
            () = wait_for_unread_pool(host, &followed) => continue,
        };
        match polled {
            Ok(feed) => {
                after = Some(feed.version.max(newest));
                for row in &feed.rows {
                    let pool = row.part.strip_prefix("pool-");
                    let pool = pool.and_then(|pool| pool.parse().ok());
                    if let (Some(pool), Some(found)) =
                        (pool, parse(std::slice::from_ref(row), OWNER))
                    {
                        host.owner_rows.record(pool, Some(found));
                    }
                }
            }
            Err(StoreError::HistoryCompacted) => after = None,
            Err(error) => {
                warn!(error:% = error; "following owner rows failed; retrying");
                // The feed may no longer contain the changes that were missed meanwhile.
                after = None;
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}
