//! The live state of one pool.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use resource::Size;
use rustc_hash::{FxHashMap, FxHashSet};

use crate::job::Job;
use crate::live::Live;
use crate::mechanism::{Mechanism, Switches};
use crate::order::Order;
use crate::pace::Tempo;
use crate::progress::Progress;
use crate::rank::Learned;
use crate::state::State;
use crate::task::{JobId, Ms, Phase, Run, StageKey, TaskKey, WorkerId};
use crate::worker::{News, Silent, Worker};

/// What the pool's decisions depend on besides jobs and workers.
#[derive(Clone, Debug)]
pub struct Options {
    /// The owner's epoch; 0 if owners have none.
    pub epoch: u64,
    /// Which mechanisms are on.
    pub switches: Switches,
    /// How long an order to start may still be carried out after it was sent, in milliseconds. Longer than any answer
    /// takes on a sound way; shorter means that room in doubt is free again sooner.
    pub order_life: Ms,
    /// Longest lease on a worker, in milliseconds.
    pub lease_most: Ms,
    /// How long an owner acts after a majority of its workers has confirmed it, in milliseconds.
    pub proof: Ms,
    /// How many questions to the advisor may be under way at once.
    pub askers: usize,
    /// Most workers in one question.
    pub ask_most: usize,
    /// How much slower a task is on another rack than that of its data.
    pub far_factor: f64,
    /// Longest time that a stop takes, in milliseconds.
    pub stop_grace: Ms,
    /// How long final jobs are remembered, in milliseconds.
    pub remember: Ms,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            epoch: 0,
            switches: Switches::default(),
            order_life: 1_000,
            lease_most: 6_000,
            proof: 1_600,
            askers: 1,
            ask_most: 30,
            far_factor: 1.5,
            stop_grace: 400,
            remember: 150_000,
        }
    }
}

/// How loaded a pool is.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// Share of its processors that is taken.
    pub used: f64,
    /// The same with what the waiting tasks of open steps would take.
    pub taken: f64,
    /// Open steps.
    pub steps: usize,
    /// Labels of its workers other than their racks.
    pub labels: Vec<String>,
}

/// The live state of one pool: its jobs, its workers, and what is under way between them.
#[derive(Debug, Default)]
pub struct Pool {
    pub(crate) options: Options,
    pub(crate) jobs: FxHashMap<JobId, Live>,
    pub(crate) workers: FxHashMap<WorkerId, Worker>,
    /// Steps whose turn has come and that are not complete.
    pub(crate) open: BTreeSet<StageKey>,
    /// Jobs that wait until a worker is heard again: it has listed ends of theirs when they weren't known.
    pub(crate) awaiting: BTreeMap<WorkerId, Vec<JobId>>,
    /// Runs whose orders are in doubt or that are to be stopped.
    pub(crate) loose: FxHashSet<TaskKey>,
    /// Jobs with occurrences still to come.
    pub(crate) timed: BTreeSet<JobId>,
    /// Jobs whose progress is to be stored.
    pub(crate) dirty: FxHashSet<JobId>,
    /// Workers of the former owner that have not answered this one.
    pub(crate) unseen: BTreeSet<WorkerId>,
    /// When a majority of the workers had confirmed this owner first.
    pub(crate) proved_at: Option<Ms>,
    /// Steps about which the advisor is being asked.
    pub(crate) asking: BTreeSet<StageKey>,
    /// Observed durations against estimates.
    pub(crate) learned: Learned,
    /// Paces of tasks that fill.
    pub(crate) tempo: Tempo,
    /// When workers and paces were looked at last.
    pub(crate) looked: Ms,
    /// Not all jobs are known yet that were accepted before this owner came.
    pub(crate) partial: bool,
    /// Cancelled jobs that aren't known yet.
    pub(crate) cancels: FxHashSet<JobId>,
    /// What may run on workers that the former owner could not reach.
    pub(crate) silent: Vec<Silent>,
    /// Jobs that went to other pools.
    pub(crate) given: FxHashSet<JobId>,
    /// When jobs that don't fit were looked for last.
    pub(crate) sought: Ms,
    /// Orders that came out of news, for the next plan.
    pub(crate) orders: Vec<Order>,
    /// Another owner has a higher epoch.
    pub(crate) deposed: bool,
}

impl Pool {
    /// An empty pool.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Whether a mechanism is on.
    #[must_use]
    pub fn has(&self, mechanism: Mechanism) -> bool {
        self.options.switches.has(mechanism)
    }

