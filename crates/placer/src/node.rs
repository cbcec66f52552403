//! One placer: what it knows, and the loops that keep it going.

mod beat;
mod reach;
mod spread;

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

use crate::claims::{self, Ends};
use crate::view::View;
use crate::{Claims, Options, Peers, Shard};

/// A configuration that is applied.
#[derive(Debug)]
pub(crate) struct Applied {
    pub(crate) version: Version,
    pub(crate) cell: Cell,
}

/// An entry that asks for routes.
#[derive(Debug)]
struct Attached {
    applied: Version,
    seen: Now,
}

/// One placer.
pub struct Node {
    /// What it was told at its start.
    pub options: Options,
    pub(crate) table: Arc<dyn Table>,
    pub(crate) hosts: Arc<dyn Hosts>,
    pub(crate) workers: Arc<dyn worker::WorkerApi>,
    pub(crate) peers: Arc<dyn Peers>,
    /// Time since its start.
    pub since: Uptime,
    /// Its end.
    pub stop: Shutdown,
    /// Whether it is ready for work.
    pub health: Health,
    pub(crate) claims: Claims,
    pub(crate) digests: Mutex<Digests>,
    pub(crate) beat_now: Notify,
    ends: Mutex<Option<Ends>>,
    applied: ArcSwapOption<Applied>,
    view: Mutex<View>,
    shards: RwLock<BTreeMap<id::Rack, Arc<Shard>>>,
    attached: Mutex<BTreeMap<id::Entry, Attached>>,
    /// Whether the configuration was heard of since the process last was paused.
    fresh: AtomicBool,
}

/// An entry that has not asked for this long is not there any more.
const DETACHED: Duration = Duration::from_secs(10);

impl Node {
    /// A placer that does nothing yet.
    #[must_use]
    pub fn new(
        options: Options,
        table: Arc<dyn Table>,
        hosts: Arc<dyn Hosts>,
        workers: Arc<dyn worker::WorkerApi>,
        peers: Arc<dyn Peers>,
        stop: Shutdown,
    ) -> Arc<Self> {
        let (claims, ends) = Claims::new();
        Arc::new(Self {
            options,
            table,
            hosts,
            workers,
            peers,
            since: Uptime::start(),
            stop,
            health: Health::default(),
            claims,
            digests: Mutex::default(),
            beat_now: Notify::new(),
            ends: Mutex::new(Some(ends)),
            applied: ArcSwapOption::empty(),
            view: Mutex::default(),
            shards: RwLock::default(),
            attached: Mutex::default(),
            fresh: AtomicBool::new(false),
        })
    }

    /// Starts all that the placer does; it ends with the [`Shutdown`] that it was given.
    pub fn spawn(self: &Arc<Self>) {
        let ends = lock(&self.ends).take();
        if let Some(ends) = ends {
            self.stop.spawn(claims::pass_on(Arc::clone(self), ends));
        }
        self.stop.spawn(beat::run(Arc::clone(self)));
        self.stop.spawn(spread::run(Arc::clone(self)));
    }

