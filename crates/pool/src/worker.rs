//! What is known of one worker.

use std::collections::BTreeSet;

use resource::Size;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::repeat;
use crate::task::{JobId, Ms, TaskKey, WorkerId};

/// What the directory of workers says about one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct News {
    /// Its address.
    pub address: String,
    /// The service it belongs to.
    pub service: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its rack; empty if unknown.
    pub rack: String,
    /// Its labels.
    pub labels: Vec<String>,
    /// What it holds.
    pub room: Size,
    /// It is leaving; with the least time that is left, in milliseconds.
    pub draining: Option<Ms>,
    /// Start of its life in Unix milliseconds; 0 if it doesn't say.
    pub born: u64,
}

/// A worker that can't be reached or is about to leave, with what may run there.
///
/// The owner starts nothing there, and stores this; so a new owner that can't reach it either need only hold back these
/// tasks, not all that may have started anywhere.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Silent {
    /// The worker.
    pub worker: WorkerId,
    /// Its runs, as far as they may be there.
    pub runs: Vec<(TaskKey, u32)>,
    /// Start of the life that they are in, in Unix milliseconds; 0 if it isn't known.
    #[serde(default)]
    pub born: u64,
}

/// A run that no task calls its own.
#[derive(Clone, Debug)]
pub(crate) struct Stray {
    /// The run.
    pub run: u32,
    /// What it takes, if its job is known.
    pub size: Option<Size>,
    /// When it was seen first.
    pub since: Ms,
    /// When a stop was sent last.
    pub stop_sent: Ms,
}

/// Listed ends of jobs that aren't known.
#[derive(Clone, Debug)]
pub(crate) struct UnknownEnds {
    /// Number of the first one.
    pub first: u64,
    /// Since when it is the first one.
    pub since: Ms,
    /// The jobs.
    pub jobs: Vec<JobId>,
}

/// What is known of one worker.
#[derive(Clone, Debug, Default)]
pub struct Worker {
    /// Its id.
    pub id: WorkerId,
    /// What the directory says.
    pub news: News,
    /// The directory lists it.
    pub listed: bool,
    /// The next owner would know of it: it is in the stored roster.
    pub(crate) enrolled: bool,
    /// Ends that it lists of jobs that nobody knows.
    pub(crate) unknown_ends: Option<UnknownEnds>,
    /// It has answered a hold of this epoch.
    pub(crate) fenced: bool,
    /// When its present life answered first.
    pub(crate) life_since: Ms,
    /// Start of the life that answered last, in Unix milliseconds.
    pub(crate) born: u64,
    /// Its clock as it was last told, and ours when that was received.
    pub(crate) clock: (Ms, Ms),
    /// Its last hold got no answer.
    pub(crate) unresponsive: bool,
    /// Usual time until an order is answered; 0 if none was.
    pub(crate) answers: Ms,
    /// When the last hold that it answered was sent.
    pub(crate) last_hold: Ms,
    /// By then its lease has surely lapsed, unless it is renewed.
    pub(crate) lapses: Ms,
    /// It leaves at about this time, if it drains.
    pub(crate) leaves: Option<Ms>,
    /// Room that is taken, that of runs in doubt included.
    pub(crate) used: Size,
    /// Runs that tasks call their own.
    pub(crate) runs: FxHashMap<TaskKey, u32>,
    /// Others.
    pub(crate) strays: FxHashMap<TaskKey, Stray>,
    /// Ends up to this number have been applied.
    pub(crate) applied: u64,
    /// Ends that have been applied although an earlier one has not.
    pub(crate) beyond: BTreeSet<u64>,
    /// Ends up to this number are stored.
    pub(crate) noted: u64,
    /// Nothing is started before this.
    pub(crate) rest: Ms,
    /// Evidence that it fails what it starts; see [`crate::fit::SUSPECT_SCORE`].
    pub(crate) doubt: f64,
    /// Observed duration against the estimate corrected per queue; 1 is as expected.
    pub(crate) slowness: f64,
}

impl Worker {
    /// Whether nothing is started there because it can't be reached or is about to leave.
    #[must_use]
    pub fn silent(&self, now: Ms) -> bool {
        self.fenced
            && (self.unresponsive
                || self.leaves.is_some()
                || now.saturating_sub(self.last_hold) >= Self::SILENCE)
    }

    /// Whether it has answered the last hold in its present life.
    #[must_use]
    pub fn is_responsive(&self) -> bool {
        !self.unresponsive && self.clock != (0, 0)
    }

    /// Whether it lists ends of jobs that aren't known: it lists them again and again, at once.
    #[must_use]
    pub fn lists_unknown_ends(&self) -> bool {
        self.unknown_ends.is_some()
    }

    /// Time after which an answer of this worker that is due is overdue, in milliseconds.
    #[must_use]
    pub fn overdue_after(&self) -> Ms {
        repeat::delay(self.answers, 1)
    }

    /// Whether it has answered a hold that was sent at this time or later.
    #[must_use]
    pub fn answered_since(&self, asked: Ms) -> bool {
        self.last_hold >= asked
    }

    /// Its clock now, as far as we can tell; 0 if it has never been told.
    #[must_use]
    pub fn clock(&self, now: Ms) -> Ms {
        if self.clock == (0, 0) {
            return 0;
        }
        self.clock.0 + now.saturating_sub(self.clock.1)
    }

    /// Room that is not taken.
    #[must_use]
    pub fn free(&self) -> Size {
        let (room, used) = (self.news.room, self.used);
        Size::new(
            room.millicores.saturating_sub(used.millicores),
            room.memory_mib.saturating_sub(used.memory_mib),
            room.accelerators.saturating_sub(used.accelerators),
        )
    }

    /// Whether something may be started there now.
    #[must_use]
    pub fn takes(&self, now: Ms) -> bool {
        let unknown_strays = self.strays.values().any(|stray| stray.size.is_none());
        self.listed
            && self.enrolled
            && self.fenced
            && self.rest <= now
            && !unknown_strays
            && !self.silent(now)
    }

    /// A worker that hasn't answered a hold for this long gets nothing new: most likely it is cut off or down, and
    /// each order would be in doubt. Holds return every 0.7 s, so this allows one to be lost.
    pub const SILENCE: Ms = 1_600;

    /// Life, applied and stored number of ends: what the next hold says.
    #[must_use]
    pub fn ends(&self) -> (u64, u64, u64) {
        (self.born, self.applied, self.noted)
    }
}
