//! Placement: which waiting tasks start, and on which workers.

use std::sync::Arc;

use resource::Size;
use rustc_hash::FxHashMap;

use crate::command::{Command, Start};
use crate::crash::{CRASHES_ALONE, Suspicion};
use crate::fit::{self, Context};
use crate::job::{Job, Step};
use crate::live::LiveJob;
use crate::mechanism::Mechanism;
use crate::pool::Pool;
use crate::rank::{Rank, RankInput, rank};
use crate::service_capacity::ServiceCapacity;
use crate::task::{Ms, Run, StageKey, TaskKey, WorkerId};

/// Maximum number of starts in one scheduling pass. With more, answers would wait while the starts are written.
const MAX_STARTS: usize = 64;
/// Resolution of [`Rank::work`], which is an integer: one unit is a millionth of the total capacity for a millisecond.
const WORK_UNIT: f64 = 1e6;
/// A ticket that expires sooner than this is not used: the start command needs time to arrive.
pub(crate) const TICKET_SLACK: Ms = 120;

/// Number of latency-sensitive and of best-effort tasks on each worker.
type TaskMix = FxHashMap<WorkerId, (u32, u32)>;

impl Pool {
    /// Starts waiting tasks in the order of their ranks, as far as there is free capacity.
    pub(crate) fn place(&mut self, now: Ms) {
        let scarce = self.service_capacities();
        self.locate_suspects();
        let mut order: Vec<(Rank, StageKey)> = Vec::new();
        for key in &self.open {
            let Some(live) = self.jobs.get(&key.job) else {
                continue;
            };
            if live.awaited_workers > 0
                || live.transferring
                || live.inherited && self.may_run_on_unconfirmed(&live.job)
            {
                continue;
            }
            let Some(stage) = self.stage(key) else {
                continue;
            };
            if stage.opened.is_some() && stage.tasks.iter().any(|task| task.waits(now)) {
                let scarce = scarce.get(&live.job.service).copied().unwrap_or_default();
                order.push((self.rank(now, live, key, &scarce), key.clone()));
            }
        }
        order.sort();
        self.ask_overdue(now, &order);
        let mut mix: Option<TaskMix> = None;
        let mut starts = 0;
        for (_, key) in &order {
            if starts >= MAX_STARTS {
                break;
            }
            let Some(live) = self.jobs.get(&key.job) else {
                continue;
            };
            let job = Arc::clone(&live.job);
            let Some(step) = job.steps.get(usize::from(key.step)) else {
                continue;
            };
            if step.best_effort || step.target_latency > 0 {
                mix.get_or_insert_with(|| self.mix());
            }
            let empty = TaskMix::default();
            let scarce = scarce.get(&job.service).copied().unwrap_or_default();
            let mix = mix.as_ref().unwrap_or(&empty);
            starts += self.place_stage(now, key, &job, step, mix, &scarce);
        }
        for (_, key) in &order {
            let Some(live) = self.jobs.get(&key.job) else {
                continue;
            };
            let job = Arc::clone(&live.job);
            if let Some(step) = job.steps.get(usize::from(key.step)) {
                self.ask_ahead(now, key, &job, step);
            }
        }
    }

    fn rank(&self, now: Ms, live: &LiveJob, key: &StageKey, scarce: &ServiceCapacity) -> Rank {
        let job = &live.job;
        let scale = self.queue_stats.duration_ratio(&job.queue);
        let scaled = |chain: Ms| (chain as f64 * scale) as Ms;
        let course = live.open.get(&key.occurrence);
        let since = if job.schedule.is_some() {
            course.map_or(live.accepted_at, |course| course.due)
        } else {
            live.accepted_at
        };
        let work: f64 = course.map_or(0.0, |course| {
            course
                .stages
                .iter()
                .zip(&job.steps)
                .map(|(stage, step)| {
                    let left = (stage.tasks.len() - stage.done) as f64;
                    left * step.estimate as f64 * scarce.dominant_share(step.size)
                })
                .sum()
        });
        if !self.has(Mechanism::Order) {
            return Rank {
                work: since,
                ..Rank::default()
            };
        }
        let rank = rank(&RankInput {
            priority: job.policy.priority,
            age: now.saturating_sub(since),
            objective: self.objective(live),
            chain: scaled(live.chains.get(usize::from(key.step)).copied().unwrap_or(0)),
            work: (work * WORK_UNIT) as u64,
            long_running: job.is_long_running(),
        });
        rank.without(&self.options.switches)
    }

