//! Tasks that crash their workers, workers that come back under another id, and workers whose capacity changes.

use std::sync::Arc;

use pool::{Ms, TaskKey, WorkerId};
use rand::Rng as _;
use resource::Size;

use super::{Message, SimWorker, Simulation};

/// Number of crashed workers after which further starts of a task are counted.
const COUNTED_AFTER: u32 = 3;
/// Number of further starts that violates the contract.
const MAX_FURTHER_STARTS: u32 = 3;
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
    pub(crate) further: u32,
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
        let Some(count) = self.crashers.get_mut(task) else {
            return false;
        };
        if count.crashes >= COUNTED_AFTER {
            count.further += 1;
            if count.further == MAX_FURTHER_STARTS {
                self.violations.push(format!(
                    "{now}: {task:?} started three more times after three crashes"
                ));
            }
        }
        true
    }

    /// A task crashes its worker, unless that has restarted or crashed since the start.
    pub(super) fn crash_under(&mut self, id: &WorkerId, born: u64, task: &TaskKey) {
        if self.workers[id].born != born || self.workers[id].down > self.now {
            return;
        }
        if let Some(count) = self.crashers.get_mut(task) {
            count.crashes += 1;
        }
        let back = self.rng.random_range(800..3_000);
        if self.replace_crashed {
            self.replace(id, back);
        } else {
            self.crash(id, back);
        }
    }

    /// Removes a worker for good; after this time it is replaced by one with another id.
    pub(crate) fn replace(&mut self, id: &WorkerId, back: Ms) {
        let room = self.workers[id].room;
        self.crash(id, Ms::MAX - self.now);
        let lives = self.workers.keys().filter(|it| it.starts_with(&id[..3]));
        let next: WorkerId = format!("{}-{}", &id[..3], lives.count()).into();
        let machine = SimWorker {
            born: 1,
            down: self.now + back,
            room,
            ..SimWorker::default()
        };
        self.workers.insert(Arc::clone(&next), machine);
        self.send_after(ROW_EXPIRY, Message::Row(Arc::clone(id)));
        self.send_after(back + 300, Message::Row(next));
    }

    /// All owners read the present row of a worker; one that was removed has none.
    pub(super) fn publish_row(&mut self, id: &WorkerId) {
        let (now, machine) = (self.now, &self.workers[id]);
        let news = (machine.down < Ms::MAX).then(|| self.worker_info(id, machine));
        for owner in self.owners.iter_mut().filter(|owner| !owner.stopped) {
            match &news {
                Some(news) => owner.pool.update_worker(now, id, news.clone()),
                None => owner.pool.deregister_worker(id),
            }
        }
    }

    /// Changes a worker's capacity; owners learn of it with its next heartbeat.
    pub(crate) fn resize(&mut self, id: &WorkerId, room: Size) {
        let since = self.now;
        let Some(machine) = self.workers.get_mut(id) else {
            return;
        };
        machine.room = Some((room, since));
        let delay = self.rng.random_range(300..1_900);
        self.send_after(delay, Message::Row(Arc::clone(id)));
    }
}
