//! Interfaces of the platform.
//!
//! * [`Table`]: rows with versions, transactions and compare-and-set.
//! * [`Hosts`]: the list of hosts that are live or leaving, which lags behind by some seconds.
//! * [`Objects`]: the object store.
//! * [`Client`]: all three over HTTP.
//! * [`http`]: the small HTTP client, which the worker's client uses too.

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
