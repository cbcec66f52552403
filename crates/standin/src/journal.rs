//! Record of what a fake worker executed, for assertions of tests.

use serde::{Deserialize, Serialize};

/// Unix time in milliseconds in served workers, so that journals of several processes can be
/// compared; milliseconds since the start of the test in [`Racks`](crate::Racks).
type Millis = u64;

/// One execution of a quick request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Span {
    /// Team and id of the request, as `team/id`.
    pub id: String,
    /// Service and key of the request, as `service/key`.
    pub key: String,
    /// Start of the execution.
    pub from: Millis,
    /// End of the execution; `None` while it runs.
    pub until: Option<Millis>,
}

/// All executions of a worker.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Journal {
    /// Executions of quick requests, in the order of their start.
    pub runs: Vec<Span>,
    /// Task attempts in the order of their start, as `team/job/index/attempt`.
    pub starts: Vec<String>,
    /// Number of task starts after which the running tasks exceeded the size of the worker.
    pub over: u32,
}
