//! One rack as seen by its owner: workers, quick requests, tasks.

mod crash;
mod heartbeat;
mod place;
mod quick_requests;

pub use place::TASK_LEASE;

use std::collections::BTreeMap;

use policy::{Capacity, Rule};
use resource::{Size, id};
use wire::{
    AttemptState, Band, Digest, Event, FencingToken, Holding, Inventory, RackStatus, Shape, TaskId,
};
use worker::call::Adopted;

use crate::attempt::{Attempt, AttemptPhase};
use crate::fence::{Authority, Roster};
use crate::quick_queue::QuickQueue;
use crate::worker_state::WorkerState;
use crate::{Clock, Now};

/// Settings of a rack owner, from the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Placement rule for batch tasks.
    pub batch: Rule,
    /// Maximum number of waiting quick requests.
    pub max_queued: usize,
    /// Share of measured usage that is reserved in addition to it.
    pub usage_margin: f64,
    /// Whether resources that batch tasks declare but don't use are given to other work.
    pub reclaim: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            batch: Rule::BestFit,
            max_queued: 256,
            usage_margin: 0.25,
            reclaim: false,
        }
    }
}

impl From<&config::Policy> for Settings {
    fn from(policy: &config::Policy) -> Self {
        Self {
            batch: policy.batch.into(),
            max_queued: policy.queue,
            usage_margin: policy.margin,
            reclaim: policy.reclaim,
        }
    }
}

/// One rack under one owner.
#[derive(Debug)]
pub struct Rack {
    name: id::Rack,
    /// The epoch under which the state in this struct was first built up.
    known_since: id::Epoch,
    epoch: id::Epoch,
    settings: Settings,
    authority: Authority,
    active: bool,
    hosts: BTreeMap<id::Worker, WorkerState>,
    /// Workers whose last known incarnation has ended and that were not adopted since.
    restarted: BTreeMap<id::Worker, crash::Restart>,
    /// Tasks whose next crash fails their job, and since when each waits to be started here.
    last_tries: BTreeMap<crash::TaskKey, Now>,
    quick: QuickQueue,
    attempts: u64,
    /// Runs that may still be going on, and when each has certainly ended. Its slot counts as used
    /// until then.
    unresolved_runs: Vec<(Now, id::Worker, id::Incarnation)>,
    tasks: BTreeMap<TaskId, Attempt>,
    /// Epoch and serial number of the last message accepted from the owner of each home rack.
    last_messages: BTreeMap<id::Rack, (id::Epoch, u64)>,
    events: Vec<(id::Rack, Event)>,
}

impl Rack {
    /// A rack that was just taken under `epoch`.
    #[must_use]
    pub fn new(name: &str, epoch: id::Epoch, roster: Roster, settings: Settings) -> Self {
        Self {
            name: name.to_owned(),
            known_since: epoch,
            epoch,
            settings,
            authority: Authority::new(roster),
            active: false,
            hosts: BTreeMap::new(),
            restarted: BTreeMap::new(),
            last_tries: BTreeMap::new(),
            quick: QuickQueue::default(),
            attempts: 0,
            unresolved_runs: Vec::new(),
            tasks: BTreeMap::new(),
            last_messages: BTreeMap::new(),
            events: Vec::new(),
        }
    }

    /// Takes the same rack again under a new epoch and roster, keeping the known state.
    pub fn reacquire(&mut self, epoch: id::Epoch, roster: Roster) {
        self.epoch = epoch;
        self.authority = Authority::new(roster);
        self.active = false;
    }

