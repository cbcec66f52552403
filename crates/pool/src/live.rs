//! The live state of a job.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use rustc_hash::FxHashMap;

use crate::job::{Job, Step};
use crate::progress::{Course, Progress, StepCourse};
use crate::state::State;
use crate::task::{Ms, StageKey, Task, TaskKey, WorkerId};
use crate::timeline::Timeline;

/// A ticket of the advisor.
#[derive(Clone, Debug)]
pub(crate) struct Ticket {
    /// What the worker wants to see.
    pub text: String,
    /// It holds until then.
    pub until: Ms,
    /// The worker's life it was given for.
    pub born: u64,
}

/// What the advisor said about a step. Answers never change; tickets run out.
#[derive(Clone, Debug, Default)]
pub(crate) struct Advised {
    /// Workers that may run it, with the newest ticket.
    pub allowed: FxHashMap<WorkerId, Ticket>,
    /// Workers that may not.
    pub denied: BTreeSet<WorkerId>,
    /// A question is under way since then.
    pub asking: Option<Ms>,
    /// A question was sent last then.
    pub asked: Option<Ms>,
    /// No question before this.
    pub rest: Ms,
}

/// The live state of one step of one occurrence.
#[derive(Clone, Debug, Default)]
pub(crate) struct Stage {
    /// Its tasks.
    pub tasks: Vec<Task>,
    /// How many are done.
    pub done: usize,
    /// When all steps before it were done.
    pub opened: Option<Ms>,
    /// What the advisor said.
    pub advised: Advised,
    /// When it was asked about and started.
    pub timeline: Timeline,
}

impl Stage {
    fn restore(step: &Step, course: Option<&StepCourse>) -> Self {
        let mut tasks = vec![Task::default(); step.count as usize];
        if let Some(course) = course {
            for (index, task) in tasks.iter_mut().enumerate() {
                task.done = course.is_done(index as u32);
                task.top = course.top;
            }
            for (index, runs) in &course.failed {
                if let Some(task) = tasks.get_mut(*index as usize) {
                    task.failed.clone_from(runs);
                }
            }
            for (index, runs) in &course.crashed {
                if let Some(task) = tasks.get_mut(*index as usize) {
                    task.restore_crashes(runs);
                }
            }
            for (index, saved) in &course.saved {
                if let Some(task) = tasks.get_mut(*index as usize) {
                    task.saved.clone_from(saved);
                }
            }
        }
        let done = tasks.iter().filter(|task| task.done).count();
        Self {
            tasks,
            done,
            ..Self::default()
        }
    }

    fn course(&self) -> StepCourse {
        let rows = || self.tasks.iter().enumerate().filter(|(_, task)| !task.done);
        StepCourse {
            done: StepCourse::pack(self.tasks.iter().map(|task| task.done)),
            failed: rows()
                .filter(|(_, task)| !task.failed.is_empty())
                .map(|(at, task)| (at as u32, task.failed.clone()))
                .collect(),
            crashed: rows()
                .filter(|(_, task)| !task.crashed.is_empty())
                .map(|(at, task)| (at as u32, task.crashed_runs()))
                .collect(),
            saved: rows()
                .filter(|(_, task)| !task.saved.is_empty())
                .map(|(at, task)| (at as u32, task.saved.clone()))
                .collect(),
            top: self.tasks.iter().map(|task| task.top).max().unwrap_or(0),
        }
    }

    /// Highest run number of any task.
    pub(crate) fn top(&self) -> u32 {
        self.tasks.iter().map(|task| task.top).max().unwrap_or(0)
    }

    /// How many of its tasks run on each worker.
    pub(crate) fn spread(&self) -> FxHashMap<WorkerId, u32> {
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

    /// Whether all tasks are done and no run of them is left anywhere.
    pub(crate) fn over(&self) -> bool {
        self.complete() && self.tasks.iter().all(|task| task.run.is_none())
    }
}

/// The live state of one occurrence.
#[derive(Clone, Debug, Default)]
pub(crate) struct Occurrence {
    /// Its steps.
    pub stages: Vec<Stage>,
    /// When it was due.
    pub due: Ms,
}

impl Occurrence {
    fn new(job: &Job, course: Option<&Course>, due: Ms) -> Self {
        let stages = job
            .steps
            .iter()
            .enumerate()
            .map(|(at, step)| Stage::restore(step, course.and_then(|course| course.steps.get(at))))
            .collect();
        Self { stages, due }
    }

