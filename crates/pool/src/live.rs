//! Runtime state of a job while it is held by the pool's owner.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use rustc_hash::FxHashMap;

use crate::job::{Job, Step};
use crate::numbers::Numbers;
use crate::progress::{OccurrenceProgress, Progress, StepProgress};
use crate::state::State;
use crate::task::{Ms, StageKey, Task, TaskKey, WorkerId};
use crate::timeline::Timeline;
use crate::window::Window;

/// Permission from the advisor to run a step on one worker.
#[derive(Clone, Debug)]
pub(crate) struct Ticket {
    /// Text that the worker verifies.
    pub text: String,
    /// End of validity.
    pub valid_until: Ms,
    /// Incarnation of the worker that the ticket was issued for.
    pub incarnation: u64,
}

/// What the advisor has answered about a step. Answers don't change, but tickets expire.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdvisorState {
    /// Workers that may run the step, each with its newest ticket.
    pub allowed: FxHashMap<WorkerId, Ticket>,
    /// Workers that may not run the step.
    pub denied: BTreeSet<WorkerId>,
    /// When the query in flight was sent; `None` if there is none.
    pub query_since: Option<Ms>,
    /// When the latest query was sent.
    pub last_query: Option<Ms>,
    /// No query is sent before this time.
    pub no_query_before: Ms,
}

/// Runtime state of one step of one occurrence.
#[derive(Clone, Debug, Default)]
pub(crate) struct Stage {
    /// The step's tasks.
    pub tasks: Vec<Task>,
    /// Number of completed tasks.
    pub done: usize,
    /// When the step opened, that is, when all steps it depends on were complete.
    pub opened: Option<Ms>,
    /// Answers of the advisor.
    pub advised: AdvisorState,
    /// When the advisor was queried about the step and when its tasks were started.
    pub timeline: Timeline,
    /// Number of turns that the step, a gang, has had at its customer's limit without starting.
    pub gang_turns: u32,
}

impl Stage {
    fn restore(step: &Step, progress: Option<&StepProgress>) -> Self {
        let mut tasks = vec![Task::default(); step.count as usize];
        if let Some(progress) = progress {
            for (index, task) in tasks.iter_mut().enumerate() {
                task.done = progress.is_done(index as u32);
                task.highest_run = progress.highest_run;
            }
            let failed = progress.failed.iter().filter(|_| !step.long_running);
            for (index, runs) in failed {
                if let Some(task) = tasks.get_mut(*index as usize) {
                    task.failed.clone_from(runs);
                }
            }
            for (index, runs) in &progress.crashed {
                if let Some(task) = tasks.get_mut(*index as usize) {
                    let unconfirmed = progress.unconfirmed.iter().find(|(of, _)| of == index);
                    let unconfirmed = unconfirmed.map_or(&[][..], |(_, runs)| runs);
                    task.restore_crashes(runs, unconfirmed);
                }
            }
            for start in &progress.unresolved {
                if let Some(task) = tasks.get_mut(start.task as usize) {
                    task.restore_start(start);
                }
            }
            for (index, checkpoint) in &progress.checkpoints {
                if let Some(task) = tasks.get_mut(*index as usize) {
                    task.checkpoint.clone_from(checkpoint);
                }
            }
        }
        let mut stage = Self {
            tasks,
            ..Self::default()
        };
        // A gang may be stored with some of its members done alone.
        if step.gang && stage.tasks.iter().any(|task| task.done) {
            stage.complete_gang();
        }
        stage.done = stage.tasks.iter().filter(|task| task.done).count();
        stage
    }

    /// Marks all tasks as done. The members of a gang end done together, so the end of one of them stands for all, whatever runs
    /// were started since.
    pub(crate) fn complete_gang(&mut self) {
        for task in &mut self.tasks {
            task.done = true;
        }
    }

    /// Indices of the tasks that have a run with another number.
    pub(crate) fn runs_other_than(&self, number: u32) -> Vec<u32> {
        let tasks = self.tasks.iter().enumerate();
        let runs = tasks.filter_map(|(index, task)| Some((index, task.run.as_ref()?)));
        let others = runs.filter(|(_, run)| run.number != number);
        others.map(|(index, _)| index as u32).collect()
    }

