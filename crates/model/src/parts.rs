//! Parts of a customer's limit: the pools together never use more than the limit, and no part is lost.
//!
//! There are two pools and one customer. The limit is divided into units, and each pool has a row with the units that it ever gave to
//! the other pool and took from it. A transfer is two writes: the giver's row, then the taker's. Owners die and are replaced at any
//! time, a replaced owner goes on starting tasks until its successor has heard all workers, and the limit may fall once.
//!
//! Some events need no transition of their own, because others cover them:
//!
//! * A lost message is one that is never delivered. A repeated or late one carries a total that isn't above the newest, so the newest
//!   total that was sent stands for all messages.
//! * A row changes only by numbers that grow, so its content stands for its version.
//! * An owner that is paused makes no transition for a while; a dead one is a replaced owner that makes none.
//! * A write that is lost for good is a late one that is never executed.

use std::collections::BTreeSet;

use crate::{Spec, Successors};

/// Number of pools.
pub const POOLS: usize = 2;
/// Units of the whole limit.
pub const UNITS: u8 = 2;
/// Tasks that the customer may run, before the limit falls.
pub const HIGH_LIMIT: u8 = 4;
/// Tasks that the customer may run after the limit fell.
pub const LOW_LIMIT: u8 = 2;

/// Safeguards. The protocol has all of them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Guards {
    /// A giver stops using units before it sends the write.
    pub lower_first: bool,
    /// A giver tells the taker only what is stored.
    pub announce_stored: bool,
    /// Messages carry totals, of which the taker remembers the newest, and not increments.
    pub totals: bool,
    /// Writes have the claim of the owner as a condition.
    pub check_claim: bool,
    /// Writes have the version of the row as a condition.
    pub compare_and_set: bool,
    /// A write without an answer is repeated until there is one.
    pub repeat_unanswered: bool,
    /// A giver gives no units that its tasks use.
    pub keep_used: bool,
    /// A new owner gives nothing before it has heard all workers.
    pub hear_workers: bool,
}

impl Guards {
    /// All safeguards.
    pub const ALL: Self = Self {
        lower_first: true,
        announce_stored: true,
        totals: true,
        check_claim: true,
        compare_and_set: true,
        repeat_unanswered: true,
        keep_used: true,
        hear_workers: true,
    };
}

/// The specification.
#[derive(Clone, Copy, Debug)]
pub struct Parts {
    /// Which safeguards are in place.
    pub guards: Guards,
    /// Maximum number of transfers.
    pub gives: u8,
    /// Maximum number of takeovers.
    pub takeovers: u8,
}

/// Units that a pool ever gave to the other one and took from it.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Row {
    given: u8,
    taken: u8,
}

impl Row {
    const fn units(self, pool: usize) -> u8 {
        let initial = if pool == 0 { UNITS } else { 0 };
        (initial + self.taken).saturating_sub(self.given)
    }
}

/// The owner of a pool.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Owner {
    /// The row as the owner knows it.
    row: Row,
    /// The row that it wants to store.
    next: Option<Row>,
    /// An attempt to store it got no answer.
    unsure: bool,
    /// Whether it has heard all workers, so that no former owner starts anything any more.
    heard: bool,
    /// Whether it knows that the limit has fallen.
    knows_low: bool,
}

/// A write that the store may execute later.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct LateWrite {
    pool: usize,
    epoch: u8,
    before: Row,
    after: Row,
}

/// The whole system.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    epochs: [u8; POOLS],
    owners: [Owner; POOLS],
    /// Units that replaced owners of a pool still use, and whether they know that the limit has fallen.
    former: [Option<(u8, bool)>; POOLS],
    stored: [Row; POOLS],
    late: BTreeSet<LateWrite>,
    /// The newest total that the owner of each pool has told the other one.
    told: [u8; POOLS],
    /// Running tasks.
    used: [u8; POOLS],
    limit_fell: bool,
    gives: u8,
    takeovers: u8,
}

const fn limit(knows_low: bool) -> u8 {
    if knows_low { LOW_LIMIT } else { HIGH_LIMIT }
}

/// Tasks that may run with these units.
const fn share(units: u8, knows_low: bool) -> u8 {
    limit(knows_low) * units / UNITS
}

/// The least units that allow this many tasks.
const fn units_for(tasks: u8, knows_low: bool) -> u8 {
    (tasks * UNITS).div_ceil(limit(knows_low))
}

impl Parts {
    fn usable(&self, state: &State, p: usize) -> u8 {
        let Owner { row, next, .. } = state.owners[p];
        let next = next.unwrap_or(row);
        let counted = Row {
            given: if self.guards.lower_first {
                next.given
            } else {
                row.given
            },
            // Units that the taker hasn't stored yet could be used too: only its pool can ever take them.
            taken: row.taken,
        };
        counted.units(p)
    }

