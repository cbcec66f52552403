//! What is scarce among the workers of a service.
//!
//! Answers the load in which workers have accelerators and most of those are taken while processors are left: by processors
//! alone, work that needs eight accelerators looks as small as work that needs two, and tasks with one accelerator are put
//! on workers that are still whole. Which dimension is scarce is read off what is taken, not laid down.

use resource::Size;
use rustc_hash::FxHashMap;

use crate::mechanism::Mechanism;
use crate::pool::Pool;

/// Weight of a dimension of which nothing is taken, against one that is full.
const IDLE: f64 = 0.05;

/// Room of the workers of one service, and what of it is taken.
#[derive(Clone, Copy, Debug, Default)]
pub struct Scarce {
    /// All there is.
    pub room: Size,
    /// What is taken.
    pub used: Size,
}

/// Parts of an amount: processors, memory, accelerators.
fn parts(size: Size) -> [f64; 3] {
    [size.millicores, size.memory_mib, size.accelerators].map(|part| part as f64)
}

/// Share of a whole; nothing of nothing is nothing.
fn share(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 0.0 }
}

impl Scarce {
    /// How much of all room an amount takes in the dimension in which it takes most.
    ///
    /// ```
    /// use pool::scarce::Scarce;
    /// use resource::Size;
    ///
    /// let all = Scarce { room: Size::new(32_000, 64_000, 8), used: Size::ZERO };
    /// let (four, two) = (Size::new(4_000, 1_000, 4), Size::new(12_000, 1_000, 2));
    /// assert!(all.share(four) > all.share(two), "a half of the accelerators, three eighths of the processors");
    /// ```
    #[must_use]
    pub fn share(&self, size: Size) -> f64 {
        let room = parts(self.room);
        let shares = parts(size)
            .into_iter()
            .zip(room)
            .map(|(part, all)| share(part, all));
        shares.fold(0.0, f64::max)
    }

    /// How much of a worker's room is left, each dimension by how much of it is taken on all workers; between 0 and 1.
    #[must_use]
    pub fn left(&self, free: Size, room: Size) -> f64 {
        let (all, used) = (parts(self.room), parts(self.used));
        let (free, room) = (parts(free), parts(room));
        let (mut sum, mut weighed) = (0.0, 0.0);
        for at in 0..all.len() {
            if all[at] > 0.0 && room[at] > 0.0 {
                let weight = share(used[at], all[at]) + IDLE;
                sum += weight;
                weighed += weight * free[at] / room[at];
            }
        }
        share(weighed, sum)
    }
}

impl Pool {
    /// What is scarce, by service.
    pub(crate) fn scarce(&self) -> FxHashMap<String, Scarce> {
        let mut services: FxHashMap<String, Scarce> = FxHashMap::default();
        let all = self.has(Mechanism::Scarcity);
        let counted = |size: Size| {
            if all {
                size
            } else {
                Size::new(size.millicores, 0, 0)
            }
        };
        for worker in self.workers.values().filter(|worker| worker.registered) {
            let news = &worker.info;
            if !services.contains_key(&news.service) {
                services.insert(news.service.clone(), Scarce::default());
            }
            if let Some(service) = services.get_mut(&news.service) {
                service.room = service.room.plus(counted(news.capacity));
                service.used = service.used.plus(counted(worker.used));
            }
        }
        services
    }
}
