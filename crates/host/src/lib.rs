//! A host process of the scheduler. Every host accepts jobs from callers; each pool of workers is owned by one host, which
//! schedules tasks on it.
//!
//! * [`Store`], [`Workers`], [`Advisor`], [`Decode`]: external interfaces of a host.
//! * [`Host`]: requests of callers ([`Host::submit`], [`Host::state`], [`Host::cancel`], [`Host::pending`]).
//! * [`Owner`]: the owner of a pool, which takes it over, polls workers, starts tasks and stores progress.
//! * [`Catalog`]: the configuration in force; [`packed`]: its compressed form.
//! * [`Plan`]: assignment of workers to pools; [`route`]: choice of the pool for a job.
//! * [`insert`]: idempotent insertion of a job's row.
//! * [`follow`]: following the changes of a table.
//! * [`hedge`]: repeated calls for overdue answers.
//! * [`helpers`]: choice of the host that queries the advisor.
//! * [`wire`]: protocol between hosts; [`link`]: a host's connection to an owner.
//! * [`verdict`]: whether an owner is lost.
//! * [`post`]: suitability of a host as owner of a pool; [`turn`]: delay before a host takes a pool over.
//! * [`unserved`]: handover of a pool by an owner that has lost the store; [`lag`]: detection of an overloaded host.
//! * [`sample`]: sampling of the jobs that are logged in full.

pub mod catalog;
mod claim;
pub mod clock;
mod current;
mod election;
pub mod follow;
mod front;
pub mod hedge;
pub mod helpers;
mod host;
pub mod insert;
pub mod lag;
pub mod link;
mod outside;
mod owner;
mod owners;
pub mod packed;
mod peers;
pub mod plan;
mod pool_state;
pub mod post;
pub mod route;
mod rows;
pub mod sample;
mod session;
mod settings;
mod timed_reader;
mod transfer;
pub mod turn;
pub mod unserved;
pub mod verdict;
pub mod wire;
mod writer;

pub use catalog::{Catalog, Queue};
pub use front::{Submitted, Taken};
pub use host::Host;
pub use outside::{
    Advisor, Allowed, Decode, Feed, HoldFailure, Page, Row, Store, StoreError, Transaction, Workers,
};
pub use owner::Owner;
pub use plan::Plan;
pub use settings::{Places, Settings};
