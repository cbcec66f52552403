//! Owners of racks and the applied configuration, as an entry last received them from a placer.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use config::{Cell, Version};
use resource::id;
use wire::{Owner, RouteQuery, Routes};

/// A validated configuration that requests are served by.
#[derive(Debug)]
pub(crate) struct AppliedConfig {
    pub(crate) version: Version,
    pub(crate) cell: Cell,
}

/// Owners of racks, addresses of placers, and the applied configuration.
#[derive(Debug, Default)]
pub struct RouteTable {
    applied: ArcSwapOption<AppliedConfig>,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    owners: BTreeMap<id::Rack, Owner>,
    /// Addresses of placers; the first one is queried.
    placers: Vec<String>,
    generation: u64,
    refreshed_at: Option<Duration>,
}

/// Maximum age of the routes. An entry without an answer from a placer for this long does not
/// serve: it may have been suspended or cut off while a newer configuration was accepted.
pub(crate) const MAX_ROUTE_AGE: Duration = Duration::from_millis(2_500);

impl RouteTable {
    /// An empty table that queries these placers.
    #[must_use]
    pub fn new(placers: Vec<String>) -> Self {
        let inner = Inner {
            placers,
            ..Inner::default()
        };
        Self {
            inner: Mutex::new(inner),
            ..Self::default()
        }
    }

    /// The applied configuration; `None` until the first one is received.
    pub(crate) fn applied(&self) -> Option<Arc<AppliedConfig>> {
        self.applied.load_full()
    }

    /// Version of the applied configuration; 0 if there is none.
    pub fn version(&self) -> Version {
        self.applied().map_or(0, |a| a.version)
    }

    /// Whether a configuration is applied and the routes are younger than `MAX_ROUTE_AGE`.
    pub fn is_fresh(&self, now: Duration) -> bool {
        let refreshed_at = self.lock().refreshed_at;
        refreshed_at.is_some_and(|at| now.saturating_sub(at) < MAX_ROUTE_AGE) && self.version() > 0
    }

    /// The owner of a rack, if it has one.
    pub fn owner(&self, rack: &str) -> Option<Owner> {
        self.lock().owners.get(rack).cloned()
    }

    /// Address of the placer to query, and the query. `None` if no placer is known.
    pub(crate) fn next_query(&self, entry: &str) -> Option<(String, RouteQuery)> {
        let applied = self.version();
        let inner = self.lock();
        let placer = inner.placers.first()?.clone();
        let generation = inner.generation;
        Some((
            placer,
            RouteQuery {
                entry: entry.to_owned(),
                applied,
                generation,
            },
        ))
    }

    /// Applies the answer to a query that was sent at `queried_at`. The age of the routes counts
    /// from then, since the answer may have been in transit for long.
    pub fn update(&self, routes: Routes, queried_at: Duration) {
        if let Some((version, raw)) = routes.config {
            self.apply(version, raw);
        }
        let mut inner = self.lock();
        inner.refreshed_at = Some(queried_at);
        inner.generation = routes.generation;
        if let Some(owners) = routes.owners {
            inner.owners = owners.into_iter().collect();
            for placer in routes.placers {
                if !inner.placers.contains(&placer) {
                    inner.placers.push(placer);
                }
            }
        }
    }

    /// Switches to the next placer after a failed query. Generation 0 requests its complete routes,
    /// since generations of different placers are not comparable.
    pub(crate) fn next_placer(&self) {
        let mut inner = self.lock();
        inner.generation = 0;
        if !inner.placers.is_empty() {
            inner.placers.rotate_left(1);
        }
    }

    /// Applies a configuration if it is newer. An older one, from a placer that was cut off, would
    /// undo a change by operators.
    fn apply(&self, version: Version, raw: config::raw::Cell) {
        if version <= self.version() {
            return;
        }
        match Cell::try_from(raw) {
            Ok(cell) => {
                log::info!(config = version; "configuration applied");
                self.applied
                    .store(Some(Arc::new(AppliedConfig { version, cell })));
            }
            Err(error) => log::error!("configuration {version} rejected: {error}"),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
