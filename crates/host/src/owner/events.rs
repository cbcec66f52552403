//! What the pool has decided or found out since the last scheduling pass, for the log and the metrics.

use log::{info, warn};

use crate::interfaces::StartReply;
use crate::log_sampling::is_logged_in_full;
use pool::{
    AbandonedTask, DownStep, EndsRead, ForgottenWorker, GangTurnEvent, GangWait, Hold, IdleStep,
    LapsedLease, LostRun, Ms, Occurrences, Pool, StalledRun, Start, StartAnswer, StepTimes,
    UnknownEndsEvent, WaitReason, WorkerSuspicion,
};

/// Events of a pool since the last call of [`Events::take`].
pub(super) struct Events {
    steps: Vec<StepTimes>,
    lapsed: Vec<LapsedLease>,
    lost: Vec<LostRun>,
    abandoned: Vec<AbandonedTask>,
    stalled: Vec<StalledRun>,
    suspicions: Vec<WorkerSuspicion>,
    gang_turns: Vec<GangTurnEvent>,
    ends_read: Vec<EndsRead>,
    unknown_ends: Vec<UnknownEndsEvent>,
    forgotten: Vec<ForgottenWorker>,
}

impl Events {
    pub(super) fn take(pool: &mut Pool) -> Self {
        Self {
            steps: pool.take_steps_done(),
            lapsed: pool.take_lapsed_leases(),
            lost: pool.take_lost_runs(),
            abandoned: pool.take_abandoned_tasks(),
            stalled: pool.take_stalled_runs(),
            suspicions: pool.take_worker_suspicions(),
            gang_turns: pool.take_gang_turns(),
            ends_read: pool.take_ends_read(),
            unknown_ends: pool.take_unknown_ends_events(),
            forgotten: pool.take_forgotten_workers(),
        }
    }

    pub(super) fn log(&self) {
        self.steps.iter().for_each(log_step);
        self.lapsed.iter().for_each(log_lapsed_lease);
        self.lost.iter().for_each(log_lost_run);
        self.abandoned.iter().for_each(log_abandoned_task);
        self.stalled.iter().for_each(log_stalled_run);
        self.suspicions.iter().for_each(log_worker_suspicion);
        self.gang_turns.iter().for_each(log_gang_turn);
        self.ends_read.iter().for_each(log_ends_read);
        self.unknown_ends.iter().for_each(log_unknown_ends);
        self.forgotten.iter().for_each(log_forgotten_worker);
    }
}

/// A time for the log, or -1 for none.
fn time(time: Option<Ms>) -> i64 {
    time.map_or(-1, |time| time as i64)
}

/// Logs the times of a completed step; -1 stands for an event that did not happen under this owner.
fn log_step(step: &StepTimes) {
    let key = &step.stage;
    let waited = |reason: WaitReason| step.waited[reason as usize];
    info!(
        job = &*key.job, occurrence = key.occurrence, step = key.step, queue = step.queue.as_str(),
        tasks = step.tasks, estimate = step.estimate, age = step.age,
        asked = time(step.first_query), advised = time(step.first_answer),
        first_start = time(step.first_start), last_start = time(step.last_start),
        done = step.done, questions = step.queries, starts = step.starts,
        customer = &*step.customer, owed = step.owed, waited_capacity = waited(WaitReason::Capacity),
        waited_quota = waited(WaitReason::Quota), waited_share = waited(WaitReason::Share),
        waited_advice = waited(WaitReason::Advice);
        "step"
    );
}

/// Counts a start command and its reply, which came after `took` ms. Logs it unless it is a successful first start outside of the log sample.
pub(super) fn log_start(start: &Start, reply: StartReply, epoch: u64, took: Ms) {
    let (key, answer) = (&start.task, reply.answer);
    metrics::counter!("lentilyoke_starts_total", "outcome" => answer.name()).increment(1);
    let is_first = start.run == 1 && start.crashes == 0;
    if answer == StartAnswer::Running && is_first && !is_logged_in_full(&key.stage.job) {
        return;
    }
    info!(
        job = &*key.stage.job, occurrence = key.stage.occurrence, step = key.stage.step,
        task = key.index, run = start.run, worker = &*start.worker, epoch = epoch,
        incarnation = start.incarnation, deadline = start.start_deadline, clock = reply.clock.unwrap_or(0),
        crashes = start.crashes, outcome:? = answer, ms = took;
        "start"
    );
}

/// Logs and counts a lease that counts as over although its worker doesn't answer.
fn log_lapsed_lease(lease: &LapsedLease) {
    metrics::counter!("lentilyoke_leases_lapsed_total", "basis" => lease.basis.name()).increment(1);
    warn!(
        worker = &*lease.worker, incarnation = lease.incarnation, basis = lease.basis.name(),
        silence = time(lease.silence), runs = lease.runs;
        "lease of a worker counts as over"
    );
}

/// Logs and counts a run that was lost without a reported end.
fn log_lost_run(lost: &LostRun) {
    metrics::counter!("lentilyoke_runs_lost_total", "loss" => lost.loss.name()).increment(1);
    let key = &lost.task;
    info!(
        job = &*key.stage.job, occurrence = key.stage.occurrence, step = key.stage.step,
        task = key.index, run = lost.run, worker = &*lost.worker, loss = lost.loss.name(),
        confirmed = lost.confirmed, survived = lost.survived, runs = lost.runs, steady = lost.steady,
        crash = lost.crash.name(), crashes = lost.crashes, unstored = lost.unstored;
        "run lost"
    );
}

