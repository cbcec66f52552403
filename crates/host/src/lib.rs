//! A host process of the scheduler. Every host accepts jobs from callers; each pool of workers is owned by one host, which
//! schedules tasks on it.
//!
//! * [`Store`], [`Workers`], [`Advisor`], [`Decode`]: external interfaces of a host.
//! * [`Host`]: requests of callers ([`Host::submit`], [`Host::state`], [`Host::cancel`], [`Host::pending`]).
//! * [`Owner`]: the owner of a pool, which takes it over, polls workers, starts tasks and stores progress.
//! * [`Catalog`]: the configuration in force; [`packed`]: its compressed form; [`confirmation`]: how recent it is known to be.
//! * [`access`]: which calls may use a queue, by their keys; [`admission`]: carries that out; [`refusals`]: logs and counts of
//!   refused calls.
//! * [`PoolMap`]: assignment of workers to pools; [`route`]: choice of the pool for a job.
//! * [`insert`]: idempotent insertion of a job's row; `cancel`: cancellations; [`job_rows`]: how an owner applies both;
//!   [`swept_jobs`]: removed jobs; [`withdrawal`]: ids that were cancelled before their jobs were accepted; [`withdrawals`]: those
//!   that an owner has to delete.
//! * [`first_source`]: where a host that starts gets the configuration and the pool map from.
//! * [`follow`]: following the changes of a table; [`worker_feed`]: those of the workers, which one owner reads for all.
//! * [`hedge`]: repeated calls for overdue answers.
//! * [`advisor_proxies`]: choice of the host that queries the advisor.
//! * [`wire`]: protocol between hosts; [`link`]: a host's connection to an owner.
//! * [`verdict`]: whether an owner is lost.
//! * [`suitability`]: suitability of a host as owner of a pool; [`takeover_delay`]: delay before a host takes a pool over.
//! * [`store_checks`]: how often a host checks the store.
//! * [`store_outage`]: handover of a pool by an owner that has lost the store; [`lag`]: detection of an overloaded host.
//! * [`quota_parts`]: a pool's parts of the customers' limits; [`quota_policy`]: how they move by demand; [`quota_keeper`]: the
//!   store and the messages for both.
//! * [`log_sampling`]: sampling of the jobs that are logged in full.

pub mod access;
pub mod admission;
pub mod advisor_proxies;
mod cancel;
pub mod catalog;
mod catalog_sync;
mod claim;
pub mod clock;
pub mod confirmation;
mod election;
pub mod first_source;
pub mod follow;
pub mod hedge;
mod host;
pub mod insert;
mod interfaces;
mod invalid_catalog;
pub mod job_rows;
mod key;
pub mod lag;
pub mod link;
pub mod log_sampling;
mod owner;
mod owner_rows;
pub mod packed;
mod peers;
pub mod pool_map;
mod pool_state;
pub mod progress_row;
pub mod quota_keeper;
pub mod quota_parts;
pub mod quota_policy;
pub mod refusals;
mod requests;
pub mod route;
mod rows;
mod session;
mod settings;
pub mod store_checks;
pub mod store_outage;
pub mod suitability;
pub mod swept_jobs;
mod sync;
pub mod takeover_delay;
mod timed_reader;
mod transfer;
pub mod verdict;
pub mod wire;
pub mod withdrawal;
pub mod withdrawals;
pub mod worker_feed;
mod writer;

pub use catalog::{Catalog, Customer, Queue};
pub use host::Host;
pub use interfaces::{
    Acknowledgement, Advisor, Decode, Feed, Page, PollFailure, Row, StartReply, Store, StoreError,
    Tickets, Transaction, Workers,
};
pub use invalid_catalog::{InvalidCatalog, check_customers};
pub use key::{KeyDigest, MAX_KEY_BYTES};
pub use owner::Owner;
pub use pool_map::PoolMap;
pub use requests::{JobStatus, Submitted};
pub use settings::{Settings, StoreTables};
