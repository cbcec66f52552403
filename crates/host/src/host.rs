//! One process of the system.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use log::{info, warn};
use pool::{Mechanism, Ms};
use telemetry::Stop;
use tokio::sync::Notify;

use crate::catalog::Catalog;
use crate::clock;
use crate::current::Current;
use crate::outside::{Advisor, Decode, Store, Workers};
use crate::owner_rows::OwnerRows;
use crate::plan::Plan;
use crate::pool_state::{LastHeartbeat, PoolState};
use crate::rows::{COMMON, PLAN};
use crate::settings::Settings;
use crate::wire::Beat;

/// A configuration that was confirmed longer ago than this share of the time in which a change has to be in force may be
/// out of date: nothing is accepted by it. The rest is for requests that are in hand then.
const CURRENT: f64 = 0.88;
/// The store counts as serving a host if it has done so within this time: each host asks it for changes more often.
const SERVED: Ms = 2_600;

/// Answers to questions for changes take as long as nothing changes; they say nothing about the store's speed.
const LONGEST_ANSWER: u64 = 10_000;
/// A sound store answers within 50 ms from any region, so a lost answer is found out after this.
const PATIENCE_LEAST: Duration = Duration::from_millis(160);
/// Callers wait three seconds, so a third call would come too late.
const PATIENCE_MOST: Duration = Duration::from_millis(900);
/// A host waits this long before it asks the store whether it is served: an answer that the store gave before it began to refuse
/// says nothing, and a store that has just begun to refuse all may have answered this host a moment ago.
const PROBE_DELAY: Duration = Duration::from_millis(100);
/// A host asks the store no more often than this whether it is served while an owner isn't.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// A store that has failed all calls for this long doesn't serve this host.
const FAILING: Ms = 400;

/// One process of the system.
pub struct Host {
    pub(crate) settings: Settings,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) workers: Arc<dyn Workers>,
    pub(crate) advisor: Arc<dyn Advisor>,
    pub(crate) decode: Arc<dyn Decode>,
    pub(crate) stop: Stop,
    /// Start of this life in Unix milliseconds.
    pub(crate) life: u64,
    catalog: ArcSwapOption<Catalog>,
    /// What is known of how current the configuration is.
    pub(crate) current: Current,
    served_at: AtomicU64,
    /// Since when the store has only refused or not answered; 0 if it serves.
    failing: AtomicU64,
    away: AtomicU64,
    /// Time in which the store has answered lately, in milliseconds.
    usual: AtomicU64,
    /// What is known of each pool's owner, by the pool's number.
    pub(crate) pool_states: Mutex<Vec<PoolState>>,
    pub(crate) plan: ArcSwap<Plan>,
    /// A pool's owner may not be known any more.
    pub(crate) unowned: Notify,
    /// Rows of the pools' owners.
    pub(crate) owner_rows: OwnerRows,
    /// The store serves this host again, or serves it no more.
    pub(crate) store_changed: Notify,
    /// An owner has lost the store: whether it serves this host is to be found out.
    pub(crate) doubted: Notify,
    /// That was found out.
    pub(crate) probed: Notify,
    /// The plan has changed.
    pub(crate) replanned: Notify,
    pub(crate) knows_owner: AtomicBool,
}

impl Host {
    /// A host that meets the outside through these.
    pub fn new(
        settings: Settings,
        store: Arc<dyn Store>,
        workers: Arc<dyn Workers>,
        advisor: Arc<dyn Advisor>,
        decode: Arc<dyn Decode>,
        stop: Stop,
    ) -> Arc<Self> {
        Arc::new(Self {
            settings,
            store,
            workers,
            advisor,
            decode,
            stop,
            life: clock::unix(),
            catalog: ArcSwapOption::empty(),
            current: Current::default(),
            served_at: AtomicU64::new(0),
            failing: AtomicU64::new(0),
            away: AtomicU64::new(u64::MAX),
            usual: AtomicU64::new(0),
            pool_states: Mutex::default(),
            plan: ArcSwap::default(),
            unowned: Notify::new(),
            owner_rows: OwnerRows::default(),
            store_changed: Notify::new(),
            doubted: Notify::new(),
            probed: Notify::new(),
            replanned: Notify::new(),
            knows_owner: AtomicBool::new(false),
        })
    }

    /// Does all that a host does besides answering callers, until it is stopped.
    pub async fn run(self: &Arc<Self>) {
        tokio::join!(
            self.follow_catalog(),
            crate::election::run(self),
            crate::peers::listen(self),
            self.probe(),
        );
    }

    /// Asks the store when an owner has lost it, and has the answer told to owners at once. A host without callers may not have
    /// asked for seconds.
    async fn probe(&self) {
        loop {
            tokio::select! {
                () = self.doubted.notified() => {}
                () = self.stop.ended() => return,
            }
            tokio::time::sleep(PROBE_DELAY).await;
            // Whether it was answered is noted for all calls alike.
            drop(self.store.get(PLAN, COMMON, PLAN).await);
            self.probed.notify_waiters();
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
    }

    /// How long ago the store answered this host last; `None` if it never did.
    pub(crate) fn answered(&self) -> Option<Ms> {
        let at = self.served_at.load(Ordering::Relaxed);
        (at > 0).then(|| clock::now().saturating_sub(at))
    }

    /// Since when all calls to the store have failed; `None` if the last one was answered.
    pub(crate) fn failing_since(&self) -> Option<Ms> {
        let since = self.failing.load(Ordering::Relaxed);
        (since > 0).then_some(since)
    }

    /// The configuration in force, if it is known to be current.
    #[must_use]
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.catalog.load_full()
    }