    /// Time in which a job should be completed, with its estimates corrected by the observed durations of its queue.
    pub(crate) fn objective(&self, live: &LiveJob) -> Ms {
        let policy = &live.job.policy;
        let longest = live.chains.iter().max().copied().unwrap_or(0);
        let scaled = (longest as f64 * self.queue_stats.duration_ratio(&live.job.queue)) as Ms;
        (scaled as f64 * policy.stretch) as Ms + policy.objective
    }

    /// Counts the latency-sensitive and the best-effort tasks on each worker.
    pub(crate) fn mix(&self) -> TaskMix {
        let mut mix = TaskMix::default();
        for worker in self.workers.values() {
            let mut counts = (0, 0);
            for key in worker.runs.keys() {
                let step = self
                    .jobs
                    .get(&key.stage.job)
                    .and_then(|live| live.job.steps.get(usize::from(key.stage.step)));
                if let Some(step) = step {
                    counts.0 += u32::from(step.target_latency > 0);
                    counts.1 += u32::from(step.best_effort);
                }
            }
            if counts != (0, 0) {
                mix.insert(Arc::clone(&worker.id), counts);
            }
        }
        mix
    }

    /// Starts the waiting tasks of a step as far as there is free capacity, and returns how many.
    fn place_stage(
        &mut self,
        now: Ms,
        key: &StageKey,
        job: &Arc<Job>,
        step: &Step,
        mix: &TaskMix,
        scarce: &ServiceCapacity,
    ) -> usize {
        let Some(stage) = self.stage(key) else {
            return 0;
        };
        let mut waiting: Vec<u32> = stage
            .tasks
            .iter()
            .enumerate()
            .filter(|(_, task)| task.waits(now))
            .map(|(at, _)| at as u32)
            .collect();
        // Suspects last: a worker that gets a suspect which has to run alone takes no other task.
        let suspicion = |index: &u32| stage.tasks[*index as usize].suspicion();
        waiting.sort_by_key(|index| suspicion(index).crashes);
        let suspicions: Vec<Suspicion> = waiting.iter().map(suspicion).collect();
        if step.gang && waiting.len() != stage.tasks.len() {
            // The members start together, so all of them have to be waiting.
            return 0;
        }
        let same = stage.spread();
        let places = self.assign(now, key, job, step, &suspicions, &same, mix, scarce);
        let all_placed = if step.gang {
            places.len() == waiting.len()
        } else {
            true
        };
        let mut started = 0;
        if all_placed {
            let number = if step.gang {
                highest_run(self, key) + 1
            } else {
                0
            };
            let saved = if step.gang {
                self.gang_checkpoint(key)
            } else {
                None
            };
            for (&index, worker) in waiting.iter().zip(&places) {
                self.start(now, &key.task(index), job, worker, number, saved.as_deref());
                started += 1;
            }
        }
        let left = (waiting.len() - started) as u32;
        if left > 0 && job.policy.advice.is_some() {
            self.ask(now, key, job, step, left);
        }
        started
    }

    /// The checkpoint from which all members of a gang resume.
    fn gang_checkpoint(&self, key: &StageKey) -> Option<String> {
        let stage = self.stage(key)?;
        let saved = stage.tasks.iter().map(|task| &task.checkpoint).max()?;
        Some(saved.clone())
    }

    /// Finds a worker for each task in turn, given the suspicion against it, until there is none.
    #[expect(clippy::too_many_arguments, reason = "one call, all of it read only")]
    fn assign(
        &self,
        now: Ms,
        key: &StageKey,
        job: &Job,
        step: &Step,
        suspicions: &[Suspicion],
        same: &FxHashMap<WorkerId, u32>,
        mix: &TaskMix,
        scarce: &ServiceCapacity,
    ) -> Vec<WorkerId> {
        let Some(stage) = self.stage(key) else {
            return Vec::new();
        };
        let mut choices: Vec<(&crate::worker::Worker, Size, Context)> = Vec::new();
        for worker in self.workers.values() {
            if !fit::allowed(worker, &job.service, step) {
                continue;
            }
            if job.policy.advice.is_some() {
                let ticket = stage.advised.allowed.get(&worker.id);
                let holds = ticket.is_some_and(|ticket| {
                    ticket.valid_until > now + TICKET_SLACK
                        && ticket.incarnation == worker.incarnation
                });
                if !holds {
                    continue;
                }
            }
            let (serving, filling) = mix.get(&worker.id).copied().unwrap_or_default();
            let context = Context {
                now,
                far_factor: self.options.remote_penalty,
                same: same.get(&worker.id).copied().unwrap_or(0),
                placed: 0,
                latency_sensitive: serving,
                best_effort: filling,
                suspicion: Suspicion::default(),
                trial: self
                    .suspects_by_worker
                    .get(&worker.id)
                    .copied()
                    .unwrap_or(0),
                scarce: *scarce,
                first_fit: !self.has(Mechanism::BestFit),
            };
            choices.push((worker, worker.free_capacity(), context));
        }
        if step.gang && step.same_rack {
            let mut racks: Vec<&str> = choices
                .iter()
                .map(|(worker, ..)| worker.info.rack.as_str())
                .collect();
            racks.sort_unstable();
            racks.dedup();
            for rack in racks {
                let mut within: Vec<_> = choices
                    .iter()
                    .filter(|(worker, ..)| worker.info.rack == rack)
                    .copied()
                    .collect();
                let places = fill(&mut within, step, suspicions);
                if places.len() == suspicions.len() {
                    return places;
                }
            }
        }
        fill(&mut choices, step, suspicions)
    }

