//! The configuration in force, as far as hosts need it.

use pool::Policy;
use serde::{Deserialize, Serialize};

/// A queue that callers send jobs to.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Queue {
    /// Name of the queue.
    pub name: String,
    /// Host name in the URLs of its requests.
    pub host: String,
    /// Prefix of the paths of its requests.
    pub prefix: String,
    /// The service whose workers run its jobs.
    pub service: String,
    /// Policy for its jobs.
    pub policy: Policy,
}

/// The queues in force, with the limits of their requests.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Catalog {
    /// Version of the configuration, which increases with every change.
    pub version: u64,
    /// The queues.
    pub queues: Vec<Queue>,
    /// Maximum size of the body of a request in bytes; 0 for no limit.
    #[serde(rename = "body_most")]
    pub max_body_bytes: usize,
}

impl Catalog {
    /// The queue of this host name with the longest prefix of the path.
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