    fn start_task(&self, state: &State, p: usize, successors: &mut Successors<State>) {
        let owner = &state.owners[p];
        let usable = self.usable(state, p);
        let started = |state: &State| {
            let mut next = state.clone();
            next.used[p] += 1;
            next
        };
        // Before it has heard all workers, an owner counts for the others the most that may run there.
        if owner.heard && state.used[p] < share(usable, owner.knows_low) {
            successors.push(|| format!("p{p} starts a task"), started(state));
        }
        if let Some((units, knows_low)) = state.former[p]
            && state.used[p] < share(units, knows_low)
        {
            successors.push(
                || format!("former owner of p{p} starts a task"),
                started(state),
            );
        }
        if state.used[p] > 0 {
            let mut next = state.clone();
            next.used[p] -= 1;
            successors.push(|| format!("a task of p{p} ends"), next);
        }
    }

    fn give(&self, state: &State, p: usize, successors: &mut Successors<State>) {
        let owner = &state.owners[p];
        let heard = owner.heard || !self.guards.hear_workers;
        let usable = self.usable(state, p);
        let used = if self.guards.keep_used {
            units_for(state.used[p], owner.knows_low)
        } else {
            0
        };
        if owner.next.is_some() || !heard || usable <= used || state.gives == self.gives {
            return;
        }
        let mut next = state.clone();
        next.gives += 1;
        next.owners[p].next = Some(Row {
            given: owner.row.given + 1,
            ..owner.row
        });
        successors.push(|| format!("p{p} gives a unit"), next);
    }

    /// Executes a write if its conditions hold.
    fn execute(&self, state: &mut State, write: LateWrite) -> bool {
        let same_claim = state.epochs[write.pool] == write.epoch || !self.guards.check_claim;
        let same_row = state.stored[write.pool] == write.before || !self.guards.compare_and_set;
        if same_claim && same_row {
            state.stored[write.pool] = write.after;
        }
        same_claim && same_row
    }

    fn write_answered(&self, state: &mut State, p: usize, write: LateWrite) {
        self.execute(state, write);
        state.owners[p].row = state.stored[p];
        state.owners[p].next = None;
        state.owners[p].unsure = false;
    }

    fn write_of(state: &State, p: usize) -> Option<LateWrite> {
        Some(LateWrite {
            pool: p,
            epoch: state.epochs[p],
            before: state.owners[p].row,
            after: state.owners[p].next?,
        })
    }

    fn write(&self, state: &State, p: usize, successors: &mut Successors<State>) {
        let Some(write) = Self::write_of(state, p) else {
            return;
        };
        let mut answered = state.clone();
        self.write_answered(&mut answered, p, write);
        successors.push(|| format!("p{p} writes its row"), answered);
        let unanswered = |mut state: State| {
            if self.guards.repeat_unanswered {
                state.owners[p].unsure = true;
            } else {
                state.owners[p].next = None;
            }
            state
        };
        let mut executed = state.clone();
        self.execute(&mut executed, write);
        successors.push(
            || format!("p{p} writes its row, no answer"),
            unanswered(executed),
        );
        let mut late = state.clone();
        late.late.insert(write);
        successors.push(
            || format!("p{p} sends a write that is late"),
            unanswered(late),
        );
        if !state.owners[p].unsure {
            let mut refused = state.clone();
            refused.owners[p].next = None;
            successors.push(|| format!("the store refuses the write of p{p}"), refused);
        }
    }

    fn execute_late(&self, state: &State, successors: &mut Successors<State>) {
        for write in &state.late {
            let mut next = state.clone();
            next.late.remove(write);
            self.execute(&mut next, *write);
            successors.push(
                || format!("a late write of p{} is executed", write.pool),
                next,
            );
        }
    }

    fn announce(&self, state: &State, p: usize, successors: &mut Successors<State>) {
        let owner = &state.owners[p];
        let told = match owner.next {
            Some(next) if !self.guards.announce_stored => next.given,
            _ => owner.row.given,
        };
        if told > state.told[p] {
            let mut next = state.clone();
            next.told[p] = told;
            successors.push(|| format!("p{p} tells that it gave {told} in all"), next);
        }
    }

    /// Delivers what the other pool has told.
    fn deliver(&self, state: &State, p: usize, successors: &mut Successors<State>) {
        let mut next = state.clone();
        if self.take(&mut next, p) {
            successors.push(|| format!("p{p} is about to take units"), next);
        }
    }

