//! Limits of customers: every run that was ordered and is not known to have ended counts, wherever it is.
//!
//! A run counts from its start command until its end is reported, its worker's lease has expired, or the worker has restarted. A
//! new owner doesn't know the runs of workers that haven't reported to it; it counts the most that may run there.

use std::sync::Arc;

use resource::Size;
use rustc_hash::{FxHashMap, FxHashSet};

use crate::accounts::Charge;
use crate::customer::{CustomerId, Entitlement};
use crate::fit;
use crate::gang_turns::{GangTurnEvent, GangWait, Release, time_to_fit};
use crate::job::{Job, Step};
use crate::mechanism::Mechanism;
use crate::pool::Pool;
use crate::quota_demand::QuotaDemand;
use crate::report::RunStatus;
use crate::state::State;
use crate::task::{Ms, Phase, StageKey, TaskKey, WorkerId};
use crate::timeline::WaitReason;
use crate::worker::{OrphanedRun, Worker};

/// A step that has waited this long for its customer's limit may use what is reserved for work of higher priority. So may a gang in
/// its turn.
const RESERVE_PATIENCE: Ms = 2_000;

/// What customers may use beside their known runs, as of one scheduling pass.
#[derive(Debug, Default)]
pub(crate) struct QuotaPass {
    now: Ms,
    /// The most that may run on workers that haven't reported; `None` if all have.
    unreported: Option<Unreported>,
    /// Gangs that wait for their customers' limits.
    gangs: Vec<GangWait>,
}

impl QuotaPass {
    /// The most that a customer may have running on workers that haven't reported.
    fn unreported_of(&self, customer: &str) -> Size {
        let unreported = self.unreported.as_ref();
        unreported.map_or(Size::ZERO, |it| it.of(customer))
    }
}

/// Bounds of what may run on workers that haven't reported.
#[derive(Debug)]
struct Unreported {
    /// Free capacity of these workers, as far as it is known that they have any.
    capacity: Size,
    /// Resources of the inherited tasks of each customer that may run there; `None` if not all jobs are known.
    tasks: Option<FxHashMap<CustomerId, Size>>,
}

impl Unreported {
    /// The most that a customer may have running on these workers.
    fn of(&self, customer: &str) -> Size {
        let tasks = match &self.tasks {
            None => return self.capacity,
            Some(tasks) => tasks.get(customer).copied().unwrap_or_default(),
        };
        tasks.min_each(self.capacity)
    }
}

impl Pool {
    /// Sets what the customers are entitled to in this pool. Until the first call, no task of any customer's job starts.
    pub fn set_customers(
        &mut self,
        customers: impl IntoIterator<Item = (CustomerId, Entitlement)>,
    ) {
        self.accounts.set(customers);
    }

    /// What a customer has running in this pool.
    #[must_use]
    pub fn used_by(&self, customer: &str) -> Size {
        self.accounts.get(customer).map_or(Size::ZERO, |it| it.used)
    }

    /// Whether everything that may run in this pool is counted. A new owner doesn't know what runs on workers that haven't answered it.
    #[must_use]
    pub fn knows_all_use(&self) -> bool {
        self.unconfirmed_workers.is_empty() && self.unreported().is_none()
    }

    /// What the customers use and wait for.
    #[must_use]
    pub fn quota_demand(&self) -> Vec<QuotaDemand> {
        let mut demand: FxHashMap<&CustomerId, QuotaDemand> = FxHashMap::default();
        for (customer, account) in self.accounts.iter() {
            demand.insert(
                customer,
                QuotaDemand {
                    customer: Arc::clone(customer),
                    used: account.used,
                    lasting: Size::ZERO,
                    wanted: Size::ZERO,
                    largest: Size::ZERO,
                    limit: account.limit(),
                    reserved: self
                        .gang_turns
                        .of(customer)
                        .map(|turn| (turn.gang.stage.clone(), turn.gang.size)),
                    unreported: self.quota_pass.unreported_of(customer),
                    waiting: [0; WaitReason::ALL.len()],
                },
            );
        }
        for key in &self.open_steps {
            let Some((job, step)) = self.job_and_step(key) else {
                continue;
            };
            let (Some(entry), Some(stage)) = (demand.get_mut(&job.customer), self.stage(key))
            else {
                continue;
            };
            let waiting = stage.waiting_count() as u64;
            if step.long_running {
                let running = stage.tasks.len() as u64 - waiting;
                entry.lasting = entry.lasting.plus(step.charge().times(running));
            }
            if waiting == 0 {
                continue;
            }
            if let Some(reason) = stage.timeline.waiting_for() {
                entry.waiting[reason as usize] += waiting;
            }
            entry.wanted = entry.wanted.plus(step.charge().times(waiting));
            let start = if step.gang { waiting } else { 1 };
            entry.largest = entry.largest.max_each(step.charge().times(start));
        }
        demand.into_values().collect()
    }

