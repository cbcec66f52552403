//! What the owner of a job asks of the owner of a rack.

use resource::{Size, id};
use serde::{Deserialize, Serialize};

use crate::{Event, Task, TaskId};

/// Which owner of a job's home rack speaks; an earlier one is not listened to any more.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Seniority {
    /// The home rack.
    pub home: id::Rack,
    /// Epoch of its owner.
    pub epoch: id::Epoch,
    /// Rises with every message of this owner. An order that was given up on and comes late finds
    /// that a later message was heard, and does nothing.
    pub serial: u64,
}

/// Names one attempt at starting a gang.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Gang {
    /// Team of the job.
    pub team: id::Team,
    /// The job.
    pub job: id::Job,
    /// Rises with every new attempt.
    pub attempt: u64,
}

/// Whether tasks are started or only held.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// Start each that fits.
    Start,
    /// Keep room for all of them, or for none, until it is committed, undone or lapses.
    Hold,
}

/// Tasks for one rack.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// The rack.
    pub rack: id::Rack,
    /// Epoch of the rack's owner that it is meant for. A later owner has not heard what was said
    /// after this order, so it could not tell that the order was given up on.
    pub epoch: id::Epoch,
    /// Who asks.
    pub from: Seniority,
    /// What to do with them.
    pub mode: Mode,
    /// The tasks; for [`Mode::Hold`] all of one gang.
    pub tasks: Vec<Task>,
}

/// What the owner of a rack did with one task.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Placement {
    /// It has room and is being started, or held.
    Placed,
    /// There is no room.
    Full,
    /// The asked process does not own the rack, or the asking one not the job.
    NotOwner,
}

/// The answer to an [`Order`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Placed {
    /// One for each task, in the order of the tasks.
    pub placements: Vec<Placement>,
    /// Room left in the rack.
    pub digest: Option<Digest>,
}

/// How much room a rack has.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Digest {
    /// The rack.
    pub rack: id::Rack,
    /// Its owner's epoch.
    pub epoch: id::Epoch,
    /// Free room of each worker that takes new work.
    pub free: Vec<Size>,
    /// Room of each such worker that urgent work could take from other batch work.
    pub yielding: Vec<Size>,
    /// Room of each such worker that work within a quota could take from borrowers.
    pub lent: Vec<Size>,
}

/// One attempt that a rack holds.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Holding {
    /// The attempt.
    pub task: TaskId,
    /// Its size.
    pub size: Size,
}

/// What one rack holds of the jobs of one home rack.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Inventory {
    /// The rack.
    pub rack: id::Rack,
    /// Whether every worker of the rack was asked, so that what is not listed does not run there.
    pub complete: bool,
    /// The attempts.
    pub holdings: Vec<Holding>,
    /// News that the home's owner has not confirmed yet.
    pub news: Vec<Event>,
}