    fn progress(&self) -> StepProgress {
        let unfinished = || self.tasks.iter().enumerate().filter(|(_, task)| !task.done);
        StepProgress {
            done: StepProgress::pack(self.tasks.iter().map(|task| task.done)),
            failed: unfinished()
                .filter(|(_, task)| !task.failed.is_empty())
                .map(|(index, task)| (index as u32, task.failed.clone()))
                .collect(),
            crashed: unfinished()
                .filter(|(_, task)| !task.crashed.is_empty())
                .map(|(index, task)| (index as u32, task.crashed_runs()))
                .collect(),
            unconfirmed: unfinished()
                .map(|(index, task)| (index as u32, task.unconfirmed_crashes()))
                .filter(|(_, runs)| !runs.is_empty())
                .collect(),
            unresolved: unfinished()
                .flat_map(|(index, task)| task.unresolved_starts(index as u32))
                .collect(),
            checkpoints: unfinished()
                .filter(|(_, task)| !task.checkpoint.is_empty())
                .map(|(index, task)| (index as u32, task.checkpoint.clone()))
                .collect(),
            highest_run: self
                .tasks
                .iter()
                .map(|task| task.highest_run)
                .max()
                .unwrap_or(0),
        }
    }

    /// Highest run number of any task.
    pub(crate) fn highest_run(&self) -> u32 {
        self.tasks
            .iter()
            .map(|task| task.highest_run)
            .max()
            .unwrap_or(0)
    }

    /// Number of tasks that are neither done nor have a run.
    pub(crate) fn waiting_count(&self) -> usize {
        let waiting = |task: &&Task| !task.done && task.run.is_none();
        self.tasks.iter().filter(waiting).count()
    }

    /// Number of tasks with a run on each worker.
    pub(crate) fn runs_per_worker(&self) -> FxHashMap<WorkerId, u32> {
        let mut spread = FxHashMap::default();
        for run in self.tasks.iter().filter_map(|task| task.run.as_ref()) {
            *spread.entry(Arc::clone(&run.worker)).or_default() += 1;
        }
        spread
    }

    /// Whether all tasks are done.
    pub(crate) fn complete(&self) -> bool {
        self.done == self.tasks.len()
    }

    /// Whether all tasks are done and none has a run left on any worker.
    pub(crate) fn is_finished(&self) -> bool {
        self.complete() && self.tasks.iter().all(|task| task.run.is_none())
    }
}

/// Runtime state of one occurrence.
#[derive(Clone, Debug, Default)]
pub(crate) struct Occurrence {
    /// Its steps.
    pub stages: Vec<Stage>,
    /// When it was due, in Unix milliseconds.
    pub due: u64,
}

impl Occurrence {
    fn new(job: &Job, number: u32, progress: Option<&OccurrenceProgress>) -> Self {
        let stages = job
            .steps
            .iter()
            .enumerate()
            .map(|(index, step)| {
                Stage::restore(
                    step,
                    progress.and_then(|progress| progress.steps.get(index)),
                )
            })
            .collect();
        Self {
            stages,
            due: job.due(number),
        }
    }

    /// Opens the steps whose dependencies are complete, and returns their indices.
    pub(crate) fn open(&mut self, job: &Job, now: Ms) -> Vec<usize> {
        let mut opened = Vec::new();
        for index in 0..self.stages.len() {
            let ready = self.stages[index].opened.is_none()
                && job.steps[index]
                    .after
                    .iter()
                    .all(|&before| self.stages[usize::from(before)].complete());
            if ready {
                self.stages[index].opened = Some(now);
                opened.push(index);
            }
        }
        opened
    }
}

