//! One worker as seen by the owner of its rack.

use std::time::Duration;

use policy::detect::{Cusum, Detector as _};
use resource::{Size, id};
use wire::TaskId;
use worker::call::{Adopted, Moment};

use crate::{Clock, Now};

/// A suspect worker gets one piece of work after this time, as a probe.
const PROBE_DELAY: Duration = Duration::from_secs(20);
/// CUSUM value at which a worker becomes suspect: four failures in a row, or a few more if some
/// work succeeds in between; see "Bad workers" in `docs/DESIGN.md`.
const FAILURE_THRESHOLD: f64 = 12.0;

/// Whether a worker is given work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trust {
    /// It is given work.
    Trusted,
    /// Too much of its work has failed; it gets none until this time.
    Suspect(Now),
    /// It has one piece of work, whose outcome decides whether it is trusted again.
    Probing,
}

/// State of one adopted worker.
#[derive(Clone, Debug)]
pub struct WorkerState {
    /// Its address, `ip:port`.
    pub address: String,
    /// Its current incarnation.
    pub incarnation: id::Incarnation,
    /// Its capacity for tasks.
    pub size: Size,
    /// Number of quick requests that its executor runs at once.
    pub slots: u32,
    /// Number of quick requests that it is running, as far as is known.
    pub running: u32,
    /// Whether the platform lists it as leaving.
    pub listed_leaving: bool,
    /// Whether it reports itself as leaving.
    pub reports_leaving: bool,
    /// Whether it is given work.
    pub trust: Trust,
    /// Its clock.
    pub clock: Clock,
    /// When the last call that it answered was sent.
    pub last_answer: Now,
    /// Upper bound on the time of the last renewal of its leases, whether or not it answered.
    pub leases_renewed: Now,
    /// Ended attempts that it may forget.
    pub forget: Vec<TaskId>,
    /// When it was adopted after a restart; `None` if this owner has seen no restart of it.
    pub restarted_at: Option<Now>,
    /// When it last restarted although nothing had been started there shortly before.
    pub own_restart: Option<Now>,
    failure_detector: Cusum,
}

impl WorkerState {
    /// A worker that was adopted by a call made at `sent`.
    #[must_use]
    pub fn new(
        address: &str,
        incarnation: id::Incarnation,
        adopted: &Adopted,
        sent: Now,
        received: Now,
    ) -> Self {
        Self {
            address: address.to_owned(),
            incarnation,
            size: adopted.size,
            slots: adopted.slots,
            running: 0,
            listed_leaving: false,
            reports_leaving: adopted.report.leaving,
            trust: Trust::Trusted,
            clock: Clock::new(adopted.report.clock, sent, received),
            last_answer: sent,
            leases_renewed: received,
            forget: Vec::new(),
            restarted_at: None,
            own_restart: None,
            failure_detector: Cusum::new(FAILURE_THRESHOLD),
        }
    }

    /// Whether it may be given new work: it answers, is not leaving and is trusted.
    #[must_use]
    pub fn accepts_work(&self, now: Now) -> bool {
        let trusted = match self.trust {
            Trust::Trusted => true,
            Trust::Suspect(until) => now >= until,
            Trust::Probing => false,
        };
        let silent = now.saturating_sub(self.last_answer) > Self::MAX_SILENCE;
        trusted && !silent && !self.listed_leaving && !self.reports_leaving
    }

    /// Whether it may be given tasks: it accepts new work, and has not restarted recently. One that
    /// restarts again and again would otherwise take one task after the other, and its restarts
    /// could not be told from those that a task causes.
    #[must_use]
    pub fn accepts_tasks(&self, now: Now) -> bool {
        let steady = self
            .restarted_at
            .is_none_or(|restarted| now >= restarted + Self::STEADY_AFTER);
        steady && self.accepts_work(now)
    }

    /// A worker that has restarted gets no tasks before this time has passed.
    pub const STEADY_AFTER: Duration = Duration::from_secs(4);

    /// A worker that has not answered for longer than this gets no new work.
    pub const MAX_SILENCE: Duration = Duration::from_millis(1_500);

    /// Records that work was sent to it.
    pub fn work_sent(&mut self) {
        if matches!(self.trust, Trust::Suspect(_)) {
            self.trust = Trust::Probing;
        }
    }

    /// Records the end of work that it was given.
    pub fn record_outcome(&mut self, failed: bool, now: Now) {
        let broken = self.failure_detector.record(failed);
        self.trust = match (self.trust, failed) {
            (Trust::Probing, true) => Trust::Suspect(now + PROBE_DELAY),
            (Trust::Probing, false) => {
                self.failure_detector.reset();
                Trust::Trusted
            }
            (Trust::Trusted, _) if broken => Trust::Suspect(now + PROBE_DELAY),
            (trust, _) => trust,
        };
    }

    /// A lower bound on the worker's clock at `time`.
    #[must_use]
    pub fn earliest_moment(&self, time: Now) -> Moment {
        self.clock.earliest_moment(time)
    }
}
