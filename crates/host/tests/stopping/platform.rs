//! A platform in memory that leaves calls without an answer.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use host::{
    Acknowledgement, Advisor, Catalog, Decode, Feed, InvalidCatalog, Page, PollFailure, PoolMap,
    Row, StartReply, Store, StoreError, Tickets, Transaction, Workers,
};
use pool::{Ms, Pace, StageKey, Start, Stop, StopAnswer, WorkerId, WorkerInfo, WorkerReport};
use resource::Size;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

/// Table, part and key.
type RowKey = (String, String, String);

/// Table of the workers.
pub(crate) const WORKERS: &str = "workers";
/// Rack of the worker.
const RACK: &str = "r0";
/// The part of the rows of the only pool.
pub(crate) const POOL_PART: &str = "pool-0";

/// A store in memory.
#[derive(Default)]
pub(crate) struct FakeStore {
    /// Values with their versions.
    rows: Mutex<BTreeMap<RowKey, (Vec<u8>, u64)>>,
    version: AtomicU64,
    changed: Notify,
    /// No call gets an answer.
    silent: AtomicBool,
    /// Writes in parts whose names begin like this get no answer.
    held: Mutex<Option<&'static str>>,
    released: Notify,
    /// Number of calls that got no answer so far.
    unanswered: AtomicU64,
    /// The same for reads of single rows, by which hosts check whether the store serves them.
    unanswered_checks: AtomicU64,
}

impl FakeStore {
    /// Answers no call any more, neither those in progress.
    pub(crate) fn silence(&self) {
        self.silent.store(true, Ordering::Relaxed);
    }

    /// Answers no write in parts whose names begin like this until [`FakeStore::release`].
    pub(crate) fn hold(&self, part: &'static str) {
        *self.held.lock().expect("not poisoned") = Some(part);
    }

    pub(crate) fn release(&self) {
        *self.held.lock().expect("not poisoned") = None;
        self.released.notify_waiters();
    }

    fn holds(&self, part: &str) -> bool {
        let held = self.held.lock().expect("not poisoned");
        held.is_some_and(|held| part.starts_with(held))
    }

    /// Number of calls that got no answer so far.
    pub(crate) fn unanswered(&self) -> u64 {
        self.unanswered.load(Ordering::Relaxed)
    }

    /// Number of reads of single rows that got no answer so far.
    pub(crate) fn unanswered_checks(&self) -> u64 {
        self.unanswered_checks.load(Ordering::Relaxed)
    }

    pub(crate) fn put(&self, (table, part, key): (&str, &str, &str), value: Vec<u8>) {
        let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
        let mut rows = self.rows.lock().expect("not poisoned");
        let key = (table.to_owned(), part.to_owned(), key.to_owned());
        rows.insert(key, (value, version));
        self.changed.notify_waiters();
    }

    pub(crate) fn value(&self, table: &str, part: &str, key: &str) -> Option<Vec<u8>> {
        let rows = self.rows.lock().expect("not poisoned");
        let key = (table.to_owned(), part.to_owned(), key.to_owned());
        rows.get(&key).map(|(value, _)| value.clone())
    }

    /// Waits as long as calls get no answer.
    async fn wait_if_silent(&self, is_held: bool) {
        let released = self.released.notified();
        if self.silent.load(Ordering::Relaxed) {
            self.unanswered.fetch_add(1, Ordering::Relaxed);
            std::future::pending::<()>().await;
        }
        if is_held {
            self.unanswered.fetch_add(1, Ordering::Relaxed);
            released.await;
        }
    }

    /// Rows that fulfil a condition, and the newest transaction.
    fn select(&self, condition: impl Fn(&RowKey, u64) -> bool) -> Page {
        let rows = self.rows.lock().expect("not poisoned");
        let found = rows
            .iter()
            .filter(|(key, (_, version))| condition(key, *version));
        let found = found.map(|((table, part, key), (value, version))| Row {
            table: table.clone(),
            part: part.clone(),
            key: key.clone(),
            value: Some(value.clone()),
            version: *version,
        });
        Page {
            rows: found.collect(),
            version: self.version.load(Ordering::Relaxed),
            ..Page::default()
        }
    }
}

#[async_trait]
impl Store for FakeStore {
    async fn commit(&self, transaction: &Transaction) -> Result<u64, StoreError> {
        let is_held = self.holds(&transaction.part) && !transaction.puts.is_empty();
        self.wait_if_silent(is_held).await;
        let present = transaction.checks.iter().map(|(table, key, _)| {
            let found =
                self.select(|row, _| (&row.0, &row.1, &row.2) == (table, &transaction.part, key));
            found.rows.into_iter().next().unwrap_or_else(|| Row {
                table: table.clone(),
                part: transaction.part.clone(),
                key: key.clone(),
                value: None,
                version: 0,
            })
        });
        let present: Vec<Row> = present.collect();
        let mut checks = present.iter().zip(&transaction.checks);
        if !checks.all(|(row, (.., version))| row.version == *version) {
            return Err(StoreError::Conflict { rows: present });
        }
        let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
        let mut rows = self.rows.lock().expect("not poisoned");
        for (table, key, value) in &transaction.puts {
            let key = (table.clone(), transaction.part.clone(), key.clone());
            rows.insert(key, (value.clone(), version));
        }
        self.changed.notify_waiters();
        Ok(version)
    }

