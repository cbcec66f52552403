//! Tasks that crash their workers, workers that come back under another id, and workers whose capacity changes.

use std::sync::Arc;

use pool::{Ms, TaskKey, WorkerId};
use rand::Rng as _;
use resource::Size;

use super::{Machine, Message, World};

/// Number of crashed workers after which further starts of a task are counted.
const CRASHES: u32 = 3;
/// Number of further starts that violates the contract.
const STARTS_TOO_MANY: u32 = 3;
/// Time after which owners have to respect a capacity that has shrunk.
pub(super) const ROOM_TOLD: Ms = 5_500;
/// Time after which the directory drops a worker that sends no heartbeat.
const ROW_EXPIRES: Ms = 4_500;

/// Record of a task that crashes its workers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Crashes {
    /// Number of workers that it crashed.
    pub(crate) crashes: u32,
    /// Number of starts after [`CRASHES`] of them.
    pub(crate) further: u32,
}

impl World {
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
    pub(super) fn note_start(&mut self, task: &TaskKey) -> bool {
        let now = self.now;
        let Some(count) = self.crashers.get_mut(task) else {
            return false;
        };
        if count.crashes >= CRASHES {
            count.further += 1;
            if count.further == STARTS_TOO_MANY {
                self.broken.push(format!(
                    "{now}: {task:?} started three more times after three crashes"
                ));
            }
        }
        true
    }

    /// A task crashes its worker, unless that has restarted or crashed since the start.
    pub(super) fn crash_under(&mut self, id: &WorkerId, born: u64, task: &TaskKey) {
        if self.machines[id].born != born || self.machines[id].down > self.now {
            return;
        }
        if let Some(count) = self.crashers.get_mut(task) {
            count.crashes += 1;
        }
        let back = self.rng.random_range(800..3_000);
        if self.replaces {
            self.replace(id, back);
        } else {
            self.crash(id, back);
        }
    }

    /// Removes a worker for good; after this time it is replaced by one with another id.
    pub(crate) fn replace(&mut self, id: &WorkerId, back: Ms) {
        let room = self.machines[id].room;
        self.crash(id, Ms::MAX - self.now);
        let lives = self.machines.keys().filter(|it| it.starts_with(&id[..3]));
        let next: WorkerId = format!("{}-{}", &id[..3], lives.count()).into();
        let machine = Machine {
            born: 1,
            down: self.now + back,
            room,
            ..Machine::default()
        };
        self.machines.insert(Arc::clone(&next), machine);
        self.post(ROW_EXPIRES, Message::Row(Arc::clone(id)));
        self.post(back + 300, Message::Row(next));
    }

    /// All owners read the present row of a worker; one that was removed has none.
    pub(super) fn tell_row(&mut self, id: &WorkerId) {
        let (now, machine) = (self.now, &self.machines[id]);
        let news = (machine.down < Ms::MAX).then(|| self.news(id, machine));
        for owner in self.owners.iter_mut().filter(|owner| !owner.over) {
            match &news {
                Some(news) => owner.pool.listed(now, id, news.clone()),
                None => owner.pool.unlisted(id),
            }
        }
    }

    /// Changes a worker's capacity; owners learn of it with its next heartbeat.
    pub(crate) fn resize(&mut self, id: &WorkerId, room: Size) {
        let since = self.now;
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        machine.room = Some((room, since));
        let delay = self.rng.random_range(300..1_900);
        self.post(delay, Message::Row(Arc::clone(id)));
    }
}