/// Runtime state of a job.
#[derive(Clone, Debug)]
pub(crate) struct LiveJob {
    /// The job as accepted.
    pub job: Arc<Job>,
    /// The state as decided by this owner.
    pub state: State,
    /// The state as stored, which is what callers are shown.
    pub stored_state: State,
    /// Whether the final state may be stored already: a write of it is in progress, or the outcome of one is unknown.
    pub may_be_stored_as_final: bool,
    /// When the state became final, in Unix milliseconds.
    pub closed: u64,
    /// Occurrences in progress.
    pub open: BTreeMap<u32, Occurrence>,
    /// Finished occurrences.
    pub finished: Numbers,
    /// The next occurrence to begin, unless it has begun already.
    pub next: u32,
    /// Whether the job was accepted before this owner took over. If so, workers that have not reported to this owner may be
    /// running tasks of it.
    pub inherited: bool,
    /// Number of workers that must report before any task of the job may start.
    pub awaited_workers: usize,
    /// Since when the pool could not run the job even if it ran nothing else; `None` if it could.
    pub unservable_since: Option<Ms>,
    /// Whether the job is being transferred to another pool; no task of it is started here.
    pub transferring: bool,
    /// When the job was accepted, on this process's clock.
    pub accepted_at: Ms,
    /// Whether its customer is owed it; otherwise the customer has sent more jobs a second than its weight.
    pub is_owed: bool,
    /// Whether the progress has changed since it was last stored.
    pub dirty: bool,
    /// Longest chain of estimated work from each step to the end, in milliseconds.
    pub chains: Vec<Ms>,
}

impl LiveJob {
    /// Creates the runtime state from the stored progress.
    pub(crate) fn new(job: Arc<Job>, progress: Option<&Progress>, now: Ms, unix: u64) -> Self {
        let state = progress.map_or(State::Queued, |progress| progress.state);
        let mut live = Self {
            state,
            stored_state: state,
            may_be_stored_as_final: false,
            closed: progress.map_or(0, |progress| progress.closed),
            open: BTreeMap::new(),
            finished: progress.map_or_else(Numbers::default, Progress::finished),
            next: 0,
            inherited: false,
            awaited_workers: 0,
            unservable_since: None,
            transferring: false,
            accepted_at: now.saturating_sub(unix.saturating_sub(job.accepted)),
            is_owed: true,
            dirty: false,
            chains: (0..job.steps.len())
                .map(|step| job.chain_from(step))
                .collect(),
            job,
        };
        if !state.is_final() {
            for stored in progress.iter().flat_map(|progress| &progress.open) {
                let occurrence = Occurrence::new(&live.job, stored.number, Some(stored));
                live.open.insert(stored.number, occurrence);
            }
        }
        live
    }

    /// Whether no task of the job has a run, as far as this owner knows.
    pub(crate) fn is_idle(&self) -> bool {
        let mut stages = self.open.values().flat_map(|occurrence| &occurrence.stages);
        stages.all(|stage| stage.tasks.iter().all(|task| task.run.is_none()))
    }

    /// Indices of the steps that have tasks left, in an occurrence in progress or a future one.
    pub(crate) fn steps_left(&self) -> Vec<usize> {
        let all_left = self.next_due().is_some();
        let left = |step: &usize| {
            let mut stages = self.open.values().filter_map(|it| it.stages.get(*step));
            all_left || stages.any(|stage| !stage.complete())
        };
        (0..self.job.steps.len()).filter(left).collect()
    }

    /// Number of tasks of each occurrence.
    pub(crate) fn tasks_per_occurrence(&self) -> usize {
        self.job.steps.iter().map(|step| step.count as usize).sum()
    }

    /// Number of occurrences.
    pub(crate) fn occurrence_count(&self) -> u32 {
        self.job.schedule.map_or(1, |schedule| schedule.times)
    }

    /// When the next occurrence is due, in Unix milliseconds; `None` if there is none.
    pub(crate) fn next_due(&self) -> Option<u64> {
        if self.state.is_final() || self.next >= self.occurrence_count() {
            return None;
        }
        Some(self.job.due(self.next))
    }

