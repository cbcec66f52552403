//! Simulation of a cell: workers that follow the protocol, a store, and successive owners.
//!
//! Time advances in steps of 5 ms, and the seed determines the order of events. The simulated workers check the invariants
//! when they carry out a command: no task runs twice or again after its end, and no worker's capacity is exceeded.
//! Each test file uses a part of this module.

mod cancellations;
mod crashes;
mod gangs;
mod jobs;
mod workers;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use pool::{
    Command, CustomerId, Entitlement, Job, Limit, Ms, Options, Pool, Progress, RunEnd, Start,
    StartAnswer, State, Stop, StopAnswer, TaskKey, WorkerId, WorkerInfo, WorkerReport,
};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use resource::Size;

#[allow(unused_imports, reason = "each test file uses some of them")]
pub(crate) use jobs::{job, long_running_job};

/// Time from the restart of a worker until the directory describes its new incarnation.
const DESCRIBED_AFTER: Ms = 300;
/// Length of a simulation step, in milliseconds.
pub(crate) const STEP: Ms = 5;
/// Unix time at which the simulation starts, in milliseconds.
pub(crate) const UNIX: u64 = 1_700_000_000_000;

/// A run on a simulated worker.
#[derive(Clone, Debug)]
struct Run {
    number: u32,
    size: Size,
    /// The customer of the job, and what the run counts with against its limit.
    charge: (CustomerId, Size),
    ends_at: Ms,
    duration: Ms,
    /// Number of members of its gang; 0 if it belongs to none.
    gang_size: u32,
    fails: bool,
    stops_at: Option<Ms>,
}

/// A simulated worker.
#[derive(Debug, Default)]
pub(crate) struct SimWorker {
    incarnation: u64,
    epoch: u64,
    lease: Ms,
    runs: BTreeMap<TaskKey, Run>,
    highest_runs: HashMap<TaskKey, u32>,
    unstored_ends: Vec<RunEnd>,
    end_count: u64,
    /// Owners with these epochs can't reach it.
    pub(crate) disconnected_owners: BTreeSet<u64>,
    /// It is down until this time.
    pub(crate) down_until: Ms,
    /// Its capacity and since when, if it differs from the default.
    capacity: Option<(Size, Ms)>,
}

/// A message or event that is due at a later time.
#[derive(Clone, Debug)]
enum Message {
    /// A start command of the owner with this index arrives; the flag tells whether the answer reaches the owner.
    Start(usize, Start, bool),
    Started(usize, Start, StartAnswer),
    Stop(usize, Stop),
    Stopped(usize, Stop, StopAnswer),
    Report(usize, WorkerId, WorkerReport),
    /// A task crashes its worker, if that still has this incarnation.
    Crash(WorkerId, u64, TaskKey),
    /// The owners read the directory's row of a worker.
    Row(WorkerId),
}

/// An owner.
pub(crate) struct Owner {
    pub(crate) epoch: u64,
    pub(crate) pool: Pool,
    /// It is paused until this time.
    pub(crate) paused_until: Ms,
    pub(crate) stopped: bool,
}

/// Conditions of the simulation.
#[derive(Clone, Debug)]
pub(crate) struct Conditions {
    /// Share of start commands that get no answer and are carried out late.
    pub(crate) lost_answer_rate: f64,
    /// Share of runs that fail.
    pub(crate) failure_rate: f64,
    /// Whether the store is available.
    pub(crate) store_up: bool,
}

/// A simulated cell.
pub(crate) struct Simulation {
    pub(crate) now: Ms,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) workers: BTreeMap<WorkerId, SimWorker>,
    pub(crate) owners: Vec<Owner>,
    pub(crate) conditions: Conditions,
    pub(crate) jobs: BTreeMap<String, Arc<Job>>,
    stored: BTreeMap<String, Progress>,
    roster: Vec<WorkerId>,
    unavailable: Vec<pool::UnavailableWorker>,
    in_transit: Vec<(Ms, Message)>,
    stored_ends: BTreeSet<TaskKey>,
    gangs: gangs::Gangs,
    pub(crate) violations: Vec<String>,
    pub(crate) starts: usize,
    /// Workers that carry out commands and polls but whose reports are lost.
    pub(crate) mute: BTreeSet<WorkerId>,
    /// Workers on which every run fails.
    pub(crate) faulty: BTreeSet<WorkerId>,
    /// Number of runs on them.
    pub(crate) failures: usize,
    capacity: Size,
    /// Limits of customers; see [`Simulation::set_limit`].
    limits: BTreeMap<CustomerId, Size>,
    /// Tasks that crash each worker that starts them.
    pub(crate) crashers: BTreeMap<TaskKey, crashes::Crashes>,
    /// Number of workers that crashed while they ran a task, whatever the cause.
    pub(crate) crashed_under: BTreeMap<TaskKey, u32>,
    /// Whether workers that are crashed by a task come back under another id.
    pub(crate) replace_crashed: bool,
    /// When jobs were cancelled.
    cancelled: BTreeMap<String, Ms>,
}

