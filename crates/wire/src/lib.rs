//! The inner protocol, spoken between entries, placers and the command line.
//!
//! * [`Kind`]: the closed list of errors; [`Kind::row`] is the table from kind to answer.
//! * [`Answer`]: what a caller is told about one quick request.
//! * [`Request`]: one quick request on its way to the owner of its rack.
//! * [`Job`], [`Task`], [`Event`]: longer work and its parts.
//! * [`rpc`]: the calls themselves.
//! * [`refused`]: the failure that shows that nothing was sent.

mod answer;
mod body;
mod claim;
mod connection_refused;
mod event;
mod job;
mod kind;
mod place;
mod request;
mod route;
pub mod rpc;
mod status;
mod task;

pub use answer::{Answer, Fault};
pub use body::Body;
pub use claim::{Claim, Verdict};
pub use connection_refused::refused;
pub use event::{Event, Fate};
pub use job::{Job, Phase, Shape, State};
pub use kind::{Class, Kind, Row};
pub use place::{Digest, Gang, Holding, Inventory, Mode, Order, Placed, Placement, Seniority};
pub use request::Request;
pub use route::{Ask, Owner, Routes};
pub use status::{RackStatus, Status};
pub use task::{Band, Task, TaskId};
