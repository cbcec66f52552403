//! Logs and counts refused calls. Anyone can cause them at any rate, so both are bounded.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

use pool::Ms;
use rustc_hash::FxHashSet;

use crate::clock;

/// Maximum number of lines in one second.
const MAX_LINES_PER_SECOND: u64 = 5;
/// Maximum number of customers with counters of their own; the others share one.
const MAX_COUNTED_CUSTOMERS: usize = 64;
/// Label of the customers without a counter of their own.
const OTHER_CUSTOMERS: &str = "others";

/// Refused calls, counted by reason and customer.
#[derive(Debug, Default)]
pub struct Refusals {
    /// The second of the last line.
    second: AtomicU64,
    /// Number of lines in that second.
    lines: AtomicU64,
    /// Number of refusals without a line since the last line.
    unlogged: AtomicU64,
    counted_customers: Mutex<FxHashSet<String>>,
}

impl Refusals {
    /// Counts a refusal of a call of this customer (empty if unknown), and has `write_line` log it unless there were too many
    /// lines in this second. The argument of `write_line` is the number of refusals without a line since the last line.
    pub fn record(&self, reason: &'static str, customer: &str, write_line: impl FnOnce(u64)) {
        metrics::counter!("lentilyoke_refused_calls_total", "reason" => reason).increment(1);
        if !customer.is_empty() {
            let customer = self.counted_name(customer);
            metrics::counter!("lentilyoke_customer_refused_calls_total", "customer" => customer, "reason" => reason)
                .increment(1);
        }
        if self.admits_line(clock::now()) {
            write_line(self.unlogged.swap(0, Ordering::Relaxed));
        } else {
            self.unlogged.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn admits_line(&self, now: Ms) -> bool {
        let second = now / 1_000;
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines.store(0, Ordering::Relaxed);
        }
        self.lines.fetch_add(1, Ordering::Relaxed) < MAX_LINES_PER_SECOND
    }

    /// The label under which a customer is counted.
    fn counted_name(&self, customer: &str) -> String {
        let counted = self.counted_customers.lock();
        let mut counted = counted.unwrap_or_else(PoisonError::into_inner);
        if counted.contains(customer) {
            return customer.to_owned();
        }
        if counted.len() < MAX_COUNTED_CUSTOMERS {
            counted.insert(customer.to_owned());
            return customer.to_owned();
        }
        OTHER_CUSTOMERS.to_owned()
    }
}
