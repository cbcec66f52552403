//! A host process: shared state and the health of its dependencies.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use log::{info, warn};
use pool::{Mechanism, Ms};
use telemetry::Shutdown;
use tokio::sync::{Notify, broadcast, watch};

use crate::admission::Admission;
use crate::catalog::{Catalog, CatalogInForce};
use crate::catalog_sync::CatalogSync;
use crate::clock;
use crate::interfaces::{Advisor, Decode, Store, Workers};
use crate::owner_rows::OwnerRows;
use crate::pool_map::PoolMap;
use crate::pool_state::{LastHeartbeat, PoolState};
use crate::rows::{COMMON, POOL_MAP};
use crate::settings::Settings;
use crate::store_checks::StoreChecks;
pub(crate) use crate::sync::lock;
use crate::wire::Heartbeat;
use crate::worker_feed::WorkerChanges;

/// Share of `catalog_deadline` after which an unconfirmed configuration counts as outdated and no more requests are accepted
/// under it. The remainder is left for requests that are already being processed.
const MAX_CATALOG_AGE_SHARE: f64 = 0.88;

/// Answers that took longer are left out of the latency statistics: a poll for changes takes as long as nothing changes, which
/// says nothing about the speed of the store.
const MAX_LATENCY_SAMPLE_MS: u64 = 10_000;
/// Lower bound of the delay before a call to the store is repeated. A healthy store answers within 50 ms from any region, so an
/// answer that is later than this is probably lost.
const MIN_STORE_RETRY_DELAY: Duration = Duration::from_millis(160);
/// Upper bound of the same delay. Callers wait three seconds, so a third call would come too late.
const MAX_STORE_RETRY_DELAY: Duration = Duration::from_millis(900);
/// Delay before the store is probed. An answer given before the store began to refuse proves nothing, and a store that has just
/// begun to refuse all hosts may have answered this one a moment ago.
const PROBE_DELAY: Duration = Duration::from_millis(100);
/// Minimum time between two probes of the store while an owner has lost it.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// A store that has failed all calls for this long counts as unavailable.
const STORE_FAILURE_TOLERANCE: Ms = 400;

/// Maximum number of changes of the table of workers that wait for an owner on this host. An owner that falls behind by more
/// polls the store.
const MAX_QUEUED_WORKER_CHANGES: usize = 32;

/// A host process: accepts jobs from callers and may own pools of workers.
pub struct Host {
    pub(crate) settings: Settings,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) workers: Arc<dyn Workers>,
    pub(crate) advisor: Arc<dyn Advisor>,
    pub(crate) decode: Arc<dyn Decode>,
    pub(crate) stop: Shutdown,
    /// Start time of this process in Unix milliseconds.
    pub(crate) incarnation: u64,
    catalog: Arc<CatalogInForce>,
    admission: Admission,
    /// How recent the configuration in force is known to be.
    pub(crate) catalog_sync: CatalogSync,
    /// How often this host checks the store.
    pub(crate) store_checks: StoreChecks,
    /// Time of the last answer from the store; 0 if there was none.
    last_store_answer: AtomicU64,
    /// Time since which every call to the store has failed; 0 if the last one was answered.
    store_failing_since: AtomicU64,
    /// Shortest time in which the store has answered, in milliseconds.
    min_store_rtt: AtomicU64,
    /// Moving average of the time in which the store answers, in milliseconds.
    typical_store_latency: AtomicU64,
    /// State of each pool's owner, indexed by pool number.
    pub(crate) pool_states: Mutex<Vec<PoolState>>,
    pub(crate) pool_map: ArcSwap<PoolMap>,
    /// Notified when the owner of a pool may have become unknown.
    pub(crate) owner_missing: Notify,
    /// Rows of the pools' owners.
    pub(crate) owner_rows: OwnerRows,
    /// Notified when the store becomes available or unavailable.
    pub(crate) store_changed: Notify,
    /// Notified when an owner has lost the store, so that this host checks its own access.
    pub(crate) probe_requested: Notify,
    /// Notified when that check is done.
    pub(crate) probe_finished: Notify,
    /// Whether the pool map has been read, or got from an owner, since the start of this process.
    pub(crate) pool_map_known: watch::Sender<bool>,
    /// Notified when a newer pool map is in force.
    pub(crate) pool_map_changed: Notify,
    /// Whether this host has known the owner of any pool since it started.
    pub(crate) knows_owner: AtomicBool,
    /// Changes of the table of workers, for the owners on this host.
    worker_changes: broadcast::Sender<Arc<WorkerChanges>>,
}