impl Simulation {
    pub(crate) fn new(seed: u64, workers: usize) -> Self {
        let capacity = Size::new(4_000, 10_000, 0);
        let workers = (0..workers)
            .map(|index| {
                let worker = SimWorker {
                    incarnation: 1,
                    ..SimWorker::default()
                };
                (format!("w{index:02}").into(), worker)
            })
            .collect();
        Self {
            now: 1_000_000,
            rng: ChaCha8Rng::seed_from_u64(seed),
            workers,
            owners: Vec::new(),
            conditions: Conditions {
                lost_answer_rate: 0.0,
                failure_rate: 0.0,
                store_up: true,
            },
            jobs: BTreeMap::new(),
            stored: BTreeMap::new(),
            roster: Vec::new(),
            unavailable: Vec::new(),
            in_transit: Vec::new(),
            stored_ends: BTreeSet::new(),
            gangs: gangs::Gangs::new(),
            violations: Vec::new(),
            starts: 0,
            mute: BTreeSet::new(),
            faulty: BTreeSet::new(),
            failures: 0,
            capacity,
            limits: BTreeMap::new(),
            crashers: BTreeMap::new(),
            crashed_under: BTreeMap::new(),
            replace_crashed: false,
            cancelled: BTreeMap::new(),
        }
    }

    pub(crate) fn unix(&self) -> u64 {
        UNIX + self.now - 1_000_000
    }

    /// The clock of a worker. It differs from the owners' clock, and changes with each incarnation.
    fn clock(&self, id: &WorkerId) -> Ms {
        self.now - 900_000 + self.workers[id].incarnation * 7
    }

    /// Starts a new owner, which takes over the pool.
    pub(crate) fn start_owner(&mut self) {
        let epoch = self.owners.len() as u64 + 1;
        let mut pool = Pool::new(Options {
            epoch,
            ..Options::default()
        });
        for (id, worker) in self
            .workers
            .iter()
            .filter(|(_, it)| it.down_until < Ms::MAX)
        {
            pool.update_worker(self.now, id, self.worker_info(id, worker));
        }
        self.load_jobs(&mut pool);
        let present = self
            .workers
            .iter()
            .filter(|(_, it)| it.down_until < Ms::MAX);
        let mut roster: Vec<WorkerId> = present.map(|(id, _)| Arc::clone(id)).collect();
        roster.extend(self.roster.iter().cloned());
        roster.sort();
        roster.dedup();
        pool.set_stored_roster(&roster);
        pool.set_customers(self.entitlements());
        pool.inherit(self.now, roster.clone(), &self.unavailable);
        pool.set_jobs_incomplete(self.now, false);
        self.roster = roster;
        self.owners.push(Owner {
            epoch,
            pool,
            paused_until: 0,
            stopped: false,
        });
    }

    /// The newest owner leaves: it hands over what it knows about workers that don't answer, and goes on until it learns that it
    /// was replaced.
    pub(crate) fn hand_over(&mut self) {
        let now = self.now;
        let leaving = self.owners.last_mut();
        let bounds = leaving.map(|it| it.pool.release_silent_workers(now, usize::MAX));
        self.start_owner();
        if let Some(next) = self.owners.last_mut() {
            next.pool.set_lease_bounds(now, bounds.unwrap_or_default());
        }
    }

    /// Sets a customer's limit, which all owners learn at once. No start may exceed it.
    pub(crate) fn set_limit(&mut self, customer: &str, limit: Size) {
        self.limits.insert(customer.into(), limit);
        let entitlements = self.entitlements();
        for owner in &mut self.owners {
            owner.pool.set_customers(entitlements.clone());
        }
    }

