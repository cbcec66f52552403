//! An index over many places, ordered by their free processors.

use std::collections::BTreeSet;

use resource::Size;

use crate::{Capacity, Rule, choose};

/// Maximum number of places scored for one decision. More cost more and hardly improve the choice.
const MAX_CANDIDATES: usize = 48;

/// Many places, ordered by their free processors, so that a decision scores a few of
/// them instead of all: its cost grows with the logarithm of their number.
///
/// ```
/// use policy::{Capacity, Index, Rule};
/// use resource::Size;
///
/// let total = Size::new(16_000, 65_536, 0);
/// let mut index = Index::default();
/// for cores in [16_u64, 3, 1] {
///     let free = Size::new(cores * 1_000, 65_536, 0);
///     index.push(Capacity { free, total, siblings: 0 });
/// }
/// let task = Size::new(2_000, 1_024, 0);
/// assert_eq!(index.place(Rule::BestFit, task), Some(1));
/// index.reserve(1, task);
/// assert_eq!(index.place(Rule::BestFit, task), Some(0));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Index {
    places: Vec<Capacity>,
    by_free_millicores: BTreeSet<(u64, usize)>,
}

impl Index {
    /// Adds a place; its number is the count of the places added before it.
    pub fn push(&mut self, capacity: Capacity) {
        self.by_free_millicores
            .insert((capacity.free.millicores, self.places.len()));
        self.places.push(capacity);
    }

    /// Capacity of a place.
    #[must_use]
    pub fn capacity(&self, place: usize) -> Option<&Capacity> {
        self.places.get(place)
    }

    /// Number of places.
    #[must_use]
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether there is no place.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Sets the free capacity of a place and resets its number of siblings.
    pub fn set(&mut self, place: usize, free: Size) {
        let Some(capacity) = self.places.get_mut(place) else {
            return;
        };
        self.by_free_millicores
            .remove(&(capacity.free.millicores, place));
        capacity.free = free;
        capacity.siblings = 0;
        self.by_free_millicores.insert((free.millicores, place));
    }

    /// Reserves capacity at a place, until its owner reports the actual free capacity through [`Index::set`].
    pub fn reserve(&mut self, place: usize, size: Size) {
        let Some(capacity) = self.places.get_mut(place) else {
            return;
        };
        self.by_free_millicores
            .remove(&(capacity.free.millicores, place));
        capacity.free = capacity.free.saturating_minus(size);
        capacity.siblings += 1;
        self.by_free_millicores
            .insert((capacity.free.millicores, place));
    }

    /// Chooses the place for a task of this size, among those at the end of the order that the rule prefers.
    #[must_use]
    pub fn place(&self, rule: Rule, size: Size) -> Option<usize> {
        let from = (size.millicores, 0);
        let fitting =
            |&(_, place): &(u64, usize)| size.fits(self.places[place].free).then_some(place);
        let candidates: Vec<usize> = match rule {
            Rule::LeastLoaded | Rule::Spread => self
                .by_free_millicores
                .range(from..)
                .rev()
                .filter_map(fitting)
                .take(MAX_CANDIDATES)
                .collect(),
            Rule::FirstFit | Rule::Random { .. } | Rule::BestFit => self
                .by_free_millicores
                .range(from..)
                .filter_map(fitting)
                .take(MAX_CANDIDATES)
                .collect(),
        };
        let capacities: Vec<Capacity> =
            candidates.iter().map(|&place| self.places[place]).collect();
        choose::place(rule, &capacities, size).map(|nth| candidates[nth])
    }
}
