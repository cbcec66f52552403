//! Many places at once, ordered by what they have free.

use std::collections::BTreeSet;

use resource::Size;

use crate::{Room, Rule, choose};

/// Places looked at closely for one decision. More find hardly better ones and cost more.
const LOOK: usize = 48;

/// Many places, kept in the order of their free processors, so that a decision looks at a few of
/// them instead of all: its cost grows with the logarithm of their number.
///
/// ```
/// use policy::{Index, Room, Rule};
/// use resource::Size;
///
/// let whole = Size::new(16_000, 65_536, 0);
/// let mut index = Index::default();
/// for cores in [16_u64, 3, 1] {
///     let free = Size::new(cores * 1_000, 65_536, 0);
///     index.push(Room { free, whole, siblings: 0 });
/// }
/// let task = Size::new(2_000, 1_024, 0);
/// assert_eq!(index.place(Rule::BestFit, task), Some(1));
/// index.take(1, task);
/// assert_eq!(index.place(Rule::BestFit, task), Some(0));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Index {
    rooms: Vec<Room>,
    order: BTreeSet<(u64, usize)>,
}

impl Index {
    /// Adds a place; its number is the count of those before it.
    pub fn push(&mut self, room: Room) {
        self.order.insert((room.free.millicores, self.rooms.len()));
        self.rooms.push(room);
    }

    /// What is known of a place.
    #[must_use]
    pub fn room(&self, at: usize) -> Option<&Room> {
        self.rooms.get(at)
    }

    /// Number of places.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rooms.len()
    }

    /// Whether there is no place.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rooms.is_empty()
    }

    /// Sets what is free at a place.
    pub fn set(&mut self, at: usize, free: Size) {
        let Some(room) = self.rooms.get_mut(at) else {
            return;
        };
        self.order.remove(&(room.free.millicores, at));
        room.free = free;
        room.siblings = 0;
        self.order.insert((free.millicores, at));
    }

    /// Takes room at a place, until its owner tells what is really left.
    pub fn take(&mut self, at: usize, size: Size) {
        let Some(room) = self.rooms.get_mut(at) else {
            return;
        };
        self.order.remove(&(room.free.millicores, at));
        room.free = room.free.saturating_minus(size);
        room.siblings += 1;
        self.order.insert((room.free.millicores, at));
    }

    /// The place for a task of this size, among those closest to what the rule looks for.
    #[must_use]
    pub fn place(&self, rule: Rule, size: Size) -> Option<usize> {
        let from = (size.millicores, 0);
        let fitting = |&(_, at): &(u64, usize)| size.fits(self.rooms[at].free).then_some(at);
        let near: Vec<usize> = match rule {
            Rule::LeastLoaded | Rule::Spread => self
                .order
                .range(from..)
                .rev()
                .filter_map(fitting)
                .take(LOOK)
                .collect(),
            Rule::FirstFit | Rule::Random { .. } | Rule::BestFit => self
                .order
                .range(from..)
                .filter_map(fitting)
                .take(LOOK)
                .collect(),
        };
        let rooms: Vec<Room> = near.iter().map(|&at| self.rooms[at]).collect();
        choose::place(rule, &rooms, size).map(|nth| near[nth])
    }
}
