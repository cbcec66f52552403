//! Paces best-effort tasks: slows them down while they disturb latency-sensitive ones.
//!
//! Best-effort tasks use spare processors, and so lengthen the response times of latency-sensitive tasks on the same worker.
//! Harm is done only if a response time exceeds its target for seconds on end, and a change of pace takes effect within a
//! tenth of a second: so there is time to slow down first and to measure again. If a latency-sensitive task comes near its
//! target, all best-effort tasks on its worker are slowed down to a quarter, then paused; they are sped up again step by
//! step after the response time has stayed well below the target.

use rustc_hash::FxHashMap;

use crate::task::{Ms, WorkerId};

/// Ratio of response time to target from which best-effort tasks are slowed down. It is below 1, as readings are rough and
/// cover half a second.
const SLOW_DOWN_RATIO: f64 = 0.8;
/// Ratio of response time to target up to which they may be sped up.
const SPEED_UP_RATIO: f64 = 0.5;
/// Minimum time between two changes of pace on one worker: a reading covers half a second, and a change takes effect after
/// a tenth.
const MIN_CHANGE_INTERVAL: Ms = 700;
/// Time for which the ratio has to stay at or below [`SPEED_UP_RATIO`] before they are sped up.
const SPEED_UP_DELAY: Ms = 2_500;

/// Pace of the best-effort tasks on one worker.
#[derive(Clone, Copy, Debug)]
struct WorkerPace {
    percent: u32,
    changed_at: Ms,
    low_since: Ms,
}

/// Decides the pace of the best-effort tasks on each worker.
#[derive(Clone, Debug, Default)]
pub struct PaceController {
    workers: FxHashMap<WorkerId, WorkerPace>,
}

impl PaceController {
    /// Updates and returns the share of their full speed at which best-effort tasks on a worker should run, in percent, given
    /// the highest ratio of a response time to its target there.
    pub fn update(&mut self, now: Ms, worker: &WorkerId, max_ratio: f64) -> u32 {
        let pace = self.workers.entry(worker.clone()).or_insert(WorkerPace {
            percent: 100,
            changed_at: 0,
            low_since: now,
        });
        if max_ratio > SPEED_UP_RATIO {
            pace.low_since = now;
        }
        let settled =
            now.saturating_sub(pace.changed_at) >= MIN_CHANGE_INTERVAL || pace.changed_at == 0;
        if max_ratio >= SLOW_DOWN_RATIO && settled && pace.percent > 0 {
            pace.percent = if pace.percent > 25 && max_ratio < 1.0 {
                25
            } else {
                0
            };
            pace.changed_at = now.max(1);
        } else if max_ratio <= SPEED_UP_RATIO
            && pace.percent < 100
            && now.saturating_sub(pace.low_since) >= SPEED_UP_DELAY
            && settled
        {
            pace.percent = (pace.percent + 25).min(100);
            pace.changed_at = now.max(1);
            pace.low_since = now;
        }
        pace.percent
    }

    /// The share that was last decided for a worker, in percent.
    #[must_use]
    pub fn current(&self, worker: &WorkerId) -> u32 {
        self.workers.get(worker).map_or(100, |pace| pace.percent)
    }
}
