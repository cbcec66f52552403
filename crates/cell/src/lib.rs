//! State of rack owners and the rules by which it changes; without I/O and clocks.
//!
//! * [`Ownership`]: the life cycle of owning a rack.
//! * [`fence`]: the proof that an owner still owns its rack, and the delay before a new owner may
//!   act.
//! * [`Record`]: a rack's row in the platform's table.
//! * [`Rack`]: workers, quick requests and tasks of one rack.
//! * [`JobScheduler`]: the jobs whose home is one rack.
//! * [`Clock`]: a worker's clock as seen by its owner.

mod attempt;
mod clock;
pub mod fence;
mod job_scheduler;
mod ownership;
mod quick_queue;
mod rack;
mod record;
mod worker_state;

pub use attempt::{Command, Outcome};
pub use clock::Clock;
pub use job_scheduler::{Digests, Dispatch, JobScheduler, SavedJob};
pub use ownership::{Event, Ownership, Stage};
pub use quick_queue::{Next, QuickRun, RunOutcome, Ticket};
pub use rack::{Rack, Settings, TASK_LEASE};
pub use record::Record;
pub use worker_state::{Trust, WorkerState};

/// Time since the process began. It is passed in, so that tests control it.
pub type Now = std::time::Duration;
