//! Aliases for the names used throughout the system.

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
/// A service that quick requests are made to.
pub type Service = String;
/// A caller's own name for one request, unique within its team.
pub type Request = String;
/// What a request works on (a parcel, a seat); requests for one key run one after another.
pub type Key = String;
/// A job, unique in the cell.
pub type Job = String;
/// A placer process, unique in the cell.
pub type Placer = String;
/// An entry process, unique in the cell.
pub type Entry = String;
/// Fencing token of a rack's owner; rises with every change of owner.
pub type Epoch = u64;
/// Counts the lives of a worker; changes whenever its memory is lost.
pub type Incarnation = u64;
