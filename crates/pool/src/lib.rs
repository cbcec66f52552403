//! Scheduling decisions of the owner of one pool of workers, without network or clock.
//!
//! * [`Job`], [`Step`], [`Policy`]: a job as submitted and stored.
//! * [`Progress`]: the progress of a job as stored.
//! * [`Pool`]: the runtime state; updates go in, [`Order`]s come out.
//! * [`News`], [`Listing`], [`Answer`]: input from the directory of workers and from the workers.
//! * [`rank`]: the order in which steps are started; [`fit`]: the choice of a worker, [`scarce`]: by the scarcest resource;
//!   [`advice`]: the choice of workers to ask the advisor about; [`pace`]: when best-effort tasks are slowed down.

pub mod advice;
mod answer;
mod ask;
mod crash;
mod ends;
mod evacuate;
pub mod fit;
mod inherit;
mod job;
mod listing;
mod live;
mod load;
mod loss;
mod mechanism;
mod misfit;
mod order;
pub mod pace;
mod place;
mod plan;
mod pool;
mod progress;
pub mod rank;
mod reconcile;
pub mod repeat;
mod replies;
mod save;
pub mod scarce;
mod state;
mod task;
mod timeline;
mod watch;
mod worker;

pub use answer::{Answer, StopAnswer};
pub use crash::{GivenUp, Suspicion};
pub use job::{Advice, Job, Policy, Schedule, Step, Unfit};
pub use listing::{End, How, Listing, Running};
pub use load::Load;
pub use loss::{Loss, LostRun};
pub use mechanism::{Mechanism, Switches, Unknown};
pub use order::{Ask, Order, Pace, Start, Stop};
pub use pool::{Options, Pool};
pub use progress::{Course, Progress, StepCourse};
pub use save::Batch;
pub use state::State;
pub use task::{JobId, Ms, StageKey, TaskKey, WorkerId};
pub use timeline::{JobTimes, StepTimes};
pub use worker::{News, Silent, Worker};
