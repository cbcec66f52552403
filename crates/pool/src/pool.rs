//! In-memory state of one pool, kept by its owner.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use resource::Size;
use rustc_hash::{FxHashMap, FxHashSet};

use crate::accounts::Accounts;
use crate::command::Command;
use crate::crash::{AbandonedTask, SuspectsByWorker, UnresolvedStarts};
use crate::failure_score::WorkerSuspicion;
use crate::forget::ForgottenWorker;
use crate::gang_turns::GangTurns;
use crate::handover::CrashHistory;
use crate::inherit::EndsRead;
use crate::job::Job;
use crate::lapsed_lease::LapsedLease;
use crate::live::LiveJob;
use crate::loss::LostRun;
use crate::mechanism::{Mechanism, Switches};
use crate::monitor::StalledRun;
use crate::pace::PaceController;
use crate::progress::Progress;
use crate::quota::QuotaPass;
use crate::rank::QueueStats;
use crate::repeat::Budget;
use crate::state::State;
use crate::task::{JobId, Ms, StageKey, TaskKey, WorkerId};
use crate::timeline::{JobTimes, StepTimes};
use crate::unknown_ends::UnknownEndsEvent;
use crate::window::Window;
use crate::worker::{UnavailableWorker, Worker, WorkerInfo};

/// Configuration of a pool's decisions.
#[derive(Clone, Debug)]
pub struct Options {
    /// The owner's epoch; 0 if ownership is not tracked.
    pub epoch: u64,
    /// Which mechanisms are enabled.
    pub switches: Switches,
    /// Time after which a worker must no longer carry out a start command, in milliseconds. It exceeds every response
    /// time on a healthy network; a smaller value frees capacity of starts with unknown outcome sooner.
    pub command_ttl: Ms,
    /// Length of the leases that this owner requests, in milliseconds.
    pub requested_lease: Ms,
    /// Longest lease that a worker grants, in milliseconds; it shortens longer ones to this.
    pub longest_lease: Ms,
    /// Time for which an owner may act after a majority of its workers last confirmed it, in milliseconds.
    pub quorum_validity: Ms,
    /// Maximum number of concurrent advisor queries.
    pub max_queries: usize,
    /// Maximum number of workers in one advisor query.
    pub max_query_workers: usize,
    /// Factor by which a task is slower on another rack than that of its data.
    pub remote_penalty: f64,
    /// Maximum time that a worker takes to stop a run, in milliseconds.
    pub stop_grace: Ms,
    /// Time for which jobs in a final state are kept, in milliseconds.
    pub retention: Ms,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            epoch: 0,
            switches: Switches::default(),
            command_ttl: 1_000,
            requested_lease: 6_000,
            longest_lease: 6_000,
            quorum_validity: 1_600,
            max_queries: 1,
            max_query_workers: 30,
            remote_penalty: 1.5,
            stop_grace: 400,
            retention: 150_000,
        }
    }
}

