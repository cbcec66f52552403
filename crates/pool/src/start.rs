//! Starts a task on the worker that was chosen for it.

use std::sync::Arc;

use crate::command::{Command, Start};
use crate::crash::{MIN_CRASHES_TO_ISOLATE, SteadyWorker};
use crate::job::Job;
use crate::lease_bound::lapse_time;
use crate::pool::Pool;
use crate::task::{Ms, Run, TaskKey, WorkerId};

impl Pool {
    /// Records a run of a task and queues the command that starts it.
    pub(crate) fn start_task(
        &mut self,
        now: Ms,
        key: &TaskKey,
        job: &Arc<Job>,
        worker: &WorkerId,
        number: u32,
        checkpoint: Option<&str>,
    ) {
        let ttl = self.options.command_ttl;
        let live = self.jobs.get(&key.stage.job);
        let inherited = live.is_some_and(|live| live.inherited);
        let Some(target) = self.workers.get_mut(worker) else {
            return;
        };
        let start_deadline = target.clock(now) + ttl;
        let incarnation = target.incarnation;
        let steady_worker = SteadyWorker::new(target, self.unix);
        let is_test = target.is_suspected();
        // A start acts as a lease until its deadline.
        target.lease_expires_at = target.lease_expires_at.max(lapse_time(now, ttl));
        let ticket = self
            .stage(&key.stage)
            .and_then(|stage| stage.advised.allowed.get(worker))
            .map_or_else(String::new, |ticket| ticket.text.clone());
        let Some(task) = self.task_mut(key) else {
            return;
        };
        let number = number.max(task.highest_run + 1);
        task.highest_run = number;
        if let Some(checkpoint) = checkpoint {
            checkpoint.clone_into(&mut task.checkpoint);
        }
        let checkpoint = task.checkpoint.clone();
        let crashes = task.crashes();
        let crash_assumed = task.assume_crash(number, inherited, steady_worker.as_ref());
        task.run = Some(Run {
            incarnation,
            // A task with so many crashes starts only on a worker that has answered since the last of them.
            worker_was_up: crashes >= MIN_CRASHES_TO_ISOLATE,
            worker_was_steady: steady_worker.is_some(),
            is_test,
            ..Run::new(number, Arc::clone(worker), now, start_deadline)
        });
        self.reserve_capacity(key, worker, number);
        if crash_assumed {
            self.suspects.insert(key.clone());
            self.mark_dirty(&key.stage.job);
            let most_crashes = self
                .suspects_by_worker
                .entry(Arc::clone(worker))
                .or_default();
            *most_crashes = (*most_crashes).max(crashes);
        }
        self.unconfirmed_runs.insert(key.clone());
        self.retry_budget.earn();
        if let Some(stage) = self.stage_mut(&key.stage) {
            stage.timeline.record_start(now);
        }
        self.commands.push(Command::Start(Start {
            task: key.clone(),
            run: number,
            worker: Arc::clone(worker),
            incarnation,
            job: Arc::clone(job),
            start_deadline,
            checkpoint,
            ticket,
            crashes,
        }));
    }
}