impl Host {
    /// Creates a host that uses these external interfaces.
    pub fn new(
        settings: Settings,
        store: Arc<dyn Store>,
        workers: Arc<dyn Workers>,
        advisor: Arc<dyn Advisor>,
        decode: Arc<dyn Decode>,
        stop: Shutdown,
    ) -> Arc<Self> {
        let catalog = Arc::<CatalogInForce>::default();
        let catalog_sync = CatalogSync::default();
        let admission = Admission::new(
            Arc::clone(&catalog),
            Arc::clone(&catalog_sync.confirmation),
            settings.revocation,
            settings.catalog_deadline.mul_f64(MAX_CATALOG_AGE_SHARE),
        );
        Arc::new(Self {
            settings,
            store,
            workers,
            advisor,
            decode,
            stop,
            incarnation: clock::unix(),
            catalog,
            admission,
            catalog_sync,
            store_checks: StoreChecks::default(),
            last_store_answer: AtomicU64::new(0),
            store_failing_since: AtomicU64::new(0),
            min_store_rtt: AtomicU64::new(u64::MAX),
            typical_store_latency: AtomicU64::new(0),
            pool_states: Mutex::default(),
            pool_map: ArcSwap::default(),
            owner_missing: Notify::new(),
            owner_rows: OwnerRows::default(),
            store_changed: Notify::new(),
            probe_requested: Notify::new(),
            probe_finished: Notify::new(),
            pool_map_known: watch::Sender::new(false),
            pool_map_changed: Notify::new(),
            knows_owner: AtomicBool::new(false),
            worker_changes: broadcast::Sender::new(MAX_QUEUED_WORKER_CHANGES),
        })
    }

    /// Runs all background work until the host is stopped. Requests of callers are served by the other methods.
    pub async fn run(self: &Arc<Self>) {
        tokio::join!(
            self.follow_catalog(),
            crate::election::run(self),
            crate::peers::listen(self),
            async {
                tokio::select! {
                    () = self.probe() => {}
                    () = self.stop.ended() => {}
                }
            },
        );
    }

    /// Probes the store when an owner has lost it, and has the result sent to owners at once. A host without callers may not have
    /// called the store for seconds.
    async fn probe(&self) {
        loop {
            self.probe_requested.notified().await;
            tokio::time::sleep(PROBE_DELAY).await;
            // Whether the call was answered is recorded for every call in `record_store_call`.
            drop(self.store.get(POOL_MAP, COMMON, POOL_MAP).await);
            self.probe_finished.notify_waiters();
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
    }

    /// Time since the last answer from the store; `None` if there was none.
    pub(crate) fn store_answer_age(&self) -> Option<Ms> {
        let at = self.last_store_answer.load(Ordering::Relaxed);
        (at > 0).then(|| clock::now().saturating_sub(at))
    }

    /// Time since which every call to the store has failed; `None` if the last one was answered.
    pub(crate) fn store_failing_since(&self) -> Option<Ms> {
        let since = self.store_failing_since.load(Ordering::Relaxed);
        (since > 0).then_some(since)
    }

    /// The configuration in force; `None` until one was loaded. See [`Host::is_current`] for its age.
    #[must_use]
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.catalog.load()
    }

    /// Whether the configuration is known to be current.
    #[must_use]
    pub fn is_current(&self) -> bool {
        self.admission.is_current()
    }

    /// Decides which calls may use which queues.
    #[must_use]
    pub fn admission(&self) -> &Admission {
        &self.admission
    }

    /// Whether a mechanism is enabled.
    pub(crate) fn has(&self, mechanism: Mechanism) -> bool {
        self.settings.pool.switches.has(mechanism)
    }

    /// Whether jobs can be accepted now: the store is available to this host, or to an owner that inserts jobs for it.
    pub(crate) fn can_accept(&self) -> bool {
        self.store_available() || self.link_to_owner_with_store().is_some()
    }

