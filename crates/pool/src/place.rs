//! Placement: which waiting tasks start, and on which workers.

use std::sync::Arc;

use resource::Size;
use rustc_hash::FxHashMap;

use crate::crash::{Suspicion, is_steady};
use crate::fit::{self, Context};
use crate::job::{Job, Step};
use crate::live::{LiveJob, Stage};
use crate::mechanism::Mechanism;
use crate::pool::Pool;
use crate::quota::QuotaPass;
use crate::rank::{Rank, RankInput, rank};
use crate::service_capacity::ServiceCapacity;
use crate::task::{Ms, StageKey, WorkerId};
use crate::timeline::WaitReason;
use crate::worker::Worker;

/// Maximum number of starts in one scheduling pass. With more, answers would wait while the starts are written.
const MAX_STARTS: usize = 64;
/// Resolution of [`Rank::work`], which is an integer: one unit is a millionth of the total capacity for a millisecond.
const WORK_UNIT: f64 = 1e6;
/// A ticket that expires sooner than this is not used: the start command needs time to arrive.
pub(crate) const TICKET_MARGIN: Ms = 120;

/// Number of latency-sensitive and of best-effort tasks on each worker.
type TaskMix = FxHashMap<WorkerId, (u32, u32)>;

impl Pool {
    /// Starts waiting tasks in the order of their ranks, as far as there is free capacity.
    pub(crate) fn place_tasks(&mut self, now: Ms) {
        let capacities = self.service_capacities();
        self.locate_suspects();
        let mut ranked: Vec<(Rank, StageKey)> = Vec::new();
        for key in &self.open_steps {
            let Some(live) = self.jobs.get(&key.job) else {
                continue;
            };
            if self.hold(live).is_some() {
                continue;
            }
            let Some(stage) = self.stage(key) else {
                continue;
            };
            if stage.opened.is_some() && stage.tasks.iter().any(|task| task.is_startable(now)) {
                let capacity = capacities
                    .get(&live.job.service)
                    .copied()
                    .unwrap_or_default();
                ranked.push((self.rank(now, live, key, &capacity), key.clone()));
            }
        }
        ranked.sort();
        let quota = self.begin_quota_pass(now, ranked.iter().map(|(_, key)| key));
        self.query_overdue(now, &ranked, &quota, &capacities);
        let mut mix: Option<TaskMix> = None;
        let mut starts = 0;
        for (_, key) in &ranked {
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
            let capacity = capacities.get(&job.service).copied().unwrap_or_default();
            starts += self.place_stage(now, key, &job, step, &mut mix, &capacity, &quota);
        }
        for (_, key) in &ranked {
            let Some(live) = self.jobs.get(&key.job) else {
                continue;
            };
            let job = Arc::clone(&live.job);
            if let Some(step) = job.steps.get(usize::from(key.step))
                && self.startable_within_quota(&quota, key, &job, step) > 0
            {
                self.query_ahead(now, key, &job, step);
            }
        }
        self.quota_pass = quota;
    }

    fn rank(&self, now: Ms, live: &LiveJob, key: &StageKey, capacity: &ServiceCapacity) -> Rank {
        let job = &live.job;
        let ratio = self.queue_stats.duration_ratio(&job.queue);
        let scaled = |chain: Ms| (chain as f64 * ratio) as Ms;
        let occurrence = live.open.get(&key.occurrence);
        let age = match occurrence.filter(|_| job.schedule.is_some()) {
            Some(occurrence) => self.unix.saturating_sub(occurrence.due),
            None => now.saturating_sub(live.accepted_at),
        };
        let work: f64 = occurrence.map_or(0.0, |occurrence| {
            occurrence
                .stages
                .iter()
                .zip(&job.steps)
                .map(|(stage, step)| {
                    let left = (stage.tasks.len() - stage.done) as f64;
                    left * step.estimate as f64 * capacity.dominant_share(step.size)
                })
                .sum()
        });
        if !self.has(Mechanism::Order) {
            // The rank is the time of arrival.
            return Rank {
                work: now.saturating_sub(age),
                ..Rank::default()
            };
        }
        let rank = rank(&RankInput {
            priority: job.policy.priority,
            age,
            objective: self.objective(live),
            chain: scaled(live.chains.get(usize::from(key.step)).copied().unwrap_or(0)),
            work: (work * WORK_UNIT) as u64,
            long_running: job.is_long_running(),
            beyond_share: !live.is_owed,
            excess: self.excess(&job.customer, capacity),
        });
        rank.without(&self.options.switches)
    }

    /// What a customer uses relative to its weight, in steps of its share; 0 if that is less than its share.
    fn excess(&self, customer: &str, capacity: &ServiceCapacity) -> u32 {
        let Some(account) = self.accounts.get(customer) else {
            return 0;
        };
        let Some(weight) = account.weight() else {
            return 0;
        };
        let share = weight / self.accounts.total_weight();
        (capacity.dominant_share(account.used) / share) as u32
    }

