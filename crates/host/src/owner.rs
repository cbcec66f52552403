//! The owner of a pool.

mod advice;
mod calls;
mod directory;
mod members;
mod news;
mod planned;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use log::{info, warn};
use pool::repeat::Budget;
use pool::{AbandonedTask, Command, LostRun, Mechanism, Ms, Pool, StepTimes, WorkerId};
use rustc_hash::{FxHashMap, FxHashSet};
use tokio::sync::{Notify, mpsc};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::advisor_proxies::AdvisorProxy;
use crate::claim::Claim;
use crate::clock;
use crate::follow::{PollTiming, follow};
use crate::hedge::LossRate;
use crate::host::{Host, lock};
use crate::interfaces::Page;
use crate::log_sampling::is_logged_in_full;
use crate::owner_rows;
use crate::rows::{JOBS, job_parts};
use crate::store_outage::StoreOutage;
use crate::writer;
use advice::Question;
use directory::Directory;
use members::Member;
use news::Courses;
use planned::Planned;

/// Jobs are told to the owner directly; the table tells those whose hosts could not.
const JOBS_PACE: Duration = Duration::from_millis(200);
/// Rows of workers change with each of their heartbeats, some thirty a second for 48 workers. A worker that drains gets
/// nothing new from 2.5 s after its row says so.
const WORKERS_PACE: Duration = Duration::from_millis(350);
/// A new owner begins with the jobs that it knows after this time; it takes a quarter of it where the store is well.
const JOBS_WAIT: Duration = Duration::from_millis(400);
/// Longest time between two plans: leases, doubts and paces are looked at so often.
const TICK: Duration = Duration::from_millis(50);
/// Shortest time between two plans: news that comes together is planned together.
const GAP: Duration = Duration::from_millis(4);
/// Time between two looks at the owner's row.
const LOOK: Duration = Duration::from_millis(1_000);
/// Time between two lines about the pool as a whole.
const TELL: Ms = 1_000;

/// The owner of a pool.
pub struct Owner {
    host: Arc<Host>,
    /// The pool's number.
    number: u32,
    epoch: u64,
    pub(crate) pool: Mutex<Pool>,
    /// There is news to plan for.
    pub(crate) wake: Notify,
    /// There is something to store.
    pub(crate) dirty: Notify,
    /// Something was stored.
    pub(crate) stored: Notify,
    pub(crate) over: CancellationToken,
    members: Mutex<FxHashMap<String, Member>>,
    numbers: AtomicU64,
    questions: Mutex<FxHashMap<u64, Question>>,
    /// How this host answers its own questions to the advisor.
    helper: Mutex<AdvisorProxy>,
    /// Jobs are known: callers may be told what isn't there.
    loaded: AtomicBool,
    /// The transaction up to which they were read then.
    read_to: AtomicU64,
    /// Since when the store refuses or doesn't answer this owner's writes, if it does.
    pub(crate) unserved: Mutex<Option<StoreOutage>>,
    /// How common lost answers of workers are.
    pub(crate) lost_answers: Mutex<LossRate>,
    /// Holds that may be asked for again.
    pub(crate) copies: Mutex<Budget>,
    sessions: Mutex<FxHashSet<WorkerId>>,
    directory: Mutex<Directory>,
}

