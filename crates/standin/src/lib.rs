//! Fakes of the external systems, for tests and demonstrations.
//!
//! * [`Platform`]: table, object store and stale host list; can be down, slow, or lose answers.
//! * [`Machine`]: one worker with its executor; can leave, freeze, or fail all its work.
//! * [`Racks`]: many machines inside a test process, without a network.
//! * [`link`]: a TCP relay that adds the latency of a link between regions and counts bytes.
//! * [`serve`]: platform and machines over HTTP.

mod journal;
mod link;
mod machine;
mod platform;
mod racks;
pub mod serve;
mod timed;

pub use journal::{Journal, Span};
pub use link::{LinkTraffic, link};
pub use machine::{Machine, WorkerFaults};
pub use platform::{Counts, Faults, Platform};
pub use racks::Racks;