    fn take(&self, state: &mut State, p: usize) -> bool {
        let told = state.told[1 - p];
        let owner = &mut state.owners[p];
        let taken = if self.guards.totals {
            told
        } else {
            (owner.row.taken + told).min(UNITS * 2)
        };
        if owner.next.is_some() || taken <= owner.row.taken {
            return false;
        }
        owner.next = Some(Row { taken, ..owner.row });
        true
    }

    fn take_over(&self, state: &State, p: usize, successors: &mut Successors<State>) {
        if state.takeovers < self.takeovers {
            let mut next = state.clone();
            next.takeovers += 1;
            next.epochs[p] += 1;
            let replaced = (self.usable(state, p), state.owners[p].knows_low);
            let former = state.former[p].unwrap_or(replaced);
            next.former[p] = Some((former.0.max(replaced.0), former.1 && replaced.1));
            next.owners[p] = Owner {
                row: state.stored[p],
                next: None,
                unsure: false,
                heard: false,
                knows_low: state.limit_fell,
            };
            successors.push(|| format!("another host takes over p{p}"), next);
        }
        if !state.owners[p].heard {
            let mut next = state.clone();
            next.owners[p].heard = true;
            next.former[p] = None;
            successors.push(|| format!("the owner of p{p} has heard all workers"), next);
        }
    }

    fn lower_limit(state: &State, successors: &mut Successors<State>) {
        if !state.limit_fell {
            let mut next = state.clone();
            next.limit_fell = true;
            successors.push(|| "the limit falls".to_owned(), next);
            return;
        }
        for p in 0..POOLS {
            if !state.owners[p].knows_low {
                let mut next = state.clone();
                next.owners[p].knows_low = true;
                successors.push(|| format!("the owner of p{p} learns the new limit"), next);
            }
        }
    }

    /// The state that follows if nothing fails any more, no task starts and all owners learn the limit in force.
    fn calm(&self, state: &State) -> State {
        let mut state = state.clone();
        for p in 0..POOLS {
            state.former[p] = None;
            state.owners[p].heard = true;
            state.owners[p].knows_low = state.limit_fell;
        }
        self.finish_transfers(&mut state);
        // A pool that uses more than its part gets what is free.
        for p in 0..POOLS {
            let other = 1 - p;
            loop {
                let (own, low) = (self.usable(&state, p), state.limit_fell);
                let free = self
                    .usable(&state, other)
                    .saturating_sub(units_for(state.used[other], low));
                if units_for(state.used[p], low) <= own || free == 0 {
                    break;
                }
                let row = state.owners[other].row;
                state.owners[other].next = Some(Row {
                    given: row.given + 1,
                    ..row
                });
                self.finish_transfers(&mut state);
            }
        }
        state
    }

    fn finish_transfers(&self, state: &mut State) {
        for _ in 0..2 {
            for p in 0..POOLS {
                for _ in 0..2 {
                    if let Some(write) = Self::write_of(state, p) {
                        self.write_answered(state, p, write);
                    }
                    self.take(state, p);
                }
                state.told[p] = state.told[p].max(state.owners[p].row.given);
            }
        }
    }
}

impl Spec for Parts {
    type State = State;

    fn initial(&self) -> State {
        let owner = Owner {
            row: Row::default(),
            next: None,
            unsure: false,
            heard: true,
            knows_low: false,
        };
        State {
            epochs: [1; POOLS],
            owners: [owner; POOLS],
            former: [None; POOLS],
            stored: [Row::default(); POOLS],
            late: BTreeSet::new(),
            told: [0; POOLS],
            used: [0; POOLS],
            limit_fell: false,
            gives: 0,
            takeovers: 0,
        }
    }

    fn successors(&self, state: &State, successors: &mut Successors<State>) {
        for p in 0..POOLS {
            self.start_task(state, p, successors);
            self.give(state, p, successors);
            self.write(state, p, successors);
            self.announce(state, p, successors);
            self.deliver(state, p, successors);
            self.take_over(state, p, successors);
        }
        self.execute_late(state, successors);
        Self::lower_limit(state, successors);
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        let usable: u8 = (0..POOLS).map(|p| self.usable(state, p)).sum();
        if usable > UNITS {
            return Some("the parts exceed the limit");
        }
        if state.used.iter().sum::<u8>() > HIGH_LIMIT {
            return Some("more tasks run than the limit allows");
        }
        let calm = self.calm(state);
        let units: u8 = (0..POOLS).map(|p| self.usable(&calm, p)).sum();
        if units < UNITS {
            return Some("a unit is lost");
        }
        let low = calm.limit_fell;
        let needed = |p: usize| units_for(calm.used[p], low);
        let over = (0..POOLS).any(|p| needed(p) > self.usable(&calm, p));
        let free = (0..POOLS).any(|p| needed(p) < self.usable(&calm, p));
        if over && free {
            return Some("a pool has free units beside one that exceeds its part");
        }
        None
    }
}