impl Owner {
    /// Owns a pool until another host does, or this one leaves.
    pub(crate) async fn run(
        host: &Arc<Host>,
        number: u32,
        claim: Claim,
        former: Vec<String>,
        version: u64,
    ) {
        let owner = Arc::new(Self {
            host: Arc::clone(host),
            number,
            epoch: claim.owner.epoch,
            pool: Mutex::new(Pool::new(pool::Options {
                epoch: claim.owner.epoch,
                ..host.settings.pool.clone()
            })),
            wake: Notify::new(),
            dirty: Notify::new(),
            stored: Notify::new(),
            over: CancellationToken::new(),
            members: Mutex::default(),
            numbers: AtomicU64::new(1),
            questions: Mutex::default(),
            helper: Mutex::default(),
            loaded: AtomicBool::new(false),
            read_to: AtomicU64::new(0),
            unserved: Mutex::default(),
            lost_answers: Mutex::default(),
            copies: Mutex::default(),
            sessions: Mutex::default(),
            directory: Mutex::default(),
        });
        host.set_owner(number, Some(Arc::clone(&owner)));
        let mut tasks = JoinSet::new();
        tasks.spawn(Arc::clone(&owner).beat());
        tasks.spawn(Arc::clone(&owner).hand_over());
        tasks.spawn(Arc::clone(&owner).look());
        tasks.spawn(Arc::clone(&owner).divide());
        tasks.spawn(Arc::clone(&owner).work(claim, former, version));
        tokio::select! {
            () = owner.over.cancelled() => {}
            () = host.stop.ended() => {}
        }
        owner.over.cancel();
        host.set_owner(number, None);
        tasks.shutdown().await;
        info!(pool = number, epoch = owner.epoch; "gave up the pool");
    }

    /// The pool's number.
    #[must_use]
    pub fn pool_number(&self) -> u32 {
        self.number
    }

