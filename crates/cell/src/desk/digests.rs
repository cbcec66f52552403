//! Room in all racks of a region, as far as it is known here.

use std::collections::BTreeMap;

use policy::{Index, Room, Rule};
use resource::{Size, id};
use wire::Digest;

/// Room in racks, learnt from their owners' digests.
#[derive(Clone, Debug, Default)]
pub struct Digests {
    whole: Size,
    index: Index,
    rack_of: Vec<id::Rack>,
    places: BTreeMap<id::Rack, Vec<usize>>,
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
    pub fn learn(&mut self, digest: &Digest) {
        let places = self.places.entry(digest.rack.clone()).or_default();
        while places.len() < digest.free.len() {
            places.push(self.index.len());
            self.rack_of.push(digest.rack.clone());
            self.index.push(Room {
                free: Size::ZERO,
                whole: self.whole,
                siblings: 0,
            });
        }
        for (nth, place) in places.iter().enumerate() {
            let free = digest.free.get(nth).copied().unwrap_or(Size::ZERO);
            self.index.set(*place, free);
        }
        self.epochs.insert(digest.rack.clone(), digest.epoch);
        let both = digest
            .free
            .iter()
            .copied()
            .zip(digest.yielding.iter().copied());
        self.yielding.insert(digest.rack.clone(), both.collect());
    }

    /// Epoch of the owner that last told a rack's room.
    #[must_use]
    pub fn epoch(&self, rack: &str) -> id::Epoch {
        self.epochs.get(rack).copied().unwrap_or_default()
    }

    /// Nothing is known of a rack any more.
    pub fn forget(&mut self, rack: &str) {
        self.learn(&Digest {
            rack: rack.to_owned(),
            ..Digest::default()
        });
    }

    /// A rack with room for a task; the room counts as taken until the owner tells otherwise.
    pub fn take(&mut self, rule: Rule, size: Size) -> Option<&id::Rack> {
        let at = self.index.place(rule, size)?;
        self.index.take(at, size);
        self.rack_of.get(at)
    }

    /// A rack where urgent work could make room; it counts as taken.
    pub fn take_yielding(&mut self, size: Size) -> Option<id::Rack> {
        for (rack, workers) in &mut self.yielding {
            for (free, yielding) in workers {
                if size.fits(free.plus(*yielding)) {
                    *yielding = free.plus(*yielding).saturating_minus(size);
                    *free = Size::ZERO;
                    return Some(rack.clone());
                }
            }
        }
        None
    }

    /// All room together.
    #[must_use]
    pub fn free(&self) -> Size {
        (0..self.index.len())
            .filter_map(|at| self.index.room(at))
            .map(|r| r.free)
            .sum()
    }
}
