//! The division of workers into pools: which of the workers that the store lists belong to this owner's pool.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use pool::{Ms, WorkerId, WorkerInfo};
use rustc_hash::{FxHashMap, FxHashSet};

use super::Owner;
use crate::clock;
use crate::host::lock;
use crate::interfaces::{Row, StoreError, Transaction};
use crate::pool_map::{PoolMap, rack_of};
use crate::rows::{COMMON, POOL_MAP};
use crate::session;

/// Racks are assigned to pools when no new worker without a pool has appeared for this long. At the first start, all workers
/// appear within a few of their heartbeats of 1.5 s, and the number of pools should result from all of them.
const MIN_QUIET_TIME: Ms = 1_000;
/// Longest time until the racks of new workers are assigned to pools.
const MAX_ASSIGNMENT_DELAY: Ms = 5_000;
/// Time between two checks for racks without a pool.
const ASSIGNMENT_INTERVAL: Duration = Duration::from_millis(100);

/// The workers that the store lists but that aren't in the owner's pool.
#[derive(Debug, Default)]
pub(super) struct Directory {
    /// Workers of other pools. A worker stays in its rack and a rack in its pool, so the rows of these workers need not be
    /// decoded.
    foreign: FxHashSet<WorkerId>,
    /// Workers whose rack has no pool yet.
    unassigned: FxHashMap<WorkerId, WorkerInfo>,
    /// Rack of each worker of the deployment; kept only by the owner of pool 0.
    racks: FxHashMap<WorkerId, String>,
    /// When the first and the last of the workers without a pool appeared.
    unassigned_since: Option<(Ms, Ms)>,
}

impl Directory {
    /// Number of workers in each rack.
    fn counts(&self) -> BTreeMap<String, u32> {
        let mut counts = BTreeMap::new();
        for rack in self.racks.values() {
            *counts.entry(rack.clone()).or_insert(0) += 1;
        }
        counts
    }
}

impl Owner {
    /// Whether this worker is known to belong to another pool.
    pub(super) fn is_foreign(&self, id: &str) -> bool {
        lock(&self.directory).foreign.contains(id)
    }

    /// Handles a worker that the store lists: adds it to the pool, or records where it belongs.
    pub(super) fn worker_listed(self: &Arc<Self>, now: Ms, id: WorkerId, info: WorkerInfo) {
        let rack = rack_of(&info.rack, &id);
        let assigned = self.host.pool_map().pool_of(&rack);
        let mut directory = lock(&self.directory);
        if self.pool_number == 0 {
            directory.racks.insert(Arc::clone(&id), rack);
        }
        if assigned.is_none() {
            let new = directory.unassigned.insert(id, info).is_none();
            let first = directory.unassigned_since.map_or(now, |(first, _)| first);
            if new {
                directory.unassigned_since = Some((first, now));
            }
            return;
        }
        if assigned == Some(self.pool_number) {
            drop(directory);
            self.add_worker(now, id, info);
        } else {
            directory.foreign.insert(Arc::clone(&id));
            drop(directory);
            // If it was in this pool, its rack has changed, and from now on another owner polls it.
            lock(&self.pool).deregister_worker(&id);
        }
    }

    /// Clears the directory before the store lists all workers again. Otherwise a worker that left while changes weren't received
    /// would be added when its rack is assigned to this pool.
    pub(super) fn clear_directory(&self) {
        *lock(&self.directory) = Directory::default();
    }

    /// Handles the removal of a worker from the store's list.
    pub(super) fn worker_removed(&self, id: &str) {
        lock(&self.pool).deregister_worker(id);
        let mut directory = lock(&self.directory);
        directory.foreign.remove(id);
        directory.unassigned.remove(id);
        directory.racks.remove(id);
    }

    /// Adds a worker to the pool and starts a session with it, unless there is one.
    fn add_worker(self: &Arc<Self>, now: Ms, id: WorkerId, info: WorkerInfo) {
        lock(&self.pool).update_worker(now, &id, info);
        if lock(&self.sessions).insert(Arc::clone(&id)) {
            let owner = Arc::clone(self);
            self.host.stop.spawn(async move {
                session::run(&owner, &id).await;
                lock(&owner.sessions).remove(&id);
            });
        }
    }

