//! The process that callers talk to.
//!
//! * [`Entry`]: one entry; [`Entry::spawn`] starts what it does beside serving.
//! * [`serve::router`]: its HTTP interface, described in `docs/API.md`.
//! * [`Ledger`]: what may be said after several tries at one request.
//! * [`Settings`]: flags and environment variables.

mod admission;
mod attempts;
mod entry;
mod parse;
mod respond;
mod route_table;
pub mod serve;
mod settings;
mod slo_counts;
mod upstream;

pub use admission::Gate;
pub use attempts::Ledger;
pub use entry::Entry;
pub use route_table::Table;
pub use settings::Settings;
pub use slo_counts::{Burn, Minute};
pub use upstream::{Missed, Upstream};