/// Logs and counts a task that was abandoned because its runs crashed their workers.
fn log_abandoned_task(abandoned: &AbandonedTask) {
    metrics::counter!("lentilyoke_tasks_given_up_total").increment(1);
    let key = &abandoned.task;
    warn!(
        job = &*key.stage.job, occurrence = key.stage.occurrence, step = key.stage.step,
        task = key.index, crashed:? = abandoned.crashed;
        "task given up: it crashes its workers"
    );
}

/// Logs a run that was stopped because it made no progress.
fn log_stalled_run(stalled: &StalledRun) {
    let key = &stalled.task;
    info!(
        job = &*key.stage.job, occurrence = key.stage.occurrence, step = key.stage.step, task = key.index,
        run = stalled.run, worker = &*stalled.worker, idle = stalled.idle, percent = stalled.percent,
        gang = stalled.gang;
        "run stalled"
    );
}

/// Logs that a worker has come under suspicion of failing what it starts, or has been cleared of it.
fn log_worker_suspicion(change: &WorkerSuspicion) {
    let (worker, score, runs) = (&*change.worker, change.score, change.runs);
    if let Some(cause) = change.cause {
        warn!(worker = worker, score = score, runs = runs, cause = cause.name(); "worker suspected: runs fail there");
    } else {
        info!(worker = worker, score = score, runs = runs; "worker cleared of suspicion");
    }
}

/// Logs that all ends of a worker have been read, after a first report that listed only a part of them.
fn log_ends_read(read: &EndsRead) {
    metrics::histogram!("lentilyoke_ends_read_ms").record(read.took as f64);
    info!(worker = &*read.worker, ends = read.ends, ms = read.took; "all ends of a worker read");
}

/// Logs that a worker has listed ends of unknown jobs, or that the first of them was skipped.
fn log_unknown_ends(event: &UnknownEndsEvent) {
    let change = event.change.name();
    metrics::counter!("lentilyoke_unknown_ends_total", "change" => change).increment(1);
    info!(
        worker = &*event.worker, change = change, job = &*event.job, first = event.first,
        since = event.since, jobs_incomplete = event.jobs_incomplete;
        "ends of unknown jobs"
    );
}

/// Logs that a worker which the directory no longer lists was forgotten, with what this owner knew of it.
fn log_forgotten_worker(forgotten: &ForgottenWorker) {
    info!(
        worker = &*forgotten.worker, incarnation = forgotten.incarnation,
        unknown_ends = forgotten.unknown_ends, unstored_ends = forgotten.unstored_ends,
        lease_left = forgotten.lease_left;
        "worker forgotten"
    );
}

/// Logs that a gang's turn at its customer's limit has begun or ended.
fn log_gang_turn(event: &GangTurnEvent) {
    let (gang, key) = (&event.gang, &event.gang.stage);
    info!(
        job = &*key.job, occurrence = key.occurrence, step = key.step, customer = &*gang.customer,
        change = event.change.name(), lasted = event.lasted, waited = gang.waited,
        fits_after = time(gang.fits_after), processors = gang.size.millicores,
        memory = gang.size.memory_mib, accelerators = gang.size.accelerators;
        "turn of a gang"
    );
}

/// Logs a gang that waits for its customer's limit.
pub(super) fn log_gang_wait(gang: &GangWait) {
    let key = &gang.stage;
    info!(
        job = &*key.job, occurrence = key.occurrence, step = key.step, customer = &*gang.customer,
        waited = gang.waited, turns = gang.turns, fits_after = time(gang.fits_after),
        processors = gang.size.millicores, memory = gang.size.memory_mib, accelerators = gang.size.accelerators;
        "gang waits for the limit of its customer"
    );
}

/// Logs and counts the occurrences of jobs that run several times, if there are any.
pub(super) fn log_occurrences(occurrences: &Occurrences, pool_number: u32, epoch: u64) {
    let name = pool_number.to_string();
    metrics::gauge!("lentilyoke_open_occurrences", "pool" => name.clone())
        .set(occurrences.open as f64);
    metrics::gauge!("lentilyoke_waiting_occurrences", "pool" => name)
        .set(occurrences.waiting as f64);
    if let Some(largest) = &occurrences.largest {
        info!(
            pool = pool_number, epoch = epoch, jobs = occurrences.jobs, open = occurrences.open,
            tasks = occurrences.tasks, waiting = occurrences.waiting, largest = &**largest;
            "occurrences of repeating jobs"
        );
    }
}

/// Logs a long-running step with tasks that wait to be started again.
pub(super) fn log_down_step(down: &DownStep) {
    let (key, workers) = (&down.stage, &down.workers);
    info!(
        job = &*key.job, occurrence = key.occurrence, step = key.step, tasks = down.tasks, since = down.since,
        full = workers.full, unavailable = workers.unavailable, per_worker = workers.per_worker,
        crashes = workers.crashes, suspected = workers.suspected, denied = workers.denied,
        unadvised = workers.unadvised, usable = workers.usable;
        "long-running tasks are down"
    );
}

/// Logs a step of which nothing runs and that placement doesn't consider.
pub(super) fn log_idle_step(idle: &IdleStep) {
    let key = &idle.stage;
    warn!(
        job = &*key.job, occurrence = key.occurrence, step = key.step, gang = idle.gang,
        tasks = idle.tasks, done = idle.done, startable = idle.startable, since = idle.since,
        hold = idle.hold.map_or("none", Hold::name);
        "nothing of a step runs or can start"
    );
}
