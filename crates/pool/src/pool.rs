//! The live state of one pool.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use resource::Size;
use rustc_hash::{FxHashMap, FxHashSet};

use crate::crash::{AbandonedTask, SuspectsByWorker};
use crate::job::Job;
use crate::live::LiveJob;
use crate::loss::LostRun;
use crate::mechanism::{Mechanism, Switches};
use crate::order::Order;
use crate::pace::Tempo;
use crate::progress::Progress;
use crate::rank::Learned;
use crate::repeat::Budget;
use crate::state::State;
use crate::task::{JobId, Ms, Phase, StageKey, TaskKey, WorkerId};
use crate::timeline::{JobTimes, StepTimes};
use crate::worker::{UnavailableWorker, Worker, WorkerInfo};

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

/// The live state of one pool: its jobs, its workers, and what is under way between them.
#[derive(Debug, Default)]
pub struct Pool {
    pub(crate) options: Options,
    pub(crate) jobs: FxHashMap<JobId, LiveJob>,
    pub(crate) workers: FxHashMap<WorkerId, Worker>,
    /// Steps whose turn has come and that are not complete.
    pub(crate) open: BTreeSet<StageKey>,
    /// Jobs that wait until a worker is heard again: it has listed ends of theirs when they weren't known.
    pub(crate) awaiting: BTreeMap<WorkerId, Vec<JobId>>,
    /// Runs whose orders are not answered or that are to be stopped.
    pub(crate) loose: FxHashSet<TaskKey>,
    /// Copies of orders that may be sent.
    pub(crate) copies: Budget,
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
    /// Those among them that were asked about out of turn.
    pub(crate) overdue: BTreeSet<StageKey>,
    /// How many steps plans have looked at for questions out of turn.
    pub(crate) overdue_looks: usize,
    /// How many questions were sent.
    pub(crate) questions: usize,
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
    pub(crate) silent: Vec<UnavailableWorker>,
    /// Jobs that went to other pools.
    pub(crate) given: FxHashSet<JobId>,
    /// When jobs that don't fit were looked for last.
    pub(crate) sought: Ms,
    /// Courses of steps that were completed, for the log.
    pub(crate) steps_done: Vec<StepTimes>,
    /// Courses of jobs whose final states were stored, for the log.
    pub(crate) jobs_done: Vec<JobTimes>,
    /// Tasks with crashes noted against them; may hold some that have none any more.
    pub(crate) suspects: BTreeSet<TaskKey>,
    /// Workers that one of them may yet crash, as of the present plan.
    pub(crate) trials: SuspectsByWorker,
    /// Tasks that were given up, for the log.
    pub(crate) given_up: Vec<AbandonedTask>,
    /// Runs that workers have lost, for the log.
    pub(crate) lost_runs: Vec<LostRun>,
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
        let mut live = LiveJob::new(job, progress, now, unix);
        // The former owner may have been told of a job that this one learns of only now.
        let former = self.former_commands_end().is_none_or(|end| now < end);
        live.inherited = !ours && (inherited || former && !self.unseen.is_empty());
        self.jobs.insert(Arc::clone(&id), live);
        self.find_suspects(&id);
        self.advance(&id, now, unix);
        self.assume_unreported_runs(now, &id);
        self.adopt_observed_runs(now, &id);
        // A former owner may have stored the last end and not the state that follows from it.
        self.complete_or_advance(now, unix, &id);
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
            .map(|live| match (live.stored_state, live.state) {
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
    pub fn listed(&mut self, now: Ms, id: &WorkerId, news: WorkerInfo) {
        let worker = self.workers.entry(Arc::clone(id)).or_default();
        if worker.id.is_empty() {
            worker.id = Arc::clone(id);
            worker.slowness = 1.0;
        }
        worker.registered = true;
        match (news.draining, worker.leaves_at) {
            (Some(left), None) => worker.leaves_at = Some(now + left),
            (None, Some(_)) if news.incarnation != worker.info.incarnation => {
                worker.leaves_at = None;
            }
            _ => {}
        }
        worker.info = news;
    }

    /// The directory doesn't list a worker any more. What runs there stays in doubt until its lease has lapsed.
    pub fn unlisted(&mut self, id: &str) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.registered = false;
        }
    }

    /// Workers that may be given something: those that the next owner must hear from.
    #[must_use]
    pub fn roster(&self, now: Ms) -> Vec<WorkerId> {
        let mut ids: Vec<WorkerId> = self
            .workers
            .values()
            .filter(|worker| {
                !worker.is_unavailable(now) && (worker.registered || !worker.runs.is_empty())
            })
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
    pub fn silent(&mut self, now: Ms) -> Vec<UnavailableWorker> {
        for worker in self.workers.values_mut() {
            worker.in_stored_roster &= !worker.is_unavailable(now);
        }
        let mut silent: Vec<UnavailableWorker> = self
            .workers
            .values()
            .filter(|worker| worker.is_unavailable(now) || worker.lease_expires_at == Ms::MAX)
            .filter(|worker| !worker.runs.is_empty())
            .map(|worker| {
                let runs = worker.runs.iter();
                let mut runs: Vec<_> = runs.map(|(key, run)| (key.clone(), *run)).collect();
                runs.sort();
                UnavailableWorker {
                    worker: Arc::clone(&worker.id),
                    runs,
                    incarnation: worker.incarnation,
                }
            })
            .collect();
        silent.sort_by(|a, b| a.worker.cmp(&b.worker));
        silent
    }

    /// The stored roster names these workers and no others. Tells whether one may be given something that might not before.
    pub fn enroll(&mut self, ids: &[WorkerId]) -> bool {
        let mut more = false;
        for (id, worker) in &mut self.workers {
            let enrolled = ids.binary_search(id).is_ok();
            more |= enrolled && !worker.in_stored_roster;
            worker.in_stored_roster = enrolled;
        }
        more
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
        let mut answered = 0;
        for worker in self.workers.values().filter(|worker| worker.registered) {
            known += 1;
            if worker.fenced && now.saturating_sub(worker.last_poll) <= self.options.proof {
                answered += 1;
            }
        }
        answered * 2 > known
    }

    /// What a task of this step takes on a worker.
    pub(crate) fn size(&self, key: &StageKey) -> Option<Size> {
        let step = self
            .jobs
            .get(&key.job)?
            .job
            .steps
            .get(usize::from(key.step))?;
        Some(step.demand())
    }
}
