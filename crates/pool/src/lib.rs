//! Decisions of the owner of one pool of workers, without network or clock.
//!
//! * [`Job`], [`Step`], [`Policy`]: what a caller asked for, as it is stored.
//! * [`Progress`]: what must last of a job's course, as it is stored.
//! * [`Pool`]: the live state; news goes in, [`Command`]s come out.
//! * [`News`], [`Listing`], [`Answer`]: what workers and the directory of workers say.
//! * [`rank`]: who goes first; [`fit`]: on which worker, [`service_capacity`]: by what is short; [`advice`]: which workers to ask about; [`pace`]: when
//!   tasks that fill spare processors are slowed down.

pub mod advice;
mod answer;
mod command;
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
pub mod pace;
mod place;
mod pool;
mod progress;
mod query;
pub mod rank;
mod reconcile;
pub mod repeat;
mod replies;
mod save;
mod schedule;
pub mod service_capacity;
mod state;
mod task;
mod timeline;
mod unservable;
mod watch;
mod worker;

pub use answer::{Answer, StopAnswer};
pub use command::{AdvisorQuery, Command, Pace, Start, Stop};
pub use crash::{GivenUp, Suspicion};
pub use job::{Advice, Job, Policy, Schedule, Step, Unfit};
pub use listing::{End, How, Listing, Running};
pub use load::Load;
pub use loss::{Loss, LostRun};
pub use mechanism::{Mechanism, Switches, UnknownMechanism};
pub use pool::{Options, Pool};
pub use progress::{Course, Progress, StepCourse};
pub use save::Batch;
pub use state::State;
pub use task::{JobId, Ms, StageKey, TaskKey, WorkerId};
pub use timeline::{JobTimes, StepTimes};
pub use worker::{News, Silent, Worker};
