//! State of one worker as known to the pool's owner.

use std::collections::{BTreeMap, BTreeSet};

use resource::Size;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::accounts::Charge;
use crate::loss::Loss;
use crate::repeat;
use crate::report::MAX_ENDS;
use crate::task::{JobId, Ms, TaskKey, WorkerId};
use crate::unknown_ends::UnknownEnds;

/// Description of a worker in the directory of workers.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct WorkerInfo {
    /// Network address.
    pub address: String,
    /// Service that the worker belongs to.
    pub service: String,
    /// Data centre of the worker.
    pub data_centre: String,
    /// Rack; empty if unknown.
    pub rack: String,
    /// Labels that steps can require.
    pub labels: Vec<String>,
    /// Total capacity.
    pub capacity: Size,
    /// Set if the worker is draining: the minimum time until it leaves, in milliseconds.
    pub draining: Option<Ms>,
    /// Start time of the worker process in Unix milliseconds; 0 if not reported. It identifies the incarnation of the worker.
    pub incarnation: u64,
}

/// A worker that can't be reached or is about to leave, with the runs it may have.
///
/// The owner starts nothing on such a worker and stores this list. A new owner that can't reach the worker either then has to
/// hold back only these tasks, instead of every task that may have been started anywhere.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UnavailableWorker {
    /// Id of the worker.
    pub worker: WorkerId,
    /// Runs that the worker may have.
    pub runs: Vec<(TaskKey, u32)>,
    /// Incarnation of the worker that has these runs, in Unix milliseconds; 0 if unknown.
    #[serde(default)]
    #[serde(rename = "born")]
    pub incarnation: u64,
}

/// A run on a worker that isn't the current run of any task.
#[derive(Clone, Debug)]
pub(crate) struct OrphanedRun {
    /// Number of the run.
    pub run: u32,
    /// Reserved resources, if the job is known.
    pub size: Option<Size>,
    /// What the run counts with against its customer's limit.
    pub charge: Charge,
    /// When the run was first reported, or when all jobs became known to this owner if that was later.
    pub since: Ms,
    /// When a stop command was last sent.
    pub stop_sent: Ms,
}

/// State of one worker.
#[derive(Clone, Debug, Default)]
pub struct Worker {
    /// Id of the worker.
    pub id: WorkerId,
    /// Description in the directory.
    pub info: WorkerInfo,
    /// Whether the directory contains the worker.
    pub registered: bool,
    /// Whether the worker is in the stored roster, so that the next owner will know about it.
    pub(crate) in_stored_roster: bool,
    /// Ends reported by the worker whose jobs aren't known.
    pub(crate) unknown_ends: Option<UnknownEnds>,
    /// Whether the worker has answered a poll of this epoch, and so rejects commands of earlier epochs.
    pub(crate) fenced: bool,
    /// When the current incarnation first answered.
    pub(crate) incarnation_since: Ms,
    /// Incarnation that answered last, in Unix milliseconds.
    pub(crate) incarnation: u64,
    /// The worker's clock as last reported, and this process's clock when the report arrived.
    pub(crate) clock: (Ms, Ms),
    /// Whether the latest poll got no answer.
    pub(crate) unresponsive: bool,
    /// Typical time until a command is answered, in milliseconds; 0 if none has been.
    pub(crate) response_time: Ms,
    /// When the latest poll that the worker answered was sent.
    pub(crate) last_poll: Ms,
    /// When the latest poll that the former incarnation answered was sent; 0 if none is known to have been.
    pub(crate) last_poll_before_restart: Ms,
    /// The worker's lease has certainly expired at this time, unless it is renewed.
    pub(crate) lease_expires_at: Ms,
    /// Estimated time at which a draining worker leaves.
    pub(crate) leaves_at: Option<Ms>,
    /// Reserved capacity, including that of runs whose state is unknown.
    pub(crate) used: Size,
    /// Runs that are the current runs of their tasks.
    pub(crate) runs: FxHashMap<TaskKey, u32>,
    /// All other runs.
    pub(crate) orphaned_runs: FxHashMap<TaskKey, OrphanedRun>,
    /// Ends up to and including this number have been applied.
    pub(crate) ends_applied: u64,
    /// Numbers of ends that were applied although an earlier one was not.
    pub(crate) applied_out_of_order: BTreeSet<u64>,
    /// Jobs of the ends that were applied and may not be stored, by the numbers of these ends.
    pub(crate) unstored_ends: BTreeMap<u64, JobId>,
    /// Whether some of these ends belong to progress that the store rejects, so that none behind them is acknowledged.
    pub(crate) has_rejected_ends: bool,
    /// Highest number of an end that the incarnation has listed.
    pub(crate) last_listed_end: u64,
    /// Ends up to and including this number are stored.
    pub(crate) ends_stored: u64,
    /// Whether the newest report listed as many ends as fit, so that the worker may have more.
    pub(crate) has_more_ends: bool,
    /// Nothing is started on the worker before this time.
    pub(crate) paused_until: Ms,
    /// Evidence that runs fail because of the worker; see [`crate::fit::SUSPECT_SCORE`].
    pub(crate) failure_score: f64,
    /// When a failure last counted as such evidence.
    pub(crate) failed_at: Ms,
    /// Ratio of observed run time to the estimate as corrected per queue; 1 is as expected.
    pub(crate) slowness: f64,
}