    /// Begins the occurrences that are due, in order and as far as the window allows; returns the steps that this opened.
    pub(crate) fn begin_due(&mut self, now: Ms, unix: u64, window: &Window) -> Vec<StageKey> {
        let limit = window.limit(self.open.len(), self.tasks_per_occurrence());
        let mut opened = Vec::new();
        while self.open.len() < limit && self.next_due().is_some_and(|due| due <= unix) {
            let number = self.next;
            if let Some(last) = self.finished.end_of_range(number) {
                self.next = last.saturating_add(1);
                continue;
            }
            self.next += 1;
            if !self.open.contains_key(&number) {
                opened.extend(self.begin(number, now));
            }
        }
        opened
    }

    /// Begins an occurrence; returns the steps that this opened.
    pub(crate) fn begin(&mut self, number: u32, now: Ms) -> Vec<StageKey> {
        let occurrence = Occurrence::new(&self.job, number, None);
        self.open.insert(number, occurrence);
        self.open_steps(number, now)
    }

    /// Opens the steps of an occurrence in progress whose dependencies are complete, and returns them.
    pub(crate) fn open_steps(&mut self, number: u32, now: Ms) -> Vec<StageKey> {
        let Some(occurrence) = self.open.get_mut(&number) else {
            return Vec::new();
        };
        if self.state.is_final() {
            return Vec::new();
        }
        let key = |step: usize| StageKey {
            job: Arc::clone(&self.job.id),
            occurrence: number,
            step: step as u16,
        };
        let opened = occurrence.open(&self.job, now);
        opened.into_iter().map(key).collect()
    }

    /// Closes an occurrence if it is finished; returns whether it is.
    pub(crate) fn close(&mut self, number: u32) -> bool {
        let occurrence = self.open.get(&number);
        let finished = occurrence.is_some_and(|it| it.stages.iter().all(Stage::is_finished));
        if finished {
            self.open.remove(&number);
            self.finished.insert(number);
        }
        finished
    }

    /// Whether all occurrences are finished.
    pub(crate) fn is_over(&self) -> bool {
        let all = u64::from(self.occurrence_count());
        self.finished.count() >= all && !self.job.is_long_running()
    }

    /// The progress to be stored.
    pub(crate) fn progress(&self) -> Progress {
        Progress {
            state: self.state,
            closed: self.closed,
            open: if self.state.is_final() {
                Vec::new()
            } else {
                self.open
                    .iter()
                    .map(|(&number, occurrence)| OccurrenceProgress {
                        number,
                        steps: occurrence.stages.iter().map(Stage::progress).collect(),
                    })
                    // What has nothing to be stored begins again as one that is due.
                    .filter(|occurrence| !occurrence.is_empty())
                    .collect()
            },
            ..Progress::of_finished(&self.finished)
        }
    }

    /// Records that this progress is stored.
    pub(crate) fn mark_stored(&mut self, progress: &Progress) {
        for occurrence in &progress.open {
            for (step, stored) in occurrence.steps.iter().enumerate() {
                for (index, runs) in &stored.crashed {
                    if let Some(task) = self.task(occurrence.number, step as u16, *index) {
                        task.crashes_stored = runs.len();
                    }
                }
            }
        }
    }

    /// All tasks of the occurrences in progress, with their keys.
    pub(crate) fn tasks(&self) -> impl Iterator<Item = (TaskKey, &Task)> {
        self.open.iter().flat_map(move |(&number, occurrence)| {
            occurrence
                .stages
                .iter()
                .enumerate()
                .flat_map(move |(step, stage)| {
                    let key = StageKey {
                        job: Arc::clone(&self.job.id),
                        occurrence: number,
                        step: step as u16,
                    };
                    let keyed = move |(index, task)| (key.task(index as u32), task);
                    stage.tasks.iter().enumerate().map(keyed)
                })
        })
    }

    /// The task at this position, if its occurrence is in progress.
    pub(crate) fn task(&mut self, occurrence: u32, step: u16, index: u32) -> Option<&mut Task> {
        self.open
            .get_mut(&occurrence)?
            .stages
            .get_mut(usize::from(step))?
            .tasks
            .get_mut(index as usize)
    }
}
