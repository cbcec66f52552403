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

mod budget;
pub mod choose;
pub mod correct;
pub mod detect;
pub mod evict;
mod index;
mod limit;
mod quota;

pub use budget::Budget;
pub use choose::{Room, Rule};
pub use index::Index;
pub use limit::Limit;
pub use quota::{Quota, Standing};
