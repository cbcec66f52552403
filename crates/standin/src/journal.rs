//! What workers really did, for tests to check.

use serde::{Deserialize, Serialize};

/// Milliseconds of the wall clock, so that journals of several processes can be laid side by side.
type Millis = u64;

/// One quick request that was run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Span {
    /// Team and id of the request.
    pub id: String,
    /// Service and key.
    pub key: String,
    /// When it began.
    pub from: Millis,
    /// When it ended; `None` while it runs.
    pub until: Option<Millis>,
}

/// What a worker did.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Journal {
    /// Quick requests that it ran.
    pub runs: Vec<Span>,
    /// Names of task attempts that it started: `team/job/index/attempt`.
    pub starts: Vec<String>,
    /// How often what it held was more than it has.
    pub over: u32,
}
