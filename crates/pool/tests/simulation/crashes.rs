//! Tasks that crash their workers, workers that come back under another id, and workers whose capacity changes.

use std::sync::Arc;

use pool::{Ms, TaskKey, WorkerId};
use rand::Rng as _;
use resource::Size;

use super::{Message, SimWorker, Simulation};

/// Number of crashed workers after which further starts of a task are counted.
const COUNTED_AFTER: u32 = 3;
/// Number of further starts that counts as a violation.
const TOO_MANY_FURTHER_STARTS: u32 = 3;
/// Time after which owners have to respect a capacity that has shrunk.
pub(super) const CAPACITY_DELAY: Ms = 5_500;
/// Time after which the directory drops a worker that sends no heartbeat.
const ROW_EXPIRY: Ms = 4_500;

/// Record of a task that crashes its workers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Crashes {
    /// Number of workers that it crashed.
    pub(crate) crashes: u32,
    /// Number of starts after [`COUNTED_AFTER`] of them.
    pub(crate) further_starts: u32,
}

impl Simulation {
    /// Makes a task crash each worker that starts it from now on.
    pub(crate) fn make_crasher(&mut self, job: &str, step: u16, index: u32) {
        let stage = pool::StageKey {
            job: job.into(),
            occurrence: 0,
            step,
        };
        self.crashers.insert(stage.task(index), Crashes::default());
    }

    /// Counts a start of a task; returns whether the task crashes its workers.
    pub(super) fn count_start(&mut self, task: &TaskKey) -> bool {
        let now = self.now;
        let Some(record) = self.crashers.get_mut(task) else {
            return false;
        };
        if record.crashes >= COUNTED_AFTER {
            record.further_starts += 1;
            if record.further_starts == TOO_MANY_FURTHER_STARTS {
                self.violations.push(format!(
                    "{now}: {task:?} started three more times after three crashes"
                ));
            }
        }
        true
    }

    /// A task crashes its worker, unless that has restarted or crashed since the start.
    pub(super) fn crash_under(&mut self, id: &WorkerId, incarnation: u64, task: &TaskKey) {
        if self.workers[id].incarnation != incarnation || self.workers[id].down_until > self.now {
            return;
        }
        if let Some(record) = self.crashers.get_mut(task) {
            record.crashes += 1;
        }
        let downtime = self.rng.random_range(800..3_000);
        if self.replace_crashed {
            self.replace(id, downtime);
        } else {
            self.crash(id, downtime);
        }
    }

    /// Removes a worker for good; after this time it is replaced by one with another id.
    pub(crate) fn replace(&mut self, id: &WorkerId, downtime: Ms) {
        let capacity = self.workers[id].capacity;
        self.crash(id, Ms::MAX - self.now);
        let ids = self.workers.keys().filter(|it| it.starts_with(&id[..3]));
        let next: WorkerId = format!("{}-{}", &id[..3], ids.count()).into();
        let worker = SimWorker {
            incarnation: 1,
            down_until: self.now + downtime,
            capacity,
            ..SimWorker::default()
        };
        self.workers.insert(Arc::clone(&next), worker);
        self.send_after(ROW_EXPIRY, Message::Row(Arc::clone(id)));
        self.send_after(downtime + 300, Message::Row(next));
    }

    /// All owners read the current row of a worker; one that was removed has none.
    pub(super) fn publish_row(&mut self, id: &WorkerId) {
        let (now, worker) = (self.now, &self.workers[id]);
        let info = (worker.down_until < Ms::MAX).then(|| self.worker_info(id, worker));
        for owner in self.owners.iter_mut().filter(|owner| !owner.stopped) {
            match &info {
                Some(info) => owner.pool.update_worker(now, id, info.clone()),
                None => owner.pool.deregister_worker(id),
            }
        }
    }

    /// Changes a worker's capacity; owners learn of it with its next heartbeat.
    pub(crate) fn resize(&mut self, id: &WorkerId, capacity: Size) {
        let since = self.now;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.capacity = Some((capacity, since));
        let delay = self.rng.random_range(300..1_900);
        self.send_after(delay, Message::Row(Arc::clone(id)));
    }
}
