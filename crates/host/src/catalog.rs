//! The queues in force.

use pool::Policy;
use serde::{Deserialize, Serialize};

/// A queue that callers send jobs to.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Queue {
    /// Its name.
    pub name: String,
    /// The host name that callers address.
    pub host: String,
    /// What its paths begin with.
    pub prefix: String,
    /// The service whose workers run its jobs.
    pub service: String,
    /// What it lays down for its jobs.
    pub policy: Policy,
}

/// The configuration in force, as far as queues go.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Catalog {
    /// Its version; rises.
    pub version: u64,
    /// Its queues.
    pub queues: Vec<Queue>,
    /// Longest body of a request in bytes; 0 for no limit.
    pub body_most: usize,
}

impl Catalog {
    /// The queue with the longest prefix that the path begins with.
    ///
    /// ```
    /// use host::{Catalog, Queue};
    ///
    /// let queue = |prefix: &str| Queue { host: "a".into(), prefix: prefix.into(), ..Queue::default() };
    /// let catalog = Catalog { queues: vec![queue("/x/"), queue("/x/y/")], ..Catalog::default() };
    /// assert_eq!(catalog.find("a", "/x/y/1").unwrap().prefix, "/x/y/");
    /// assert!(catalog.find("b", "/x/1").is_none());
    /// ```
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Queue> {
        self.queues
            .iter()
            .filter(|queue| {
                queue.host.eq_ignore_ascii_case(host) && path.starts_with(&queue.prefix)
            })
            .max_by_key(|queue| queue.prefix.len())
    }
}
