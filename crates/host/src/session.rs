//! The owner's session with one worker: long polls that renew its lease and list its runs and the ends of runs.
//!
//! The connection to a worker may be saturated, so that its answers arrive late. A worker whose answer is overdue gets no new
//! tasks and is polled again. A late answer is processed all the same: it may list ends, and if the lease lapsed before an end is
//! known, the task would run again.

use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use log::{info, warn};
use pool::{Mechanism, Ms, RunOutcome, WorkerId, WorkerReport};

use crate::clock;
use crate::hedge::{Attempt, Hedge, Outcome};
use crate::host::lock;
use crate::interfaces::{Acknowledgement, PollFailure};
use crate::log_sampling::is_logged_in_full;
use crate::owner::Owner;

/// Longest time for which a worker delays its answer to a poll until a run ends. A worker counts as silent after 1.6 s, so a
/// single lost poll does no harm.
const POLL_WAIT: Duration = Duration::from_millis(600);
/// The same while many answers are lost: after a lost answer, the ends on a worker are known only with the next poll.
const POLL_WAIT_LOSSY: Duration = Duration::from_millis(250);
/// Time for an answer beyond the wait of the poll itself: a round trip, and the set-up of a connection.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(650);
/// The wait of a poll while the owner isn't confirmed by a majority of its workers and therefore renews no lease. It is short, so
/// that the lease is renewed soon after the confirmation. Without any wait, each worker was polled 4,000 times a second.
const POLL_WAIT_UNCONFIRMED: Duration = Duration::from_millis(150);
/// Ends are stored in batches. A poll that would list the same ends again is delayed by at most this until they are stored.
const ENDS_STORED_TIMEOUT: Duration = Duration::from_millis(80);
/// Delay before the next poll after an answer that brought nothing new while ends are not stored. It grows by this much each
/// time.
const UNSTORED_ENDS_DELAY: Duration = Duration::from_millis(100);
/// Longest such delay. While the store is down, each worker would be polled ten times a second, for which a host with 500 of
/// them has no time. A third of that rate is enough to learn of ends and to renew the leases.
const MAX_UNSTORED_ENDS_DELAY: Duration = Duration::from_millis(400);
/// Delay before the next poll after a failed one.
const POLL_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Polls a worker as long as the pool knows it and the owner owns the pool.
pub(crate) async fn run(owner: &Arc<Owner>, id: &WorkerId) {
    tokio::select! {
        () = poll_loop(owner, id) => {}
        () = owner.ended.cancelled() => {}
    }
}

/// A poll that was sent.
#[derive(Clone, Copy, Debug)]
struct SentPoll {
    /// When it was sent.
    at: Ms,
    /// What was known of the worker's ends then, as in [`PollRequest::ends`].
    ends: (u64, u64, u64),
    /// Ends that the worker may forget.
    acknowledged: Acknowledgement,
}

/// The result of a poll.
struct PollResult {
    poll: SentPoll,
    outcome: Result<WorkerReport, PollFailure>,
}