    /// Whether this host should receive new connections. A host that can't accept jobs has to refuse its callers, so it reports
    /// not ready at once to get fewer of them.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.stop.is_draining()
            && self.catalog.load().is_some()
            && self.is_current()
            && self.can_accept()
            && self.knows_owner.load(Ordering::Relaxed)
    }

    /// The newest pool map that this host knows.
    #[must_use]
    pub fn pool_map(&self) -> Arc<PoolMap> {
        self.pool_map.load_full()
    }

    /// Puts a pool map into force unless this host knows one at least as new.
    pub(crate) fn update_pool_map(&self, map: PoolMap) {
        let before = self.pool_map.load();
        if map.version > before.version {
            info!(version = map.version, pools = map.pool_count(), racks = map.racks.len(); "pool map in force");
            self.pool_map.store(Arc::new(map));
            self.pool_map_changed.notify_waiters();
            self.owner_missing.notify_one();
        }
    }

    /// Processes an owner's heartbeat. If both have the same version of the configuration, this host's is as current as the
    /// owner's.
    pub(crate) fn receive_heartbeat(&self, heartbeat: Heartbeat) {
        let now = clock::now();
        let mine = self.catalog_version();
        self.confirm_by_heartbeat(mine, &heartbeat);
        if heartbeat.store_failing && self.owned_pool_count() == 0 {
            self.probe_requested.notify_one();
        }
        let (pool, catalog, pool_map) = (heartbeat.pool, heartbeat.catalog, heartbeat.pool_map);
        self.update_pool_state(pool, |state| {
            state.last_heartbeat = LastHeartbeat {
                received_at: now,
                heartbeat,
            }
        });
        if catalog > mine {
            self.catalog_sync.newer.notify_one();
        }
        if pool_map > self.pool_map.load().version {
            self.catalog_sync.newer_pool_map.notify_one();
        }
    }

    /// Passes changes of the table of workers to the owners on this host.
    pub(crate) fn receive_worker_changes(&self, changes: WorkerChanges) {
        // An error means that this host owns no pool.
        drop(self.worker_changes.send(Arc::new(changes)));
    }

    /// Returns a receiver of changes of the table of workers.
    pub(crate) fn subscribe_worker_changes(&self) -> broadcast::Receiver<Arc<WorkerChanges>> {
        self.worker_changes.subscribe()
    }

    /// Version of the configuration in force; 0 if there is none.
    pub(crate) fn catalog_version(&self) -> u64 {
        self.catalog.version()
    }

    /// Records whether the store answered a call, and how long the call took.
    pub fn record_store_call(&self, answered: bool, took: Duration) {
        let outcome = if answered { "answered" } else { "failed" };
        metrics::counter!("lentilyoke_store_calls_total", "outcome" => outcome).increment(1);
        if answered {
            self.last_store_answer
                .store(clock::now(), Ordering::Relaxed);
            let took = took.as_millis() as u64;
            let before = self.min_store_rtt.load(Ordering::Relaxed);
            self.min_store_rtt
                .store(before.min(took), Ordering::Relaxed);
            if took < MAX_LATENCY_SAMPLE_MS {
                metrics::histogram!("lentilyoke_store_ms").record(took as f64);
                let typical = self.typical_store_latency.load(Ordering::Relaxed);
                self.typical_store_latency
                    .store((typical * 3 + took) / 4, Ordering::Relaxed);
            }
        }
        // An unanswered call means that the store has failed since the call began, unless another call was answered
        // meanwhile.
        let began = clock::now().saturating_sub(took.as_millis() as u64);
        let since = if answered {
            0
        } else {
            began
                .max(self.last_store_answer.load(Ordering::Relaxed))
                .max(1)
        };
        let before = self.store_failing_since.load(Ordering::Relaxed);
        if answered || before == 0 {
            self.store_failing_since.store(since, Ordering::Relaxed);
        }
        if answered && before > 0 {
            info!(dependency = "store", ms = clock::now().saturating_sub(before); "regained");
            self.store_changed.notify_waiters();
        } else if !answered && before == 0 {
            warn!(dependency = "store"; "lost");
            self.store_changed.notify_waiters();
        }
    }

    /// Whether the store is available to this host. A single call without an answer doesn't make it unavailable, since the next
    /// one may be answered.
    #[must_use]
    pub fn store_available(&self) -> bool {
        let now = clock::now();
        let failing_since = self.store_failing_since.load(Ordering::Relaxed);
        (failing_since == 0 || now.saturating_sub(failing_since) < STORE_FAILURE_TOLERANCE)
            && now.saturating_sub(self.last_store_answer.load(Ordering::Relaxed))
                < self.store_checks.validity()
    }

    /// Delay before a call to the store that is not answered yet is repeated: a multiple of the usual latency.
    pub(crate) fn store_retry_delay(&self) -> Duration {
        let typical = Duration::from_millis(self.typical_store_latency.load(Ordering::Relaxed));
        (typical * 3).clamp(MIN_STORE_RETRY_DELAY, MAX_STORE_RETRY_DELAY)
    }

    /// Shortest time in which the store has answered, in milliseconds.
    pub(crate) fn store_rtt(&self) -> u64 {
        self.min_store_rtt.load(Ordering::Relaxed)
    }

    /// Puts a configuration into force unless one at least as new is.
    pub(crate) fn update_catalog(&self, catalog: Catalog) {
        let (version, queues, customers) = (
            catalog.version,
            catalog.queues.len(),
            catalog.customers.len(),
        );
        if let Some(before) = self.catalog.update(catalog) {
            info!(version = version, before = before, queues = queues, customers = customers; "configuration in force");
            self.catalog_sync.changed.notify_waiters();
        }
    }
}