    /// Changes how many questions may be under way at once.
    pub fn set_askers(&mut self, askers: usize) {
        self.options.askers = askers.max(1);
    }

    /// A new owner has to hear from these workers before jobs it inherits may start anew, but waits no longer than the
    /// time after which the former owner's orders and leases are surely over. Of workers that were silent already it is
    /// known what may run there: only those tasks wait.
    ///
    /// Without this, a task that still runs on a worker which only the new owner can't reach would run a second time.
    pub fn inherit(
        &mut self,
        now: Ms,
        workers: impl IntoIterator<Item = WorkerId>,
        silent: &[Silent],
    ) {
        self.proved_at = None;
        let quiet = |id: &WorkerId| silent.iter().any(|silent| silent.worker == *id);
        self.unseen = workers
            .into_iter()
            .filter(|id| !quiet(id))
            .filter(|id| self.workers.get(id).is_none_or(|worker| !worker.fenced))
            .collect();
        for silent in silent {
            let worker = self.workers.entry(Arc::clone(&silent.worker)).or_default();
            worker.id = Arc::clone(&silent.worker);
            worker.slowness = 1.0;
            worker.lapses = Ms::MAX;
        }
        self.silent = silent.to_vec();
        let jobs: Vec<JobId> = self.jobs.keys().cloned().collect();
        for job in &jobs {
            self.hold_back(now, job);
        }
    }

    /// Holds back the tasks of a job that may run on workers which the former owner could not reach, nor this one yet.
    fn hold_back(&mut self, now: Ms, job: &JobId) {
        let mut runs = Vec::new();
        for silent in &self.silent {
            let heard = self.workers.get(&silent.worker).is_none_or(|it| it.fenced);
            let of = silent.runs.iter().filter(|(key, _)| key.stage.job == *job);
            runs.extend(
                of.filter(|_| !heard)
                    .map(|(key, number)| (key.clone(), *number, Arc::clone(&silent.worker))),
            );
        }
        for (key, number, worker) in runs {
            let Some(task) = self.task_mut(&key) else {
                continue;
            };
            if task.done || task.run.is_some() {
                continue;
            }
            task.top = task.top.max(number);
            task.run = Some(Run {
                phase: Phase::Unsure,
                ..Run::new(number, Arc::clone(&worker), now, 0)
            });
            self.attach(&key, &worker, number);
        }
    }

    /// Whether there are jobs, accepted before this owner came, that it can't know yet: a part of the store doesn't answer.
    /// Until all are known, a run or an end of an unknown job is left alone, however long that takes.
    pub fn set_partial(&mut self, now: Ms, partial: bool) {
        self.partial = partial;
        if partial {
            return;
        }
        self.cancels.clear();
        for worker in self.workers.values_mut() {
            for stray in worker.strays.values_mut() {
                stray.since = now;
            }
            if let Some(strange) = &mut worker.strange {
                strange.since = now;
            }
        }
    }

    /// The former owner gives no order after this: it has lost its majority, and its last orders are too late.
    fn former_orders_end(&self) -> Option<Ms> {
        let since = self.proved_at?;
        Some(since + self.options.proof + self.options.order_life)
    }

    /// Once a majority is behind this owner, the time until which others may run something unknown is bounded.
    pub(crate) fn settle_inheritance(&mut self, now: Ms) {
        if self.proved_at.is_none() && self.proved(now) {
            self.proved_at = Some(now);
        }
        // Clocks of workers may be 2% slow; 400 ms cover ways and timers.
        let leases = self.options.lease_most + self.options.lease_most / 33 + 400;
        if self
            .former_orders_end()
            .is_some_and(|end| now >= end + leases)
        {
            self.unseen.clear();
            self.silent.clear();
            for worker in self.workers.values_mut() {
                if !worker.fenced {
                    worker.lapses = worker.lapses.min(now);
                }
            }
        }
    }

    /// Whether an inherited job may run on a worker that has not answered yet, as far as is known of it: a worker runs tasks of
    /// its own service alone.
    pub(crate) fn may_run_unseen(&self, job: &Job) -> bool {
        self.unseen.iter().any(|id| {
            let service = self.workers.get(id).map(|it| it.news.service.as_str());
            service.is_none_or(|service| service.is_empty() || service == job.service)
        })
    }

    /// Workers of the former owner that have not answered yet: inherited jobs wait for them.
    #[must_use]
    pub fn unseen(&self) -> &BTreeSet<WorkerId> {
        &self.unseen
    }

