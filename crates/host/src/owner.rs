//! The owner of a pool: takes over jobs and workers, schedules tasks, and stores progress.

mod advice;
mod calls;
mod connected_hosts;
mod customers;
mod directory;
mod events;
mod handover;
mod quota;
mod scheduling_stats;
mod store_changes;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use log::{info, warn};
use pool::repeat::Budget;
use pool::{Command, Mechanism, Ms, Pool, WorkerId};
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
use crate::job_rows::ProgressById;
use crate::owner_rows;
use crate::peers::Handover;
use crate::quota_keeper::QuotaKeeper;
use crate::rows::{JOBS, job_parts};
use crate::store_outage::StoreOutage;
use crate::swept_jobs::SweptJobs;
use crate::withdrawals::Withdrawals;
use crate::writer;
use advice::PendingQuery;
use connected_hosts::ConnectedHost;
use customers::AppliedEntitlements;
use directory::Directory;
use events::Events;
use scheduling_stats::SchedulingStats;

/// Pause after each answer with changed jobs. Hosts report accepted jobs to the owner directly; the table is followed for those
/// jobs whose hosts could not.
const JOBS_FEED_PAUSE: Duration = Duration::from_millis(200);
/// A new owner starts with the jobs that it has read by this time. A healthy store takes a quarter of it for all jobs.
const JOBS_READ_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time between two scheduling passes, which also check leases, suspicions and paces.
const MAX_PASS_INTERVAL: Duration = Duration::from_millis(50);
/// Shortest time between two scheduling passes, so that changes that arrive together are handled in one pass.
const MIN_PASS_INTERVAL: Duration = Duration::from_millis(4);
/// Time between two reads of the owner's row.
const OWNER_ROW_READ_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time between two log lines about the load of the pool.
const LOAD_LOG_INTERVAL: Ms = 1_000;
/// Maximum number of log lines about runs that have not stopped in time, per interval.
const MAX_OVERDUE_RUNS_LOGGED: usize = 20;
/// Maximum number of log lines about long-running steps with tasks that are down, per interval.
const MAX_DOWN_STEPS_LOGGED: usize = 8;
/// Maximum number of log lines about idle steps, per interval.
const MAX_IDLE_STEPS_LOGGED: usize = 8;

/// The owner of a pool.
pub struct Owner {
    host: Arc<Host>,
    /// Number of the pool.
    pool_number: u32,
    /// Epoch of this ownership, the fencing token of its commands.
    epoch: u64,
    pub(crate) pool: Mutex<Pool>,
    /// Wakes the scheduler: something has changed.
    pub(crate) wake: Notify,
    /// Wakes the writer: there is something to store.
    pub(crate) dirty: Notify,
    /// Notified after each write that was stored.
    pub(crate) stored: Notify,
    /// Notifies queries for states that the store has answered a write.
    pub(crate) written: Notify,
    /// Cancelled when this ownership ends.
    pub(crate) ended: CancellationToken,
    /// Other hosts that are connected to this owner, by name.
    hosts: Mutex<FxHashMap<String, ConnectedHost>>,
    /// Number of the next connection or advisor query.
    next_number: AtomicU64,
    /// Advisor queries that other hosts make for this owner, by number.
    advisor_queries: Mutex<FxHashMap<u64, PendingQuery>>,
    /// How fast the advisor answers this host.
    advisor_proxy: Mutex<AdvisorProxy>,
    /// All jobs have been read, so callers may be told that a job is unknown.
    loaded: AtomicBool,
    /// The transaction as of which the jobs were read.
    jobs_read_as_of: AtomicU64,
    /// Jobs that were removed after their retention period.
    pub(crate) swept_jobs: Mutex<SweptJobs>,
    /// Ids of the pool that were cancelled before any job had them.
    pub(crate) withdrawals: Mutex<Withdrawals>,
    /// The present outage of the store for this owner's writes; `None` if the last write succeeded.
    pub(crate) store_outage: Mutex<Option<StoreOutage>>,
    /// The share of polls of workers whose answers were lost.
    pub(crate) answer_loss: Mutex<LossRate>,
    /// Limits how many polls are repeated because their answers are overdue.
    pub(crate) repeat_budget: Mutex<Budget>,
    /// Workers with which there is a session.
    sessions: Mutex<FxHashSet<WorkerId>>,
    directory: Mutex<Directory>,
    /// The pool's parts of the customers' limits.
    pub(crate) quota: QuotaKeeper,
}

