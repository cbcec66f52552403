//! Workload files.

use resource::Raw;
use serde::{Deserialize, Serialize};
use wire::Shape;

/// A workload, as described in a file.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Name of the workload.
    pub name: String,
    /// One-way latency between callers and entries, in milliseconds.
    pub client_ms: u64,
    /// Streams of quick requests.
    #[serde(default)]
    pub requests: Vec<RequestStream>,
    /// Streams of jobs.
    #[serde(default)]
    pub jobs: Vec<JobStream>,
}

/// A stream of quick requests with random arrivals that do not depend on earlier answers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RequestStream {
    /// Name of the stream.
    pub name: String,
    /// Team of the callers.
    pub team: String,
    /// Service that handles the requests.
    pub service: String,
    /// Prefix of each key. A region followed by a colon sets the home region of the keys.
    #[serde(default)]
    pub prefix: String,
    /// Number of keys.
    pub keys: u32,
    /// Whether running a request more than once does no harm.
    pub idempotent: bool,
    /// Mean arrivals per second.
    pub rate: f64,
    /// Time from arrival to the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Minimum and maximum run time, in milliseconds.
    pub work_ms: (u64, u64),
    /// Period with a higher rate.
    #[serde(default)]
    pub burst: Option<Burst>,
    /// Share of requests that are also sent through another entry with the same id.
    #[serde(default)]
    pub repeat: f64,
}

/// A period with a higher rate.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Start, in seconds from the start of the workload.
    pub at_s: f64,
    /// Duration, in seconds.
    pub for_s: f64,
    /// Factor that is applied to the mean rate.
    pub times: f64,
}

/// A stream of jobs at equal intervals.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct JobStream {
    /// Name of the stream, which the ids of its jobs begin with.
    pub name: String,
    /// Team of the jobs.
    pub team: String,
    /// Kind of job.
    pub shape: Shape,
    /// Number of jobs.
    pub count: u32,
    /// Submission of the first job, in seconds from the start of the workload.
    #[serde(default)]
    pub at_s: f64,
    /// Interval between jobs, in seconds.
    #[serde(default)]
    pub every_s: f64,
    /// Number of tasks of each job.
    pub tasks: u32,
    /// Size of each task.
    pub size: Raw,
    /// Whether the jobs are urgent.
    #[serde(default)]
    pub urgent: bool,
    /// Declared and real run time of a task, in milliseconds.
    #[serde(default)]
    pub run_ms: u64,
    /// Whether the jobs are withdrawn before their end.
    #[serde(default)]
    pub withdraw: bool,
}
