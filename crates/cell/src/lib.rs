//! What owners know and the rules by which it changes; no I/O, no clocks.
//!
//! * [`Ownership`]: the life cycle of owning a rack.
//! * [`fence`]: the proof that an owner is still the owner, and when a new one may begin.
//! * [`Record`]: a rack's row in the platform's table.
//! * [`Rack`]: workers, quick requests and tasks of one rack.
//! * [`JobScheduler`]: the jobs at home in one rack.
//! * [`Clock`]: a worker's time as its owner knows it.

mod clock;
mod desk;
pub mod fence;
mod host;
mod ownership;
mod quick;
mod rack;
mod record;
mod task;

pub use clock::Clock;
pub use desk::{Digests, Dispatch, JobScheduler, SavedJob};
pub use host::{Trust, WorkerState};
pub use ownership::{Event, Ownership, Stage};
pub use quick::{Next, QuickRun, RunOutcome, Ticket};
pub use rack::{Rack, Settings, TASK_LEASE};
pub use record::Record;
pub use task::{Command, Outcome};

/// Time since the process began; passed in, so that tests decide what time it is.
pub type Now = std::time::Duration;
