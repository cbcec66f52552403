//! Room in all racks of a region, as far as it is known here.

use std::collections::BTreeMap;

use policy::{Capacity, Index, Rule};
use resource::{Size, id};
use wire::{Band, Digest};

/// Room in racks, learnt from their owners' digests.
#[derive(Clone, Debug, Default)]
pub struct Digests {
    whole: Size,
    index: Index,
    rack_of: Vec<id::Rack>,
    places: BTreeMap<id::Rack, Vec<usize>>,
    /// By rack, for each worker: what yields to urgent work, and what was lent.
    yielding: BTreeMap<id::Rack, Vec<(Size, Size)>>,
    epochs: BTreeMap<id::Rack, id::Epoch>,
}

impl Digests {
    /// Nothing is known; full workers have `whole`.
    #[must_use]
    pub fn new(whole: Size) -> Self {
        Self {
            whole,
            ..Self::default()
        }
    }

    /// The owner of a rack has told its room.
    pub fn update(&mut self, digest: &Digest) {
        let places = self.places.entry(digest.rack.clone()).or_default();
        while places.len() < digest.free.len() {
            places.push(self.index.len());
            self.rack_of.push(digest.rack.clone());
            self.index.push(Capacity {
                free: Size::ZERO,
                total: self.whole,
                siblings: 0,
            });
        }
        for (nth, place) in places.iter().enumerate() {
            let free = digest.free.get(nth).copied().unwrap_or(Size::ZERO);
            self.index.set(*place, free);
        }
        self.epochs.insert(digest.rack.clone(), digest.epoch);
        let both = digest
            .yielding
            .iter()
            .copied()
            .zip(digest.lent.iter().copied());
        self.yielding.insert(digest.rack.clone(), both.collect());
    }

    /// Epoch of the owner that last told a rack's room.
    #[must_use]
    pub fn epoch(&self, rack: &str) -> id::Epoch {
        self.epochs.get(rack).copied().unwrap_or_default()
    }

    /// Nothing is known of a rack any more.
    pub fn remove(&mut self, rack: &str) {
        self.update(&Digest {
            rack: rack.to_owned(),
            ..Digest::default()
        });
    }

    /// A rack with room for a task; the room counts as taken until the owner tells otherwise.
    pub fn reserve(&mut self, rule: Rule, size: Size) -> Option<&id::Rack> {
        let at = self.index.place(rule, size)?;
        self.index.reserve(at, size);
        self.rack_of.get(at)
    }

    /// A rack where a task of this band would be made room for by others; the room counts as taken.
    pub fn reserve_preemptible(&mut self, size: Size, band: Band) -> Option<id::Rack> {
        for (rack, workers) in &mut self.yielding {
            let places = self.places.get(rack)?;
            for ((urgent, lent), place) in workers.iter_mut().zip(places) {
                let yields = if band == Band::Urgent { *urgent } else { *lent };
                let free = self
                    .index
                    .capacity(*place)
                    .map_or(Size::ZERO, |room| room.free);
                if yields == Size::ZERO || !size.fits(free.plus(yields)) {
                    continue;
                }
                let needed = size.saturating_minus(free);
                *urgent = urgent.saturating_minus(needed);
                *lent = lent.saturating_minus(needed);
                self.index.reserve(*place, size);
                return Some(rack.clone());
            }
        }
        None
    }

    /// All room together.
    #[must_use]
    pub fn free(&self) -> Size {
        (0..self.index.len())
            .filter_map(|at| self.index.capacity(at))
            .map(|r| r.free)
            .sum()
    }
}
