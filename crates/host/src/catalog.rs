//! The configuration in force, as far as hosts need it.

use pool::{CustomerPolicy, Policy};
use serde::{Deserialize, Serialize};

use crate::key::KeyDigest;

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
    /// Whether calls need no key.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub open_to_all: bool,
}

/// A customer, whose callers identify themselves by one of its keys.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Customer {
    /// Name of the customer.
    pub name: String,
    /// What the customer is entitled to.
    pub policy: CustomerPolicy,
    /// Digests of its keys.
    pub keys: Vec<KeyDigest>,
}

/// The queues and customers in force, with the limits of requests.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Catalog {
    /// Version of the configuration, which increases with every change.
    pub version: u64,
    /// The queues.
    pub queues: Vec<Queue>,
    /// The customers.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub customers: Vec<Customer>,
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
