//! Dividing workers over pools: which of those that the store lists are this owner's.

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

/// Racks are given to pools when no worker without one was seen first for this long: at a first start all workers appear
/// within a few of their heartbeats of 1.5 s, and the number of pools should go by all of them.
const QUIET: Ms = 1_000;
/// Workers wait no longer than this for a pool.
const LONGEST: Ms = 5_000;
/// Time between two looks whether racks wait for a pool.
const LOOK: Duration = Duration::from_millis(100);

/// Workers as the store lists them, as far as they aren't in the owner's pool.
#[derive(Debug, Default)]
pub(super) struct Directory {
    /// Workers of other pools. A worker stays in its rack and a rack in its pool, so their rows need not be read.
    foreign: FxHashSet<WorkerId>,
    /// Workers whose rack has no pool yet.
    homeless: FxHashMap<WorkerId, WorkerInfo>,
    /// Rack of each worker of the deployment; kept by the owner of pool 0 alone.
    racks: FxHashMap<WorkerId, String>,
    /// When a worker without a pool was seen first, and last.
    seen: Option<(Ms, Ms)>,
}

impl Directory {
    /// Workers of each rack.
    fn counts(&self) -> BTreeMap<String, u32> {
        let mut counts = BTreeMap::new();
        for rack in self.racks.values() {
            *counts.entry(rack.clone()).or_insert(0) += 1;
        }
        counts
    }
}

impl Owner {
    /// Whether the row of this worker says nothing to this owner.
    pub(super) fn is_foreign(&self, id: &str) -> bool {
        lock(&self.directory).foreign.contains(id)
    }

    /// The store lists a worker.
    pub(super) fn found(self: &Arc<Self>, now: Ms, id: WorkerId, news: WorkerInfo) {
        let rack = rack_of(&news.rack, &id);
        let home = self.host.pool_map().pool_of(&rack);
        let mut directory = lock(&self.directory);
        if self.number == 0 {
            directory.racks.insert(Arc::clone(&id), rack);
        }
        if home.is_none() {
            let new = directory.homeless.insert(id, news).is_none();
            let first = directory.seen.map_or(now, |(first, _)| first);
            if new {
                directory.seen = Some((first, now));
            }
            return;
        }
        if home == Some(self.number) {
            drop(directory);
            self.take_up(now, id, news);
        } else {
            directory.foreign.insert(Arc::clone(&id));
            drop(directory);
            // Its rack was another one before: from now on another owner holds it.
            lock(&self.pool).deregister_worker(&id);
        }
    }

    /// The store lists all workers anew: what is known of those that aren't in this pool counts no more. One that left while
    /// changes weren't told would be taken up when its rack gets a pool.
    pub(super) fn begin_list(&self) {
        *lock(&self.directory) = Directory::default();
    }

    /// The store lists a worker no more.
    pub(super) fn gone(&self, id: &str) {
        lock(&self.pool).deregister_worker(id);
        let mut directory = lock(&self.directory);
        directory.foreign.remove(id);
        directory.homeless.remove(id);
        directory.racks.remove(id);
    }

    /// A worker of this pool: holds it from now on.
    fn take_up(self: &Arc<Self>, now: Ms, id: WorkerId, news: WorkerInfo) {
        lock(&self.pool).update_worker(now, &id, news);
        if lock(&self.sessions).insert(Arc::clone(&id)) {
            let owner = Arc::clone(self);
            self.host.stop.spawn(async move {
                session::run(&owner, &id).await;
                lock(&owner.sessions).remove(&id);
            });
        }
    }

    /// Gives racks to pools, and takes up the workers of this pool.
    pub(super) async fn divide(self: Arc<Self>) {
        loop {
            tokio::time::sleep(LOOK).await;
            self.house();
            let due = {
                let now = clock::now();
                let seen = lock(&self.directory).seen;
                seen.is_some_and(|(first, last)| {
                    now.saturating_sub(last) > QUIET || now.saturating_sub(first) > LONGEST
                })
            };
            if due && self.number == 0 {
                self.extend_plan().await;
            }
        }
    }

    /// Takes up workers whose rack has got a pool.
    fn house(self: &Arc<Self>) {
        let plan = self.host.pool_map();
        let housed: Vec<(WorkerId, WorkerInfo)> = {
            let mut directory = lock(&self.directory);
            if directory.homeless.is_empty() {
                return;
            }
            let homeless = std::mem::take(&mut directory.homeless);
            let (housed, rest) = homeless
                .into_iter()
                .partition(|(id, news)| plan.pool_of(&rack_of(&news.rack, id)).is_some());
            directory.homeless = rest;
            if directory.homeless.is_empty() {
                directory.seen = None;
            }
            FxHashMap::into_iter(housed).collect()
        };
        let now = clock::now();
        let mut any = false;
        for (id, news) in housed {
            if plan.pool_of(&rack_of(&news.rack, &id)) == Some(self.number) {
                any = true;
                self.take_up(now, id, news);
            }
        }
        if any {
            self.dirty.notify_one();
            self.wake.notify_one();
        }
    }

    /// Writes a plan in which each rack has a pool. Others may write it too (a former owner of pool 0), so the row as it
    /// was read is the condition.
    async fn extend_plan(&self) {
        let store = &self.host.store;
        let (stored, version) = match store.get(POOL_MAP, COMMON, POOL_MAP).await {
            Ok(row) => parse(row.as_ref()).unwrap_or_default(),
            Err(error) => {
                warn!(error:% = error; "the plan of pools can't be read");
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
                info!(version = next.version, pools = next.pool_count(), racks = next.racks.len(), workers = counts.values().sum::<u32>(); "gave racks to pools");
                self.host.update_pool_map(next);
            }
            Err(StoreError::Conflict { rows }) => {
                let row = rows.iter().find(|row| row.table == POOL_MAP);
                if let Some((found, _)) = parse(row) {
                    self.host.update_pool_map(found);
                }
            }
            Err(error) => warn!(error:% = error; "the plan of pools is not written yet"),
        }
    }
}

fn parse(row: Option<&Row>) -> Option<(PoolMap, u64)> {
    let row = row?;
    let plan = serde_json::from_slice(row.value.as_deref()?).ok()?;
    Some((plan, row.version))
}