    /// Takes up a job. A job that is known already stays as it is, and one that went to another pool stays there.
    pub fn adopt(
        &mut self,
        now: Ms,
        unix: u64,
        job: Arc<Job>,
        progress: Option<&Progress>,
        inherited: bool,
    ) {
        let id = Arc::clone(&job.id);
        if self.jobs.contains_key(&id) || self.given.contains(&id) {
            return;
        }
        if job.epoch > self.options.epoch && self.options.epoch > 0 {
            // The host that accepted it knows a newer owner.
            self.deposed = true;
            return;
        }
        let ours = job.epoch == self.options.epoch && job.epoch > 0;
        let mut live = Live::new(job, progress, now, unix);
        // The former owner may have been told of a job that this one learns of only now.
        let former = self.former_orders_end().is_none_or(|end| now < end);
        live.inherited = !ours && (inherited || former && !self.unseen.is_empty());
        self.jobs.insert(Arc::clone(&id), live);
        self.advance(&id, now, unix);
        self.hold_back(now, &id);
        self.recognise(now, &id);
        if self.cancels.remove(&id) {
            self.cancel(unix, &id);
        }
    }

    /// Lets a job's occurrences and steps begin whose turn has come.
    pub(crate) fn advance(&mut self, id: &JobId, now: Ms, unix: u64) {
        let Some(live) = self.jobs.get_mut(id) else {
            return;
        };
        self.open.extend(live.advance(now, unix));
        if live.next_due().is_some() {
            self.timed.insert(Arc::clone(id));
        } else {
            self.timed.remove(id);
        }
    }

    /// Whether the job is known.
    #[must_use]
    pub fn knows(&self, id: &str) -> bool {
        self.jobs.contains_key(id)
    }

    /// The state of a job that its caller may be told: what is final is told only when it is stored.
    ///
    /// Until then the ends lie with the workers, and a worker may leave or crash before a new owner asks it: a job that
    /// was told as completed would run again.
    #[must_use]
    pub fn state(&self, id: &str) -> Option<State> {
        self.jobs
            .get(id)
            .map(|live| match (live.shown, live.state) {
                (shown, _) if shown.is_final() => shown,
                (_, State::Queued) => State::Queued,
                _ => State::Running,
            })
    }

    /// Cancels a job; the state it has then, or `None` if it isn't known.
    pub fn cancel(&mut self, unix: u64, id: &str) -> Option<State> {
        let Some(live) = self.jobs.get(id) else {
            if self.partial {
                self.cancels.insert(id.into());
            }
            return None;
        };
        let id = Arc::clone(&live.job.id);
        if !live.state.is_final() {
            self.close(unix, &id, State::Cancelled);
        }
        self.jobs.get(&id).map(|live| live.state)
    }

    /// Makes a job's state final and stops what it has running.
    pub(crate) fn close(&mut self, unix: u64, id: &JobId, state: State) {
        let Some(live) = self.jobs.get_mut(id) else {
            return;
        };
        live.state = state;
        live.closed = unix;
        let mut running = Vec::new();
        for (&occurrence, course) in &mut live.open {
            for (step, stage) in course.stages.iter_mut().enumerate() {
                let key = StageKey {
                    job: Arc::clone(id),
                    occurrence,
                    step: step as u16,
                };
                for (index, task) in stage.tasks.iter_mut().enumerate() {
                    if let Some(run) = &mut task.run {
                        run.phase = Phase::Stopping;
                        run.stop_sent = 0;
                        running.push(key.task(index as u32));
                    }
                }
                self.open.remove(&key);
            }
        }
        self.loose.extend(running);
        self.timed.remove(id);
        self.mark(id);
    }

    /// A job's progress has to be stored.
    pub(crate) fn mark(&mut self, id: &JobId) {
        if let Some(live) = self.jobs.get_mut(id) {
            live.dirty = true;
            self.dirty.insert(Arc::clone(id));
        }
    }

    /// Jobs of each queue of which nothing has started.
    #[must_use]
    pub fn pending(&self) -> FxHashMap<String, u64> {
        let mut counts: FxHashMap<String, u64> = FxHashMap::default();
        for live in self.jobs.values() {
            if live.state == State::Queued {
                *counts.entry(live.job.queue.clone()).or_default() += 1;
            }
        }
        counts
    }

    /// The directory lists a worker.
    pub fn listed(&mut self, now: Ms, id: &WorkerId, news: News) {
        let worker = self.workers.entry(Arc::clone(id)).or_default();
        if worker.id.is_empty() {
            worker.id = Arc::clone(id);
            worker.slowness = 1.0;
        }
        worker.listed = true;
        match (news.draining, worker.leaves) {
            (Some(left), None) => worker.leaves = Some(now + left),
            (None, Some(_)) if news.born != worker.news.born => worker.leaves = None,
            _ => {}
        }
        worker.news = news;
    }

