//! Aliases for the identifiers used across the crates.

/// A rack of workers, unique in the cell.
pub type Rack = String;
/// A worker (host), unique in the cell.
pub type Worker = String;
/// A data centre.
pub type DataCentre = String;
/// A region.
pub type Region = String;
/// A team of callers that shares one quota.
pub type Team = String;
/// A service that handles quick requests.
pub type Service = String;
/// A request's id, chosen by the caller and unique within its team.
pub type Request = String;
/// The entity that a request works on (a parcel, a seat); requests with the same key run one after another.
pub type Key = String;
/// A job, unique in the cell.
pub type Job = String;
/// A placer process, unique in the cell.
pub type Placer = String;
/// An entry process, unique in the cell.
pub type Entry = String;
/// Fencing token of a rack's owner; increases with every change of owner.
pub type Epoch = u64;
/// Identifies one incarnation of a worker process; changes whenever the worker loses its memory.
pub type Incarnation = u64;
