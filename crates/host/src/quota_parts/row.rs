//! The row of a customer's part, as stored and as written.

use std::collections::BTreeMap;

use pool::CustomerId;
use serde::{Deserialize, Serialize};

use super::UNITS;

/// Units that a pool gave to others and took from others, as stored for one customer. Both only grow.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct QuotaRow {
    /// Units ever given, by receiving pool.
    #[serde(rename = "g", skip_serializing_if = "BTreeMap::is_empty")]
    pub given: BTreeMap<u32, u64>,
    /// Units ever taken, by giving pool.
    #[serde(rename = "t", skip_serializing_if = "BTreeMap::is_empty")]
    pub taken: BTreeMap<u32, u64>,
}

impl QuotaRow {
    /// The units of the pool whose row this is.
    ///
    /// ```
    /// use host::quota_parts::{QuotaRow, UNITS};
    ///
    /// let row = QuotaRow { given: [(1, 300_000)].into(), taken: [(2, 100_000)].into() };
    /// assert_eq!(row.units(0), UNITS - 200_000);
    /// assert_eq!(QuotaRow::default().units(1), 0);
    /// ```
    #[must_use]
    pub fn units(&self, pool: u32) -> u32 {
        units(pool, &self.taken, &self.given)
    }

    pub(super) fn encoded(&self) -> Vec<u8> {
        // A map of numbers can always be encoded.
        serde_json::to_vec(self).unwrap_or_default()
    }
}

/// Units of a pool that has taken and given these totals.
pub(super) fn units(pool: u32, taken: &BTreeMap<u32, u64>, given: &BTreeMap<u32, u64>) -> u32 {
    let initial = if pool == 0 { u64::from(UNITS) } else { 0 };
    let sum = |totals: &BTreeMap<u32, u64>| totals.values().sum::<u64>();
    let left = (initial + sum(taken)).saturating_sub(sum(given));
    left.min(u64::from(UNITS)) as u32
}

/// The write of a customer's row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RowWrite {
    /// The customer, which is the key of the row.
    pub customer: CustomerId,
    /// The version that the stored row must have; 0 if there must be none.
    pub version: u64,
    /// The content of the row.
    pub value: Vec<u8>,
}

/// A row as read from the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredRow {
    /// The customer.
    pub customer: CustomerId,
    /// The content; `None` if there is no such row.
    pub value: Option<Vec<u8>>,
    /// The transaction that wrote it last; 0 if it never existed.
    pub version: u64,
}
