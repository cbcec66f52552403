//! What owners know and the rules by which it changes; no I/O, no clocks.
//!
//! * [`Ownership`]: the life cycle of owning a rack.
//! * [`fence`]: the proof that an owner is still the owner, and when a new one may begin.
//! * [`Record`]: a rack's row in the platform's table.
//! * [`Rack`]: workers, quick requests and tasks of one rack.
//! * [`Desk`]: the jobs at home in one rack.
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
pub use desk::{Desk, Digests, Plan, Saved};
pub use host::{Host, Trust};
pub use ownership::{Event, Ownership, Stage};
pub use quick::{Go, Next, Over, Ticket};
pub use rack::{LEASE, Rack, Settings};
pub use record::Record;
pub use task::{Command, Outcome};

/// Time since the process began; passed in, so that tests decide what time it is.
pub type Now = std::time::Duration;
