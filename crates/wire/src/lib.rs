//! The internal protocol between entries, placers and the command line.
//!
//! * [`Kind`]: the closed list of errors; [`Kind::row`] is the table that maps them to answers.
//! * [`Answer`]: the answer to one quick request.
//! * [`Request`]: one quick request on its way to the owner of its rack.
//! * [`Job`], [`Task`], [`Event`]: jobs, their tasks and state changes of attempts.
//! * [`rpc`]: the remote calls.
//! * [`is_connection_refused`]: recognises the failure that proves that nothing was sent.

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
pub use claim::{Claim, ClaimOutcome};
pub use connection_refused::is_connection_refused;
pub use event::{AttemptState, Event};
pub use job::{Job, Phase, Shape, State};
pub use kind::{Class, Kind, Row};
pub use place::{
    Digest, FencingToken, Gang, Holding, Inventory, Mode, PlaceReply, PlaceRequest, Placement,
};
pub use request::Request;
pub use route::{Owner, RouteQuery, Routes};
pub use status::{RackStatus, Status};
pub use task::{Band, Task, TaskId};