    async fn page(&self, table: &str, part: &str, _: &str) -> Result<Page, StoreError> {
        self.wait_if_silent(false).await;
        Ok(self.select(|row, _| row.0 == table && row.1 == part))
    }

    async fn get(&self, table: &str, part: &str, key: &str) -> Result<Option<Row>, StoreError> {
        let silent = self.silent.load(Ordering::Relaxed);
        self.unanswered_checks
            .fetch_add(silent.into(), Ordering::Relaxed);
        self.wait_if_silent(false).await;
        let found = self.select(|row, _| row.0 == table && row.1 == part && row.2 == key);
        Ok(found.rows.into_iter().next())
    }

    async fn feed(&self, table: &str, after: u64, wait: Duration) -> Result<Feed, StoreError> {
        let changes = async {
            loop {
                self.wait_if_silent(false).await;
                let changed = self.changed.notified();
                let found = self.select(|row, version| row.0 == table && version > after);
                if !found.rows.is_empty() {
                    return found;
                }
                changed.await;
            }
        };
        let found = timeout(wait, changes).await;
        Ok(found.unwrap_or_else(|_| self.select(|_, _| false)))
    }
}

/// Workers that answer polls and no other calls.
#[derive(Default)]
pub(crate) struct IdleWorkers {
    /// Number of start commands so far.
    pub(crate) starts: AtomicU64,
}

#[async_trait]
impl Workers for IdleWorkers {
    async fn start(&self, _: &str, _: u64, _: &Start) -> StartReply {
        self.starts.fetch_add(1, Ordering::Relaxed);
        std::future::pending().await
    }

    async fn stop(&self, _: &str, _: u64, _: &Stop) -> StopAnswer {
        std::future::pending().await
    }

    async fn pace(&self, _: &str, _: u64, _: &Pace) -> bool {
        std::future::pending().await
    }

    async fn poll(
        &self,
        _: &str,
        _: &WorkerId,
        _: u64,
        lease: Option<Ms>,
        _: Acknowledgement,
        wait: Duration,
    ) -> Result<WorkerReport, PollFailure> {
        sleep(wait).await;
        Ok(WorkerReport {
            clock: host::clock::now(),
            incarnation: 1,
            lease: lease.unwrap_or(0),
            ..WorkerReport::default()
        })
    }
}

/// An advisor that never answers.
#[derive(Default)]
pub(crate) struct SilentAdvisor {
    /// Number of queries so far.
    pub(crate) queries: AtomicU64,
}

#[async_trait]
impl Advisor for SilentAdvisor {
    async fn query(&self, _: &StageKey, _: &[WorkerId], _: Duration) -> Option<Tickets> {
        self.queries.fetch_add(1, Ordering::Relaxed);
        std::future::pending().await
    }
}

/// Decodes workers, whose rows contain their millicores.
pub(crate) struct WorkerDecoder;

impl Decode for WorkerDecoder {
    fn catalog(&self, _: &[u8]) -> Result<Catalog, InvalidCatalog> {
        unreachable!("the store has no configuration")
    }

    fn worker(&self, _: &str, value: &[u8]) -> Option<WorkerInfo> {
        let millicores = serde_json::from_slice(value).ok()?;
        Some(WorkerInfo {
            rack: RACK.to_owned(),
            capacity: Size::new(millicores, 1_000, 0),
            ..WorkerInfo::default()
        })
    }
}

/// What a host calls.
#[derive(Clone, Default)]
pub(crate) struct FakePlatform {
    pub(crate) store: Arc<FakeStore>,
    pub(crate) workers: Arc<IdleWorkers>,
    pub(crate) advisor: Arc<SilentAdvisor>,
}

impl FakePlatform {
    /// A platform with a worker that has this many millicores.
    pub(crate) fn with_worker(millicores: u64) -> Self {
        let platform = Self::default();
        let map = PoolMap {
            version: 1,
            sizes: vec![1],
            racks: [(RACK.to_owned(), 0)].into(),
        };
        let map = serde_json::to_vec(&map).expect("it can be encoded");
        platform.store.put(("plan", "common", "plan"), map);
        let worker = millicores.to_string().into();
        platform.store.put((WORKERS, "", "w0"), worker);
        platform
    }

    /// Writes to the store that another host owns the pool.
    pub(crate) fn put_owner(&self, host: &str, address: SocketAddr) {
        let owner = serde_json::json!({
            "host": host, "address": address, "epoch": 1, "life": 1, "heirs": [],
        });
        let roster = serde_json::json!({ "serial": 1, "roster": [], "silent": [] });
        for (table, row) in [("owner", owner), ("roster", roster)] {
            let value = row.to_string().into();
            self.store.put((table, POOL_PART, table), value);
        }
    }
}
