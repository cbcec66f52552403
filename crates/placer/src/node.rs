//! One placer: its shared state and background tasks.

mod digest_exchange;
mod rack_calls;
mod table_sync;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use cell::{Digests, Event, JobScheduler, Now, Stage};
use config::{Cell, Version};
use platform::{Hosts, Table};
use resource::id;
use telemetry::{Health, Shutdown, Uptime};
use tokio::sync::Notify;
use wire::{Digest, FencingToken, Inventory, Owner, RouteQuery, Routes, Status};

use crate::claims::{self, ClaimQueues};
use crate::table_view::TableView;
use crate::{Claims, Options, Peers, Shard};

/// A configuration that has been applied.
#[derive(Debug)]
pub(crate) struct AppliedConfig {
    pub(crate) version: Version,
    pub(crate) cell: Cell,
}

/// An entry that fetches its routes from this placer.
#[derive(Debug)]
struct AttachedEntry {
    applied: Version,
    last_seen: Now,
}

/// One placer.
pub struct Node {
    /// Start-up options.
    pub options: Options,
    pub(crate) table: Arc<dyn Table>,
    pub(crate) hosts: Arc<dyn Hosts>,
    pub(crate) workers: Arc<dyn worker::WorkerApi>,
    pub(crate) peers: Arc<dyn Peers>,
    /// Clock that counts from the start of the placer.
    pub uptime: Uptime,
    /// Signals draining and the end of the process.
    pub shutdown: Shutdown,
    /// Readiness for work.
    pub health: Health,
    pub(crate) claims: Claims,
    pub(crate) digests: Mutex<Digests>,
    pub(crate) sync_now: Notify,
    claim_queues: Mutex<Option<ClaimQueues>>,
    config: ArcSwapOption<AppliedConfig>,
    view: Mutex<TableView>,
    shards: RwLock<BTreeMap<id::Rack, Arc<Shard>>>,
    attached: Mutex<BTreeMap<id::Entry, AttachedEntry>>,
    /// Whether the configuration has been confirmed since the process was last paused.
    config_confirmed: AtomicBool,
}

/// An entry that has not asked for routes for this long counts as detached.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(10);

impl Node {
    /// Creates a placer; [`Node::spawn`] starts its background tasks.
    #[must_use]
    pub fn new(
        options: Options,
        table: Arc<dyn Table>,
        hosts: Arc<dyn Hosts>,
        workers: Arc<dyn worker::WorkerApi>,
        peers: Arc<dyn Peers>,
        shutdown: Shutdown,
    ) -> Arc<Self> {
        let (claims, claim_queues) = Claims::new();
        Arc::new(Self {
            options,
            table,
            hosts,
            workers,
            peers,
            uptime: Uptime::start(),
            shutdown,
            health: Health::default(),
            claims,
            digests: Mutex::default(),
            sync_now: Notify::new(),
            claim_queues: Mutex::new(Some(claim_queues)),
            config: ArcSwapOption::empty(),
            view: Mutex::default(),
            shards: RwLock::default(),
            attached: Mutex::default(),
            config_confirmed: AtomicBool::new(false),
        })
    }

    /// Starts the background tasks, which end with the [`Shutdown`] passed to [`Node::new`].
    pub fn spawn(self: &Arc<Self>) {
        let claim_queues = lock(&self.claim_queues).take();
        if let Some(claim_queues) = claim_queues {
            self.shutdown
                .spawn(claims::forward(Arc::clone(self), claim_queues));
        }
        self.shutdown.spawn(table_sync::run(Arc::clone(self)));
        self.shutdown.spawn(digest_exchange::run(Arc::clone(self)));
    }

