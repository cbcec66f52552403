//! Holding one worker: renewing its lease, hearing what runs and what ended.
//!
//! Answers the load in which the way to a worker is full, and its answers arrive late. A worker whose answer is due gets nothing
//! new and is asked again. The answer is taken all the same when it comes: it may tell of ends, and if the lease were over before
//! one is known, the task would run again.

use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use log::{info, warn};
use pool::{Mechanism, Ms, RunOutcome, WorkerId, WorkerReport};

use crate::clock;
use crate::hedge::{Attempt, Hedge, Outcome};
use crate::host::lock;
use crate::interfaces::PollFailure;
use crate::log_sampling::is_logged_in_full;
use crate::owner::Owner;

/// A hold waits this long for an end. A worker counts as silent after 1.6 s, so one lost hold is borne.
const WAIT: Duration = Duration::from_millis(600);
/// The same while many answers are lost: what a worker has to tell waits for as long as a hold that is lost.
const WAIT_LOSSY: Duration = Duration::from_millis(250);
/// An answer is due this long after the hold's own wait: the way there and back, and a connection to be made.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(650);
/// An owner without a majority renews no lease, and holds a worker that it has heard for this long, so that the lease is
/// asked for soon after the majority is there. Without any wait, each worker was asked 4,000 times a second.
const UNPROVED: Duration = Duration::from_millis(150);
/// Ends are stored in groups; a hold that would be answered with the same ends again waits this long for that.
const STORED: Duration = Duration::from_millis(80);
/// Pause after an answer that brought nothing new while ends are not stored; it grows by this much each time.
const PAUSE: Duration = Duration::from_millis(100);
/// Longest such pause. While the store is down, each worker would be asked ten times a second, which a host with 500 of them
/// has no time for; news of ends and the lease come soon enough at a third of that.
const PAUSE_MOST: Duration = Duration::from_millis(400);
/// Pause after a hold that failed at once.
const HOLD_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Holds a worker as long as it is known and the owner owns.
pub(crate) async fn run(owner: &Arc<Owner>, id: &WorkerId) {
    tokio::select! {
        () = hold(owner, id) => {}
        () = owner.over.cancelled() => {}
    }
}

/// A hold and what became of it.
struct Held {
    /// When it was asked for.
    asked: Ms,
    /// Life, applied and noted number of ends as they were known then.
    ends: (u64, u64, u64),
    outcome: Result<WorkerReport, PollFailure>,
}

async fn hold(owner: &Arc<Owner>, id: &WorkerId) {
    let mut lost = false;
    let mut pause = PAUSE;
    let mut holds = Hedge::default();
    loop {
        let (address, mut ends) = {
            let pool = lock(&owner.pool);
            let Some(worker) = pool.worker(id) else {
                return;
            };
            (worker.info.address.clone(), worker.end_cursor())
        };
        if ends.1 > ends.2 {
            let gather = lock(&owner.pool).poll_delay(id);
            tokio::time::sleep(Duration::from_millis(gather)).await;
            let stored = owner.stored.notified();
            let noted = lock(&owner.pool)
                .worker(id)
                .is_some_and(|worker| worker.end_cursor().1 <= worker.end_cursor().2);
            if !noted {
                drop(tokio::time::timeout(STORED, stored).await);
            }
            match lock(&owner.pool).worker(id) {
                Some(worker) => ends = worker.end_cursor(),
                None => return,
            }
        }
        let asked = clock::now();
        let (lease, responsive) = {
            let mut pool = lock(&owner.pool);
            let lease = pool.extend_lease(asked, id);
            (
                lease,
                pool.worker(id).is_some_and(pool::Worker::is_responsive),
            )
        };
        let all_noted = ends.1 <= ends.2;
        let wait = match lease {
            Some(_) if all_noted && lock(&owner.lost_answers).is_high() => WAIT_LOSSY,
            Some(_) if all_noted => WAIT,
            None if all_noted && responsive => UNPROVED,
            _ => Duration::ZERO,
        };
        // A worker that did not answer may be in a new life, whose numbers begin anew: it must not forget ends by those of the
        // former one.
        let noted = if lost { 0 } else { ends.2 };
        let question = Question {
            address,
            ends,
            lease,
            noted,
        };
        match hold_once(owner, id, &question, asked, wait, &mut holds).await {
            Ok(()) => {
                if lost {
                    info!(dependency = "worker", worker = &**id; "regained");
                    lost = false;
                }
                let unknown_ends = {
                    let pool = lock(&owner.pool);
                    pool.worker(id)
                        .is_some_and(pool::Worker::lists_unknown_ends)
                };
                if all_noted && !unknown_ends {
                    pause = PAUSE;
                } else {
                    tokio::time::sleep(pause).await;
                    if owner.host().has(Mechanism::HoldPause) {
                        pause = (pause + PAUSE).min(PAUSE_MOST);
                    }
                }
            }
            Err(PollFailure::Fenced) => {
                warn!(worker = &**id, epoch = owner.epoch(); "a worker obeys a newer owner");
                owner.over.cancel();
                return;
            }
            Err(failure) => {
                lock(&owner.pool).mark_unresponsive(id);
                owner.dirty.notify_one();
                if !lost {
                    warn!(dependency = "worker", worker = &**id, failure:? = failure; "lost");
                    lost = true;
                }
                tokio::time::sleep(HOLD_RETRY_DELAY).await;
            }
        }
    }
}

