//! Stand-ins for what is outside the system.
//!
//! * [`Platform`]: table, object store and lagging host list; can be down, slow, or lose answers.
//! * [`Machine`]: one worker with its executor; can leave, freeze, or fail everything.
//! * [`Racks`]: many machines that are called inside a test.
//! * [`link`]: a link between regions, which is late and counts what it carries.
//! * [`serve`]: platform and machines over HTTP.

mod journal;
mod link;
mod machine;
mod platform;
mod racks;
pub mod serve;

pub use journal::{Journal, Span};
pub use link::{Carried, link};
pub use machine::{Machine, Mischief};
pub use platform::{Counts, Faults, Platform};
pub use racks::Racks;