/// State of one pool: its jobs, its workers, and the commands and queries in flight.
#[derive(Debug, Default)]
pub struct Pool {
    pub(crate) options: Options,
    pub(crate) jobs: FxHashMap<JobId, LiveJob>,
    pub(crate) workers: FxHashMap<WorkerId, Worker>,
    /// What each customer uses and is entitled to.
    pub(crate) accounts: Accounts,
    /// The gangs that have their turns at their customers' limits.
    pub(crate) gang_turns: GangTurns,
    /// What customers could use beside their known runs in the latest scheduling pass.
    pub(crate) quota_pass: QuotaPass,
    /// Steps whose dependencies are complete and that are not complete themselves.
    pub(crate) open_steps: BTreeSet<StageKey>,
    /// Jobs blocked until the worker's next report: it reported ends of their runs before the jobs were known here.
    pub(crate) jobs_awaiting_worker: BTreeMap<WorkerId, Vec<JobId>>,
    /// Tasks whose start command is unanswered or whose run is to be stopped.
    pub(crate) unconfirmed_runs: FxHashSet<TaskKey>,
    /// Budget for resending unanswered commands.
    pub(crate) retry_budget: Budget,
    /// Jobs with occurrences that haven't begun.
    pub(crate) scheduled_jobs: BTreeSet<JobId>,
    /// Limits on the occurrences in progress, measured in the latest scheduling pass in which some were due.
    pub(crate) window: Window,
    /// Jobs whose progress has unsaved changes.
    pub(crate) dirty: FxHashSet<JobId>,
    /// Jobs whose newest progress the store has rejected.
    pub(crate) rejected_rows: FxHashSet<JobId>,
    /// Workers of the former owner that have not answered this owner.
    pub(crate) unconfirmed_workers: BTreeSet<WorkerId>,
    /// Workers that have reported to this owner, but not all ends of runs that a former owner may have started, with the time of
    /// the first report.
    pub(crate) partly_read_workers: BTreeMap<WorkerId, Ms>,
    /// When the leases of former owners have lapsed on workers that don't answer, as the former owner handed it over.
    pub(crate) lease_bounds: FxHashMap<WorkerId, Ms>,
    /// Workers that were given up for the next owner.
    pub(crate) released_workers: FxHashSet<WorkerId>,
    /// When a majority of the workers first confirmed this owner.
    pub(crate) quorum_since: Option<Ms>,
    /// Steps with an advisor query in flight.
    pub(crate) open_queries: BTreeSet<StageKey>,
    /// Those of them whose query was sent out of rank order.
    pub(crate) overdue_queries: BTreeSet<StageKey>,
    /// Number of steps that scheduling passes have considered for queries out of rank order.
    pub(crate) overdue_considered: usize,
    /// Number of advisor queries sent.
    pub(crate) query_count: usize,
    /// Observed durations and advisor answers, per queue.
    pub(crate) queue_stats: QueueStats,
    /// Paces of best-effort tasks.
    pub(crate) pace_controller: PaceController,
    /// When stalled tasks and paces were last checked.
    pub(crate) checked_at: Ms,
    /// Some jobs that were accepted before this owner took over have not been read yet.
    pub(crate) jobs_incomplete: bool,
    /// Jobs that were cancelled before they became known.
    pub(crate) early_cancels: FxHashSet<JobId>,
    /// Runs that may exist on workers that the former owner could not reach.
    pub(crate) unavailable: Vec<UnavailableWorker>,
    /// Jobs that may be in other pools: writes that transfer them were sent, and the outcomes aren't known.
    pub(crate) transfers_in_doubt: BTreeSet<JobId>,
    /// Jobs that were transferred to other pools.
    pub(crate) transferred_jobs: FxHashSet<JobId>,
    /// When the jobs were last scanned for unservable ones.
    pub(crate) scanned_at: Ms,
    /// Summaries of completed steps, to be logged.
    pub(crate) steps_done: Vec<StepTimes>,
    /// Summaries of jobs whose final states were stored, to be logged.
    pub(crate) jobs_done: Vec<JobTimes>,
    /// Tasks suspected of crashing workers; may contain some whose suspicion has been cleared.
    pub(crate) suspects: BTreeSet<TaskKey>,
    /// Tasks with starts by a former owner whose outcome only these workers can tell.
    pub(crate) unresolved_starts: FxHashMap<WorkerId, UnresolvedStarts>,
    /// Workers with a run of a suspect that may still crash them, as of the current scheduling pass.
    pub(crate) suspects_by_worker: SuspectsByWorker,
    /// Crash records that the former owner could not store, by job, of jobs that aren't known yet.
    pub(crate) former_crashes: FxHashMap<JobId, Vec<CrashHistory>>,
    /// Unix time of the latest scheduling pass, in milliseconds.
    pub(crate) unix: u64,
    /// Tasks that were abandoned, to be logged.
    pub(crate) abandoned: Vec<AbandonedTask>,
    /// Runs that workers have lost, to be logged.
    pub(crate) lost_runs: Vec<LostRun>,
    /// Leases that count as over, to be logged.
    pub(crate) lapsed_leases: Vec<LapsedLease>,
    /// Workers that were forgotten, to be logged.
    pub(crate) forgotten_workers: Vec<ForgottenWorker>,
    /// What became of ends of unknown jobs, to be logged.
    pub(crate) unknown_ends_events: Vec<UnknownEndsEvent>,
    /// Runs that were stopped because they made no progress, to be logged.
    pub(crate) stalled_runs: Vec<StalledRun>,
    /// Workers whose ends have all been read, to be logged.
    pub(crate) ends_read: Vec<EndsRead>,
    /// Workers that have come under suspicion or have been cleared of it, to be logged.
    pub(crate) worker_suspicions: Vec<WorkerSuspicion>,
    /// Commands collected since the last scheduling pass; the next one returns them.
    pub(crate) commands: Vec<Command>,
    /// An owner with a higher epoch exists.
    pub(crate) deposed: bool,
}