    /// Drains the placer: accepts nothing new, finishes work in progress and hands over all racks.
    /// What is left when only [`Options::ending_time`] of the drain timeout remains isn't awaited.
    pub async fn drain(&self) {
        self.shutdown.drain();
        self.health.set_ready(false);
        self.sync_now.notify_one();
        let limit = self.options.drain_timeout - self.options.ending_time();
        let deadline = tokio::time::Instant::now() + limit;
        for shard in self.shards() {
            shard.handle(&Event::Unassigned);
        }
        while tokio::time::Instant::now() < deadline {
            let busy = |s: &Arc<Shard>| s.stage() != Stage::Watching;
            if !self.shards().iter().any(busy) {
                break;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Drains the placer, answers the calls that are still in progress, ends the connections of its
    /// callers, then all its tasks. Tasks that haven't ended within the drain timeout are abandoned.
    pub async fn stop(&self) {
        let deadline = tokio::time::Instant::now() + self.options.drain_timeout;
        self.drain().await;
        let ended = tokio::time::timeout_at(deadline, self.shutdown.join()).await;
        if ended.is_err() {
            log::warn!(
                "tasks still in progress after {:?}",
                self.options.drain_timeout
            );
        }
    }

    /// Time since the start of the placer.
    #[must_use]
    pub fn now(&self) -> Now {
        self.uptime.elapsed()
    }

    /// The configuration to act on, with its version.
    ///
    /// `None` after a pause of the process until the configuration is confirmed: meanwhile others
    /// may have counted this process as crashed and accepted a newer configuration without it.
    pub(crate) fn active_config(&self) -> Option<Arc<AppliedConfig>> {
        self.latest_config()
            .filter(|_| self.config_confirmed.load(Ordering::Acquire))
    }

    /// The configuration that was last applied, whether or not it is confirmed.
    pub(crate) fn latest_config(&self) -> Option<Arc<AppliedConfig>> {
        self.config.load_full()
    }

    /// Sets whether the configuration has been confirmed since the last pause.
    pub(crate) fn set_config_confirmed(&self, confirmed: bool) {
        self.config_confirmed.store(confirmed, Ordering::Release);
    }

    pub(crate) fn view(&self) -> MutexGuard<'_, TableView> {
        lock(&self.view)
    }

    /// All racks that it watches or owns.
    pub(crate) fn shards(&self) -> Vec<Arc<Shard>> {
        let shards = self.shards.read().unwrap_or_else(PoisonError::into_inner);
        shards.values().cloned().collect()
    }

    /// One rack.
    pub(crate) fn shard(&self, rack: &str) -> Option<Arc<Shard>> {
        self.shards
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .get(rack)
            .cloned()
    }

    /// Address of the owner of a rack according to the cached table.
    pub(crate) fn owner(&self, rack: &str) -> Option<String> {
        let view = self.view();
        let (_, record) = view.records.get(rack)?;
        record.owner.as_ref().map(|_| record.address.clone())
    }

    /// Address of the placer that writes the claims of this data centre; `None` if it is this one.
    pub(crate) fn claim_writer(&self) -> Option<String> {
        let view = self.view();
        let (name, address) = view.claim_writer(self.now(), &self.options)?;
        (*name != self.options.name).then(|| address.to_owned())
    }

    /// Addresses of the other running placers of this region.
    pub(crate) fn region_peers(&self) -> Vec<String> {
        let mut peers =
            self.view()
                .addresses(Some(&self.options.region), self.now(), &self.options);
        peers.retain(|address| *address != self.options.address);
        peers
    }

    /// Addresses of all running placers, including this one.
    pub(crate) fn live_addresses(&self) -> Vec<String> {
        self.view().addresses(None, self.now(), &self.options)
    }

    /// Routes and configuration that an entry does not have yet; `None` if this placer has not
    /// confirmed its own configuration.
    pub fn routes(&self, query: &RouteQuery) -> Option<Routes> {
        self.active_config()?;
        let last_seen = self.now();
        let attached = AttachedEntry {
            applied: query.applied,
            last_seen,
        };
        lock(&self.attached).insert(query.entry.clone(), attached);
        let config = self.config_at_least(query.applied + 1);
        let view = self.view();
        // Generations of different placers or incarnations can't be compared, so an entry that
        // switches to another placer asks with generation 0.
        let generation = view.generation;
        if query.generation == generation {
            return Some(Routes {
                generation,
                config,
                ..Routes::default()
            });
        }
        let owner = |(rack, (_, record)): (&id::Rack, &(u64, cell::Record))| {
            let placer = record.owner.clone()?;
            let (address, epoch) = (record.address.clone(), record.epoch);
            Some((
                rack.clone(),
                Owner {
                    placer,
                    address,
                    epoch,
                },
            ))
        };
        let owners = view.records.iter().filter_map(owner).collect();
        let placers = view.addresses(None, last_seen, &self.options);
        Some(Routes {
            generation,
            owners: Some(owners),
            placers,
            config,
        })
    }

    /// The confirmed configuration, if it has at least this version.
    pub fn config_at_least(&self, min_version: Version) -> Option<(Version, config::raw::Cell)> {
        let applied = self.active_config().filter(|a| a.version >= min_version)?;
        Some((applied.version, applied.cell.to_raw().clone()))
    }

    /// Free capacity of the racks that this placer owns.
    pub fn local_digests(&self) -> Vec<Digest> {
        let now = self.now();
        self.shards()
            .iter()
            .filter_map(|shard| shard.digest(now))
            .collect()
    }

    /// The tasks that the racks of this placer hold for the jobs of one home rack.
    pub fn inventory(&self, from: &FencingToken) -> Vec<Inventory> {
        let now = self.now();
        self.shards()
            .iter()
            .filter_map(|shard| shard.inventory(from, now))
            .collect()
    }

    /// State of the placer for operators.
    #[must_use]
    pub fn status(&self) -> Status {
        let now = self.now();
        let owned = self.shards();
        let owned = owned
            .iter()
            .filter(|shard| shard.stage() != Stage::Watching);
        Status {
            placer: self.options.name.clone(),
            config: self.latest_config().map_or(0, |a| a.version),
            draining: self.shutdown.is_draining(),
            racks: owned.map(|shard| shard.status(now)).collect(),
        }
    }

    /// Applies a configuration if it is newer than the present one.
    pub(crate) fn apply(self: &Arc<Self>, version: Version, raw: config::raw::Cell) {
        if self.latest_config().is_some_and(|a| a.version >= version) {
            return;
        }
        let cell = match Cell::try_from(raw) {
            Ok(cell) => cell,
            Err(error) => {
                log::error!("configuration {version} rejected: {error}");
                return;
            }
        };
        log::info!(config = version; "configuration applied");
        let worker_size = cell.worker;
        let applied = Arc::new(AppliedConfig { version, cell });
        self.config.store(Some(Arc::clone(&applied)));
        let mut digests = lock(&self.digests);
        if digests.free() == resource::Size::ZERO {
            *digests = Digests::new(worker_size);
        }
        drop(digests);
        self.watch_racks(&applied.cell);
    }

    /// Creates a shard for every new rack and passes the configuration to the existing ones.
    fn watch_racks(self: &Arc<Self>, cell: &Cell) {
        let mut shards = self.shards.write().unwrap_or_else(PoisonError::into_inner);
        for rack in cell.racks.keys() {
            if let Some(shard) = shards.get(rack) {
                shard.configure(cell);
                continue;
            }
            let shard = Arc::new(Shard::new(rack, self.options.request_retention));
            shards.insert(rack.clone(), Arc::clone(&shard));
            shard.spawn(self);
        }
    }

    /// Marks the content of racks with a new owner as unknown in all job schedulers.
    pub(crate) fn mark_unconfirmed(&self, racks: &[id::Rack]) {
        let now = self.now();
        for shard in self.shards() {
            shard.with_scheduler(|scheduler: &mut JobScheduler| {
                racks
                    .iter()
                    .for_each(|rack| scheduler.mark_unknown(rack, now));
            });
        }
    }
}

/// Locks a mutex and ignores poisoning: poisoning means that a thread panicked, so the process is
/// about to end, and the guarded state is always changed in one step.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