    /// Periodically adds workers whose racks were assigned to this pool. The owner of pool 0 also assigns the racks.
    pub(super) async fn assign_workers(self: Arc<Self>) {
        loop {
            tokio::time::sleep(ASSIGNMENT_INTERVAL).await;
            self.add_assigned_workers();
            let due = {
                let now = clock::now();
                let since = lock(&self.directory).unassigned_since;
                since.is_some_and(|(first, last)| {
                    now.saturating_sub(last) > MIN_QUIET_TIME
                        || now.saturating_sub(first) > MAX_ASSIGNMENT_DELAY
                })
            };
            if due && self.pool_number == 0 {
                self.extend_pool_map().await;
            }
        }
    }

    /// Adds workers whose racks were assigned to this pool meanwhile.
    fn add_assigned_workers(self: &Arc<Self>) {
        let pool_map = self.host.pool_map();
        let assigned: Vec<(WorkerId, WorkerInfo)> = {
            let mut directory = lock(&self.directory);
            if directory.unassigned.is_empty() {
                return;
            }
            let unassigned = std::mem::take(&mut directory.unassigned);
            let (assigned, rest) = unassigned
                .into_iter()
                .partition(|(id, info)| pool_map.pool_of(&rack_of(&info.rack, id)).is_some());
            directory.unassigned = rest;
            if directory.unassigned.is_empty() {
                directory.unassigned_since = None;
            }
            FxHashMap::into_iter(assigned).collect()
        };
        let now = clock::now();
        let mut added = false;
        for (id, info) in assigned {
            if pool_map.pool_of(&rack_of(&info.rack, &id)) == Some(self.pool_number) {
                added = true;
                self.add_worker(now, id, info);
            }
        }
        if added {
            self.dirty.notify_one();
            self.wake.notify_one();
        }
    }

    /// Writes a pool map in which each rack has a pool. A former owner of pool 0 may write it too, so the transaction
    /// requires that the row is unchanged since it was read.
    async fn extend_pool_map(&self) {
        let store = &self.host.store;
        let (stored, version) = match store.get(POOL_MAP, COMMON, POOL_MAP).await {
            Ok(row) => parse(row.as_ref()).unwrap_or_default(),
            Err(error) => {
                warn!(error:% = error; "reading the pool map failed");
                return;
            }
        };
        let counts = lock(&self.directory).counts();
        let per_pool = self.host.settings.workers_per_pool.min(self.largest_pool());
        let Some(next) = stored.extend(&counts, per_pool) else {
            self.host.update_pool_map(stored);
            return;
        };
        let Ok(value) = serde_json::to_vec(&next) else {
            return;
        };
        let transaction = Transaction {
            part: COMMON.to_owned(),
            checks: vec![(POOL_MAP.to_owned(), POOL_MAP.to_owned(), version)],
            puts: vec![(POOL_MAP.to_owned(), POOL_MAP.to_owned(), value)],
            ..Transaction::default()
        };
        match store.commit(&transaction).await {
            Ok(_) => {
                info!(version = next.version, pools = next.pool_count(), racks = next.racks.len(), workers = counts.values().sum::<u32>(); "racks assigned to pools");
                self.host.update_pool_map(next);
            }
            Err(StoreError::Conflict { rows }) => {
                let row = rows.iter().find(|row| row.table == POOL_MAP);
                if let Some((found, _)) = parse(row) {
                    self.host.update_pool_map(found);
                }
            }
            Err(error) => warn!(error:% = error; "writing the pool map failed; retrying"),
        }
    }
}

/// Decodes the row of the pool map; returns it with its version.
fn parse(row: Option<&Row>) -> Option<(PoolMap, u64)> {
    let row = row?;
    let pool_map = serde_json::from_slice(row.value.as_deref()?).ok()?;
    Some((pool_map, row.version))
}
