//! A fake platform in memory: table, object store and stale host list.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use platform::{
    Check, Error, Host, HostStatus, Hosts, Objects, Row, Scan, Table, Transaction, Version,
};
use resource::id;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Faults that the platform can be switched to.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Every call fails.
    pub down: bool,
    /// Latency added to every call, in milliseconds.
    pub slow_ms: u64,
    /// Number of further transactions that take effect while their answers are lost.
    pub lose: u32,
    /// Age of the host list that calls return, in milliseconds.
    pub lag_ms: u64,
}

/// Totals of the calls that the platform served.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Counts {
    /// Transactions requested, including those with conflicts, and objects written.
    pub writes: u64,
    /// Scans, host lists and objects read.
    pub reads: u64,
    /// Rows written.
    pub rows: u64,
}

/// Table, object store and host list in memory.
#[derive(Debug, Default)]
pub struct Platform {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    version: Version,
    rows: BTreeMap<String, (Version, Option<String>)>,
    /// Keys by the version of their last write.
    keys_by_version: BTreeMap<Version, Vec<String>>,
    objects: BTreeMap<String, Vec<u8>>,
    /// States of the host list with the times of their changes, oldest first.
    host_lists: VecDeque<(Option<Instant>, Vec<Host>)>,
    faults: Faults,
    counts: Counts,
}

impl Platform {
    /// Replaces the faults.
    pub fn set(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// The current faults.
    pub fn faults(&self) -> Faults {
        self.lock().faults.clone()
    }

    /// Totals of the calls so far.
    pub fn counts(&self) -> Counts {
        self.lock().counts
    }

    /// Adds a host to the host list, or replaces its entry.
    pub fn list(&self, host: Host) {
        let mut inner = self.lock();
        let mut list = inner
            .host_lists
            .back()
            .map(|(_, list)| list.clone())
            .unwrap_or_default();
        list.retain(|h| h.name != host.name);
        list.push(host);
        list.sort_by(|a, b| a.name.cmp(&b.name));
        inner.host_lists.push_back((Some(Instant::now()), list));
    }

    /// Marks a host as leaving, or removes it if `removed`.
    pub fn unlist(&self, name: &str, removed: bool) {
        let mut inner = self.lock();
        let mut list = inner
            .host_lists
            .back()
            .map(|(_, list)| list.clone())
            .unwrap_or_default();
        if removed {
            list.retain(|h| h.name != name);
        } else if let Some(host) = list.iter_mut().find(|h| h.name == name) {
            host.status = HostStatus::Leaving;
        }
        inner.host_lists.push_back((Some(Instant::now()), list));
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Delays or fails the call according to the faults.
    async fn inject_faults(&self) -> Result<(), Error> {
        let Faults { down, slow_ms, .. } = self.faults();
        if slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(slow_ms)).await;
        }
        if down {
            return Err(Error::Down {
                reason: "switched off".to_owned(),
            });
        }
        Ok(())
    }
}

impl Inner {
    fn row(&self, key: &str) -> Row {
        let (version, value) = self.rows.get(key).cloned().unwrap_or_default();
        Row {
            key: key.to_owned(),
            version,
            value,
        }
    }

    fn check_holds(&self, check: &Check) -> bool {
        match self.rows.get(&check.key) {
            Some((version, Some(_))) => *version == check.version,
            _ => check.version == 0,
        }
    }

    fn commit(&mut self, transaction: Transaction) -> Result<Version, Error> {
        self.counts.writes += 1;
        let failed = transaction
            .checks
            .iter()
            .filter(|check| !self.check_holds(check));
        let rows: Vec<Row> = failed.map(|check| self.row(&check.key)).collect();
        if !rows.is_empty() {
            return Err(Error::Conflict { rows });
        }
        self.version += 1;
        self.counts.rows += transaction.writes.len() as u64;
        for write in transaction.writes {
            let old = self
                .rows
                .insert(write.key.clone(), (self.version, write.value));
            if let Some((version, _)) = old
                && let Some(keys) = self.keys_by_version.get_mut(&version)
            {
                keys.retain(|key| *key != write.key);
                if keys.is_empty() {
                    self.keys_by_version.remove(&version);
                }
            }
            self.keys_by_version
                .entry(self.version)
                .or_default()
                .push(write.key);
        }
        if self.faults.lose > 0 {
            self.faults.lose -= 1;
            return Err(Error::Lost {
                reason: "switched to lose answers".to_owned(),
            });
        }
        Ok(self.version)
    }

    fn scan(&mut self, prefixes: &[&str], since: Version) -> Scan {
        self.counts.reads += 1;
        let wanted = |key: &str| prefixes.iter().any(|p| key.starts_with(p));
        let keys = self
            .keys_by_version
            .range(since + 1..)
            .flat_map(|(_, keys)| keys);
        let rows: Vec<Row> = keys
            .filter(|key| wanted(key))
            .map(|key| self.row(key))
            .collect();
        Scan {
            version: self.version,
            rows,
        }
    }

    fn visible_hosts(&mut self) -> Vec<Host> {
        self.counts.reads += 1;
        let lag = Duration::from_millis(self.faults.lag_ms);
        let now = Instant::now();
        let old = |at: &Option<Instant>| at.is_none_or(|at| now.duration_since(at) >= lag);
        while self.host_lists.len() > 1 && self.host_lists.get(1).is_some_and(|(at, _)| old(at)) {
            self.host_lists.pop_front();
        }
        self.host_lists
            .front()
            .filter(|(at, _)| old(at))
            .map(|(_, l)| l.clone())
            .unwrap_or_default()
    }
}

#[async_trait]
impl Table for Platform {
    async fn commit(&self, transaction: Transaction) -> Result<Version, Error> {
        self.inject_faults().await?;
        self.lock().commit(transaction)
    }

    async fn scan(&self, prefixes: &[&str], since: Version) -> Result<Scan, Error> {
        self.inject_faults().await?;
        Ok(self.lock().scan(prefixes, since))
    }
}

#[async_trait]
impl Hosts for Platform {
    async fn hosts(&self, racks: &[id::Rack]) -> Result<Vec<Host>, Error> {
        self.inject_faults().await?;
        let mut list = self.lock().visible_hosts();
        list.retain(|host| racks.is_empty() || racks.contains(&host.rack));
        Ok(list)
    }
}

#[async_trait]
impl Objects for Platform {
    async fn put(&self, name: &str, value: Vec<u8>) -> Result<(), Error> {
        self.inject_faults().await?;
        let mut inner = self.lock();
        inner.counts.writes += 1;
        inner.objects.insert(name.to_owned(), value);
        Ok(())
    }

    async fn get(&self, name: &str) -> Result<Option<Vec<u8>>, Error> {
        self.inject_faults().await?;
        let mut inner = self.lock();
        inner.counts.reads += 1;
        Ok(inner.objects.get(name).cloned())
    }
}