    fn entitlements(&self) -> Vec<(CustomerId, Entitlement)> {
        let entitlement = |(customer, &limit): (&CustomerId, &Size)| {
            let limit = Limit::from(limit);
            (
                Arc::clone(customer),
                Entitlement {
                    weight: 1_000.0,
                    limit,
                },
            )
        };
        self.limits.iter().map(entitlement).collect()
    }

    /// What a customer has running on all workers.
    pub(crate) fn running(&self, customer: &str) -> Size {
        let runs = self
            .workers
            .values()
            .flat_map(|worker| worker.runs.values());
        let own = runs.filter(|run| &*run.charge.0 == customer);
        own.fold(Size::ZERO, |sum, run| sum.plus(run.charge.1))
    }

    /// Accepts a caller's job for the current owner.
    pub(crate) fn accept(&mut self, job: Job) {
        let epoch = self.owners.last().map_or(0, |owner| owner.epoch);
        let accepted = self.unix();
        self.publish(&Arc::new(Job {
            epoch,
            accepted,
            ..job
        }));
    }

    /// Publishes a job's row. The current owner receives it, and so do former owners that don't know yet that they were
    /// replaced, as all of them follow the jobs.
    pub(crate) fn publish(&mut self, job: &Arc<Job>) {
        self.jobs.insert(job.id.to_string(), Arc::clone(job));
        let (now, unix) = (self.now, self.unix());
        for owner in self.owners.iter_mut().filter(|owner| !owner.stopped) {
            owner.pool.adopt(now, unix, Arc::clone(job), None, false);
        }
    }