/// Polls a worker until the pool doesn't know it any more or it follows another owner. Polls are delayed while ends that the
/// worker has listed are being stored.
async fn poll_loop(owner: &Arc<Owner>, id: &WorkerId) {
    let mut lost = false;
    let mut delay = UNSTORED_ENDS_DELAY;
    let mut polls = Hedge::default();
    loop {
        let (address, mut ends) = {
            let pool = lock(&owner.pool);
            let Some(worker) = pool.worker(id) else {
                return;
            };
            (worker.info.address.clone(), worker.end_cursor())
        };
        // Some ends are applied but not stored yet.
        if ends.1 > ends.2 {
            let poll_delay = lock(&owner.pool).poll_delay(id);
            tokio::time::sleep(Duration::from_millis(poll_delay)).await;
            let stored = owner.stored.notified();
            let all_stored = lock(&owner.pool)
                .worker(id)
                .is_some_and(|worker| worker.end_cursor().1 <= worker.end_cursor().2);
            if !all_stored {
                drop(tokio::time::timeout(ENDS_STORED_TIMEOUT, stored).await);
            }
            match lock(&owner.pool).worker(id) {
                Some(worker) => ends = worker.end_cursor(),
                None => return,
            }
        }
        let sent_at = clock::now();
        let (lease, responsive, has_more_ends) = {
            let mut pool = lock(&owner.pool);
            let lease = pool.extend_lease(sent_at, id);
            let worker = pool.worker(id);
            (
                lease,
                worker.is_some_and(pool::Worker::is_responsive),
                worker.is_some_and(pool::Worker::has_more_ends),
            )
        };
        // Otherwise the worker has ends to list, and is asked for them at once.
        let caught_up = ends.1 <= ends.2 && !has_more_ends;
        let wait = match lease {
            Some(_) if caught_up && lock(&owner.answer_loss).is_high() => POLL_WAIT_LOSSY,
            Some(_) if caught_up => POLL_WAIT,
            None if caught_up && responsive => POLL_WAIT_UNCONFIRMED,
            _ => Duration::ZERO,
        };
        // A worker that did not answer may have restarted. Its new incarnation numbers ends from the start, and must not forget
        // ends because of the numbers of the former one.
        let acknowledged = Acknowledgement {
            incarnation: ends.0,
            last_end: if lost { 0 } else { ends.2 },
        };
        let request = PollRequest {
            address,
            ends,
            lease,
            acknowledged,
        };
        match poll_once(owner, id, &request, sent_at, wait, &mut polls).await {
            Ok(()) => {
                if lost {
                    info!(dependency = "worker", worker = &**id; "regained");
                    lost = false;
                }
                let (unknown_ends, any_new) = {
                    let pool = lock(&owner.pool);
                    let worker = pool.worker(id);
                    (
                        worker.is_some_and(pool::Worker::reports_unknown_ends),
                        worker.is_some_and(|worker| worker.end_cursor() > ends),
                    )
                };
                if (caught_up || has_more_ends && any_new) && !unknown_ends {
                    delay = UNSTORED_ENDS_DELAY;
                } else {
                    tokio::time::sleep(delay).await;
                    if owner.host().has(Mechanism::HoldPause) {
                        delay = (delay + UNSTORED_ENDS_DELAY).min(MAX_UNSTORED_ENDS_DELAY);
                    }
                }
            }
            Err(PollFailure::Fenced) => {
                warn!(worker = &**id, epoch = owner.epoch(); "worker follows an owner with a newer epoch");
                owner.ended.cancel();
                return;
            }
            Err(failure) => {
                lock(&owner.pool).mark_unresponsive(id);
                owner.dirty.notify_one();
                if !lost {
                    warn!(
                        dependency = "worker", worker = &**id, failure:? = failure, incarnation = ends.0,
                        acknowledged = acknowledged.last_end;
                        "lost"
                    );
                    lost = true;
                }
                tokio::time::sleep(POLL_RETRY_DELAY).await;
            }
        }
    }
}

/// The contents of a poll.
#[derive(Clone)]
struct PollRequest {
    address: String,
    /// Incarnation of the worker, number of the last end that was applied, and number of the last end that is stored.
    ends: (u64, u64, u64),
    /// End of the renewed lease on the worker's clock; `None` if the lease isn't renewed.
    lease: Option<Ms>,
    /// Ends that the worker may forget.
    acknowledged: Acknowledgement,
}

impl PollRequest {
    /// Sends a poll whose answer the worker delays by at most `wait` until a run ends.
    fn send(
        &self,
        owner: &Owner,
        id: &WorkerId,
        sent_at: Ms,
        wait: Duration,
    ) -> BoxFuture<'static, PollResult> {
        let (workers, id, epoch) = (
            Arc::clone(&owner.host().workers),
            Arc::clone(id),
            owner.epoch(),
        );
        let (address, ends) = (self.address.clone(), self.ends);
        let (lease, acknowledged) = (self.lease, self.acknowledged);
        Box::pin(async move {
            let outcome = workers
                .poll(&address, &id, epoch, lease, acknowledged, wait)
                .await;
            let poll = SentPoll {
                at: sent_at,
                ends,
                acknowledged,
            };
            PollResult { poll, outcome }
        })
    }
}

