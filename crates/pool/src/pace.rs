//! When tasks that fill are slowed down.
//!
//! Answers the load in which tasks that use spare processors lengthen the response times of tasks that serve beside
//! them. A task over its response time for seconds on end is harmed; pacing is felt after a tenth of a
//! second, so there is time to slow down first and to look again. A worker where a serving task comes near its
//! response time has all its filling tasks slowed down, to a quarter, then to a standstill; they are let go step by step
//! when the response time has stayed well below.

use rustc_hash::FxHashMap;

use crate::task::{Ms, WorkerId};

/// Share of the response time from which filling tasks are slowed down. Readings are rough, and cover half a second.
const NEAR: f64 = 0.8;
/// Share of the response time below which they are let go.
const CALM: f64 = 0.5;
/// Time between two changes of pace on one worker: a reading covers half a second, and a change is felt after a tenth.
const SETTLE: Ms = 700;
/// Time that it has to stay calm before they may work faster.
const CALM_FOR: Ms = 2_500;

/// Pace of the filling tasks of one worker.
#[derive(Clone, Copy, Debug)]
struct Beat {
    percent: u32,
    changed: Ms,
    calm_since: Ms,
}

/// Paces of the filling tasks of all workers.
#[derive(Clone, Debug, Default)]
pub struct Tempo {
    beats: FxHashMap<WorkerId, Beat>,
}

impl Tempo {
    /// The share at which filling tasks of a worker should work, in percent, given the highest ratio of a response time
    /// to its target there.
    pub fn share(&mut self, now: Ms, worker: &WorkerId, worst: f64) -> u32 {
        let beat = self.beats.entry(worker.clone()).or_insert(Beat {
            percent: 100,
            changed: 0,
            calm_since: now,
        });
        if worst > CALM {
            beat.calm_since = now;
        }
        let settled = now.saturating_sub(beat.changed) >= SETTLE || beat.changed == 0;
        if worst >= NEAR && settled && beat.percent > 0 {
            beat.percent = if beat.percent > 25 && worst < 1.0 {
                25
            } else {
                0
            };
            beat.changed = now.max(1);
        } else if worst <= CALM
            && beat.percent < 100
            && now.saturating_sub(beat.calm_since) >= CALM_FOR
            && settled
        {
            beat.percent = (beat.percent + 25).min(100);
            beat.changed = now.max(1);
            beat.calm_since = now;
        }
        beat.percent
    }

    /// The share that was decided last.
    #[must_use]
    pub fn current(&self, worker: &WorkerId) -> u32 {
        self.beats.get(worker).map_or(100, |beat| beat.percent)
    }
}