    /// The gangs that waited for their customers' limits in the latest scheduling pass, those that have waited longest first, at
    /// most `limit`.
    #[must_use]
    pub fn gang_waits(&self, limit: usize) -> Vec<GangWait> {
        let mut gangs = self.quota_pass.gangs.clone();
        gangs.sort_by_key(|gang| std::cmp::Reverse(gang.waited));
        gangs.truncate(limit);
        gangs
    }

    /// Returns and clears the turns of gangs that have begun or ended since the last call.
    pub fn take_gang_turns(&mut self) -> Vec<GangTurnEvent> {
        self.gang_turns.take_events()
    }

    /// Customers whose backlog of waiting jobs has reached its bound, with the time after which more of their jobs can be accepted.
    #[must_use]
    pub fn full_backlogs(&self) -> Vec<(CustomerId, Ms)> {
        let mut waiting: FxHashMap<&CustomerId, u64> = FxHashMap::default();
        let queued = self.jobs.values().filter(|it| it.state == State::Queued);
        for live in queued.filter(|live| !live.job.customer.is_empty()) {
            *waiting.entry(&live.job.customer).or_default() += 1;
        }
        let excess = |(customer, count): (&CustomerId, u64)| {
            let after = self.accounts.get(customer)?.backlog_excess(count)?;
            Some((Arc::clone(customer), after))
        };
        waiting.into_iter().filter_map(excess).collect()
    }

    pub(crate) fn job_and_step(&self, key: &StageKey) -> Option<(&Arc<Job>, &Step)> {
        let job = &self.jobs.get(&key.job)?.job;
        Some((job, job.steps.get(usize::from(key.step))?))
    }

    /// What a task of a step counts with against its customer's limit.
    fn charge_of(&self, key: &StageKey) -> Charge {
        let Some((job, step)) = self.job_and_step(key) else {
            return Charge::default();
        };
        Charge {
            customer: Arc::clone(&job.customer),
            priority: job.policy.priority,
            size: step.charge(),
        }
    }

    /// Reserves capacity for a task's run, and counts the run against its customer's limit.
    pub(crate) fn reserve_capacity(&mut self, key: &TaskKey, worker: &WorkerId, number: u32) {
        let Some(size) = self.size(&key.stage) else {
            return;
        };
        let charge = self.charge_of(&key.stage);
        if let Some(worker) = self.workers.get_mut(worker)
            && worker.runs.insert(key.clone(), number).is_none()
        {
            worker.used = worker.used.plus(size);
            self.accounts.charge(&charge);
        }
    }

    /// Releases the capacity of a task's run.
    pub(crate) fn release_capacity(&mut self, key: &TaskKey, worker: &WorkerId) {
        let Some(size) = self.size(&key.stage) else {
            return;
        };
        let charge = self.charge_of(&key.stage);
        if let Some(worker) = self.workers.get_mut(worker)
            && worker.runs.remove(key).is_some()
        {
            worker.used = worker.used.saturating_minus(size);
            self.accounts.release(&charge);
        }
    }

    /// Records a run that isn't the current run of any task; it occupies capacity until it is gone.
    pub(crate) fn record_orphaned_run(&mut self, now: Ms, id: &WorkerId, row: &RunStatus) {
        let size = self.size(&row.task.stage);
        let charge = self.charge_of(&row.task.stage);
        let known = self.remove_orphan(id, &row.task);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.used = worker.used.plus(size.unwrap_or_default());
        self.accounts.charge(&charge);
        let orphan = OrphanedRun {
            run: row.run,
            size,
            charge,
            since: known.as_ref().map_or(now, |orphan| orphan.since),
            stop_sent: known.as_ref().map_or(0, |orphan| orphan.stop_sent),
        };
        worker.orphaned_runs.insert(row.task.clone(), orphan);
    }

    /// Removes an orphaned run that is over, or that has become the current run of its task.
    pub(crate) fn remove_orphan(&mut self, id: &WorkerId, key: &TaskKey) -> Option<OrphanedRun> {
        let worker = self.workers.get_mut(id)?;
        let orphan = worker.orphaned_runs.remove(key)?;
        worker.used = worker
            .used
            .saturating_minus(orphan.size.unwrap_or_default());
        self.accounts.release(&orphan.charge);
        Some(orphan)
    }

    /// Removes all orphaned runs of a worker on which nothing runs any more.
    pub(crate) fn remove_orphans(&mut self, id: &WorkerId) {
        let keys: Vec<TaskKey> = self.workers.get(id).map_or_else(Vec::new, |worker| {
            worker.orphaned_runs.keys().cloned().collect()
        });
        for key in keys {
            self.remove_orphan(id, &key);
        }
    }

