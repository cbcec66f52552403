//! Sets of numbers that mostly follow each other.

use rangemap::RangeInclusiveSet;

/// A set of numbers, kept as ranges.
#[derive(Clone, Debug, Default)]
pub(crate) struct Numbers {
    ranges: RangeInclusiveSet<u32>,
    count: u64,
}

impl Numbers {
    /// Adds a number.
    pub(crate) fn insert(&mut self, number: u32) {
        self.insert_range(number, number);
    }

    /// Adds the numbers from `first` to `last`.
    pub(crate) fn insert_range(&mut self, first: u32, last: u32) {
        if first > last {
            return;
        }
        let known: u64 = self
            .ranges
            .overlapping(&(first..=last))
            .map(|range| length(*range.start().max(&first), *range.end().min(&last)))
            .sum();
        self.count += length(first, last) - known;
        self.ranges.insert(first..=last);
    }

    /// Whether the number is in the set.
    pub(crate) fn contains(&self, number: u32) -> bool {
        self.ranges.contains(&number)
    }

    /// The last one of the numbers that follow this one without a gap; `None` if it isn't in the set.
    pub(crate) fn end_of_range(&self, number: u32) -> Option<u32> {
        self.ranges.get(&number).map(|range| *range.end())
    }

    /// How many numbers are in the set.
    pub(crate) const fn count(&self) -> u64 {
        self.count
    }

    /// The ranges, each with its first and its last number.
    pub(crate) fn ranges(&self) -> impl Iterator<Item = (u32, u32)> {
        self.ranges
            .iter()
            .map(|range| (*range.start(), *range.end()))
    }
}

fn length(first: u32, last: u32) -> u64 {
    u64::from(last - first) + 1
}
