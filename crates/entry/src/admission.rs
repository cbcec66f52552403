//! Admission control: bounds the requests in flight for each team and each rack.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use policy::ConcurrencyLimit;

/// Initial concurrency limit of a team or rack; a team's own maximum may be lower.
const INITIAL_LIMIT: u32 = 64;
/// Upper bound of a rack's adaptive concurrency limit.
const MAX_RACK_LIMIT: u32 = 4_096;
/// Number of shards, each under its own lock, to reduce contention.
const SHARDS: usize = 16;

/// Adaptive concurrency limits by team and by rack, in shards.
#[derive(Debug)]
pub struct Admission {
    shards: Vec<Mutex<HashMap<String, ConcurrencyLimit>>>,
}

/// One concurrency slot of a team and of a rack; released on drop.
#[derive(Debug)]
pub struct Permit<'a> {
    admission: &'a Admission,
    names: Vec<String>,
    latency: Option<Duration>,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            shards: (0..SHARDS).map(|_| Mutex::default()).collect(),
        }
    }
}

impl Admission {
    /// Admits a request of a team to a rack, unless the limit of either is reached. `max_limit`
    /// bounds the team's limit.
    ///
    /// ```
    /// use entry::Admission;
    ///
    /// let admission = Admission::default();
    /// let first = admission.admit("checks", 1, "n1");
    /// assert!(first.is_some());
    /// assert!(admission.admit("checks", 1, "n1").is_none());
    /// drop(first);
    /// assert!(admission.admit("checks", 1, "n1").is_some());
    /// ```
    pub fn admit(&self, team: &str, max_limit: u32, rack: &str) -> Option<Permit<'_>> {
        let mut permit = Permit {
            admission: self,
            names: Vec::new(),
            latency: None,
        };
        for (name, max_limit) in [
            (format!("team {team}"), max_limit),
            (format!("rack {rack}"), MAX_RACK_LIMIT),
        ] {
            let admitted = self.update_limit(&name, max_limit, ConcurrencyLimit::try_acquire);
            if !admitted {
                return None;
            }
            permit.names.push(name);
        }
        Some(permit)
    }

    fn update_limit<T>(
        &self,
        name: &str,
        max_limit: u32,
        change: impl FnOnce(&mut ConcurrencyLimit) -> T,
    ) -> T {
        let hash = name
            .bytes()
            .fold(0_usize, |h, b| h.wrapping_mul(31).wrapping_add(b.into()));
        let shard = &self.shards[hash % SHARDS];
        let mut limits = shard.lock().unwrap_or_else(PoisonError::into_inner);
        let limit = limits
            .entry(name.to_owned())
            .or_insert_with(|| ConcurrencyLimit::new(INITIAL_LIMIT.min(max_limit), max_limit));
        limit.set_max(max_limit);
        change(limit)
    }
}

impl Permit<'_> {
    /// Records the latency of a completed request; on release it adjusts the limits.
    pub const fn record_latency(&mut self, latency: Duration) {
        self.latency = Some(latency);
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        for name in &self.names {
            let latency = self.latency;
            self.admission
                .update_limit(name, u32::MAX, |limit| limit.release(latency));
        }
    }
}