    /// Whether the configuration is known to be current.
    #[must_use]
    pub fn is_current(&self) -> bool {
        Duration::from_millis(self.catalog_age()) < self.settings.catalog_within.mul_f64(CURRENT)
    }

    /// Whether a mechanism is on.
    pub(crate) fn has(&self, mechanism: Mechanism) -> bool {
        self.settings.pool.switches.has(mechanism)
    }

    /// Whether a job can be accepted now: the store serves this host, or an owner that takes jobs for it.
    pub(crate) fn can_accept(&self) -> bool {
        self.served() || self.link_to_owner_with_store().is_some()
    }

    /// Whether this host should get new connections. One that can accept nothing sends callers away; the sooner it says so
    /// here, the fewer are sent to it.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.stop.is_draining()
            && self.catalog.load().is_some()
            && self.is_current()
            && self.can_accept()
            && self.knows_owner.load(Ordering::Relaxed)
    }

    /// The plan of pools, as far as this host knows.
    #[must_use]
    pub fn plan(&self) -> Arc<Plan> {
        self.plan.load_full()
    }

    /// Takes up a plan unless it knows a newer one.
    pub(crate) fn put_plan(&self, plan: Plan) {
        let before = self.plan.load();
        if plan.version > before.version {
            info!(version = plan.version, pools = plan.pools(), racks = plan.racks.len(); "plan of pools");
            self.plan.store(Arc::new(plan));
            self.replanned.notify_waiters();
            self.unowned.notify_one();
        }
    }

    /// An owner's beat has come: the configuration is as current as the owner's if that is the same.
    pub(crate) fn hear(&self, beat: Beat) {
        let now = clock::now();
        let mine = self.catalog_version();
        if let Some(at) = beat.confirms(mine) {
            self.confirm(at, beat.catalog_as_of);
            self.current.told.fetch_max(at, Ordering::Relaxed);
        }
        if beat.failing && self.owned_pool_count() == 0 {
            self.doubted.notify_one();
        }
        let (pool, catalog, plan) = (beat.pool, beat.catalog, beat.plan);
        self.update_pool_state(pool, |state| {
            state.last_heartbeat = LastHeartbeat {
                received_at: now,
                heartbeat: beat,
            }
        });
        if catalog > mine {
            self.current.newer.notify_one();
        }
        if plan > self.plan.load().version {
            self.current.newer_plan.notify_one();
        }
    }

    /// Version of the configuration in force; 0 if there is none.
    pub(crate) fn catalog_version(&self) -> u64 {
        let catalog = self.catalog.load();
        catalog.as_ref().map_or(0, |catalog| catalog.version)
    }

    /// The store answered a call after this long, or did not.
    pub fn note_store(&self, answered: bool, took: Duration) {
        let outcome = if answered { "answered" } else { "failed" };
        metrics::counter!("lentilyoke_store_calls_total", "outcome" => outcome).increment(1);
        if answered {
            self.served_at.store(clock::now(), Ordering::Relaxed);
            let took = took.as_millis() as u64;
            let before = self.away.load(Ordering::Relaxed);
            self.away.store(before.min(took), Ordering::Relaxed);
            if took < LONGEST_ANSWER {
                metrics::histogram!("lentilyoke_store_ms").record(took as f64);
                let usual = self.usual.load(Ordering::Relaxed);
                self.usual.store((usual * 3 + took) / 4, Ordering::Relaxed);
            }
        }
        // A call that went unanswered tells that the store has been silent for as long as it took, unless another call
        // was answered meanwhile.
        let began = clock::now().saturating_sub(took.as_millis() as u64);
        let since = if answered {
            0
        } else {
            began.max(self.served_at.load(Ordering::Relaxed)).max(1)
        };
        let before = self.failing.load(Ordering::Relaxed);
        if answered || before == 0 {
            self.failing.store(since, Ordering::Relaxed);
        }
        if answered && before > 0 {
            info!(dependency = "store", ms = clock::now().saturating_sub(before); "regained");
            self.store_changed.notify_waiters();
        } else if !answered && before == 0 {
            warn!(dependency = "store"; "lost");
            self.store_changed.notify_waiters();
        }
    }

    /// Whether the store serves this host. One call without an answer says little: the next may be answered.
    #[must_use]
    pub fn served(&self) -> bool {
        let now = clock::now();
        let failing = self.failing.load(Ordering::Relaxed);
        (failing == 0 || now.saturating_sub(failing) < FAILING)
            && now.saturating_sub(self.served_at.load(Ordering::Relaxed)) < SERVED
    }

    /// How long an answer of the store is awaited before the same call is made again.
    pub(crate) fn patience(&self) -> Duration {
        let usual = Duration::from_millis(self.usual.load(Ordering::Relaxed));
        (usual * 3).clamp(PATIENCE_LEAST, PATIENCE_MOST)
    }

    /// Shortest time in which the store answered, in milliseconds.
    pub(crate) fn away(&self) -> u64 {
        self.away.load(Ordering::Relaxed)
    }

    /// Puts a configuration into force unless a newer one is.
    pub(crate) fn put_catalog(&self, catalog: Catalog) {
        let before = self.catalog_version();
        if catalog.version > before {
            info!(version = catalog.version, before = before, queues = catalog.queues.len(); "configuration in force");
            self.catalog.store(Some(Arc::new(catalog)));
            self.current.changed.notify_waiters();
        }
    }
}

/// Locks; what a thread that panicked left is used as it is.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}