    /// Opens the steps whose turn has come; tells which.
    pub(crate) fn open(&mut self, job: &Job, now: Ms) -> Vec<usize> {
        let mut opened = Vec::new();
        for at in 0..self.stages.len() {
            let ready = self.stages[at].opened.is_none()
                && job.steps[at]
                    .after
                    .iter()
                    .all(|&before| self.stages[usize::from(before)].complete());
            if ready {
                self.stages[at].opened = Some(now);
                opened.push(at);
            }
        }
        opened
    }
}

/// The live state of a job.
#[derive(Clone, Debug)]
pub(crate) struct Live {
    /// As it was accepted.
    pub job: Arc<Job>,
    /// As decided here.
    pub state: State,
    /// As stored, and so told.
    pub shown: State,
    /// When it became final, in Unix milliseconds.
    pub closed: u64,
    /// Occurrences under way.
    pub open: BTreeMap<u32, Occurrence>,
    /// Occurrences that are over.
    pub over: BTreeSet<u32>,
    /// The next occurrence that will be due.
    pub next: u32,
    /// It was accepted before this owner came: what an unreachable worker runs may be of it.
    pub inherited: bool,
    /// How many workers have to be heard before it may start anything.
    pub awaits: usize,
    /// Since when the pool can't serve it, even if nothing else ran.
    pub misfit: Option<Ms>,
    /// It is to go to another pool: nothing of it is started here.
    pub leaves: bool,
    /// When it was accepted, on our clock.
    pub since: Ms,
    /// It is among those to be stored.
    pub dirty: bool,
    /// Longest chain of estimated work from each step on.
    pub chains: Vec<Ms>,
}

impl Live {
    /// Takes up a job from what is stored of it.
    pub(crate) fn new(job: Arc<Job>, progress: Option<&Progress>, now: Ms, unix: u64) -> Self {
        let state = progress.map_or(State::Queued, |progress| progress.state);
        let mut live = Self {
            state,
            shown: state,
            closed: progress.map_or(0, |progress| progress.closed),
            open: BTreeMap::new(),
            over: progress.map_or_else(BTreeSet::new, |progress| {
                progress.over.iter().copied().collect()
            }),
            next: 0,
            inherited: false,
            awaits: 0,
            misfit: None,
            leaves: false,
            since: now.saturating_sub(unix.saturating_sub(job.accepted)),
            dirty: false,
            chains: (0..job.steps.len())
                .map(|step| job.chain_from(step))
                .collect(),
            job,
        };
        if !state.is_final() {
            for course in progress.iter().flat_map(|progress| &progress.open) {
                let occurrence = Occurrence::new(&live.job, Some(course), now);
                live.open.insert(course.number, occurrence);
            }
        }
        live
    }

    /// Whether nothing of it runs, as far as this owner knows.
    pub(crate) fn is_idle(&self) -> bool {
        let mut stages = self.open.values().flat_map(|course| &course.stages);
        stages.all(|stage| stage.tasks.iter().all(|task| task.run.is_none()))
    }

    /// The steps of which something is still to be done, in an occurrence under way or in one to come.
    pub(crate) fn steps_left(&self) -> Vec<usize> {
        let all_left = self.next_due().is_some();
        let left = |step: &usize| {
            let mut stages = self.open.values().filter_map(|it| it.stages.get(*step));
            all_left || stages.any(|stage| !stage.complete())
        };
        (0..self.job.steps.len()).filter(left).collect()
    }

    /// How many occurrences it has.
    pub(crate) fn times(&self) -> u32 {
        self.job.schedule.map_or(1, |schedule| schedule.times)
    }

    /// When the next occurrence is due, in Unix milliseconds, if there is one.
    pub(crate) fn next_due(&self) -> Option<u64> {
        if self.state.is_final() || self.next >= self.times() {
            return None;
        }
        Some(self.job.schedule.map_or(0, |schedule| {
            schedule.first + u64::from(self.next) * schedule.every
        }))
    }

    /// Takes up all occurrences that are due, and opens steps whose turn has come.
    pub(crate) fn advance(&mut self, now: Ms, unix: u64) -> Vec<StageKey> {
        let mut opened = Vec::new();
        while self.next_due().is_some_and(|due| due <= unix) {
            let number = self.next;
            self.next += 1;
            if self.over.contains(&number) {
                continue;
            }
            let job = &self.job;
            self.open
                .entry(number)
                .or_insert_with(|| Occurrence::new(job, None, now));
        }
        if self.state.is_final() {
            return opened;
        }
        for (&number, occurrence) in &mut self.open {
            for step in occurrence.open(&self.job, now) {
                opened.push(StageKey {
                    job: Arc::clone(&self.job.id),
                    occurrence: number,
                    step: step as u16,
                });
            }
        }
        opened
    }

    /// Closes occurrences that are over; `true` if the job is completed with that.
    pub(crate) fn close_occurrences(&mut self) -> bool {
        let over: Vec<u32> = self
            .open
            .iter()
            .filter(|(_, occurrence)| occurrence.stages.iter().all(Stage::over))
            .map(|(&number, _)| number)
            .collect();
        for number in over {
            self.open.remove(&number);
            self.over.insert(number);
        }
        self.over.len() as u32 >= self.times() && !self.job.lasting()
    }

    /// What must last.
    pub(crate) fn progress(&self) -> Progress {
        Progress {
            state: self.state,
            closed: self.closed,
            over: self.over.iter().copied().collect(),
            open: if self.state.is_final() {
                Vec::new()
            } else {
                self.open
                    .iter()
                    .map(|(&number, occurrence)| Course {
                        number,
                        steps: occurrence.stages.iter().map(Stage::course).collect(),
                    })
                    .collect()
            },
        }
    }

    /// Takes note that this progress is stored.
    pub(crate) fn note_stored(&mut self, progress: &Progress) {
        for course in &progress.open {
            for (step, stored) in course.steps.iter().enumerate() {
                for (index, runs) in &stored.crashed {
                    if let Some(task) = self.task(course.number, step as u16, *index) {
                        task.crashes_stored = runs.len();
                    }
                }
            }
        }
    }

    /// The tasks of all occurrences under way, with their names.
    pub(crate) fn tasks(&self) -> impl Iterator<Item = (TaskKey, &Task)> {
        self.open.iter().flat_map(move |(&occurrence, course)| {
            course
                .stages
                .iter()
                .enumerate()
                .flat_map(move |(step, stage)| {
                    let key = StageKey {
                        job: Arc::clone(&self.job.id),
                        occurrence,
                        step: step as u16,
                    };
                    let named = move |(at, task)| (key.task(at as u32), task);
                    stage.tasks.iter().enumerate().map(named)
                })
        })
    }

    /// The task with this place, if its occurrence is under way.
    pub(crate) fn task(&mut self, occurrence: u32, step: u16, index: u32) -> Option<&mut Task> {
        self.open
            .get_mut(&occurrence)?
            .stages
            .get_mut(usize::from(step))?
            .tasks
            .get_mut(index as usize)
    }
}