    /// Stops in good order: takes nothing new, finishes what is in hand, hands over all racks.
    pub async fn drain(&self) {
        self.stop.drain();
        self.health.set_ready(false);
        self.beat_now.notify_one();
        let deadline = tokio::time::Instant::now() + self.options.drain;
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

    /// Time since the start.
    #[must_use]
    pub fn now(&self) -> Now {
        self.since.elapsed()
    }

    /// The configuration to act on, with its version.
    ///
    /// `None` after a pause, until it was heard of again: others may have counted this process as
    /// dead meanwhile, and accepted a newer configuration without it.
    pub(crate) fn applied(&self) -> Option<Arc<Applied>> {
        self.known().filter(|_| self.fresh.load(Ordering::Acquire))
    }

    /// The configuration that was last applied, even if there may be a newer one.
    pub(crate) fn known(&self) -> Option<Arc<Applied>> {
        self.applied.load_full()
    }

    /// Says whether the configuration was heard of since the last pause.
    pub(crate) fn set_fresh(&self, fresh: bool) {
        self.fresh.store(fresh, Ordering::Release);
    }

    pub(crate) fn view(&self) -> MutexGuard<'_, View> {
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

    /// Address of the placer that owns a rack, as far as is known.
    pub(crate) fn owner(&self, rack: &str) -> Option<String> {
        let view = self.view();
        let (_, record) = view.records.get(rack)?;
        record.owner.as_ref().map(|_| record.address.clone())
    }

    /// Address of the placer that writes the claims of this data centre; `None` if it is this one.
    pub(crate) fn claimant(&self) -> Option<String> {
        let view = self.view();
        let (name, address) = view.claimant(self.now(), &self.options)?;
        (*name != self.options.name).then(|| address.to_owned())
    }

    /// Addresses of the live placers of this region, without this one.
    pub(crate) fn neighbours(&self) -> Vec<String> {
        let mut near = self
            .view()
            .addresses(Some(&self.options.region), self.now(), &self.options);
        near.retain(|address| *address != self.options.address);
        near
    }

    /// Addresses of all live placers.
    pub(crate) fn everyone(&self) -> Vec<String> {
        self.view().addresses(None, self.now(), &self.options)
    }

    /// What an entry needs to know, apart from what it has; `None` if this placer does not know
    /// whether its own configuration is in force.
    pub fn routes(&self, ask: &RouteQuery) -> Option<Routes> {
        self.applied()?;
        let seen = self.now();
        let attached = Attached {
            applied: ask.applied,
            seen,
        };
        lock(&self.attached).insert(ask.entry.clone(), attached);
        let config = self.config_than(ask.applied + 1);
        let view = self.view();
        // Generations of different placers, or of different lives, can't be compared; an entry
        // that changes to another placer asks with generation 0.
        let generation = view.generation;
        if ask.generation == generation {
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
        let placers = view.addresses(None, seen, &self.options);
        Some(Routes {
            generation,
            owners: Some(owners),
            placers,
            config,
        })
    }

    /// The configuration that is applied, if it is this version or a newer one.
    pub fn config_than(&self, than: Version) -> Option<(Version, config::raw::Cell)> {
        let applied = self.applied().filter(|a| a.version >= than)?;
        Some((applied.version, applied.cell.to_raw().clone()))
    }

    /// Room in the racks of this placer.
    pub fn own_digests(&self) -> Vec<Digest> {
        let now = self.now();
        self.shards()
            .iter()
            .filter_map(|shard| shard.digest(now))
            .collect()
    }

    /// What the racks of this placer hold of the jobs of one home rack.
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
            config: self.known().map_or(0, |a| a.version),
            draining: self.stop.is_draining(),
            racks: owned.map(|shard| shard.status(now)).collect(),
        }
    }

    /// Applies a configuration, if it is newer than the present one.
    pub(crate) fn apply(self: &Arc<Self>, version: Version, raw: config::raw::Cell) {
        if self.known().is_some_and(|a| a.version >= version) {
            return;
        }
        let cell = match Cell::try_from(raw) {
            Ok(cell) => cell,
            Err(error) => {
                log::error!("configuration {version} is not accepted: {error}");
                return;
            }
        };
        log::info!(config = version; "configuration applied");
        let whole = cell.worker;
        let applied = Arc::new(Applied { version, cell });
        self.applied.store(Some(Arc::clone(&applied)));
        let mut digests = lock(&self.digests);
        if digests.free() == resource::Size::ZERO {
            *digests = Digests::new(whole);
        }
        drop(digests);
        self.watch(&applied.cell);
    }

    /// Watches every rack of the configuration.
    fn watch(self: &Arc<Self>, cell: &Cell) {
        let mut shards = self.shards.write().unwrap_or_else(PoisonError::into_inner);
        for rack in cell.racks.keys() {
            if let Some(shard) = shards.get(rack) {
                shard.configure(cell);
                continue;
            }
            let shard = Arc::new(Shard::new(rack, self.options.remember));
            shards.insert(rack.clone(), Arc::clone(&shard));
            shard.spawn(self);
        }
    }

    /// A desk hears of every rack that has a new owner: what it holds is not known.
    pub(crate) fn doubt(&self, racks: &[id::Rack]) {
        let now = self.now();
        for shard in self.shards() {
            shard.with_desk(|desk: &mut JobScheduler| {
                racks.iter().for_each(|rack| desk.mark_unknown(rack, now));
            });
        }
    }
}

/// A poisoned lock means that a thread panicked; the process is about to end, and what the lock
/// guards is changed in one step everywhere.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