/// Makes an owner known to its host, and ends the ownership when it is dropped. The task that runs an owner may be aborted, and the
/// sessions with workers go on until the ownership has ended.
struct OwnershipGuard {
    owner: Arc<Owner>,
}

impl OwnershipGuard {
    fn new(owner: Arc<Owner>) -> Self {
        let host = Arc::clone(&owner.host);
        host.set_owner(owner.pool_number, Some(Arc::clone(&owner)));
        Self { owner }
    }
}

impl Drop for OwnershipGuard {
    fn drop(&mut self) {
        let Owner {
            host, pool_number, ..
        } = &*self.owner;
        self.owner.ended.cancel();
        host.set_owner(*pool_number, None);
        info!(pool = pool_number, epoch = self.owner.epoch; "pool ownership ended");
    }
}

impl Owner {
    /// Owns a pool until another host does or this one leaves.
    pub(crate) async fn run(
        host: &Arc<Host>,
        pool_number: u32,
        claim: Claim,
        former_roster: Vec<String>,
        handover: Handover,
        version: u64,
    ) {
        let owner = Arc::new(Self {
            host: Arc::clone(host),
            pool_number,
            epoch: claim.owner.epoch,
            pool: Mutex::new(Pool::new(pool::Options {
                epoch: claim.owner.epoch,
                ..host.settings.pool.clone()
            })),
            wake: Notify::new(),
            dirty: Notify::new(),
            stored: Notify::new(),
            written: Notify::new(),
            ended: CancellationToken::new(),
            hosts: Mutex::default(),
            next_number: AtomicU64::new(1),
            advisor_queries: Mutex::default(),
            advisor_proxy: Mutex::default(),
            loaded: AtomicBool::new(false),
            jobs_read_as_of: AtomicU64::new(0),
            swept_jobs: Mutex::default(),
            withdrawals: Mutex::default(),
            store_outage: Mutex::default(),
            answer_loss: Mutex::default(),
            repeat_budget: Mutex::default(),
            sessions: Mutex::default(),
            directory: Mutex::default(),
            quota: QuotaKeeper::new(pool_number, host.settings.max_row_bytes),
        });
        {
            let mut pool = lock(&owner.pool);
            pool.set_former_crashes(handover.crashes);
            pool.set_lease_bounds(handover.received_at, handover.lease_bounds);
        }
        let guard = OwnershipGuard::new(Arc::clone(&owner));
        let mut tasks = JoinSet::new();
        tasks.spawn(Arc::clone(&owner).send_heartbeats());
        tasks.spawn(Arc::clone(&owner).run_handover());
        tasks.spawn(Arc::clone(&owner).watch_owner_row());
        tasks.spawn(Arc::clone(&owner).assign_workers());
        tasks.spawn(Arc::clone(&owner).delete_withdrawals());
        tasks.spawn(Arc::clone(&owner).keep_quota_parts(claim.owner.incarnation, version));
        tasks.spawn(Arc::clone(&owner).take_over(claim, former_roster, version));
        tokio::select! {
            () = owner.ended.cancelled() => {}
            () = host.stop.ended() => {}
        }
        drop(guard);
        tasks.shutdown().await;
    }

    /// Number of the pool.
    #[must_use]
    pub fn pool_number(&self) -> u32 {
        self.pool_number
    }

