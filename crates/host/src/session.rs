//! Holding one worker: renewing its lease, hearing what runs and what ended.

use std::sync::Arc;
use std::time::Duration;

use log::{info, warn};
use pool::{Mechanism, WorkerId};

use crate::clock;
use crate::host::lock;
use crate::outside::HoldFailure;
use crate::owner::Owner;

/// A hold waits this long for an end. A worker counts as silent after 1.6 s, so one lost hold is borne.
const WAIT: Duration = Duration::from_millis(600);
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
const AGAIN: Duration = Duration::from_millis(150);

/// Holds a worker as long as it is known and the owner owns.
pub(crate) async fn run(owner: &Arc<Owner>, id: &WorkerId) {
    tokio::select! {
        () = hold(owner, id) => {}
        () = owner.over.cancelled() => {}
    }
}

async fn hold(owner: &Arc<Owner>, id: &WorkerId) {
    let mut lost = false;
    let mut pause = PAUSE;
    loop {
        let (address, mut ends) = {
            let pool = lock(&owner.pool);
            let Some(worker) = pool.worker(id) else {
                return;
            };
            (worker.news.address.clone(), worker.ends())
        };
        if ends.1 > ends.2 {
            let gather = lock(&owner.pool).gather(id);
            tokio::time::sleep(Duration::from_millis(gather)).await;
            let stored = owner.stored.notified();
            let noted = lock(&owner.pool)
                .worker(id)
                .is_some_and(|worker| worker.ends().1 <= worker.ends().2);
            if !noted {
                drop(tokio::time::timeout(STORED, stored).await);
            }
            match lock(&owner.pool).worker(id) {
                Some(worker) => ends = worker.ends(),
                None => return,
            }
        }
        let asked = clock::now();
        let (lease, heard) = {
            let mut pool = lock(&owner.pool);
            let lease = pool.holding(asked, id);
            (lease, pool.worker(id).is_some_and(pool::Worker::is_heard))
        };
        let all_noted = ends.1 <= ends.2;
        let wait = match lease {
            Some(_) if all_noted => WAIT,
            None if all_noted && heard => UNPROVED,
            _ => Duration::ZERO,
        };
        let workers = &owner.host().workers;
        let held = workers
            .hold(&address, id, owner.epoch(), lease, ends.2, wait)
            .await;
        match held {
            Ok(mut listing) => {
                listing.asked = asked;
                let same_life = listing.born == ends.0;
                for end in listing
                    .ended
                    .iter()
                    .filter(|end| !same_life || end.number > ends.1)
                {
                    tell_end(id, end);
                }
                let (now, unix) = (clock::now(), clock::unix());
                let news = {
                    let mut pool = lock(&owner.pool);
                    pool.heard(now, unix, id, &listing);
                    pool.unsaved()
                };
                owner.wake.notify_one();
                if news {
                    owner.dirty.notify_one();
                }
                if lost {
                    info!(dependency = "worker", worker = &**id; "regained");
                    lost = false;
                }
                let strange = {
                    let pool = lock(&owner.pool);
                    pool.worker(id)
                        .is_some_and(pool::Worker::lists_strange_ends)
                };
                if all_noted && !strange {
                    pause = PAUSE;
                } else {
                    tokio::time::sleep(pause).await;
                    if owner.host().has(Mechanism::HoldPause) {
                        pause = (pause + PAUSE).min(PAUSE_MOST);
                    }
                }
            }
            Err(HoldFailure::Fenced) => {
                warn!(worker = &**id, epoch = owner.epoch(); "a worker obeys a newer owner");
                owner.over.cancel();
                return;
            }
            Err(failure) => {
                lock(&owner.pool).unheard(id);
                owner.dirty.notify_one();
                if !lost {
                    warn!(dependency = "worker", worker = &**id, failure:? = failure; "lost");
                    lost = true;
                }
                tokio::time::sleep(AGAIN).await;
            }
        }
    }
}

/// Logs and counts an end that a worker lists for the first time. An end that is not good says more than a good one, of
/// which there are hundreds a second.
fn tell_end(id: &WorkerId, end: &pool::End) {
    metrics::counter!("lentilyoke_ends_total", "how" => end.how.name()).increment(1);
    let key = &end.task;
    info!(
        job = &*key.stage.job, occurrence = key.stage.occurrence, step = key.stage.step,
        task = key.index, run = end.run, worker = &**id, how = end.how.name();
        "end"
    );
}