impl Pool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Whether a mechanism is enabled.
    #[must_use]
    pub fn has(&self, mechanism: Mechanism) -> bool {
        self.options.switches.has(mechanism)
    }

    /// Sets the maximum number of concurrent advisor queries.
    pub fn set_max_queries(&mut self, max_queries: usize) {
        self.options.max_queries = max_queries.max(1);
    }

    /// Adds a job. Does nothing if the job is known already or was transferred to another pool. If the job was cancelled before it
    /// became known, returns the number of its runs that are to be stopped.
    pub fn adopt(
        &mut self,
        now: Ms,
        unix: u64,
        job: Arc<Job>,
        progress: Option<&Progress>,
        inherited: bool,
    ) -> Option<usize> {
        let id = Arc::clone(&job.id);
        if self.jobs.contains_key(&id) || self.transferred_jobs.contains(&id) {
            return None;
        }
        if job.epoch > self.options.epoch && self.options.epoch > 0 {
            // The host that accepted the job knows a newer owner.
            self.deposed = true;
            return None;
        }
        let accepted_for_us = job.epoch == self.options.epoch && job.epoch > 0;
        let mut live = LiveJob::new(job, progress, now, unix);
        live.is_owed = self
            .accounts
            .count_job(&live.job.customer, live.job.accepted);
        // The former owner may have received, and started, a job that this owner learns of only now. The run may go on for as long as
        // the lease of a worker that hasn't reported.
        live.inherited = !accepted_for_us
            && (inherited
                || !self.unconfirmed_workers.is_empty()
                || !self.partly_read_workers.is_empty());
        let open: Vec<u32> = live.open.keys().copied().collect();
        self.jobs.insert(Arc::clone(&id), live);
        self.open_steps_of(&id, &open, now);
        self.advance(&id, now, unix);
        self.apply_former_crashes(now, &id);
        self.find_suspects(now, &id);
        self.assume_unreported_runs(now, &id);
        self.adopt_observed_runs(now, &id);
        // The former owner may have stored the last end without the state that follows from it.
        for occurrence in open {
            self.complete_or_advance(now, unix, &id, occurrence);
        }
        self.complete_if_over(unix, &id);
        if !self.early_cancels.remove(&id) {
            return None;
        }
        self.cancel(unix, &id)
    }

    /// Opens the steps of these occurrences whose dependencies are complete.
    pub(crate) fn open_steps_of(&mut self, id: &JobId, occurrences: &[u32], now: Ms) {
        if let Some(live) = self.jobs.get_mut(id) {
            for &number in occurrences {
                self.open_steps.extend(live.open_steps(number, now));
            }
        }
    }

    /// Begins the occurrences that are due, as far as the job's window allows.
    pub(crate) fn advance(&mut self, id: &JobId, now: Ms, unix: u64) {
        let Some(live) = self.jobs.get_mut(id) else {
            return;
        };
        let open = live.open.len();
        let opened = live.begin_due(now, unix, &self.window);
        let begun = live.open.len() - open;
        self.window.take(begun, live.tasks_per_occurrence());
        self.open_steps.extend(opened);
        if live.next_due().is_some() {
            self.scheduled_jobs.insert(Arc::clone(id));
        } else {
            self.scheduled_jobs.remove(id);
        }
    }

    /// Whether the job is known.
    #[must_use]
    pub fn contains_job(&self, id: &str) -> bool {
        self.jobs.contains_key(id)
    }

    /// A job, if it is known.
    #[must_use]
    pub fn job(&self, id: &str) -> Option<&Job> {
        self.jobs.get(id).map(|live| &*live.job)
    }

    /// The state of a job as reported to its caller; `None` if the job isn't known, or if only the store can tell. A final state is
    /// reported only once it is stored.
    ///
    /// Until then only the workers hold the ends, and a worker may leave or crash before a new owner polls it: a job
    /// that was reported as completed would then run again. From the write of a final state until its answer, another host may
    /// read the final state from the store, and any other state would contradict it.
    #[must_use]
    pub fn state(&self, id: &str) -> Option<State> {
        let live = self.jobs.get(id)?;
        match (live.stored_state, live.state) {
            (stored, _) if stored.is_final() => Some(stored),
            _ if live.may_be_stored_as_final => None,
            (_, State::Queued) => Some(State::Queued),
            _ => Some(State::Running),
        }
    }

    /// Marks a job's progress as changed, so that it gets stored.
    pub(crate) fn mark_dirty(&mut self, id: &JobId) {
        if let Some(live) = self.jobs.get_mut(id) {
            live.dirty = true;
            if !self.rejected_rows.contains(id) {
                self.dirty.insert(Arc::clone(id));
            }
        }
    }

    /// Number of jobs in each queue of which no task has started.
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

    /// Adds a worker that is registered in the directory, or updates what is known of it.
    pub fn update_worker(&mut self, now: Ms, id: &WorkerId, info: WorkerInfo) {
        let worker = self.workers.entry(Arc::clone(id)).or_default();
        if worker.id.is_empty() {
            worker.id = Arc::clone(id);
            worker.slowness = 1.0;
        }
        worker.registered = true;
        match (info.draining, worker.leaves_at) {
            (Some(left), None) => worker.leaves_at = Some(now.saturating_add(left)),
            (None, Some(_)) if info.incarnation != worker.info.incarnation => {
                worker.leaves_at = None;
            }
            _ => {}
        }
        worker.info = info;
    }

    /// A worker is no longer registered in the directory. The outcome of its runs is unknown until its lease has expired.
    pub fn deregister_worker(&mut self, id: &str) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.registered = false;
        }
    }

    /// Workers that may be given tasks. The next owner has to get an answer from each of them.
    #[must_use]
    pub fn roster(&self, now: Ms) -> Vec<WorkerId> {
        let mut ids: Vec<WorkerId> = self
            .workers
            .values()
            .filter(|worker| !worker.is_unavailable(now) || worker.has_unstored_ends())
            .filter(|worker| worker.registered || worker.is_needed(now))
            .map(|worker| Arc::clone(&worker.id))
            .chain(self.unconfirmed_workers.iter().cloned())
            .chain(self.partly_read_workers.keys().cloned())
            .collect();
        ids.sort();
        ids.dedup();
        ids
    }

    /// Workers that are unreachable or about to leave, with the runs that may be there. After this call, nothing is
    /// started on them until a roster that names them is stored: a run started while the list is being stored would be
    /// missing from it. Workers with ends that are unread or not stored are left out: the next owner has to read these ends, and the roster
    /// names them.
    #[must_use]
    pub fn unavailable_workers(&mut self, now: Ms) -> Vec<UnavailableWorker> {
        for worker in self.workers.values_mut() {
            worker.in_stored_roster &= !worker.is_unavailable(now);
        }
        let mut unavailable: Vec<UnavailableWorker> = self
            .workers
            .values()
            .filter(|worker| worker.is_unavailable(now) || worker.lease_expires_at == Ms::MAX)
            .filter(|worker| !self.partly_read_workers.contains_key(&worker.id))
            .filter(|worker| !worker.has_unstored_ends())
            .map(|worker| UnavailableWorker {
                worker: Arc::clone(&worker.id),
                runs: self.possible_runs(worker),
                incarnation: worker.incarnation,
            })
            .filter(|entry| !entry.runs.is_empty())
            .collect();
        unavailable.sort_by(|a, b| a.worker.cmp(&b.worker));
        unavailable
    }

    /// Records the workers of the stored roster, sorted by id. Returns whether a worker was added, which may now be given
    /// tasks.
    pub fn set_stored_roster(&mut self, ids: &[WorkerId]) -> bool {
        let mut any_added = false;
        for (id, worker) in &mut self.workers {
            let in_roster = ids.binary_search(id).is_ok();
            any_added |= in_roster && !worker.in_stored_roster;
            worker.in_stored_roster = in_roster;
        }
        any_added
    }

    /// The worker with this id, if it is known.
    #[must_use]
    pub fn worker(&self, id: &str) -> Option<&Worker> {
        self.workers.get(id)
    }

    /// All workers.
    pub fn workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values()
    }

    /// Whether an owner with a higher epoch exists.
    #[must_use]
    pub fn deposed(&self) -> bool {
        self.deposed
    }

    /// Whether a majority of the workers has confirmed this owner recently enough for it to send commands.
    ///
    /// A new owner has to reach a majority before it acts, so an owner without one may have been replaced. An owner
    /// that was paused fails this check when it resumes, before it sends anything.
    #[must_use]
    pub fn has_quorum(&self, now: Ms) -> bool {
        let mut known = 0;
        let mut answered = 0;
        for worker in self.workers.values().filter(|worker| worker.registered) {
            known += 1;
            if worker.fenced && now.saturating_sub(worker.last_poll) <= self.options.quorum_validity
            {
                answered += 1;
            }
        }
        answered * 2 > known
    }

    /// Capacity that a task of this step takes on a worker.
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
