//! What owners know and the rules by which it changes; no I/O, no clocks.
//!
//! * [`Ownership`]: the life cycle of owning a rack.
//! * [`fence`]: the proof that an owner is still the owner, and when a new one may begin.
//! * [`Record`]: a rack's row in the platform's table.
//! * [`Rack`]: workers, quick requests and tasks of one rack.
//! * [`JobScheduler`]: the jobs at home in one rack.
//! * [`Clock`]: a worker's time as its owner knows it.

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

/// Time since the process began; passed in, so that tests decide what time it is.
pub type Now = std::time::Duration;