    /// The directory doesn't list a worker any more. What runs there stays in doubt until its lease has lapsed.
    pub fn unlisted(&mut self, id: &str) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.listed = false;
        }
    }

    /// Workers that may be given something: those that the next owner must hear from.
    #[must_use]
    pub fn roster(&self, now: Ms) -> Vec<WorkerId> {
        let mut ids: Vec<WorkerId> = self
            .workers
            .values()
            .filter(|worker| !worker.silent(now) && (worker.listed || !worker.runs.is_empty()))
            .map(|worker| Arc::clone(&worker.id))
            .chain(self.unseen.iter().cloned())
            .collect();
        ids.sort();
        ids.dedup();
        ids
    }

    /// Workers that can't be reached, with what may run there. From now on nothing is started there until a roster with
    /// them is stored: what is written down must not become too little while it is on its way.
    #[must_use]
    pub fn silent(&mut self, now: Ms) -> Vec<Silent> {
        for worker in self.workers.values_mut() {
            worker.enrolled &= !worker.silent(now);
        }
        let mut silent: Vec<Silent> = self
            .workers
            .values()
            .filter(|worker| worker.silent(now) || worker.lapses == Ms::MAX)
            .filter(|worker| !worker.runs.is_empty())
            .map(|worker| {
                let runs = worker.runs.iter();
                let mut runs: Vec<_> = runs.map(|(key, run)| (key.clone(), *run)).collect();
                runs.sort();
                Silent {
                    worker: Arc::clone(&worker.id),
                    runs,
                }
            })
            .collect();
        silent.sort_by(|a, b| a.worker.cmp(&b.worker));
        silent
    }

    /// The stored roster names these workers and no others.
    pub fn enroll(&mut self, ids: &[WorkerId]) {
        for (id, worker) in &mut self.workers {
            worker.enrolled = ids.binary_search(id).is_ok();
        }
    }

    /// A worker.
    #[must_use]
    pub fn worker(&self, id: &str) -> Option<&Worker> {
        self.workers.get(id)
    }

    /// All workers.
    pub fn workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values()
    }

    /// Whether another owner with a higher epoch was met.
    #[must_use]
    pub fn deposed(&self) -> bool {
        self.deposed
    }

    /// Whether a majority of the workers has confirmed this owner recently enough for it to give orders.
    ///
    /// A new owner has to reach a majority before it acts, so an owner without one may have been replaced. An owner
    /// that was paused fails this when it wakes, before it sends anything.
    #[must_use]
    pub fn proved(&self, now: Ms) -> bool {
        let mut known = 0;
        let mut heard = 0;
        for worker in self.workers.values().filter(|worker| worker.listed) {
            known += 1;
            if worker.fenced && now.saturating_sub(worker.heard) <= self.options.proof {
                heard += 1;
            }
        }
        heard * 2 > known
    }

    /// How loaded the pool is.
    #[must_use]
    pub fn load(&self) -> Load {
        let (mut used, mut room) = (0, 0);
        let mut labels = BTreeSet::new();
        for worker in self.workers.values().filter(|worker| worker.listed) {
            used += worker.used.millicores;
            room += worker.news.room.millicores;
            let own = worker.news.labels.iter();
            labels.extend(own.filter(|label| **label != worker.news.rack));
        }
        let waits: u64 = self.open.iter().map(|key| self.waiting(key)).sum();
        let share = |part: u64| part as f64 / room.max(1) as f64;
        Load {
            used: share(used),
            taken: share(used + waits),
            steps: self.open.len(),
            labels: labels.into_iter().cloned().collect(),
        }
    }

    /// Millicores that the tasks of a step which have no run would take.
    fn waiting(&self, key: &StageKey) -> u64 {
        let (Some(stage), Some(size)) = (self.stage(key), self.size(key)) else {
            return 0;
        };
        let tasks = stage
            .tasks
            .iter()
            .filter(|task| !task.done && task.run.is_none());
        tasks.count() as u64 * size.millicores
    }

    /// What a task of this step takes on a worker.
    pub(crate) fn size(&self, key: &StageKey) -> Option<Size> {
        let step = self
            .jobs
            .get(&key.job)?
            .job
            .steps
            .get(usize::from(key.step))?;
        Some(step.room())
    }
}
