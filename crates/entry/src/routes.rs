//! Who owns what, as an entry knows it.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use config::{Cell, Version};
use resource::id;
use wire::{Owner, RouteQuery, Routes};

/// A configuration that is applied.
#[derive(Debug)]
pub(crate) struct Applied {
    pub(crate) version: Version,
    pub(crate) cell: Cell,
}

/// Owners of racks, and the configuration.
#[derive(Debug, Default)]
pub struct Table {
    applied: ArcSwapOption<Applied>,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    owners: BTreeMap<id::Rack, Owner>,
    /// Placers to ask, the present one first.
    placers: Vec<String>,
    generation: u64,
    refreshed: Option<Duration>,
}

/// An entry that has not heard of any placer for this long does not serve: it may have been paused
/// while a configuration was accepted that it does not know.
pub(crate) const FRESH: Duration = Duration::from_millis(2_500);

impl Table {
    /// Knows nothing but these placers.
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

    /// The configuration that is applied.
    pub(crate) fn applied(&self) -> Option<Arc<Applied>> {
        self.applied.load_full()
    }

    /// Version of the configuration that is applied; 0 if none is.
    pub fn version(&self) -> Version {
        self.applied().map_or(0, |a| a.version)
    }

    /// Whether a placer was heard of lately.
    pub fn is_fresh(&self, now: Duration) -> bool {
        let refreshed = self.lock().refreshed;
        refreshed.is_some_and(|at| now.saturating_sub(at) < FRESH) && self.version() > 0
    }

    /// The owner of a rack.
    pub fn owner(&self, rack: &str) -> Option<Owner> {
        self.lock().owners.get(rack).cloned()
    }

    /// The placer to ask, and what to ask it.
    pub(crate) fn ask(&self, entry: &str) -> Option<(String, RouteQuery)> {
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

    /// Takes note of an answer to what was asked at `asked`.
    pub fn learn(&self, routes: Routes, asked: Duration) {
        if let Some((version, raw)) = routes.config {
            self.apply(version, raw);
        }
        let mut inner = self.lock();
        inner.refreshed = Some(asked);
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

    /// The placer did not answer: asks the next one from now on, and all that it knows.
    pub(crate) fn turn(&self) {
        let mut inner = self.lock();
        inner.generation = 0;
        if !inner.placers.is_empty() {
            inner.placers.rotate_left(1);
        }
    }

    /// Only a newer configuration is applied: an older one, from a placer that was cut off, would
    /// bring back what operators have replaced.
    fn apply(&self, version: Version, raw: config::raw::Cell) {
        if version <= self.version() {
            return;
        }
        match Cell::try_from(raw) {
            Ok(cell) => {
                log::info!(config = version; "configuration applied");
                self.applied
                    .store(Some(Arc::new(Applied { version, cell })));
            }
            Err(error) => log::error!("configuration {version} is not accepted: {error}"),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
