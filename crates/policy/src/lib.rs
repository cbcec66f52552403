//! Pure decisions, apart from all I/O.
//!
//! * [`choose`]: which worker, or which rack, a task goes to.
//! * [`Index`]: many places, of which a decision looks at few.
//! * [`evict`]: which tasks make room for urgent work.
//! * [`Limit`]: how many requests are let in at once.
//! * [`Budget`]: how much may be retried.
//! * [`detect`]: when a worker that fails its work is not trusted any more.
//! * [`correct`]: sizes corrected from measured usage.
//! * [`Quota`]: who may take how much.

pub mod choose;
mod concurrency_limit;
pub mod correct;
pub mod detect;
pub mod evict;
mod index;
mod quota;
mod retry_budget;

pub use choose::{Room, Rule};
pub use concurrency_limit::Limit;
pub use index::Index;
pub use quota::{Quota, Standing};
pub use retry_budget::Budget;
