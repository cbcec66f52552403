//! A platform: table, object store, lagging host list.

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

/// How the platform misbehaves.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Nothing works.
    pub down: bool,
    /// Every call takes this much longer, in milliseconds.
    pub slow_ms: u64,
    /// So many of the next transactions take effect, but their answers are lost.
    pub lose: u32,
    /// The host list is this old, in milliseconds.
    pub lag_ms: u64,
}

/// What the platform has done so far.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Counts {
    /// Transactions that were asked for.
    pub writes: u64,
    /// Scans, lists and objects that were read.
    pub reads: u64,
    /// Rows that were written.
    pub rows: u64,
}

/// A platform in memory.
#[derive(Debug, Default)]
pub struct Platform {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    version: Version,
    rows: BTreeMap<String, (Version, Option<String>)>,
    /// Keys in the order in which they were last written.
    log: BTreeMap<Version, Vec<String>>,
    objects: BTreeMap<String, Vec<u8>>,
    /// States of the host list with the times at which they came about.
    lists: VecDeque<(Option<Instant>, Vec<Host>)>,
    faults: Faults,
    counts: Counts,
}

impl Platform {
    /// Sets how the platform misbehaves.
    pub fn set(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// How the platform misbehaves.
    pub fn faults(&self) -> Faults {
        self.lock().faults.clone()
    }

    /// What it has done so far.
    pub fn counts(&self) -> Counts {
        self.lock().counts
    }

    /// Lists a host, or changes how it is listed.
    pub fn list(&self, host: Host) {
        let mut inner = self.lock();
        let mut list = inner
            .lists
            .back()
            .map(|(_, list)| list.clone())
            .unwrap_or_default();
        list.retain(|h| h.name != host.name);
        list.push(host);
        list.sort_by(|a, b| a.name.cmp(&b.name));
        inner.lists.push_back((Some(Instant::now()), list));
    }

    /// Lists a host as leaving, or as gone.
    pub fn unlist(&self, name: &str, gone: bool) {
        let mut inner = self.lock();
        let mut list = inner
            .lists
            .back()
            .map(|(_, list)| list.clone())
            .unwrap_or_default();
        if gone {
            list.retain(|h| h.name != name);
        } else if let Some(host) = list.iter_mut().find(|h| h.name == name) {
            host.status = HostStatus::Leaving;
        }
        inner.lists.push_back((Some(Instant::now()), list));
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Is late or fails, as told.
    async fn stumble(&self) -> Result<(), Error> {
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

    fn holds(&self, check: &Check) -> bool {
        match self.rows.get(&check.key) {
            Some((version, Some(_))) => *version == check.version,
            _ => check.version == 0,
        }
    }

    fn commit(&mut self, transaction: Transaction) -> Result<Version, Error> {
        self.counts.writes += 1;
        let failed = transaction.checks.iter().filter(|check| !self.holds(check));
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
                && let Some(keys) = self.log.get_mut(&version)
            {
                keys.retain(|key| *key != write.key);
                if keys.is_empty() {
                    self.log.remove(&version);
                }
            }
            self.log.entry(self.version).or_default().push(write.key);
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
        let keys = self.log.range(since + 1..).flat_map(|(_, keys)| keys);
        let rows: Vec<Row> = keys
            .filter(|key| wanted(key))
            .map(|key| self.row(key))
            .collect();
        Scan {
            version: self.version,
            rows,
        }
    }

    fn listed(&mut self) -> Vec<Host> {
        self.counts.reads += 1;
        let lag = Duration::from_millis(self.faults.lag_ms);
        let now = Instant::now();
        let old = |at: &Option<Instant>| at.is_none_or(|at| now.duration_since(at) >= lag);
        while self.lists.len() > 1 && self.lists.get(1).is_some_and(|(at, _)| old(at)) {
            self.lists.pop_front();
        }
        self.lists
            .front()
            .filter(|(at, _)| old(at))
            .map(|(_, l)| l.clone())
            .unwrap_or_default()
    }
}

#[async_trait]
impl Table for Platform {
    async fn commit(&self, transaction: Transaction) -> Result<Version, Error> {
        self.stumble().await?;
        self.lock().commit(transaction)
    }

    async fn scan(&self, prefixes: &[&str], since: Version) -> Result<Scan, Error> {
        self.stumble().await?;
        Ok(self.lock().scan(prefixes, since))
    }
}

#[async_trait]
impl Hosts for Platform {
    async fn hosts(&self, racks: &[id::Rack]) -> Result<Vec<Host>, Error> {
        self.stumble().await?;
        let mut list = self.lock().listed();
        list.retain(|host| racks.is_empty() || racks.contains(&host.rack));
        Ok(list)
    }
}

#[async_trait]
impl Objects for Platform {
    async fn put(&self, name: &str, value: Vec<u8>) -> Result<(), Error> {
        self.stumble().await?;
        let mut inner = self.lock();
        inner.counts.writes += 1;
        inner.objects.insert(name.to_owned(), value);
        Ok(())
    }

    async fn get(&self, name: &str) -> Result<Option<Vec<u8>>, Error> {
        self.stumble().await?;
        let mut inner = self.lock();
        inner.counts.reads += 1;
        Ok(inner.objects.get(name).cloned())
    }
}
