//! One process of the system.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use log::{info, warn};
use pool::Ms;
use telemetry::Stop;

use crate::catalog::Catalog;
use crate::clock;
use crate::follow::{Change, follow};
use crate::outside::{Advisor, Decode, Store, Workers};
use crate::owner::Owner;
use crate::peers::Link;
use crate::settings::Settings;
use crate::wire::{Beat, Call, Reply};

/// A configuration that was confirmed longer ago than this share of the time in which a change has to be in force may be
/// out of date: nothing is accepted by it. The rest is for requests that are in hand then.
const CURRENT: f64 = 0.88;
/// The store counts as serving this host if it has done so within this time.
const SERVED: Ms = 1_500;

/// Answers to questions for changes take as long as nothing changes; they say nothing about the store's speed.
const LONGEST_ANSWER: u64 = 10_000;
/// A sound store answers within 50 ms from any region, so a lost answer is found out after this.
const PATIENCE_LEAST: Duration = Duration::from_millis(160);
/// Callers wait three seconds, so a third call would come too late.
const PATIENCE_MOST: Duration = Duration::from_millis(900);
/// A store that has failed all calls for this long doesn't serve this host.
const FAILING: Ms = 400;

/// What this host heard from the owner last.
#[derive(Clone, Debug, Default)]
pub(crate) struct Heard {
    pub at: Ms,
    pub beat: Beat,
}

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
    current: AtomicU64,
    served_at: AtomicU64,
    /// Since when the store has only refused or not answered; 0 if it serves.
    failing: AtomicU64,
    away: AtomicU64,
    /// Time in which the store has answered lately, in milliseconds.
    usual: AtomicU64,
    owner: ArcSwapOption<Owner>,
    link: Mutex<Option<Arc<Link>>>,
    heard: Mutex<Heard>,
    knows_owner: AtomicBool,
}

impl Host {
    /// The part of the tables in which a pool's rows are.
    pub(crate) const PART: &'static str = "pool-0";

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
            current: AtomicU64::new(0),
            served_at: AtomicU64::new(0),
            failing: AtomicU64::new(0),
            away: AtomicU64::new(u64::MAX),
            usual: AtomicU64::new(0),
            owner: ArcSwapOption::empty(),
            link: Mutex::default(),
            heard: Mutex::default(),
            knows_owner: AtomicBool::new(false),
        })
    }

    /// Does all that a host does besides answering callers, until it is stopped.
    pub async fn run(self: &Arc<Self>) {
        tokio::join!(
            self.follow_catalog(),
            crate::election::run(self),
            crate::peers::listen(self),
        );
    }

    /// The configuration in force, if it is known to be current.
    #[must_use]
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.catalog.load_full()
    }

    /// Whether the configuration is known to be current.
    #[must_use]
    pub fn is_current(&self) -> bool {
        let age = clock::now().saturating_sub(self.current.load(Ordering::Relaxed));
        Duration::from_millis(age) < self.settings.catalog_within.mul_f64(CURRENT)
    }

    /// Whether this host should get new connections.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.stop.is_draining()
            && self.catalog.load().is_some()
            && self.is_current()
            && self.knows_owner.load(Ordering::Relaxed)
    }

    /// The owner, if it is this host.
    #[must_use]
    pub fn owner(&self) -> Option<Arc<Owner>> {
        self.owner.load_full()
    }

    pub(crate) fn set_owner(&self, owner: Option<Arc<Owner>>) {
        if owner.is_some() {
            self.knows_owner.store(true, Ordering::Relaxed);
        }
        self.owner.store(owner);
    }

    pub(crate) fn link(&self) -> Option<Arc<Link>> {
        lock(&self.link).clone()
    }

    pub(crate) fn set_link(&self, link: Option<Arc<Link>>) {
        if link.is_some() {
            self.knows_owner.store(true, Ordering::Relaxed);
        }
        *lock(&self.link) = link;
    }

    pub(crate) fn heard(&self) -> Heard {
        lock(&self.heard).clone()
    }

    /// The owner's beat has come: the configuration is current if the owner has the same.
    pub(crate) fn hear(&self, beat: Beat) {
        let now = clock::now();
        let mine = self
            .catalog
            .load()
            .as_ref()
            .map_or(0, |catalog| catalog.version);
        if beat.served && beat.catalog == mine && mine > 0 {
            self.confirm(now);
        }
        *lock(&self.heard) = Heard { at: now, beat };
    }

    fn confirm(&self, now: Ms) {
        self.current.fetch_max(now, Ordering::Relaxed);
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
        } else if !answered && before == 0 {
            warn!(dependency = "store"; "lost");
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

    /// Whether the store serves the owner, as far as this host knows.
    pub(crate) fn owner_served(&self) -> bool {
        let heard = self.heard();
        self.link().is_some() && heard.beat.served && clock::now().saturating_sub(heard.at) < SERVED
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
        let before = self
            .catalog
            .load()
            .as_ref()
            .map_or(0, |catalog| catalog.version);
        if catalog.version > before {
            info!(version = catalog.version, before = before, queues = catalog.queues.len(); "configuration in force");
            self.catalog.store(Some(Arc::new(catalog)));
        }
    }

    /// Follows the configuration; asks the owner for it while the store doesn't serve this host.
    async fn follow_catalog(self: &Arc<Self>) {
        let (table, key) = self.settings.places.catalog.clone();
        let parts = [String::new()];
        let from_store = follow(
            self.store.as_ref(),
            &table,
            &parts,
            None,
            Duration::ZERO,
            |change| {
                let rows = match change {
                    Change::All(page) => page.rows,
                    Change::Some(rows) => rows,
                    Change::Failed(_) => return,
                };
                self.confirm(clock::now());
                for row in rows.iter().filter(|row| row.key == key) {
                    let value = row.value.as_deref().unwrap_or_default();
                    match self.decode.catalog(value) {
                        Some(catalog) => self.put_catalog(catalog),
                        None => warn!(bytes = value.len(); "the configuration can't be read"),
                    }
                }
            },
        );
        let from_owner = async {
            loop {
                tokio::time::sleep(Duration::from_millis(150)).await;
                let mine = self
                    .catalog
                    .load()
                    .as_ref()
                    .map_or(0, |catalog| catalog.version);
                let heard = self.heard();
                let fresh = clock::now().saturating_sub(heard.at) < 1_000;
                if fresh
                    && heard.beat.catalog > mine
                    && let Some(link) = self.link()
                    && let Some(Reply::Catalog(catalog)) =
                        link.call(Call::Catalog, Duration::from_millis(600)).await
                {
                    self.put_catalog(*catalog);
                }
            }
        };
        tokio::select! {
            () = from_store => {}
            () = from_owner => {}
            () = self.stop.ended() => {}
        }
    }
}

/// Locks; what a thread that panicked left is used as it is.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}
