//! The configuration in force, as far as hosts need it.

use std::fmt;
use std::sync::{Arc, OnceLock};

use arc_swap::ArcSwapOption;
use pool::{CustomerPolicy, Policy};
use rustc_hash::FxHashMap;
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
    /// Index of the keys, which is built when it is first used.
    #[serde(skip)]
    pub keys: KeyIndex,
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

    /// The customer of a key. The cost doesn't depend on the number of customers and keys.
    ///
    /// ```
    /// use host::{Catalog, Customer, KeyDigest};
    ///
    /// let customer = Customer { name: "a".into(), keys: vec![KeyDigest::of(b"key")], ..Customer::default() };
    /// let catalog = Catalog { customers: vec![customer], ..Catalog::default() };
    /// assert_eq!(catalog.customer_of(&KeyDigest::of(b"key")).unwrap().name, "a");
    /// assert!(catalog.customer_of(&KeyDigest::of(b"another key")).is_none());
    /// ```
    #[must_use]
    pub fn customer_of(&self, key: &KeyDigest) -> Option<&Customer> {
        let keys = self.keys.0.get_or_init(|| index_keys(&self.customers));
        let same_prefix = keys.get(&key.prefix())?;
        let (_, customer) = same_prefix.iter().find(|(digest, _)| digest == key)?;
        self.customers.get(*customer)
    }
}

/// Digests and the indices of their customers, by the prefix of the digest.
type CustomersByPrefix = FxHashMap<u64, Vec<(KeyDigest, usize)>>;

fn index_keys(customers: &[Customer]) -> CustomersByPrefix {
    let mut index = CustomersByPrefix::default();
    for (number, customer) in customers.iter().enumerate() {
        for key in &customer.keys {
            index.entry(key.prefix()).or_default().push((*key, number));
        }
    }
    index
}

/// Index of the keys of a configuration. It follows from the customers, so it is neither compared, shown nor sent.
#[derive(Default)]
pub struct KeyIndex(OnceLock<CustomersByPrefix>);

impl Clone for KeyIndex {
    /// Returns an empty index: the customers of the copy may be changed.
    fn clone(&self) -> Self {
        Self::default()
    }
}

impl PartialEq for KeyIndex {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl fmt::Debug for KeyIndex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyIndex")
    }
}

/// The configuration in force, which is only ever replaced by a newer one.
///
/// ```
/// use host::{Catalog, catalog::CatalogInForce};
///
/// let in_force = CatalogInForce::default();
/// let version = |version| Catalog { version, ..Catalog::default() };
/// assert_eq!(in_force.update(version(2)), Some(0));
/// assert_eq!(in_force.update(version(1)), None);
/// assert_eq!(in_force.version(), 2);
/// ```
#[derive(Debug, Default)]
pub struct CatalogInForce(ArcSwapOption<Catalog>);

impl CatalogInForce {
    /// The configuration in force; `None` until there is one.
    #[must_use]
    pub fn load(&self) -> Option<Arc<Catalog>> {
        self.0.load_full()
    }

    /// Version of the configuration in force; 0 if there is none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.0.load().as_ref().map_or(0, |catalog| catalog.version)
    }

    /// Puts a configuration into force unless one at least as new is. Returns the version that it replaces, `None` if it was not
    /// put into force. Of concurrent updates the newest stays.
    pub fn update(&self, catalog: Catalog) -> Option<u64> {
        let version = catalog.version;
        let catalog = Some(Arc::new(catalog));
        let version_of =
            |catalog: &Option<Arc<Catalog>>| catalog.as_ref().map_or(0, |it| it.version);
        let before = self.0.rcu(|current| {
            let newer = version > version_of(current);
            if newer {
                catalog.clone()
            } else {
                current.clone()
            }
        });
        let before = version_of(&before);
        (version > before).then_some(before)
    }
}
