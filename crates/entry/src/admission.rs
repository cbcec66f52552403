//! How many requests are let in at once, for each team and each rack.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use policy::ConcurrencyLimit;

/// Limit that a team or rack starts with.
const START: u32 = 64;
/// A rack's limit never exceeds this.
const MOST_PER_RACK: u32 = 4_096;
/// Number of shards, each under its own lock.
const SHARDS: usize = 16;

/// Limits by name, in shards.
#[derive(Debug)]
pub struct Gate {
    shards: Vec<Mutex<HashMap<String, ConcurrencyLimit>>>,
}

/// Room that a request holds in a [`Gate`]; given back when it is dropped.
#[derive(Debug)]
pub struct Pass<'a> {
    gate: &'a Gate,
    names: Vec<String>,
    latency: Option<Duration>,
}

impl Default for Gate {
    fn default() -> Self {
        Self {
            shards: (0..SHARDS).map(|_| Mutex::default()).collect(),
        }
    }
}

impl Gate {
    /// Lets a request of a team to a rack in, if both have room.
    ///
    /// ```
    /// use entry::Gate;
    ///
    /// let gate = Gate::default();
    /// let first = gate.enter("checks", 1, "n1");
    /// assert!(first.is_some());
    /// assert!(gate.enter("checks", 1, "n1").is_none());
    /// drop(first);
    /// assert!(gate.enter("checks", 1, "n1").is_some());
    /// ```
    pub fn enter(&self, team: &str, most: u32, rack: &str) -> Option<Pass<'_>> {
        let mut pass = Pass {
            gate: self,
            names: Vec::new(),
            latency: None,
        };
        for (name, most) in [
            (format!("team {team}"), most),
            (format!("rack {rack}"), MOST_PER_RACK),
        ] {
            let entered = self.with(&name, most, ConcurrencyLimit::try_acquire);
            if !entered {
                return None;
            }
            pass.names.push(name);
        }
        Some(pass)
    }

    fn with<T>(&self, name: &str, most: u32, change: impl FnOnce(&mut ConcurrencyLimit) -> T) -> T {
        let hash = name
            .bytes()
            .fold(0_usize, |h, b| h.wrapping_mul(31).wrapping_add(b.into()));
        let shard = &self.shards[hash % SHARDS];
        let mut limits = shard.lock().unwrap_or_else(PoisonError::into_inner);
        let limit = limits
            .entry(name.to_owned())
            .or_insert_with(|| ConcurrencyLimit::new(START.min(most), most));
        limit.set_max(most);
        change(limit)
    }
}

impl Pass<'_> {
    /// The request was answered after this long by whoever did the work.
    pub const fn answered(&mut self, latency: Duration) {
        self.latency = Some(latency);
    }
}

impl Drop for Pass<'_> {
    fn drop(&mut self) {
        for name in &self.names {
            let latency = self.latency;
            self.gate
                .with(name, u32::MAX, |limit| limit.release(latency));
        }
    }
}