    /// Time in which a job should be completed, with its estimates corrected by the observed durations of its queue.
    pub(crate) fn objective(&self, live: &LiveJob) -> Ms {
        let policy = &live.job.policy;
        let longest = live.chains.iter().max().copied().unwrap_or(0);
        let scaled = (longest as f64 * self.queue_stats.duration_ratio(&live.job.queue)) as Ms;
        let stretched = (scaled as f64 * policy.stretch) as Ms;
        stretched.saturating_add(policy.objective)
    }

    /// Counts the latency-sensitive and the best-effort tasks on each worker.
    pub(crate) fn count_mix(&self) -> TaskMix {
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

    /// Starts the waiting tasks of a step as far as the customer's limit and free capacity allow, and returns how many.
    #[expect(clippy::too_many_arguments, reason = "one call, all of it read only")]
    fn place_stage(
        &mut self,
        now: Ms,
        key: &StageKey,
        job: &Arc<Job>,
        step: &Step,
        mix: &mut Option<TaskMix>,
        capacity: &ServiceCapacity,
        quota: &QuotaPass,
    ) -> usize {
        let allowed = self.startable_within_quota(quota, key, job, step);
        if allowed == 0 {
            self.record_wait(now, key, WaitReason::Quota);
            return 0;
        }
        let Some(stage) = self.stage(key) else {
            return 0;
        };
        let mut waiting: Vec<u32> = stage
            .tasks
            .iter()
            .enumerate()
            .filter(|(_, task)| task.is_startable(now))
            .map(|(index, _)| index as u32)
            .collect();
        // Suspects last: a worker that gets a suspect which has to run alone takes no other task.
        let suspicion = |index: &u32| stage.tasks[*index as usize].suspicion();
        waiting.sort_by_key(|index| suspicion(index).crashes);
        if step.gang && waiting.len() != stage.tasks.len() {
            // The members start together, so all of them have to be waiting.
            return 0;
        }
        let total = waiting.len();
        if total > allowed as usize {
            if step.gang {
                self.record_wait(now, key, WaitReason::Quota);
                return 0;
            }
            waiting.truncate(allowed as usize);
        }
        let suspicions: Vec<Suspicion> = waiting.iter().map(suspicion).collect();
        let workers = if step.demand().fits(capacity.largest_free) {
            self.workers_with_room(now, stage, job, step)
        } else {
            Vec::new()
        };
        let assigned = if workers.is_empty() {
            Vec::new()
        } else {
            if step.best_effort || step.target_latency > 0 {
                mix.get_or_insert_with(|| self.count_mix());
            }
            self.find_workers(
                now,
                stage,
                step,
                &workers,
                &suspicions,
                mix.as_ref(),
                capacity,
            )
        };
        let all_placed = if step.gang {
            assigned.len() == waiting.len()
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
            let checkpoint = if step.gang {
                self.gang_checkpoint(key)
            } else {
                None
            };
            for (&index, worker) in waiting.iter().zip(&assigned) {
                self.start_task(
                    now,
                    &key.task(index),
                    job,
                    worker,
                    number,
                    checkpoint.as_deref(),
                );
                started += 1;
            }
            if started > 0 {
                self.gang_turns.record_start(&job.customer, key);
            }
        }
        let left = (waiting.len() - started) as u32;
        if left > 0 && job.policy.advice.is_some() {
            self.query_advisor(now, key, job, step, left, capacity.largest_free);
        }
        if left > 0 {
            self.record_wait(now, key, self.wait_reason(key, job));
        } else if started < total {
            self.record_wait(now, key, WaitReason::Quota);
        } else if let Some(stage) = self.stage_mut(key) {
            stage.timeline.end_wait(now);
        }
        started
    }

    fn record_wait(&mut self, now: Ms, key: &StageKey, reason: WaitReason) {
        if let Some(stage) = self.stage_mut(key) {
            stage.timeline.record_wait(now, reason);
        }
    }

    /// What tasks wait for that are within their customer's limit.
    fn wait_reason(&self, key: &StageKey, job: &Job) -> WaitReason {
        let advised = self.stage(key).map(|stage| &stage.advised);
        let unadvised = advised.is_some_and(|it| it.query_since.is_some() || it.allowed.is_empty());
        if job.policy.advice.is_some() && unadvised {
            return WaitReason::Advice;
        }
        let is_owed = self.jobs.get(&key.job).is_none_or(|live| live.is_owed);
        if is_owed {
            WaitReason::Capacity
        } else {
            WaitReason::Share
        }
    }

    /// The checkpoint from which all members of a gang resume.
    fn gang_checkpoint(&self, key: &StageKey) -> Option<String> {
        let stage = self.stage(key)?;
        let checkpoint = stage.tasks.iter().map(|task| &task.checkpoint).max()?;
        Some(checkpoint.clone())
    }

    /// Workers that may run a task of the step and have enough free capacity for it. If the advisor's permission is needed, only
    /// the few workers with a valid ticket are looked at.
    fn workers_with_room<'a>(
        &'a self,
        now: Ms,
        stage: &'a Stage,
        job: &'a Job,
        step: &'a Step,
    ) -> Vec<&'a Worker> {
        let demand = step.demand();
        let has_room = |worker: &&Worker| {
            demand.fits(worker.free_capacity()) && fit::is_eligible(worker, &job.service, step)
        };
        if job.policy.advice.is_none() {
            return self.workers.values().filter(has_room).collect();
        }
        let tickets = stage.advised.allowed.iter();
        let valid = tickets.filter(|(_, ticket)| ticket.valid_until > now + TICKET_MARGIN);
        valid
            .filter_map(|(id, ticket)| {
                let worker = self.workers.get(id)?;
                (ticket.incarnation == worker.incarnation).then_some(worker)
            })
            .filter(has_room)
            .collect()
    }

    /// Finds a worker for each task in turn, given the suspicion against it, until there is none.
    #[expect(clippy::too_many_arguments, reason = "one call, all of it read only")]
    fn find_workers(
        &self,
        now: Ms,
        stage: &Stage,
        step: &Step,
        workers: &[&Worker],
        suspicions: &[Suspicion],
        mix: Option<&TaskMix>,
        capacity: &ServiceCapacity,
    ) -> Vec<WorkerId> {
        let same_step = stage.runs_per_worker();
        let mut candidates: Vec<(&Worker, Size, Context)> = Vec::new();
        for &worker in workers {
            let counts = mix.and_then(|mix| mix.get(&worker.id)).copied();
            let (latency_sensitive, best_effort) = counts.unwrap_or_default();
            let context = Context {
                latency_sensitive,
                best_effort,
                service_capacity: *capacity,
                ..self.placement_context(now, worker, &same_step)
            };
            candidates.push((worker, worker.free_capacity(), context));
        }
        if step.gang && step.same_rack {
            let mut racks: Vec<&str> = candidates
                .iter()
                .map(|(worker, ..)| worker.info.rack.as_str())
                .collect();
            racks.sort_unstable();
            racks.dedup();
            for rack in racks {
                let mut in_rack: Vec<_> = candidates
                    .iter()
                    .filter(|(worker, ..)| worker.info.rack == rack)
                    .copied()
                    .collect();
                let assigned = assign_greedily(&mut in_rack, step, suspicions);
                if assigned.len() == suspicions.len() {
                    return assigned;
                }
            }
        }
        assign_greedily(&mut candidates, step, suspicions)
    }

    /// What the choice of a worker depends on for any task of a step that has `same_step` tasks on each worker.
    pub(crate) fn placement_context(
        &self,
        now: Ms,
        worker: &Worker,
        same_step: &FxHashMap<WorkerId, u32>,
    ) -> Context {
        let suspect_crashes = self.suspects_by_worker.get(&worker.id);
        Context {
            now,
            remote_penalty: self.options.remote_penalty,
            same_step: same_step.get(&worker.id).copied().unwrap_or(0),
            suspect_crashes: suspect_crashes.copied().unwrap_or(0),
            just_restarted: !is_steady(worker, self.unix),
            being_tested: worker.is_suspected() && self.is_being_tested(now, worker),
            first_fit: !self.has(Mechanism::BestFit),
            ..Context::default()
        }
    }
}