    /// What customers may use in a scheduling pass, given the steps that wait in the order of their ranks. Begins and ends the turns
    /// of gangs.
    pub(crate) fn begin_quota_pass<'a>(
        &mut self,
        now: Ms,
        waiting: impl Iterator<Item = &'a StageKey>,
    ) -> QuotaPass {
        let mut pass = QuotaPass {
            now,
            unreported: self.unreported(),
            gangs: Vec::new(),
        };
        if !self.gang_turns.are_due(now) {
            pass.gangs = std::mem::take(&mut self.quota_pass.gangs);
        } else if self.has(Mechanism::GangQuota) {
            pass.gangs = self.waiting_gangs(now, waiting, &pass);
            for key in self.gang_turns.update(now, &pass.gangs) {
                if let Some(stage) = self.stage_mut(&key) {
                    stage.gang_turns += 1;
                }
            }
        }
        pass
    }

    /// The gangs that wait for their customers' limits, or have their turns, and when they fit within these limits.
    fn waiting_gangs<'a>(
        &self,
        now: Ms,
        waiting: impl Iterator<Item = &'a StageKey>,
        pass: &QuotaPass,
    ) -> Vec<GangWait> {
        let gangs = waiting.filter_map(|key| self.waiting_gang(now, key));
        let mut gangs: Vec<GangWait> = gangs.collect();
        if gangs.is_empty() {
            return gangs;
        }
        let mut releases: FxHashMap<CustomerId, Vec<Release>> = FxHashMap::default();
        for gang in &gangs {
            releases.entry(Arc::clone(&gang.customer)).or_default();
        }
        self.collect_releases(now, &mut releases);
        for gang in &mut gangs {
            let Some(account) = self.accounts.get(&gang.customer) else {
                continue;
            };
            let used = account.used.plus(pass.unreported_of(&gang.customer));
            let releases = releases.get(&gang.customer).cloned().unwrap_or_default();
            gang.fits_after = time_to_fit(account.limit(), used, gang.size, releases);
        }
        gangs
    }

    /// The gang of a step, if all its members could start but for the customer's limit, or if it has its turn.
    fn waiting_gang(&self, now: Ms, key: &StageKey) -> Option<GangWait> {
        let (job, step) = self.job_and_step(key)?;
        if !step.gang || job.customer.is_empty() {
            return None;
        }
        let stage = self.stage(key)?;
        let waits = stage.timeline.waiting_for() == Some(WaitReason::Quota)
            || self.gang_turns.has_turn(&job.customer, key);
        let startable = stage.tasks.iter().all(|task| task.is_startable(now));
        (waits && startable).then(|| GangWait {
            stage: key.clone(),
            customer: Arc::clone(&job.customer),
            size: step.charge().times(u64::from(step.count)),
            duration: self.expected_duration(job, step),
            waited: self.quota_wait(now, key),
            turns: stage.gang_turns,
            fits_after: None,
        })
    }

    /// Adds what these customers' runs are expected to release.
    fn collect_releases(&self, now: Ms, releases: &mut FxHashMap<CustomerId, Vec<Release>>) {
        for worker in self.workers.values() {
            // A run on a worker that can't be reached counts until the lease has expired.
            let lease_left = worker
                .is_unavailable(now)
                .then(|| worker.lease_expires_at.saturating_sub(now));
            for key in worker.runs.keys() {
                let Some((job, step)) = self.job_and_step(&key.stage) else {
                    continue;
                };
                if let Some(of_customer) = releases.get_mut(&job.customer)
                    && let Some(after) = lease_left.or_else(|| self.time_left(now, key, job, step))
                {
                    let size = step.charge();
                    of_customer.push(Release { after, size });
                }
            }
            for orphan in worker.orphaned_runs.values() {
                if let Some(of_customer) = releases.get_mut(&orphan.charge.customer) {
                    of_customer.push(Release {
                        after: lease_left.unwrap_or(self.options.stop_grace),
                        size: orphan.charge.size,
                    });
                }
            }
        }
    }

    /// Expected time until the current run of a task ends; `None` if it won't end by itself.
    fn time_left(&self, now: Ms, key: &TaskKey, job: &Job, step: &Step) -> Option<Ms> {
        let task = self.stage(&key.stage)?.tasks.get(key.index as usize)?;
        let run = task.run.as_ref()?;
        if run.phase == Phase::Stopping {
            return Some(self.options.stop_grace);
        }
        if step.long_running {
            return None;
        }
        let unfinished = 100 - u64::from(run.percent.min(100));
        let ends = run.progressed_at + self.expected_duration(job, step) * unfinished / 100;
        // A run that is overdue is expected to take as long again as it is overdue.
        Some(ends.abs_diff(now))
    }

    /// Expected duration of a task, by its estimate and the observed durations of its queue.
    fn expected_duration(&self, job: &Job, step: &Step) -> Ms {
        (step.estimate as f64 * self.queue_stats.duration_ratio(&job.queue)) as Ms
    }

    /// What the turn of another gang of the customer keeps from a step: nothing if its tasks are expected to end before that gang can
    /// start, or if they are long-running tasks, which must be up at all times.
    fn reserved_for_gang(&self, pass: &QuotaPass, key: &StageKey, job: &Job, step: &Step) -> Size {
        let turn = self.gang_turns.of(&job.customer);
        let Some(turn) = turn.filter(|turn| turn.gang.stage != *key) else {
            return Size::ZERO;
        };
        let left = turn.fits_at.saturating_sub(pass.now);
        if step.long_running || self.expected_duration(job, step) < left {
            return Size::ZERO;
        }
        turn.gang.size
    }

    /// Time for which the tasks of a step have waited for their customer's limit.
    fn quota_wait(&self, now: Ms, key: &StageKey) -> Ms {
        self.stage(key).map_or(0, |stage| {
            stage.timeline.waited(now)[WaitReason::Quota as usize]
        })
    }

    /// How many tasks of a step may start without exceeding the limit of the job's customer.
    pub(crate) fn startable_within_quota(
        &self,
        pass: &QuotaPass,
        key: &StageKey,
        job: &Job,
        step: &Step,
    ) -> u32 {
        if job.customer.is_empty() {
            return u32::MAX;
        }
        if !self.accounts.are_known() {
            return 0;
        }
        let account = self.accounts.get(&job.customer);
        let Some(account) = account.filter(|account| !account.limit().is_unlimited()) else {
            return u32::MAX;
        };
        let mut used = account.used.plus(pass.unreported_of(&job.customer));
        if self.has(Mechanism::QuotaReserve)
            && self.quota_wait(pass.now, key) < RESERVE_PATIENCE
            && !self.gang_turns.has_turn(&job.customer, key)
        {
            let reserve = self.accounts.reserve(&job.customer, job.policy.priority);
            used = used.plus(reserve);
        }
        used = used.plus(self.reserved_for_gang(pass, key, job, step));
        let limit = account.limit();
        if !limit.allows(used, Size::ZERO) {
            return 0;
        }
        fit::count_fitting(step.charge(), limit.headroom(used))
    }

    /// The most that may run on workers of the former owner that haven't reported to this one; `None` if all have.
    fn unreported(&self) -> Option<Unreported> {
        let largest = self.workers.values().fold(Size::ZERO, |largest, worker| {
            largest.max_each(worker.info.capacity)
        });
        // The former owner listed the runs of unavailable workers, but their jobs may not be known yet.
        let listed: FxHashSet<&WorkerId> = if self.jobs_incomplete {
            self.unavailable.iter().map(|it| &it.worker).collect()
        } else {
            FxHashSet::default()
        };
        let hidden = |worker: &Worker| {
            let unknown = worker.orphaned_runs.values().any(|it| it.size.is_none());
            let unheard = !worker.fenced && listed.contains(&worker.id);
            unknown || unheard || self.unconfirmed_workers.contains(&worker.id)
        };
        let mut capacity = Size::ZERO;
        for worker in self.workers.values().filter(|worker| hidden(worker)) {
            capacity = capacity.plus(worker.free_capacity());
        }
        let unlisted = self.unconfirmed_workers.iter();
        let unlisted = unlisted.filter(|id| !self.workers.contains_key(*id));
        capacity = capacity.plus(largest.times(unlisted.count() as u64));
        if capacity == Size::ZERO {
            return None;
        }
        let tasks = (!self.jobs_incomplete).then(|| self.inherited_tasks());
        Some(Unreported { capacity, tasks })
    }

    /// Resources of the unfinished tasks without a known run that the former owner may have started, by customer.
    fn inherited_tasks(&self) -> FxHashMap<CustomerId, Size> {
        let mut sums: FxHashMap<CustomerId, Size> = FxHashMap::default();
        let inherited = self.jobs.values().filter(|live| live.inherited);
        for live in inherited.filter(|live| !live.job.customer.is_empty()) {
            for occurrence in live.open.values() {
                for (stage, step) in occurrence.stages.iter().zip(&live.job.steps) {
                    let waiting = stage.waiting_count() as u64;
                    let sum = sums.entry(Arc::clone(&live.job.customer)).or_default();
                    *sum = sum.plus(step.charge().times(waiting));
                }
            }
        }
        sums
    }
}