    /// Records a run of a task and queues the command that starts it.
    fn start(
        &mut self,
        now: Ms,
        key: &TaskKey,
        job: &Arc<Job>,
        worker: &WorkerId,
        number: u32,
        saved: Option<&str>,
    ) {
        let life = self.options.command_ttl;
        let live = self.jobs.get(&key.stage.job);
        let inherited = live.is_some_and(|live| live.inherited);
        let Some(host) = self.workers.get_mut(worker) else {
            return;
        };
        let latest = host.clock(now) + life;
        // A start acts as a lease until its deadline, and the worker's clock may be 2% slow. 400 ms cover the network,
        // timers and rounding, as for any lease.
        host.lease_expires_at = host.lease_expires_at.max(now + life + life / 33 + 400);
        let ticket = self
            .stage(&key.stage)
            .and_then(|stage| stage.advised.allowed.get(worker))
            .map_or_else(String::new, |ticket| ticket.text.clone());
        let Some(task) = self.task_mut(key) else {
            return;
        };
        let number = number.max(task.highest_run + 1);
        task.highest_run = number;
        if let Some(saved) = saved {
            saved.clone_into(&mut task.checkpoint);
        }
        let saved = task.checkpoint.clone();
        let crashes = task.crashes();
        let noted = task.assume_crash(number, inherited);
        task.run = Some(Run {
            // A task with so many crashes starts only on a worker that has answered since the last of them.
            proven: crashes >= CRASHES_ALONE,
            ..Run::new(number, Arc::clone(worker), now, latest)
        });
        self.reserve_capacity(key, worker, number);
        if noted {
            self.suspects.insert(key.clone());
            self.mark_dirty(&key.stage.job);
            let trial = self
                .suspects_by_worker
                .entry(Arc::clone(worker))
                .or_default();
            *trial = (*trial).max(crashes);
        }
        self.unconfirmed_runs.insert(key.clone());
        self.retry_budget.earn();
        if let Some(stage) = self.stage_mut(&key.stage) {
            stage.timeline.started(now);
        }
        self.commands.push(Command::Start(Start {
            task: key.clone(),
            run: number,
            worker: Arc::clone(worker),
            job: Arc::clone(job),
            start_deadline: latest,
            checkpoint: saved,
            ticket,
            crashes,
        }));
    }
}

fn highest_run(pool: &Pool, key: &StageKey) -> u32 {
    pool.stage(key).map_or(0, crate::live::Stage::highest_run)
}

/// Assigns each task to the worker with the lowest cost, until none has capacity.
fn fill(
    choices: &mut [(&crate::worker::Worker, Size, Context)],
    step: &Step,
    suspicions: &[Suspicion],
) -> Vec<WorkerId> {
    let size = step.demand();
    let mut places = Vec::new();
    for &suspicion in suspicions {
        let best = choices
            .iter_mut()
            .filter(|(_, free, _)| size.fits(*free))
            .filter_map(|choice| {
                let context = Context {
                    suspicion,
                    ..choice.2
                };
                let cost = fit::cost(choice.0, step, choice.1, &context)?;
                Some((cost, choice))
            })
            .min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.0.id.cmp(&b.1.0.id)));
        let Some((_, choice)) = best else { break };
        choice.1 = choice.1.minus(size).unwrap_or_default();
        choice.2.same += 1;
        choice.2.placed += 1;
        choice.2.trial = choice.2.trial.max(suspicion.crashes);
        choice.2.latency_sensitive += u32::from(step.target_latency > 0);
        choice.2.best_effort += u32::from(step.best_effort);
        places.push(Arc::clone(&choice.0.id));
    }
    places
}
