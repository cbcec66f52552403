//! What follows from answers to orders.

use crate::answer::{Answer, StopAnswer};
use crate::command::{AdvisorQuery, Start, Stop};
use crate::live::Ticket;
use crate::pool::Pool;
use crate::repeat;
use crate::state::State;
use crate::task::{JobId, Ms, Phase, WorkerId};

/// A worker that said it is not well, or wasn't there, gets nothing for this long.
const REST: Ms = 400;
/// A worker without room, against our own sums, gets nothing until it has been listed again.
const REST_ROOM: Ms = 250;
/// After a question that failed, the step waits this long.
const REST_ASK: Ms = 150;

impl Pool {
    /// A start was answered.
    pub fn answered(&mut self, now: Ms, start: &Start, answer: Answer) {
        let Some(run) = self
            .task_mut(&start.task)
            .and_then(|task| task.run.as_mut())
        else {
            return;
        };
        if run.number != start.run || run.worker != start.worker {
            return;
        }
        let waiting = matches!(run.phase, Phase::Ordered | Phase::Unsure);
        // If it was repeated, this is the most that the answer can have taken.
        let took = now.saturating_sub(run.ordered);
        if let Some(worker) = self.workers.get_mut(&start.worker)
            && !matches!(answer, Answer::Lost | Answer::Cut)
        {
            worker.answers = repeat::usual(worker.answers, took);
        }
        let Some(run) = self
            .task_mut(&start.task)
            .and_then(|task| task.run.as_mut())
        else {
            return;
        };
        match answer {
            Answer::Running => {
                run.proven = true;
                if waiting {
                    run.phase = Phase::Running;
                    run.moved = now;
                    self.unconfirmed_runs.remove(&start.task);
                }
                self.started(&start.task.stage.job);
                return;
            }
            Answer::Lost | Answer::Cut => {
                run.proven |= answer == Answer::Cut;
                if run.phase == Phase::Ordered {
                    run.phase = Phase::Unsure;
                }
                self.unconfirmed_runs.insert(start.task.clone());
                return;
            }
            Answer::Fenced => self.deposed = true,
            _ => {}
        }
        // An earlier copy of the same order may still be on its way, so a refusal says nothing about that one.
        if run_repeated(self, start) {
            self.stop_run(&start.task);
            return;
        }
        self.run_over(now, &start.task, 0);
        self.break_gang(start);
        match answer {
            Answer::Unwell | Answer::Away => {
                if let Some(worker) = self.workers.get_mut(&start.worker) {
                    worker.rest = now + REST;
                    worker.doubt += 0.5;
                }
            }
            Answer::Room => {
                if let Some(worker) = self.workers.get_mut(&start.worker) {
                    worker.rest = now + REST_ROOM;
                }
            }
            Answer::Ticket => {
                let stage = self.stage_mut(&start.task.stage);
                if let Some(ticket) =
                    stage.and_then(|stage| stage.advised.allowed.get_mut(&start.worker))
                {
                    ticket.until = 0;
                }
            }
            Answer::Unreadable => {
                if let Some(task) = self.task_mut(&start.task) {
                    task.retry = now + 1_000;
                }
            }
            _ => {}
        }
    }

    /// If one member of a gang can't start, the others would wait for it in vain: all are stopped.
    fn break_gang(&mut self, start: &Start) {
        let gang = start
            .job
            .steps
            .get(usize::from(start.task.stage.step))
            .is_some_and(|step| step.gang);
        if !gang {
            return;
        }
        let count = self
            .stage(&start.task.stage)
            .map_or(0, |stage| stage.tasks.len());
        for index in 0..count as u32 {
            self.stop_run(&start.task.stage.task(index));
        }
    }

    /// Something of a job has started.
    pub(crate) fn started(&mut self, job: &JobId) {
        if let Some(live) = self.jobs.get_mut(job)
            && live.state == State::Queued
        {
            live.state = State::Running;
        }
    }

    /// A stop was answered.
    pub fn stopped(&mut self, now: Ms, stop: &Stop, answer: StopAnswer) {
        match answer {
            StopAnswer::Fenced => self.deposed = true,
            StopAnswer::Stopped(clock) => {
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

    /// The advisor answered, or didn't.
    pub fn advised(
        &mut self,
        now: Ms,
        ask: &AdvisorQuery,
        allowed: Option<(&[(WorkerId, String)], Ms)>,
    ) {
        let lives: Vec<u64> = allowed.map_or_else(Vec::new, |(rows, _)| {
            rows.iter()
                .map(|(id, _)| self.workers.get(id).map_or(0, |worker| worker.born))
                .collect()
        });
        self.open_queries.remove(&ask.stage);
        self.overdue_queries.remove(&ask.stage);
        let queue = self
            .jobs
            .get(&ask.stage.job)
            .map(|live| live.job.queue.clone());
        let Some(stage) = self.stage_mut(&ask.stage) else {
            return;
        };
        stage.advised.asking = None;
        let Some((rows, valid)) = allowed else {
            stage.advised.rest = now + REST_ASK;
            return;
        };
        stage.timeline.advised(now);
        for ((id, text), born) in rows.iter().zip(lives) {
            stage.advised.denied.remove(id);
            stage.advised.allowed.insert(
                id.clone(),
                Ticket {
                    text: text.clone(),
                    until: now + valid,
                    born,
                },
            );
        }
        for id in &ask.workers {
            if !rows.iter().any(|(allowed, _)| allowed == id) {
                stage.advised.denied.insert(id.clone());
            }
        }
        if let Some(queue) = queue {
            self.queue_stats
                .record_answer(&queue, ask.workers.len(), rows.len());
        }
    }
}

/// Whether the order was sent more than once.
fn run_repeated(pool: &mut Pool, start: &Start) -> bool {
    pool.task_mut(&start.task)
        .and_then(|task| task.run.as_ref())
        .is_some_and(|run| run.phase != Phase::Ordered)
}
