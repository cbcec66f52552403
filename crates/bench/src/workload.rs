//! What callers ask.

use resource::Raw;
use serde::{Deserialize, Serialize};
use wire::Shape;

/// A workload, as written in a file.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Its name.
    pub name: String,
    /// One-way latency between callers and entries, in milliseconds.
    pub client_ms: u64,
    /// Quick requests.
    #[serde(default)]
    pub requests: Vec<RequestStream>,
    /// Jobs.
    #[serde(default)]
    pub jobs: Vec<JobStream>,
}

/// A stream of quick requests that arrive at random, whether or not earlier ones were answered.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RequestStream {
    /// Its name.
    pub name: String,
    /// The team that asks.
    pub team: String,
    /// The service that is asked.
    pub service: String,
    /// Put before each key; a region and a colon make the key's home.
    #[serde(default)]
    pub prefix: String,
    /// Number of keys.
    pub keys: u32,
    /// Whether running twice does no harm.
    pub idempotent: bool,
    /// Mean arrivals per second.
    pub rate: f64,
    /// Time to the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Shortest and longest run, in milliseconds.
    pub work_ms: (u64, u64),
    /// Times of more arrivals.
    #[serde(default)]
    pub burst: Option<Burst>,
    /// Share of requests that are asked again, with the same id, through another entry.
    #[serde(default)]
    pub repeat: f64,
}

/// Times of more arrivals.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// When it begins, in seconds from the start.
    pub at_s: f64,
    /// How long it lasts, in seconds.
    pub for_s: f64,
    /// How many times the mean.
    pub times: f64,
}

/// A stream of jobs, one after another at equal distances.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct JobStream {
    /// Its name; jobs are named after it.
    pub name: String,
    /// The team that asks.
    pub team: String,
    /// What kind of work.
    pub shape: Shape,
    /// Number of jobs.
    pub count: u32,
    /// When the first is submitted, in seconds from the start.
    #[serde(default)]
    pub at_s: f64,
    /// Time from one to the next, in seconds.
    #[serde(default)]
    pub every_s: f64,
    /// Tasks of each job.
    pub tasks: u32,
    /// Size of each task.
    pub size: Raw,
    /// Whether they are urgent.
    #[serde(default)]
    pub urgent: bool,
    /// Declared and real run time of a task, in milliseconds.
    #[serde(default)]
    pub run_ms: u64,
    /// Whether they are withdrawn before the end.
    #[serde(default)]
    pub withdraw: bool,
}
