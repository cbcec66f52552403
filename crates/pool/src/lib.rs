//! Scheduling decisions of the owner of one pool of workers, without network or clock.
//!
//! * [`Job`], [`Step`], [`Policy`]: a job as submitted and stored.
//! * [`Progress`]: the progress of a job as stored.
//! * [`Pool`]: the runtime state; updates go in, [`Command`]s come out.
//! * [`WorkerInfo`], [`WorkerReport`], [`StartAnswer`]: input from the directory of workers and from the workers.
//! * [`rank`]: the order in which steps are started; [`fit`]: the choice of a worker; [`service_capacity`]: the scarcity of
//!   resources; [`advice`]: the choice of workers to ask the advisor about; [`pace`]: when best-effort tasks are slowed down.

mod accounts;
pub mod advice;
mod answer;
mod batch;
mod cancel;
mod command;
mod crash;
mod customer;
mod down;
mod ends;
mod evacuate;
mod failure_score;
pub mod fit;
mod forget;
mod gang_turns;
mod handover;
mod idle;
mod inherit;
mod job;
mod lapsed_lease;
mod lease_bound;
mod live;
mod load;
mod loss;
mod mechanism;
mod monitor;
mod numbers;
pub mod pace;
mod place;
mod pool;
mod progress;
mod query;
mod quota;
mod quota_demand;
pub mod rank;
mod reconcile;
pub mod repeat;
mod repeating;
mod replies;
mod report;
mod schedule;
pub mod service_capacity;
mod start;
mod state;
mod task;
mod timeline;
mod unknown_ends;
mod unservable;
mod window;
mod worker;

pub use answer::{StartAnswer, StopAnswer};
pub use batch::Batch;
pub use cancel::OverdueRun;
pub use command::{AdvisorQuery, Command, Pace, Start, Stop};
pub use crash::{AbandonedTask, CrashRecord, Suspicion};
pub use customer::{CustomerId, CustomerPolicy, Entitlement, Limit};
pub use down::{DownStep, WorkerCounts};
pub use failure_score::{FailureCause, WorkerSuspicion};
pub use forget::ForgottenWorker;
pub use gang_turns::{GangTurnEvent, GangWait, TurnChange};
pub use handover::CrashHistory;
pub use idle::{Hold, IdleStep};
pub use inherit::EndsRead;
pub use job::{AdvisorPolicy, InvalidJob, Job, Policy, Schedule, Step};
pub use lapsed_lease::{LapsedLease, LeaseBasis};
pub use lease_bound::LeaseBound;
pub use load::Load;
pub use loss::{Loss, LostRun};
pub use mechanism::{Mechanism, Switches, UnknownMechanism};
pub use monitor::StalledRun;
pub use pool::{Options, Pool};
pub use progress::{OccurrenceProgress, Progress, StepProgress, UnresolvedStart};
pub use quota_demand::QuotaDemand;
pub use repeating::Occurrences;
pub use report::{RunEnd, RunOutcome, RunStatus, WorkerReport};
pub use state::State;
pub use task::{JobId, Ms, StageKey, TaskKey, WorkerId};
pub use timeline::{JobTimes, StepTimes, WaitReason};
pub use unknown_ends::{UnknownEndsChange, UnknownEndsEvent};
pub use window::MAX_OPEN_OCCURRENCES;
pub use worker::{UnavailableWorker, Worker, WorkerInfo};
