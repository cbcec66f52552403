//! One process of the system: callers' jobs are taken on every host, each pool of workers is owned by one.
//!
//! * [`Store`], [`Workers`], [`Advisor`], [`Decode`]: what a host needs from outside, as traits.
//! * [`hedge`]: calls whose answers are overdue or late.
//! * [`Catalog`]: queues in force; [`follow`]: how a table is followed.
//! * [`helpers`]: which host asks the advisor.
//! * [`Host`]: what callers ask ([`Host::submit`], [`Host::state`], [`Host::cancel`], [`Host::pending`]).
//! * [`insert`]: how a job's row is written, once.
//! * [`Plan`]: which workers belong to which pool; [`route`]: which pool a job goes to.
//! * [`packed`]: the configuration as hosts send it to each other.
//! * [`suitability`]: which hosts have what a pool needs.
//! * [`sample`]: which jobs are told in full in the log.
//! * [`takeover_delay`]: how long a host leaves a pool to others.
//! * [`lag`]: whether a host has time for what it does.
//! * [`link`]: what a host asks an owner.
//! * [`unserved`]: when an owner without the store gives its pool up.
//! * [`verdict`]: whether an owner is lost.
//! * [`wire`]: what hosts say to each other.
//! * [`Owner`]: a pool's owner: takes over, holds workers, starts tasks, stores progress.

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
mod owner_rows;
pub mod packed;
mod peers;
pub mod plan;
mod pool_state;
pub mod route;
mod rows;
pub mod sample;
mod session;
mod settings;
pub mod suitability;
pub mod takeover_delay;
mod timed_reader;
mod transfer;
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
