//! Requests from the owner of a job to the owner of a rack.

use resource::{Size, id};
use serde::{Deserialize, Serialize};

use crate::{Event, Task, TaskId};

/// Identifies the sender of a message, an owner of a job's home rack. The owner of a rack rejects a message whose
/// `(epoch, serial)` is not greater than that of the last message received for the same home rack, so that
/// messages of an earlier owner have no effect.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FencingToken {
    /// The home rack.
    pub home: id::Rack,
    /// Epoch of its owner.
    pub epoch: id::Epoch,
    /// Increases with every message of this owner. A request that timed out at its sender and is delivered after
    /// a later message is rejected.
    pub serial: u64,
}

/// Identifies one attempt to start a gang.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Gang {
    /// Team of the job.
    pub team: id::Team,
    /// The job.
    pub job: id::Job,
    /// Increases with every new attempt.
    pub attempt: u64,
}

/// Whether tasks are started, or capacity is only held for them.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// Start each task that fits.
    Start,
    /// Hold capacity for all tasks or for none, until the hold is committed, undone or expires.
    Hold,
}

/// Requests the placement of tasks on one rack.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlaceRequest {
    /// The rack.
    pub rack: id::Rack,
    /// Epoch of the rack's owner that the request is addressed to. A later owner has not received the messages
    /// that followed this request, so it could not detect that the sender has abandoned it.
    pub epoch: id::Epoch,
    /// The sender.
    pub from: FencingToken,
    /// What to do with the tasks.
    pub mode: Mode,
    /// The tasks; for [`Mode::Hold`], all of one gang.
    pub tasks: Vec<Task>,
    /// Number of workers that each of the tasks may have crashed, in the order of the tasks; empty if none has.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<u32>,
}

impl PlaceRequest {
    /// The tasks, each with the number of workers that it may have crashed.
    pub fn tasks_with_crashes(&self) -> impl Iterator<Item = (&Task, u32)> {
        let crashes = self.crashes.iter().copied().chain(std::iter::repeat(0));
        self.tasks.iter().zip(crashes)
    }
}

/// What the owner of a rack did with one task.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Placement {
    /// The task is being started, or capacity is held for it.
    Placed,
    /// The rack has no capacity for the task.
    Full,
    /// The receiver does not own the rack, or the sender does not own the job.
    NotOwner,
}

/// The reply to a [`PlaceRequest`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlaceReply {
    /// One placement per task, in the order of the tasks.
    pub placements: Vec<Placement>,
    /// Free capacity of the rack afterwards.
    pub digest: Option<Digest>,
}

/// Summary of the free capacity of a rack.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Digest {
    /// The rack.
    pub rack: id::Rack,
    /// Its owner's epoch.
    pub epoch: id::Epoch,
    /// Free capacity of each worker that accepts new work.
    pub free: Vec<Size>,
    /// Capacity of each of these workers that urgent work could preempt from other batch work.
    pub yielding: Vec<Size>,
    /// Capacity of each of these workers that work within a quota could preempt from borrowers.
    pub lent: Vec<Size>,
}

/// One attempt that is placed on a rack.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Holding {
    /// The attempt.
    pub task: TaskId,
    /// Its size.
    pub size: Size,
}

/// The attempts of one home rack's jobs that are placed on one rack.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Inventory {
    /// The rack.
    pub rack: id::Rack,
    /// Whether every worker of the rack was queried, so that attempts that are not listed don't run there.
    pub complete: bool,
    /// The attempts.
    pub holdings: Vec<Holding>,
    /// Events that the owner of the home rack has not confirmed yet.
    #[serde(rename = "news")]
    pub unconfirmed: Vec<Event>,
}