impl Worker {
    /// Whether nothing is started on the worker because it can't be reached or is about to leave.
    #[must_use]
    pub fn is_unavailable(&self, now: Ms) -> bool {
        self.fenced
            && (self.unresponsive
                || self.leaves_at.is_some()
                || now.saturating_sub(self.last_poll) >= Self::UNAVAILABLE_AFTER)
    }

    /// Whether the worker has reported to this owner.
    #[must_use]
    pub fn has_reported(&self) -> bool {
        self.fenced
    }

    /// Whether the current incarnation has answered the latest poll.
    #[must_use]
    pub fn is_responsive(&self) -> bool {
        !self.unresponsive && self.clock != (0, 0)
    }

    /// Whether the worker reports ends of unknown jobs. It answers polls at once with these ends until they are applied.
    #[must_use]
    pub fn reports_unknown_ends(&self) -> bool {
        self.unknown_ends.is_some()
    }

    /// Highest number of an end that the current incarnation has listed. Ends that are held back are listed again and again.
    #[must_use]
    pub fn last_listed_end(&self) -> u64 {
        self.last_listed_end
    }

    /// Whether the newest report listed as many ends as fit. The next ones are listed once these are stored and acknowledged.
    #[must_use]
    pub fn has_more_ends(&self) -> bool {
        self.has_more_ends
    }

    /// Time without an answer after which an answer of this worker counts as overdue, in milliseconds.
    #[must_use]
    pub fn overdue_after(&self) -> Ms {
        repeat::delay(self.response_time, 1)
    }

    /// When the latest poll was sent that the worker answered before a loss of this kind.
    pub(crate) const fn last_poll_before(&self, loss: Loss) -> Ms {
        match loss {
            Loss::Restarted => self.last_poll_before_restart,
            Loss::Lapsed | Loss::Missing => self.last_poll,
        }
    }

    /// Whether the worker has answered a poll that was sent at `sent_at` or later.
    #[must_use]
    pub fn answered_since(&self, sent_at: Ms) -> bool {
        self.last_poll >= sent_at
    }

    /// Whether the worker may have runs, also of jobs that aren't known.
    pub(crate) fn has_runs(&self) -> bool {
        !self.runs.is_empty() || !self.orphaned_runs.is_empty()
    }

    /// Whether the worker has ends that aren't stored: of unknown jobs, of jobs whose progress is still to be written, or more than its
    /// newest report lists. Only the worker has them; without it their tasks would start again.
    pub(crate) fn has_unstored_ends(&self) -> bool {
        self.unknown_ends.is_some() || self.has_more_ends || self.ends_stored < self.ends_applied
    }

    /// Whether the owner, or the next one, has to know the worker even if the directory doesn't list it: it may have runs, or ends that
    /// aren't stored. Ends that weren't acknowledged before its lease lapsed don't count any more.
    pub(crate) fn is_needed(&self, now: Ms) -> bool {
        self.has_runs() || self.has_unstored_ends() && self.lease_expires_at >= now
    }

    /// Estimate of the worker's clock at `now`; 0 if it was never reported.
    #[must_use]
    pub fn clock(&self, now: Ms) -> Ms {
        if self.clock == (0, 0) {
            return 0;
        }
        self.clock.0 + now.saturating_sub(self.clock.1)
    }

    /// Capacity that is not reserved.
    #[must_use]
    pub fn free_capacity(&self) -> Size {
        let (capacity, used) = (self.info.capacity, self.used);
        Size::new(
            capacity.millicores.saturating_sub(used.millicores),
            capacity.memory_mib.saturating_sub(used.memory_mib),
            capacity.accelerators.saturating_sub(used.accelerators),
        )
    }

    /// Whether a task may be started on the worker at `now`.
    #[must_use]
    pub fn accepts_starts(&self, now: Ms) -> bool {
        let has_unknown_orphans = self
            .orphaned_runs
            .values()
            .any(|orphan| orphan.size.is_none());
        self.registered
            && self.in_stored_roster
            && self.fenced
            && self.is_described()
            && self.paused_until <= now
            // Otherwise the worker might end runs faster than their ends are stored, and would never be read to the last one.
            && !self.has_more_ends
            && !has_unknown_orphans
            && !self.is_unavailable(now)
    }

    /// How many more runs the worker may get. While ends of it can't be acknowledged, as the store rejects their progress, it lists no more
    /// than [`MAX_ENDS`], and the ends of further runs would stay unread.
    pub(crate) fn startable_runs(&self) -> usize {
        if self.has_rejected_ends {
            MAX_ENDS.saturating_sub(self.unstored_ends.len() + self.runs.len())
        } else {
            usize::MAX
        }
    }

    /// Whether the directory describes the incarnation that answered last, which may have other labels, another service or another capacity
    /// than the one before.
    fn is_described(&self) -> bool {
        self.info.incarnation == 0 || self.info.incarnation >= self.incarnation
    }

    /// A worker that hasn't answered a poll for this long gets no new tasks: it is most likely partitioned or down, and the
    /// outcome of each command would be unknown. Polls return every 0.7 s, so one of them may be lost.
    pub const UNAVAILABLE_AFTER: Ms = 1_600;

    /// Incarnation, number of applied ends and number of stored ends, as sent with the next poll.
    #[must_use]
    pub fn end_cursor(&self) -> (u64, u64, u64) {
        (self.incarnation, self.ends_applied, self.ends_stored)
    }
}