/// Polls a worker once, with a second call if the answer is overdue, and applies what it lists.
async fn poll_once(
    owner: &Owner,
    id: &WorkerId,
    request: &PollRequest,
    sent_at: Ms,
    wait: Duration,
    polls: &mut Hedge<PollResult>,
) -> Result<(), PollFailure> {
    let overdue = lock(&owner.pool)
        .worker(id)
        .map_or(ANSWER_TIMEOUT, |worker| {
            Duration::from_millis(worker.overdue_after())
        });
    let first = request.send(owner, id, sent_at, wait);
    lock(&owner.repeat_budget).earn();
    let repeat = || {
        if !lock(&owner.repeat_budget).spend() {
            return None;
        }
        let acknowledged = Acknowledgement {
            last_end: 0,
            ..request.acknowledged
        };
        let request = PollRequest {
            acknowledged,
            ..request.clone()
        };
        Some(request.send(owner, id, clock::now(), Duration::ZERO))
    };
    let process = |result: PollResult, call| match (result.outcome, call) {
        (Ok(report), _) => {
            apply_report(owner, id, result.poll, report);
            Ok(())
        }
        (Err(PollFailure::Fenced), _) => Err(PollFailure::Fenced),
        (Err(_), Attempt::Earlier) => Ok(()),
        (Err(failure), Attempt::Current) => Err(failure),
    };
    let due = wait + ANSWER_TIMEOUT;
    let outcome = polls
        .call(first, repeat, wait + overdue, due, process)
        .await?;
    lock(&owner.answer_loss).record(outcome == Outcome::Lost);
    let answered = || {
        let pool = lock(&owner.pool);
        pool.worker(id)
            .is_some_and(|worker| worker.answered_since(sent_at))
    };
    if matches!(outcome, Outcome::InTime | Outcome::Lost) || answered() {
        Ok(())
    } else {
        Err(PollFailure::Lost)
    }
}

/// Applies what a worker lists, and logs the ends that it lists for the first time.
fn apply_report(owner: &Owner, id: &WorkerId, poll: SentPoll, mut report: WorkerReport) {
    report.requested_at = poll.at;
    // The answer to another poll may have listed some of the ends meanwhile.
    let now = clock::now();
    let (known, last_listed, is_first, former_clock) =
        lock(&owner.pool)
            .worker(id)
            .map_or((poll.ends, 0, false, 0), |worker| {
                let known = worker.end_cursor().max(poll.ends);
                let first = !worker.has_reported();
                (known, worker.last_listed_end(), first, worker.clock(now))
            });
    if is_first {
        log_first_report(owner, id, &report);
    }
    let same_incarnation = report.incarnation == known.0;
    if !same_incarnation && known.0 > 0 {
        log_restart(id, known.0, former_clock, poll, &report);
    }
    for end in report
        .ended
        .iter()
        .filter(|end| !same_incarnation || end.number > known.1.max(last_listed))
    {
        log_end(id, report.incarnation, end);
    }
    let (now, unix) = (clock::now(), clock::unix());
    let unstored = {
        let mut pool = lock(&owner.pool);
        pool.apply_report(now, unix, id, &report);
        pool.has_unstored()
    };
    owner.wake.notify_one();
    if unstored {
        owner.dirty.notify_one();
    }
}

/// Counts an end that a worker lists for the first time, and logs it unless it is a successful one outside of the log sample:
/// there are hundreds of these a second.
fn log_end(id: &WorkerId, incarnation: u64, end: &pool::RunEnd) {
    metrics::counter!("lentilyoke_ends_total", "how" => end.outcome.name()).increment(1);
    let key = &end.task;
    if end.outcome != RunOutcome::Done || is_logged_in_full(&key.stage.job) {
        info!(
            job = &*key.stage.job, occurrence = key.stage.occurrence, step = key.stage.step,
            task = key.index, run = end.run, worker = &**id, how = end.outcome.name(),
            incarnation = incarnation, number = end.number;
            "end"
        );
    }
}

/// Number of an end; 0 for none.
fn end_number(end: Option<&pool::RunEnd>) -> u64 {
    end.map_or(0, |end| end.number)
}

/// Logs what the first report to this owner lists.
fn log_first_report(owner: &Owner, id: &WorkerId, report: &WorkerReport) {
    info!(
        worker = &**id, epoch = owner.epoch(), incarnation = report.incarnation, runs = report.running.len(),
        ends = report.ended.len(), first_end = end_number(report.ended.first()),
        last_end = end_number(report.ended.last()), truncated = report.is_truncated();
        "first report of a worker"
    );
}

/// Logs that the answer to a poll came from another incarnation than the one that answered last, with what the poll acknowledged
/// and what the answer lists. `former_clock` is what the clock of the known incarnation would show.
fn log_restart(id: &WorkerId, known: u64, former_clock: Ms, poll: SentPoll, report: &WorkerReport) {
    info!(
        worker = &**id, known = known, incarnation = report.incarnation, former_clock = former_clock,
        clock = report.clock, lease = report.lease,
        ms = clock::now().saturating_sub(poll.at), acknowledged_of = poll.acknowledged.incarnation,
        acknowledged = poll.acknowledged.last_end, runs = report.running.len(), ends = report.ended.len(),
        first_end = end_number(report.ended.first()), last_end = end_number(report.ended.last());
        "worker restarted"
    );
}