    /// Epoch of this ownership, the fencing token of its commands.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    pub(crate) fn host(&self) -> &Arc<Host> {
        &self.host
    }

    /// Records that the store did not confirm a write that was sent at `sent_at`; `refused` if it was certainly not done.
    pub(crate) fn record_store_failure(&self, sent_at: Ms, refused: bool) {
        let mut outage = lock(&self.store_outage);
        *outage = Some(StoreOutage::record(*outage, sent_at, clock::now(), refused));
    }

    /// Whether this ownership has ended.
    pub(crate) fn has_ended(&self) -> bool {
        self.ended.is_cancelled()
    }

    /// Checks periodically whether another host has taken over the pool. An owner usually learns this from the workers or from a
    /// failed write, but one that can reach neither would go on claiming towards other hosts that it is the owner.
    async fn watch_owner_row(self: Arc<Self>) {
        loop {
            tokio::time::sleep(OWNER_ROW_READ_INTERVAL).await;
            let read = owner_rows::read(&self.host, self.pool_number).await;
            if let Some((Some((row, _)), _)) = read
                && row.epoch > self.epoch
            {
                warn!(pool = self.pool_number, epoch = self.epoch, newer = row.epoch, owner = row.host; "another host owns the pool; ownership ended");
                self.ended.cancel();
            }
        }
    }

    /// Takes over the pool's jobs and workers, then schedules tasks and stores progress.
    async fn take_over(self: Arc<Self>, claim: Claim, former_roster: Vec<String>, version: u64) {
        let began = clock::now();
        self.jobs_read_as_of.store(version, Ordering::Relaxed);
        lock(&self.pool).set_jobs_incomplete(began, true);
        let limit = if self.host.has(Mechanism::PartialJobs) {
            JOBS_READ_TIMEOUT
        } else {
            Duration::MAX
        };
        let (sender, mut pages) = mpsc::unbounded_channel();
        let mut reading = Box::pin(self.read_jobs(version, sender));
        let ((listed, progress), read) = tokio::join!(
            self.read_workers(version),
            tokio::time::timeout(limit, reading.as_mut()),
        );
        let (all, after) = (read.is_ok(), listed.version);
        while let Ok(page) = pages.try_recv() {
            self.load_jobs(&page, &progress);
        }
        self.load_workers(listed, &claim.roster, &former_roster);
        let took = clock::now().saturating_sub(began);
        metrics::counter!("lentilyoke_takeovers_total").increment(1);
        metrics::histogram!("lentilyoke_takeover_ms").record(took as f64);
        info!(pool = self.pool_number, epoch = self.epoch, all = all, ms = took; "takeover completed");
        let rest = async {
            if !all {
                tokio::join!(reading, self.load_remaining_jobs(pages, &progress));
                let took = clock::now().saturating_sub(began);
                info!(pool = self.pool_number, epoch = self.epoch, ms = took; "all jobs loaded");
            }
            lock(&self.pool).set_jobs_incomplete(clock::now(), false);
            self.loaded.store(true, Ordering::Relaxed);
        };
        let parts: Vec<String> = job_parts().collect();
        let store = Arc::clone(&self.host.store);
        let follow_jobs = follow(
            store.as_ref(),
            JOBS,
            &parts,
            Some(version),
            PollTiming::default().pause(JOBS_FEED_PAUSE),
            |change| {
                self.jobs_changed(change);
            },
        );
        tokio::join!(
            rest,
            follow_jobs,
            self.follow_workers(after),
            writer::run(&self, claim, version),
            self.run_scheduler(),
        );
    }

    /// Loads the jobs of pages that arrive later, until all are read.
    async fn load_remaining_jobs(
        &self,
        mut pages: mpsc::UnboundedReceiver<Page>,
        progress: &ProgressById,
    ) {
        while let Some(page) = pages.recv().await {
            self.load_jobs(&page, progress);
        }
    }

    /// Runs scheduling passes and sends the commands that they give.
    async fn run_scheduler(self: &Arc<Self>) {
        let mut logged_at = clock::now();
        let mut stats = SchedulingStats::default();
        let mut entitlements = AppliedEntitlements::default();
        loop {
            tokio::select! {
                () = self.wake.notified() => {}
                () = tokio::time::sleep(MAX_PASS_INTERVAL) => {}
            }
            self.update_entitlements(&mut entitlements);
            let began = Instant::now();
            let (commands, unstored, deposed, events) = {
                let mut pool = lock(&self.pool);
                let commands = pool.schedule(clock::now(), clock::unix());
                let events = Events::take(&mut pool);
                (commands, pool.has_unstored(), pool.deposed(), events)
            };
            let took = began.elapsed();
            metrics::histogram!("lentilyoke_plan_ms").record(took.as_secs_f64() * 1_000.0);
            stats.add(took, commands.len());
            if clock::now().saturating_sub(logged_at) > LOAD_LOG_INTERVAL {
                logged_at = clock::now();
                self.log_unconfirmed_workers();
                self.log_overdue_runs();
                self.log_down_steps();
                self.log_idle_steps();
                self.log_gang_waits();
                self.log_load(std::mem::take(&mut stats));
                self.log_customers();
                let occurrences = lock(&self.pool).occurrences();
                events::log_occurrences(&occurrences, self.pool_number, self.epoch);
            }
            if deposed {
                warn!(epoch = self.epoch; "worker follows an owner with a newer epoch");
                self.ended.cancel();
                return;
            }
            for command in commands {
                self.send_command(command);
            }
            if unstored {
                self.dirty.notify_one();
            }
            events.log();
            self.expire_advisor_queries();
            tokio::time::sleep(MIN_PASS_INTERVAL).await;
        }
    }

    /// Logs the used capacity of the pool by service, and the duration of scheduling passes since the last such line.
    fn log_load(&self, stats: SchedulingStats) {
        let load = lock(&self.pool).load();
        for (service, usage) in &load.services {
            let share = |used: u64, all: u64| used as f64 / all.max(1) as f64;
            info!(
                pool = self.pool_number, epoch = self.epoch, service = service.as_str(),
                processors = share(usage.used.millicores, usage.total.millicores),
                memory = share(usage.used.memory_mib, usage.total.memory_mib),
                accelerators = share(usage.used.accelerators, usage.total.accelerators),
                taken = load.demand, steps = load.open_steps, plans = stats.passes, orders = stats.commands,
                plan_us = stats.mean().as_micros() as u64, longest_us = stats.longest.as_micros() as u64;
                "load"
            );
        }
    }

    /// Logs how many workers of the former owner haven't answered yet, or have unread ends, if any.
    fn log_unconfirmed_workers(&self) {
        let pool = lock(&self.pool);
        let has_quorum = pool.has_quorum(clock::now());
        if let Some(first) = pool.unconfirmed_workers().first() {
            let count = pool.unconfirmed_workers().len();
            warn!(epoch = self.epoch, workers = count, first = &**first, majority = has_quorum; "inherited jobs wait until workers have answered");
        }
        let mut partly_read = pool.partly_read_workers();
        let count = partly_read.len();
        if let Some(first) = partly_read.next() {
            warn!(epoch = self.epoch, workers = count, first = &**first, majority = has_quorum; "inherited jobs wait until all ends of workers are read");
        }
    }

    /// Logs and counts the runs of finished jobs that have not stopped in time.
    fn log_overdue_runs(&self) {
        let overdue = lock(&self.pool).overdue_runs(clock::unix());
        let name = self.pool_number.to_string();
        metrics::gauge!("lentilyoke_overdue_runs", "pool" => name).set(overdue.len() as f64);
        for run in overdue.iter().take(MAX_OVERDUE_RUNS_LOGGED) {
            let key = &run.task;
            warn!(
                job = &*key.stage.job, occurrence = key.stage.occurrence, step = key.stage.step,
                task = key.index, run = run.run, worker = &*run.worker, since = run.since,
                stopping = run.stopping, responsive = run.responsive;
                "run of a finished job has not stopped"
            );
        }
    }

    /// Logs the long-running tasks that wait to be started again, and why no worker takes them.
    fn log_down_steps(&self) {
        let down = lock(&self.pool).down_steps(clock::now(), MAX_DOWN_STEPS_LOGGED);
        down.iter().for_each(events::log_down_step);
    }

    /// Logs the steps of which nothing runs and that placement doesn't consider, and why.
    fn log_idle_steps(&self) {
        let idle = lock(&self.pool).idle_steps(clock::now(), MAX_IDLE_STEPS_LOGGED);
        idle.iter().for_each(events::log_idle_step);
    }

    /// The address of a worker, if the pool knows it.
    fn address(&self, id: &str) -> Option<String> {
        let pool = lock(&self.pool);
        pool.worker(id).map(|worker| worker.info.address.clone())
    }

    /// Sends a command concurrently with others, and applies the answer to the pool.
    fn send_command(self: &Arc<Self>, command: Command) {
        let owner = Arc::clone(self);
        let workers = Arc::clone(&self.host.workers);
        let epoch = self.epoch;
        match command {
            Command::Start(start) => {
                let Some(address) = self.address(&start.worker) else {
                    return;
                };
                self.host.stop.spawn_until_end(async move {
                    let began = clock::now();
                    let reply = workers.start(&address, epoch, &start).await;
                    let now = clock::now();
                    let answer = reply.answer;
                    events::log_start(&start, reply, epoch, now.saturating_sub(began));
                    {
                        let mut pool = lock(&owner.pool);
                        if let Some(clock) = reply.clock {
                            pool.record_start_lease(now, &start, clock);
                        }
                        pool.start_answered(now, &start, answer);
                    }
                    if answer != pool::StartAnswer::Running {
                        owner.wake.notify_one();
                    }
                });
            }
            Command::Stop(stop) => {
                let Some(address) = self.address(&stop.worker) else {
                    return;
                };
                self.host.stop.spawn_until_end(async move {
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
                self.host.stop.spawn_until_end(async move {
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
            Command::Query(query) => self.send_advisor_query(query),
        }
    }
}
