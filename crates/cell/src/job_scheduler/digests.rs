//! Capacity of all racks of a region, as last reported by their owners.

use std::collections::BTreeMap;

use policy::{Capacity, Index, Rule};
use resource::{Size, id};
use wire::{Band, Digest};

/// Capacity of racks, from their owners' digests.
#[derive(Clone, Debug, Default)]
pub struct Digests {
    worker_size: Size,
    index: Index,
    rack_of: Vec<id::Rack>,
    positions: BTreeMap<id::Rack, Vec<usize>>,
    /// For each worker of a rack: what urgent work may preempt there, and what of it is borrowed
    /// and may be preempted by any work within its quota.
    preemptible: BTreeMap<id::Rack, Vec<(Size, Size)>>,
    epochs: BTreeMap<id::Rack, id::Epoch>,
}

impl Digests {
    /// Without any digest. An empty worker has the capacity `worker_size`.
    #[must_use]
    pub fn new(worker_size: Size) -> Self {
        Self {
            worker_size,
            ..Self::default()
        }
    }

    /// Applies the digest of a rack's owner.
    pub fn update(&mut self, digest: &Digest) {
        let positions = self.positions.entry(digest.rack.clone()).or_default();
        while positions.len() < digest.free.len() {
            positions.push(self.index.len());
            self.rack_of.push(digest.rack.clone());
            self.index.push(Capacity {
                free: Size::ZERO,
                total: self.worker_size,
                siblings: 0,
            });
        }
        for (nth, position) in positions.iter().enumerate() {
            let free = digest.free.get(nth).copied().unwrap_or(Size::ZERO);
            self.index.set(*position, free);
        }
        self.epochs.insert(digest.rack.clone(), digest.epoch);
        let amounts = digest
            .yielding
            .iter()
            .copied()
            .zip(digest.lent.iter().copied());
        self.preemptible
            .insert(digest.rack.clone(), amounts.collect());
    }

    /// Epoch of the owner that sent the last digest of a rack.
    #[must_use]
    pub fn epoch(&self, rack: &str) -> id::Epoch {
        self.epochs.get(rack).copied().unwrap_or_default()
    }

    /// Forgets the capacity of a rack.
    pub fn remove(&mut self, rack: &str) {
        self.update(&Digest {
            rack: rack.to_owned(),
            ..Digest::default()
        });
    }

    /// Chooses a rack that has capacity for a task. The capacity counts as used until the next
    /// digest of that rack.
    pub fn reserve(&mut self, rule: Rule, size: Size) -> Option<&id::Rack> {
        let position = self.index.place(rule, size)?;
        self.index.reserve(position, size);
        self.rack_of.get(position)
    }

    /// Chooses a rack where a task of this band fits once other tasks have been preempted. The
    /// capacity counts as used until the next digest of that rack.
    pub fn reserve_preemptible(&mut self, size: Size, band: Band) -> Option<id::Rack> {
        for (rack, workers) in &mut self.preemptible {
            let positions = self.positions.get(rack)?;
            for ((urgent, lent), position) in workers.iter_mut().zip(positions) {
                let yielded = if band == Band::Urgent { *urgent } else { *lent };
                let free = self
                    .index
                    .capacity(*position)
                    .map_or(Size::ZERO, |capacity| capacity.free);
                if yielded == Size::ZERO || !size.fits(free.plus(yielded)) {
                    continue;
                }
                let needed = size.saturating_minus(free);
                *urgent = urgent.saturating_minus(needed);
                *lent = lent.saturating_minus(needed);
                self.index.reserve(*position, size);
                return Some(rack.clone());
            }
        }
        None
    }

    /// Total free capacity.
    #[must_use]
    pub fn free(&self) -> Size {
        (0..self.index.len())
            .filter_map(|position| self.index.capacity(position))
            .map(|capacity| capacity.free)
            .sum()
    }
}
