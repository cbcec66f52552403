//! One worker, as the owner of its rack knows it.

use std::time::Duration;

use policy::detect::{Cusum, Detector as _};
use resource::{Size, id};
use wire::TaskId;
use worker::call::{Adopted, Moment};

use crate::{Clock, Now};

/// A worker that was given up on gets one piece of work after this long, to see if it is well.
const PROBE_DELAY: Duration = Duration::from_secs(20);
/// Evidence at which a worker is given up on: four failures in a row, or a few more if some work
/// succeeds between them; see "Bad workers" in `docs/DESIGN.md`.
const FAILURE_THRESHOLD: f64 = 12.0;

/// Whether a worker gets work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trust {
    /// It does.
    Trusted,
    /// It failed what it was given; it gets nothing until then.
    Suspect(Now),
    /// It has one piece of work, whose outcome decides.
    Probing,
}

/// One adopted worker.
#[derive(Clone, Debug)]
pub struct WorkerState {
    /// Its address, `ip:port`.
    pub address: String,
    /// Its present life.
    pub incarnation: id::Incarnation,
    /// What it has for tasks.
    pub size: Size,
    /// Quick requests that its executor runs at once.
    pub slots: u32,
    /// Quick requests that it runs, as far as is known.
    pub running: u32,
    /// Whether the platform's list says that it is leaving.
    pub listed_leaving: bool,
    /// Whether it says so itself.
    pub reports_leaving: bool,
    /// Whether it gets work.
    pub trust: Trust,
    /// Its time.
    pub clock: Clock,
    /// When it was last asked, with an answer.
    pub last_answer: Now,
    /// When its leases were last renewed, whether or not it answered.
    pub leases_renewed: Now,
    /// Ended attempts that it may forget.
    pub forget: Vec<TaskId>,
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
            failure_detector: Cusum::new(FAILURE_THRESHOLD),
        }
    }

    /// Whether it may be given new work: it answers, stays and is trusted.
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

    /// A worker that has not answered for this long gets no new work.
    pub const MAX_SILENCE: Duration = Duration::from_millis(1_500);

    /// Work was sent to it.
    pub fn work_sent(&mut self) {
        if matches!(self.trust, Trust::Suspect(_)) {
            self.trust = Trust::Probing;
        }
    }

    /// Work that it was given has ended.
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

    /// The worker's moment that comes no later than `time`.
    #[must_use]
    pub fn earliest_moment(&self, time: Now) -> Moment {
        self.clock.earliest_moment(time)
    }
}