    /// Its epoch, the fencing token of its orders.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    pub(crate) fn host(&self) -> &Arc<Host> {
        &self.host
    }

    /// The store did not take a write that was sent then; `refused` if it was surely not done.
    pub(crate) fn note_unserved(&self, asked: Ms, refused: bool) {
        let mut unserved = lock(&self.unserved);
        *unserved = Some(StoreOutage::note(*unserved, asked, clock::now(), refused));
    }

    pub(crate) fn is_over(&self) -> bool {
        self.over.is_cancelled()
    }

    /// Looks whether another host has taken the pool. An owner usually learns that from the workers or from a write, but
    /// one that can't reach either would go on telling other hosts that it is the owner.
    async fn look(self: Arc<Self>) {
        loop {
            tokio::time::sleep(LOOK).await;
            let read = owner_rows::read(&self.host, self.number).await;
            if let Some((Some((row, _)), _)) = read
                && row.epoch > self.epoch
            {
                warn!(pool = self.number, epoch = self.epoch, newer = row.epoch, owner = row.host; "another host owns the pool");
                self.over.cancel();
            }
        }
    }

    /// Takes up jobs and workers, then works.
    async fn work(self: Arc<Self>, claim: Claim, former: Vec<String>, version: u64) {
        let began = clock::now();
        self.read_to.store(version, Ordering::Relaxed);
        lock(&self.pool).set_jobs_incomplete(began, true);
        let wait = if self.host.has(Mechanism::PartialJobs) {
            JOBS_WAIT
        } else {
            Duration::MAX
        };
        let (to, mut pages) = mpsc::unbounded_channel();
        let mut reading = Box::pin(self.read_jobs(version, to));
        let ((listed, courses), read) = tokio::join!(
            self.read_workers(version),
            tokio::time::timeout(wait, reading.as_mut()),
        );
        let (all, after) = (read.is_ok(), listed.version);
        while let Ok(page) = pages.try_recv() {
            self.take_up_jobs(&page, &courses);
        }
        self.inherit(listed, &claim.roster, &former);
        let took = clock::now().saturating_sub(began);
        metrics::counter!("lentilyoke_takeovers_total").increment(1);
        metrics::histogram!("lentilyoke_takeover_ms").record(took as f64);
        info!(pool = self.number, epoch = self.epoch, all = all, ms = took; "jobs are known");
        let rest = async {
            if !all {
                tokio::join!(reading, self.take_up_rest(pages, &courses));
                let took = clock::now().saturating_sub(began);
                info!(pool = self.number, epoch = self.epoch, ms = took; "all jobs are known");
            }
            lock(&self.pool).set_jobs_incomplete(clock::now(), false);
            self.loaded.store(true, Ordering::Relaxed);
        };
        let parts: Vec<String> = job_parts().collect();
        let common = [String::new()];
        let store = Arc::clone(&self.host.store);
        let places = self.host.settings.store_tables.clone();
        let on_jobs = follow(
            store.as_ref(),
            JOBS,
            &parts,
            Some(version),
            PollTiming::default().pause(JOBS_PACE),
            |change| {
                self.jobs_changed(change);
            },
        );
        let on_workers = follow(
            store.as_ref(),
            &places.workers,
            &common,
            Some(after),
            PollTiming::default().pause(WORKERS_PACE),
            |change| {
                self.workers_changed(change);
            },
        );
        tokio::join!(
            rest,
            on_jobs,
            on_workers,
            writer::run(&self, claim, version),
            self.drive(),
        );
    }

    /// Takes up jobs of pages that come later, until all are read.
    async fn take_up_rest(&self, mut pages: mpsc::UnboundedReceiver<Page>, courses: &Courses) {
        while let Some(page) = pages.recv().await {
            self.take_up_jobs(&page, courses);
        }
    }

    /// Plans and gives orders.
    async fn drive(self: &Arc<Self>) {
        let mut told = clock::now();
        let mut planned = Planned::default();
        loop {
            tokio::select! {
                () = self.wake.notified() => {}
                () = tokio::time::sleep(TICK) => {}
            }
            let began = Instant::now();
            let (orders, unsaved, deposed, steps, lost, given_up) = {
                let mut pool = lock(&self.pool);
                let orders = pool.schedule(clock::now(), clock::unix());
                (
                    orders,
                    pool.has_unstored(),
                    pool.deposed(),
                    pool.take_steps_done(),
                    pool.take_lost_runs(),
                    pool.take_abandoned_tasks(),
                )
            };
            let took = began.elapsed();
            metrics::histogram!("lentilyoke_plan_ms").record(took.as_secs_f64() * 1_000.0);
            planned.add(took, orders.len());
            if clock::now().saturating_sub(told) > TELL {
                told = clock::now();
                self.tell_unseen();
                self.tell_load(std::mem::take(&mut planned));
            }
            if deposed {
                warn!(epoch = self.epoch; "a worker obeys a newer owner");
                self.over.cancel();
                return;
            }
            for order in orders {
                self.give(order);
            }
            if unsaved {
                self.dirty.notify_one();
            }
            steps.iter().for_each(tell_step);
            lost.iter().for_each(log_lost_run);
            given_up.iter().for_each(log_given_up);
            self.expire_questions();
            tokio::time::sleep(GAP).await;
        }
    }

    /// How full the pool is, by service, and how long decisions took since the last line.
    fn tell_load(&self, planned: Planned) {
        let load = lock(&self.pool).load();
        for (service, room) in &load.services {
            let share = |used: u64, all: u64| used as f64 / all.max(1) as f64;
            info!(
                pool = self.number, epoch = self.epoch, service = service.as_str(),
                processors = share(room.used.millicores, room.total.millicores),
                memory = share(room.used.memory_mib, room.total.memory_mib),
                accelerators = share(room.used.accelerators, room.total.accelerators),
                taken = load.demand, steps = load.open_steps, plans = planned.plans, orders = planned.orders,
                plan_us = planned.mean().as_micros() as u64, longest_us = planned.longest.as_micros() as u64;
                "load"
            );
        }
    }

    fn tell_unseen(&self) {
        let pool = lock(&self.pool);
        if let Some(first) = pool.unconfirmed_workers().first() {
            let (count, proved) = (
                pool.unconfirmed_workers().len(),
                pool.has_quorum(clock::now()),
            );
            warn!(epoch = self.epoch, workers = count, first = &**first, majority = proved; "inherited jobs wait for workers");
        }
    }

    fn address(&self, id: &str) -> Option<String> {
        let pool = lock(&self.pool);
        pool.worker(id).map(|worker| worker.info.address.clone())
    }

    /// Carries an order out, beside others.
    fn give(self: &Arc<Self>, order: Command) {
        let owner = Arc::clone(self);
        let workers = Arc::clone(&self.host.workers);
        let epoch = self.epoch;
        match order {
            Command::Start(start) => {
                let Some(address) = self.address(&start.worker) else {
                    return;
                };
                self.host.stop.spawn(async move {
                    let began = clock::now();
                    let answer = workers.start(&address, epoch, &start).await;
                    let now = clock::now();
                    metrics::counter!("lentilyoke_starts_total", "outcome" => answer.name())
                        .increment(1);
                    let key = &start.task;
                    let in_full = start.crashes > 0 || is_logged_in_full(&key.stage.job);
                    if answer != pool::StartAnswer::Running || in_full {
                        info!(
                            job = &*key.stage.job, occurrence = key.stage.occurrence, step = key.stage.step,
                            task = key.index, run = start.run, worker = &*start.worker, epoch = epoch,
                            crashes = start.crashes, outcome:? = answer, ms = now.saturating_sub(began);
                            "start"
                        );
                    }
                    lock(&owner.pool).start_answered(now, &start, answer);
                    if answer != pool::StartAnswer::Running {
                        owner.wake.notify_one();
                    }
                });
            }
            Command::Stop(stop) => {
                let Some(address) = self.address(&stop.worker) else {
                    return;
                };
                self.host.stop.spawn(async move {
                    let answer = workers.stop(&address, epoch, &stop).await;
                    let key = &stop.task;
                    info!(
                        job = &*key.stage.job, occurrence = key.stage.occurrence, step = key.stage.step,
                        task = key.index, run = stop.run, worker = &*stop.worker, epoch = epoch,
                        why = stop.reason, outcome:? = answer;
                        "stop"
                    );
                    lock(&owner.pool).stop_answered(clock::now(), &stop, answer);
                });
            }
            Command::Pace(pace) => {
                let Some(address) = self.address(&pace.worker) else {
                    return;
                };
                self.host.stop.spawn(async move {
                    let confirmed = workers.pace(&address, epoch, &pace).await;
                    let key = &pace.task;
                    info!(
                        job = &*key.stage.job, step = key.stage.step, task = key.index, run = pace.run,
                        worker = &*pace.worker, percent = pace.percent, confirmed = confirmed;
                        "pace"
                    );
                    if !confirmed {
                        lock(&owner.pool).pace_unconfirmed(&pace);
                    }
                });
            }
            Command::Query(ask) => self.ask(ask),
        }
    }
}