/// What a hold says.
#[derive(Clone)]
struct Question {
    address: String,
    /// Life, applied and noted number of ends as they are known.
    ends: (u64, u64, u64),
    lease: Option<Ms>,
    /// Ends up to this number may be forgotten.
    noted: u64,
}

impl Question {
    /// Asks for a hold that waits this long for an end.
    fn ask(
        &self,
        owner: &Owner,
        id: &WorkerId,
        asked: Ms,
        wait: Duration,
    ) -> BoxFuture<'static, Held> {
        let (workers, id, epoch) = (
            Arc::clone(&owner.host().workers),
            Arc::clone(id),
            owner.epoch(),
        );
        let (address, ends) = (self.address.clone(), self.ends);
        let (lease, noted) = (self.lease, self.noted);
        Box::pin(async move {
            let outcome = workers.poll(&address, &id, epoch, lease, noted, wait).await;
            Held {
                asked,
                ends,
                outcome,
            }
        })
    }
}

/// Holds a worker once and takes what it lists.
async fn hold_once(
    owner: &Owner,
    id: &WorkerId,
    question: &Question,
    asked: Ms,
    wait: Duration,
    holds: &mut Hedge<Held>,
) -> Result<(), PollFailure> {
    let overdue = lock(&owner.pool)
        .worker(id)
        .map_or(ANSWER_TIMEOUT, |worker| {
            Duration::from_millis(worker.overdue_after())
        });
    let first = question.ask(owner, id, asked, wait);
    lock(&owner.copies).earn();
    let again = || {
        if !lock(&owner.copies).spend() {
            return None;
        }
        // It may be in a new life by now.
        let question = Question {
            noted: 0,
            ..question.clone()
        };
        Some(question.ask(owner, id, clock::now(), Duration::ZERO))
    };
    let take = |held: Held, turn| match (held.outcome, turn) {
        (Ok(listing), _) => {
            take(owner, id, held.ends, held.asked, listing);
            Ok(())
        }
        (Err(PollFailure::Fenced), _) => Err(PollFailure::Fenced),
        (Err(_), Attempt::Earlier) => Ok(()),
        (Err(failure), Attempt::Current) => Err(failure),
    };
    let due = wait + ANSWER_TIMEOUT;
    let outcome = holds.call(first, again, wait + overdue, due, take).await?;
    lock(&owner.lost_answers).note(outcome == Outcome::Lost);
    let answered = || {
        let pool = lock(&owner.pool);
        pool.worker(id)
            .is_some_and(|worker| worker.answered_since(asked))
    };
    if matches!(outcome, Outcome::InTime | Outcome::Lost) || answered() {
        Ok(())
    } else {
        Err(PollFailure::Lost)
    }
}

/// Takes what a worker lists.
fn take(owner: &Owner, id: &WorkerId, ends: (u64, u64, u64), asked: Ms, mut listing: WorkerReport) {
    listing.requested_at = asked;
    // An answer that came meanwhile may have told of some of them.
    let told = lock(&owner.pool)
        .worker(id)
        .map_or(ends, |worker| worker.end_cursor().max(ends));
    let same_life = listing.incarnation == told.0;
    for end in listing
        .ended
        .iter()
        .filter(|end| !same_life || end.number > told.1)
    {
        tell_end(id, end);
    }
    let (now, unix) = (clock::now(), clock::unix());
    let news = {
        let mut pool = lock(&owner.pool);
        pool.apply_report(now, unix, id, &listing);
        pool.has_unstored()
    };
    owner.wake.notify_one();
    if news {
        owner.dirty.notify_one();
    }
}

/// Logs and counts an end that a worker lists for the first time. An end that is not good says more than a good one, of
/// which there are hundreds a second.
fn tell_end(id: &WorkerId, end: &pool::RunEnd) {
    metrics::counter!("lentilyoke_ends_total", "how" => end.outcome.name()).increment(1);
    let key = &end.task;
    if end.outcome != RunOutcome::Done || is_logged_in_full(&key.stage.job) {
        info!(
            job = &*key.stage.job, occurrence = key.stage.occurrence, step = key.stage.step,
            task = key.index, run = end.run, worker = &**id, how = end.outcome.name();
            "end"
        );
    }
}
