//! Customers as far as scheduling is concerned.

use std::sync::Arc;

use resource::Size;
use serde::{Deserialize, Serialize};

/// Name of a customer; empty for a job that belongs to none.
pub type CustomerId = Arc<str>;

/// What a customer is entitled to.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct CustomerPolicy {
    /// The customer's share when all capacity is in use, and the number of its jobs per second that are owed.
    pub weight: f64,
    /// Resources that its tasks may use at the same time, on all workers together; a component of 0 is not limited.
    pub limit: Size,
}