    /// From now on the owner with this epoch can't reach a worker.
    pub(crate) fn disconnect(&mut self, id: &WorkerId, epoch: u64) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.disconnected_owners.insert(epoch);
        }
    }

    /// Crashes a worker, which restarts after this time.
    pub(crate) fn crash(&mut self, id: &WorkerId, time: Ms) {
        let down_until = self.now + time;
        if let Some(worker) = self.workers.get_mut(id) {
            for task in worker.runs.keys() {
                *self.crashed_under.entry(task.clone()).or_default() += 1;
            }
            *worker = SimWorker {
                incarnation: worker.incarnation + 1,
                down_until,
                disconnected_owners: worker.disconnected_owners.clone(),
                capacity: worker.capacity,
                ..SimWorker::default()
            };
            let described_at = down_until.saturating_add(DESCRIBED_AFTER);
            let row = Message::Row(Arc::clone(id));
            self.in_transit.push((described_at, row));
        }
    }

    /// The directory's information about a worker.
    fn worker_info(&self, id: &WorkerId, worker: &SimWorker) -> WorkerInfo {
        WorkerInfo {
            address: id.to_string(),
            service: "s".into(),
            capacity: worker
                .capacity
                .map_or(self.capacity, |(capacity, _)| capacity),
            incarnation: worker.incarnation,
            ..WorkerInfo::default()
        }
    }

    fn send_after(&mut self, delay: Ms, message: Message) {
        let due_at = self.now + delay + self.rng.random_range(0..2) * STEP;
        self.in_transit.push((due_at, message));
    }

    /// Runs the simulation for this long.
    pub(crate) fn run_for(&mut self, time: Ms) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.deliver_due();
            self.update_gangs();
            self.end_runs();
            self.poll_workers();
            self.run_schedulers();
            if self.now.is_multiple_of(20) {
                self.store_changes();
            }
        }
    }

    fn deliver_due(&mut self) {
        let now = self.now;
        let (due, left): (Vec<_>, Vec<_>) = self
            .in_transit
            .drain(..)
            .partition(|(due_at, _)| *due_at <= now);
        self.in_transit = left;
        for (_, message) in due {
            match message {
                Message::Start(owner, start, answers) => self.start(owner, start, answers),
                Message::Stop(owner, stop) => self.stop(owner, stop),
                Message::Started(owner, start, answer) => {
                    self.owners[owner].pool.start_answered(now, &start, answer);
                }
                Message::Stopped(owner, stop, answer) => {
                    self.owners[owner].pool.stop_answered(now, &stop, answer);
                }
                Message::Report(owner, id, report) => {
                    let unix = self.unix();
                    self.owners[owner]
                        .pool
                        .apply_report(now, unix, &id, &report);
                }
                Message::Crash(id, incarnation, task) => self.crash_under(&id, incarnation, &task),
                Message::Row(id) => self.publish_row(&id),
            }
        }
    }

    fn reaches(&self, owner: usize, id: &WorkerId) -> bool {
        let worker = &self.workers[id];
        worker.down_until <= self.now
            && !worker
                .disconnected_owners
                .contains(&self.owners[owner].epoch)
    }

    fn run_schedulers(&mut self) {
        for owner in 0..self.owners.len() {
            if self.owners[owner].stopped || self.owners[owner].paused_until > self.now {
                continue;
            }
            let (now, unix) = (self.now, self.unix());
            let commands = self.owners[owner].pool.schedule(now, unix);
            if self.owners[owner].pool.deposed() {
                self.owners[owner].stopped = true;
            }
            for command in commands {
                match command {
                    Command::Start(start) => {
                        if self.rng.random_bool(self.conditions.lost_answer_rate) {
                            let delay = self.rng.random_range(2_000..12_000);
                            self.send_after(delay, Message::Start(owner, start.clone(), false));
                            self.send_after(450, Message::Started(owner, start, StartAnswer::Lost));
                        } else if self.reaches(owner, &start.worker) {
                            self.send_after(STEP, Message::Start(owner, start, true));
                        } else {
                            self.send_after(450, Message::Started(owner, start, StartAnswer::Lost));
                        }
                    }
                    Command::Stop(stop) => self.send_after(STEP, Message::Stop(owner, stop)),
                    Command::Pace(_) | Command::Query(_) => {}
                }
            }
        }
    }

    /// The newest owner stores its changes. A replaced owner can't: its writes depend on the owner's row.
    fn store_changes(&mut self) {
        if !self.conditions.store_up {
            return;
        }
        let Some(owner) = self.owners.last_mut() else {
            return;
        };
        if owner.stopped || owner.paused_until > self.now {
            return;
        }
        let batch = owner.pool.batch(80);
        for (id, progress) in &batch.rows {
            self.stored.insert(id.to_string(), progress.clone());
        }
        owner.pool.batch_stored(&batch);
        self.roster = owner.pool.roster(self.now);
        self.unavailable = owner.pool.unavailable_workers(self.now);
        owner.pool.set_stored_roster(&self.roster);
    }

    /// Number of runs on a worker.
    pub(crate) fn run_count(&self, id: &WorkerId) -> usize {
        self.workers[id].runs.len()
    }

    /// Number of jobs without a stored final state.
    pub(crate) fn unfinished(&self) -> usize {
        self.jobs
            .keys()
            .filter(|id| {
                !self
                    .stored
                    .get(*id)
                    .is_some_and(|progress| progress.state.is_final())
            })
            .count()
    }

    /// The jobs without a stored final state and the newest owner's view of its workers, for failure messages.
    pub(crate) fn report(&self) -> String {
        let pool = &self.owners[self.owners.len() - 1].pool;
        let open: Vec<_> = self
            .jobs
            .keys()
            .filter(|id| !self.stored(id).is_some_and(State::is_final))
            .collect();
        format!(
            "open jobs {open:?}, unconfirmed workers {}, quorum {}, workers {:?}",
            pool.unconfirmed_workers().len(),
            pool.has_quorum(self.now),
            pool.workers().collect::<Vec<_>>()
        )
    }

    /// Number of jobs that, as stored, did not reach a final state within this time after they were accepted.
    pub(crate) fn count_late(&self, limit: Ms) -> usize {
        let times = self.jobs.values().map(|job| {
            let progress = self.stored.get(&*job.id)?;
            let took = progress.closed.saturating_sub(job.accepted);
            progress.state.is_final().then_some(took)
        });
        times
            .filter(|took| took.is_none_or(|took| took > limit))
            .count()
    }

    /// The stored progress of a job.
    pub(crate) fn stored_progress(&self, id: &str) -> &Progress {
        &self.stored[id]
    }

    /// The stored state of a job.
    pub(crate) fn stored(&self, id: &str) -> Option<pool::State> {
        self.stored.get(id).map(|progress| progress.state)
    }
}
