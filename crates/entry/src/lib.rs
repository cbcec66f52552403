//! The HTTP front end of the scheduler: the process that callers connect to.
//!
//! * [`Entry`]: one front end; [`Entry::spawn`] starts the background refresh of its routes.
//! * [`serve::router`]: its HTTP interface, described in `docs/API.md`.
//! * [`AttemptHistory`]: decides which answer may be returned after several attempts at a request.
//! * [`Options`]: how long an entry goes on serving when it stops.
//! * [`Settings`]: flags and environment variables.

mod admission;
mod attempts;
mod entry;
mod options;
mod parse;
mod respond;
mod route_table;
pub mod serve;
mod settings;
mod slo_counts;
mod upstream;

pub use admission::Admission;
pub use attempts::AttemptHistory;
pub use entry::Entry;
pub use options::Options;
pub use route_table::RouteTable;
pub use settings::Settings;
pub use slo_counts::{SloCounts, SloMinute};
pub use upstream::{CallFailure, Upstream};
