//! One process of the system: callers' jobs are taken on every host, one host owns the pool.
//!
//! * [`Store`], [`Workers`], [`Advisor`], [`Decode`]: what a host needs from outside, as traits.
//! * [`Catalog`]: queues in force; [`follow`]: how a table is followed.
//! * [`Host`]: what callers ask ([`Host::submit`], [`Host::state`], [`Host::cancel`], [`Host::pending`]).
//! * [`insert`]: how a job's row is written, once.
//! * [`wire`]: what hosts say to each other.
//! * [`Owner`]: the pool's owner: takes over, holds workers, starts tasks, stores progress.

pub mod catalog;
pub mod clock;
mod election;
pub mod follow;
mod front;
mod host;
pub mod insert;
mod outside;
mod owner;
mod peers;
mod rows;
mod session;
mod settings;
pub mod wire;
mod writer;

pub use catalog::{Catalog, Queue};
pub use front::{Submitted, Taken};
pub use host::Host;
pub use outside::{
    Advisor, Allowed, Decode, Feed, HoldFailure, Page, Row, Store, StoreError, Transaction, Workers,
};
pub use owner::Owner;
pub use settings::{Places, Settings};
