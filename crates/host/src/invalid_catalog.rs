//! Why a configuration can't be used.

use rustc_hash::{FxHashMap, FxHashSet};
use snafu::{Snafu, ensure};

use crate::catalog::Customer;

/// Maximum length of the name of a customer in bytes.
const MAX_NAME_BYTES: usize = 256;

/// Why a configuration can't be used. No error contains a key.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum InvalidCatalog {
    /// It can't be parsed, or a field is missing or of the wrong kind. The parser's message may contain a key, so it is left out.
    #[snafu(display("can't be parsed at line {line}, column {column}"))]
    Malformed {
        /// Line of the error.
        line: usize,
        /// Column of the error.
        column: usize,
    },
    /// The name of a customer is missing, not a text, empty, or longer than 256 bytes.
    #[snafu(display("the customer at position {position} has no valid name"))]
    Name {
        /// Position among the customers, counted from 0.
        position: usize,
    },
    /// Two customers have the same name.
    #[snafu(display("customer {customer} is listed twice"))]
    Twice {
        /// The customer.
        customer: String,
    },
    /// Two customers have the same key.
    #[snafu(display("customers {customer} and {other} have a key in common"))]
    SharedKey {
        /// The customer.
        customer: String,
        /// A customer that is listed before.
        other: String,
    },
    /// The keys of a customer are not a list of texts of 1 to 256 bytes.
    #[snafu(display("customer {customer} has an invalid key"))]
    Key {
        /// The customer.
        customer: String,
    },
    /// The weight of a customer is not a number, or negative.
    #[snafu(display("customer {customer} has an invalid weight"))]
    Weight {
        /// The customer.
        customer: String,
    },
    /// The limit of a customer is not a number, or negative.
    #[snafu(display("customer {customer} has an invalid limit"))]
    Limit {
        /// The customer.
        customer: String,
    },
}

/// Validates the customers of a configuration.
///
/// # Errors
/// Returns the first violated rule.
///
/// ```
/// use host::{Customer, InvalidCatalog, check_customers};
///
/// let customer = Customer { name: "a".into(), ..Customer::default() };
/// assert!(check_customers(&[customer.clone()]).is_ok());
/// let twice = check_customers(&[customer.clone(), customer]);
/// assert_eq!(twice, Err(InvalidCatalog::Twice { customer: "a".into() }));
/// ```
pub fn check_customers(customers: &[Customer]) -> Result<(), InvalidCatalog> {
    let mut names = FxHashSet::default();
    let mut owners: FxHashMap<u64, Vec<&Customer>> = FxHashMap::default();
    for (position, customer) in customers.iter().enumerate() {
        let name = &customer.name;
        let valid_name = !name.is_empty() && name.len() <= MAX_NAME_BYTES;
        ensure!(valid_name, NameSnafu { position });
        ensure!(names.insert(name), TwiceSnafu { customer: name });
        let weight = customer.policy.weight;
        let valid_weight = weight.is_finite() && weight >= 0.0;
        ensure!(valid_weight, WeightSnafu { customer: name });
        for key in &customer.keys {
            let same_prefix = owners.entry(key.prefix()).or_default();
            let other = same_prefix
                .iter()
                .find(|other| other.name != *name && other.keys.contains(key));
            if let Some(other) = other {
                return SharedKeySnafu {
                    customer: name,
                    other: &other.name,
                }
                .fail();
            }
            same_prefix.push(customer);
        }
    }
    Ok(())
}
