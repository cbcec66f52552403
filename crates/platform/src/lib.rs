//! What the platform gives to the system.
//!
//! * [`Table`]: rows with versions, transactions and compare-and-set.
//! * [`Hosts`]: the lagging list of live and leaving hosts.
//! * [`Objects`]: the object store.
//! * [`Client`]: all three over HTTP.
//! * [`http`]: the small HTTP client that is shared with the worker's adapter.

mod client;
mod error;
mod host;
pub mod http;
mod object;
mod table;

pub use client::Client;
pub use error::Error;
pub use host::{Host, HostStatus, Hosts};
pub use object::Objects;
pub use table::{Check, Row, Scan, Table, Transaction, Version, Write};
