//! The process that callers talk to.
//!
//! * [`Entry`]: one entry; [`Entry::spawn`] starts what it does beside serving.
//! * [`serve::router`]: its HTTP interface, described in `docs/API.md`.
//! * [`Ledger`]: what may be said after several tries at one request.
//! * [`Settings`]: flags and environment variables.

mod burn;
mod entry;
mod gate;
mod ledger;
mod parse;
mod respond;
mod routes;
pub mod serve;
mod settings;
mod upstream;

pub use burn::{Burn, Minute};
pub use entry::Entry;
pub use gate::Gate;
pub use ledger::Ledger;
pub use routes::Table;
pub use settings::Settings;
pub use upstream::{Missed, Upstream};
