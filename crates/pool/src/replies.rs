//! Handles answers to commands.

use crate::answer::{StartAnswer, StopAnswer};
use crate::command::{AdvisorQuery, Start, Stop};
use crate::failure_score::FailureCause;
use crate::live::Ticket;
use crate::pool::Pool;
use crate::repeat;
use crate::state::State;
use crate::task::{JobId, Ms, Phase, WorkerId};

/// Time without new starts on a worker that reported itself unhealthy or was not at its address.
const UNHEALTHY_PAUSE: Ms = 400;
/// Time without new starts on a worker that refused a task for lack of capacity although it should have had enough; it reports
/// its runs again within this time.
const REFUSAL_PAUSE: Ms = 250;
/// Delay after a failed query before the advisor is queried about the step again.
const QUERY_RETRY_DELAY: Ms = 150;

impl Pool {
    /// Handles the answer to a start command.
    pub fn start_answered(&mut self, now: Ms, start: &Start, answer: StartAnswer) {
        let Some(run) = self
            .task_mut(&start.task)
            .and_then(|task| task.run.as_mut())
        else {
            return;
        };
        if run.number != start.run || run.worker != start.worker {
            return;
        }
        let unconfirmed = matches!(run.phase, Phase::Starting | Phase::Unconfirmed);
        // If the command was repeated, this is an upper bound of the response time.
        let took = now.saturating_sub(run.requested_at);
        if let Some(worker) = self.workers.get_mut(&start.worker)
            && !matches!(answer, StartAnswer::Lost | StartAnswer::Cut)
        {
            worker.response_time = repeat::smoothed_response_time(worker.response_time, took);
        }
        let Some(run) = self
            .task_mut(&start.task)
            .and_then(|task| task.run.as_mut())
        else {
            return;
        };
        match answer {
            StartAnswer::Running => {
                run.worker_was_up = true;
                run.confirmed_at.get_or_insert(now);
                if unconfirmed {
                    run.phase = Phase::Running;
                    run.progressed_at = now;
                    self.unconfirmed_runs.remove(&start.task);
                }
                self.mark_started(&start.task.stage.job);
                return;
            }
            StartAnswer::Lost | StartAnswer::Cut => {
                run.worker_was_up |= answer == StartAnswer::Cut;
                if run.phase == Phase::Starting {
                    run.phase = Phase::Unconfirmed;
                }
                self.unconfirmed_runs.insert(start.task.clone());
                return;
            }
            StartAnswer::Fenced => self.deposed = true,
            _ => {}
        }
        // An earlier copy of the command may still be in transit, so a refusal doesn't prove that the task won't start.
        if was_repeated(self, start) {
            self.stop_run(&start.task);
            return;
        }
        self.end_run(now, &start.task, 0);
        self.stop_gang(start);
        match answer {
            StartAnswer::Unwell | StartAnswer::Away => {
                if let Some(worker) = self.workers.get_mut(&start.worker) {
                    worker.paused_until = now + UNHEALTHY_PAUSE;
                }
                self.add_failure(now, &start.worker, FailureCause::Refused, false);
            }
            StartAnswer::Room => {
                if let Some(worker) = self.workers.get_mut(&start.worker) {
                    worker.paused_until = now + REFUSAL_PAUSE;
                }
            }
            StartAnswer::Ticket => {
                let stage = self.stage_mut(&start.task.stage);
                if let Some(ticket) =
                    stage.and_then(|stage| stage.advised.allowed.get_mut(&start.worker))
                {
                    ticket.valid_until = 0;
                }
            }
            StartAnswer::Unreadable => {
                if let Some(task) = self.task_mut(&start.task) {
                    task.retry_at = now + 1_000;
                }
            }
            _ => {}
        }
    }

    /// Stops all members of a gang if one of them can't start, because the others would wait for it in vain.
    fn stop_gang(&mut self, start: &Start) {
        let is_gang = start
            .job
            .steps
            .get(usize::from(start.task.stage.step))
            .is_some_and(|step| step.gang);
        if !is_gang {
            return;
        }
        let count = self
            .stage(&start.task.stage)
            .map_or(0, |stage| stage.tasks.len());
        for index in 0..count as u32 {
            self.stop_run(&start.task.stage.task(index));
        }
    }

    /// Records that a task of the job has started.
    pub(crate) fn mark_started(&mut self, job: &JobId) {
        if let Some(live) = self.jobs.get_mut(job)
            && live.state == State::Queued
        {
            live.state = State::Running;
        }
    }

    /// Handles the answer to a stop command.
    pub fn stop_answered(&mut self, now: Ms, stop: &Stop, answer: StopAnswer) {
        match answer {
            StopAnswer::Fenced => self.deposed = true,
            StopAnswer::Stopped(clock) => {
                let worker = self.workers.get(&stop.worker);
                // What a former incarnation has confirmed doesn't keep the start from reaching the present one.
                if worker.is_none_or(|worker| worker.incarnation != stop.incarnation) {
                    return;
                }
                if let Some(run) = self.task_mut(&stop.task).and_then(|task| task.run.as_mut())
                    && run.number == stop.run
                    && run.worker == stop.worker
                {
                    run.stop_confirmed = clock.max(1);
                    run.stop_sent = now;
                }
            }
            StopAnswer::Lost => {}
        }
    }

    /// Handles the answer of the advisor; `None` if the query failed.
    pub fn advisor_answered(
        &mut self,
        now: Ms,
        query: &AdvisorQuery,
        allowed: Option<(&[(WorkerId, String)], Ms)>,
    ) {
        let incarnations: Vec<u64> = allowed.map_or_else(Vec::new, |(rows, _)| {
            rows.iter()
                .map(|(id, _)| self.workers.get(id).map_or(0, |worker| worker.incarnation))
                .collect()
        });
        self.open_queries.remove(&query.stage);
        self.overdue_queries.remove(&query.stage);
        let queue = self
            .jobs
            .get(&query.stage.job)
            .map(|live| live.job.queue.clone());
        let Some(stage) = self.stage_mut(&query.stage) else {
            return;
        };
        stage.advised.query_since = None;
        let Some((rows, ticket_lifetime)) = allowed else {
            stage.advised.no_query_before = now + QUERY_RETRY_DELAY;
            return;
        };
        stage.timeline.record_answer(now);
        for ((id, text), incarnation) in rows.iter().zip(incarnations) {
            stage.advised.denied.remove(id);
            stage.advised.allowed.insert(
                id.clone(),
                Ticket {
                    text: text.clone(),
                    valid_until: now + ticket_lifetime,
                    incarnation,
                },
            );
        }
        for id in &query.workers {
            if !rows.iter().any(|(allowed, _)| allowed == id) {
                stage.advised.denied.insert(id.clone());
            }
        }
        if let Some(queue) = queue {
            self.queue_stats
                .record_answer(&queue, query.workers.len(), rows.len());
        }
    }
}

/// Whether the command was repeated or one of its calls got no answer, so that the task may have been started all the same.
fn was_repeated(pool: &mut Pool, start: &Start) -> bool {
    pool.task_mut(&start.task)
        .and_then(|task| task.run.as_ref())
        .is_some_and(|run| run.phase != Phase::Starting)
}