/// Logs the course of a step that is complete; -1 where something did not happen under this owner.
fn tell_step(step: &StepTimes) {
    let key = &step.stage;
    let time = |time: Option<Ms>| time.map_or(-1, |time| time as i64);
    info!(
        job = &*key.job, occurrence = key.occurrence, step = key.step, queue = step.queue.as_str(),
        tasks = step.tasks, estimate = step.estimate, age = step.age, asked = time(step.asked),
        advised = time(step.advised), first_start = time(step.first_start),
        last_start = time(step.last_start), done = step.done, questions = step.questions,
        starts = step.starts;
        "step"
    );
}

/// Logs and counts a run that is over without an end.
fn log_lost_run(lost: &LostRun) {
    metrics::counter!("lentilyoke_runs_lost_total", "loss" => lost.loss.name()).increment(1);
    let key = &lost.task;
    info!(
        job = &*key.stage.job, occurrence = key.stage.occurrence, step = key.stage.step,
        task = key.index, run = lost.run, worker = &*lost.worker, loss = lost.loss.name(),
        confirmed = lost.confirmed, survived = lost.survived, runs = lost.runs;
        "run lost"
    );
}

/// Logs and counts a task that was given up because its runs crashed their workers.
fn log_given_up(given_up: &AbandonedTask) {
    metrics::counter!("lentilyoke_tasks_given_up_total").increment(1);
    let key = &given_up.task;
    warn!(
        job = &*key.stage.job, occurrence = key.stage.occurrence, step = key.stage.step,
        task = key.index, crashed:? = given_up.crashed;
        "task given up: it crashes its workers"
    );
}
