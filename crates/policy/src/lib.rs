//! Scheduling decisions, free of I/O.
//!
//! * [`choose`]: which worker, or which rack, a task is placed on.
//! * [`Index`]: an index over many places, of which a decision scores only a few.
//! * [`evict`]: which tasks are preempted for urgent work.
//! * [`ConcurrencyLimit`]: how many requests are admitted at once.
//! * [`RetryBudget`]: how much may be retried.
//! * [`detect`]: when a worker that fails its tasks counts as faulty.
//! * [`correct`]: reservations corrected by measured usage.
//! * [`Quota`]: whether a team may use more resources.

pub mod choose;
mod concurrency_limit;
pub mod correct;
pub mod detect;
pub mod evict;
mod index;
mod quota;
mod retry_budget;

pub use choose::{Capacity, Rule};
pub use concurrency_limit::ConcurrencyLimit;
pub use index::Index;
pub use quota::{Quota, QuotaStatus};
pub use retry_budget::RetryBudget;