fn highest_run(pool: &Pool, key: &StageKey) -> u32 {
    pool.stage(key).map_or(0, crate::live::Stage::highest_run)
}

/// Assigns each task to the worker with the lowest cost, until none has capacity.
fn assign_greedily(
    candidates: &mut [(&Worker, Size, Context)],
    step: &Step,
    suspicions: &[Suspicion],
) -> Vec<WorkerId> {
    let size = step.demand();
    let mut assigned = Vec::new();
    for &suspicion in suspicions {
        let best = candidates
            .iter_mut()
            .filter(|(_, free, _)| size.fits(*free))
            .filter_map(|candidate| {
                let context = Context {
                    suspicion,
                    ..candidate.2
                };
                let cost = fit::cost(candidate.0, step, candidate.1, &context)?;
                Some((cost, candidate))
            })
            .min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.0.id.cmp(&b.1.0.id)));
        let Some((_, candidate)) = best else { break };
        candidate.1 = candidate.1.minus(size).unwrap_or_default();
        candidate.2.same_step += 1;
        candidate.2.assigned += 1;
        candidate.2.suspect_crashes = candidate.2.suspect_crashes.max(suspicion.crashes);
        candidate.2.latency_sensitive += u32::from(step.target_latency > 0);
        candidate.2.best_effort += u32::from(step.best_effort);
        assigned.push(Arc::clone(&candidate.0.id));
    }
    assigned
}