    /// Applies a change of the configuration.
    pub fn configure(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// No earlier owner can act any longer: this owner may act from now on.
    pub fn activate(&mut self) {
        self.active = true;
    }

    /// Starts nothing new from now on.
    pub fn deactivate(&mut self) {
        self.active = false;
    }

    /// The rack's name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The owner's epoch.
    #[must_use]
    pub const fn epoch(&self) -> id::Epoch {
        self.epoch
    }

    /// Whether the owner may start something at `now`.
    #[must_use]
    pub fn may_act(&self, now: Now) -> bool {
        self.active && self.authority.is_valid(now)
    }

    /// Whether a majority of the workers has acknowledged the owner recently enough.
    #[must_use]
    pub fn has_authority(&self, now: Now) -> bool {
        self.authority.is_valid(now)
    }

    /// The workers whose acknowledgements prove ownership.
    #[must_use]
    pub const fn roster(&self) -> &Roster {
        self.authority.roster()
    }

    /// State of an adopted worker.
    #[must_use]
    pub fn host(&self, worker: &str) -> Option<&WorkerState> {
        self.hosts.get(worker)
    }

    /// All adopted workers.
    pub fn hosts(&self) -> impl Iterator<Item = (&id::Worker, &WorkerState)> {
        self.hosts.iter()
    }

    /// Records whether the platform lists a worker as leaving.
    pub fn set_listed_leaving(&mut self, worker: &str, leaving: bool) {
        if let Some(host) = self.hosts.get_mut(worker) {
            host.listed_leaving = leaving;
        }
    }

    /// A worker was adopted under the current epoch, by a call made at `sent`.
    pub fn adopt(
        &mut self,
        worker: &str,
        address: &str,
        incarnation: id::Incarnation,
        adopted: &Adopted,
        sent: Now,
        received: Now,
    ) {
        let clock = Clock::new(adopted.report.clock, sent, received);
        let known = self
            .hosts
            .get_mut(worker)
            .filter(|h| h.incarnation == incarnation);
        if let Some(host) = known {
            host.clock = clock;
            host.last_answer = sent;
        } else {
            self.remove_worker(worker);
            let mut host = WorkerState::new(address, incarnation, adopted, sent, received);
            if let Some(restart) = self.restarted.remove(worker) {
                host.restarted_at = Some(received);
                host.own_restart = restart.own;
            }
            for run in &adopted.report.runs {
                let until = clock.latest_time(run.until);
                self.quick.block_key(&run.key, until);
                self.unresolved_runs
                    .push((until, worker.to_owned(), incarnation));
                host.running += 1;
            }
            self.hosts.insert(worker.to_owned(), host);
        }
        self.authority.acknowledge(worker, sent);
        self.reconcile(worker, &adopted.report, sent, received);
    }

    /// A worker's current incarnation has ended, and with it everything that ran on it.
    pub fn remove_worker(&mut self, worker: &str) {
        self.authority.revoke(worker);
        let Some(host) = self.hosts.remove(worker) else {
            return;
        };
        let unsteady = self.is_unsteady(&host);
        let restart = self.restart(worker, &host);
        self.restarted.insert(worker.to_owned(), restart);
        self.unresolved_runs.retain(|(_, name, _)| name != worker);
        let on_worker = self.tasks.values().filter(|t| t.worker == worker);
        let ended: Vec<(TaskId, AttemptState)> = on_worker
            .map(|t| (t.id().clone(), t.state_after_restart(&host, unsteady)))
            .collect();
        for (id, state) in ended {
            self.end_attempt(&id, state);
        }
    }

    /// Accepts a message from the owner of a home rack; `false` if a later message was accepted
    /// before.
    pub fn accept_message(&mut self, from: &FencingToken) -> bool {
        let latest = self.last_messages.entry(from.home.clone()).or_default();
        let message = (from.epoch, from.serial);
        if message <= *latest {
            return false;
        }
        *latest = message;
        true
    }

    /// From now on rejects messages from owners of a home rack with an epoch lower than this one.
    pub fn reject_older_owners(&mut self, home: &str, epoch: id::Epoch) {
        let latest = self.last_messages.entry(home.to_owned()).or_default();
        *latest = (*latest).max((epoch, 0));
    }

    /// The attempts of the jobs of one home rack that this rack holds.
    #[must_use]
    pub fn inventory(&self, home: &str, complete: bool) -> Inventory {
        let of_home = self.tasks.values().filter(|t| t.task.home == home);
        let holding = |t: &Attempt| Holding {
            task: t.id().clone(),
            size: t.task.size,
        };
        let events = self
            .events
            .iter()
            .filter(|(h, _)| h == home)
            .map(|(_, e)| e.clone());
        Inventory {
            rack: self.name.clone(),
            complete: complete && self.active,
            holdings: of_home.map(holding).collect(),
            unconfirmed: events.collect(),
        }
    }

    /// Free and preemptible capacity of the rack.
    #[must_use]
    pub fn digest(&self, now: Now) -> Digest {
        let accepting = || {
            self.hosts
                .iter()
                .filter(|(_, h)| self.active && h.accepts_tasks(now))
        };
        Digest {
            rack: self.name.clone(),
            epoch: self.epoch,
            free: accepting()
                .map(|(name, host)| self.free_capacity(name, host))
                .collect(),
            yielding: accepting()
                .map(|(name, _)| self.preemptible_size(name, Band::Urgent))
                .collect(),
            lent: accepting()
                .map(|(name, _)| self.preemptible_size(name, Band::Normal))
                .collect(),
        }
    }

    /// Events that the owners of home racks have not confirmed yet.
    #[must_use]
    pub fn unconfirmed_events(&self) -> &[(id::Rack, Event)] {
        &self.events
    }

    /// The owner of this home rack has recorded these events.
    pub fn confirm_events(&mut self, home: &str, confirmed: &[Event]) {
        self.events
            .retain(|(h, event)| h != home || !confirmed.contains(event));
        let ended = confirmed.iter().filter(|event| event.state.is_over());
        for event in ended {
            for host in self.hosts.values_mut() {
                host.forget.push(event.task.clone());
            }
        }
    }

    /// State of the rack for operators.
    #[must_use]
    pub fn status(&self, stage: &str, now: Now) -> RackStatus {
        let worker_status = |(name, host): (&id::Worker, &WorkerState)| {
            let free = self.free_capacity(name, host);
            (
                name.clone(),
                host.size.saturating_minus(free),
                host.accepts_work(now),
            )
        };
        RackStatus {
            rack: self.name.clone(),
            epoch: self.epoch,
            stage: stage.to_owned(),
            workers: self.hosts.iter().map(worker_status).collect(),
            tasks: self.tasks.len() as u32,
            waiting: self.quick.len() as u32,
            teams: Vec::new(),
        }
    }

    /// Whether any quick request waits or runs, as far as this owner knows.
    #[must_use]
    pub fn has_quick_requests(&self) -> bool {
        self.quick.len() > 0 || self.hosts.values().any(|h| h.running > 0)
    }

    /// Capacity of a worker that is neither used nor reserved.
    fn free_capacity(&self, worker: &str, host: &WorkerState) -> Size {
        let reserved = self
            .tasks
            .values()
            .filter(|t| t.worker == worker)
            .map(|t| t.reserved)
            .sum();
        host.size.saturating_minus(reserved)
    }

    /// Capacity of a worker that is not occupied at this moment: attempts that still wait for
    /// capacity are not counted.
    fn unoccupied_capacity(&self, worker: &str, host: &WorkerState) -> Size {
        let occupied = self
            .tasks
            .values()
            .filter(|t| t.worker == worker && t.occupies());
        host.size
            .saturating_minus(occupied.map(|t| t.reserved).sum())
    }

    /// Capacity of a worker that batch tasks use and that work of this band may preempt.
    fn preemptible_size(&self, worker: &str, band: Band) -> Size {
        let preemptible = |t: &&Attempt| {
            t.worker == worker
                && t.task.shape == Shape::Batch
                && place::yields_to(t.task.band, band)
                && matches!(t.phase, AttemptPhase::Running { .. })
        };
        self.tasks
            .values()
            .filter(preemptible)
            .map(|t| t.reserved)
            .sum()
    }

    /// Workers that a task may be started on.
    fn accepting(
        &self,
        task: &TaskId,
        crashes: u32,
        now: Now,
    ) -> impl Iterator<Item = (&id::Worker, &WorkerState)> {
        self.hosts.iter().filter(move |(name, host)| {
            host.accepts_tasks(now) && self.may_start(name, host, task, crashes, now)
        })
    }

    fn candidates(
        &self,
        now: Now,
        siblings_of: &TaskId,
        crashes: u32,
    ) -> (Vec<id::Worker>, Vec<Capacity>) {
        let candidate = |(name, host): (&id::Worker, &WorkerState)| {
            let sibling = |t: &&Attempt| {
                t.worker == *name
                    && t.task.id.job == siblings_of.job
                    && t.task.id.team == siblings_of.team
            };
            let siblings = self.tasks.values().filter(sibling).count() as u32;
            (
                name.clone(),
                Capacity {
                    free: self.free_capacity(name, host),
                    total: host.size,
                    siblings,
                },
            )
        };
        self.accepting(siblings_of, crashes, now)
            .map(candidate)
            .unzip()
    }

    /// Removes an attempt that can't run any longer, and records an event for its job's owner.
    fn end_attempt(&mut self, id: &TaskId, state: AttemptState) {
        if let Some(attempt) = self.tasks.remove(id) {
            self.record_event(attempt.task.home, id.clone(), state);
        }
    }

    fn record_event(&mut self, home: id::Rack, task: TaskId, state: AttemptState) {
        let event = Event { task, state };
        if !self.events.iter().any(|(h, e)| *h == home && *e == event) {
            self.events.push((home, event));
        }
    }
}
