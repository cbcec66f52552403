//! A pool's parts of the customers' limits.
//!
//! A customer's limit holds over all pools together. It is divided into [`UNITS`] units, and each pool may use the share of the
//! limit that its units make. A limit that changes therefore needs no transfer.
//!
//! Units belong to the pool, not to the host that owns it: each pool has a row for each customer in its own part of the store. The
//! row holds, for each other pool, how many units were ever given to it and taken from it. Both numbers only grow, so a message or a
//! read that is late, repeated or out of date can't count a unit twice. Units that were given and not yet taken are in transit, and
//! no pool uses them. The sum of all parts and of what is in transit is always [`UNITS`].
//!
//! A transfer is two writes: the giver's row first, then the taker's. The giver stops using the units before its write is sent, and
//! the taker uses them after its own write is confirmed. A pool without any row for a customer has no units, except pool 0, which has
//! all of them; so a deployment with one pool writes nothing.

mod row;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use pool::CustomerId;

pub use row::{QuotaRow, RowWrite, StoredRow};

use row::units;

/// Number of units that make a customer's whole limit.
pub const UNITS: u32 = 1_000_000;

/// One customer's part.
#[derive(Clone, Debug, Default)]
struct Part {
    /// The row as stored.
    stored: QuotaRow,
    version: u64,
    /// The row with the changes that aren't stored yet.
    next: Option<QuotaRow>,
    /// The stored row could not be decoded. Nothing is used or moved until someone has repaired it.
    unreadable: bool,
    /// The store rejected a write of the row, so nothing more is moved.
    rejected: bool,
}

impl Part {
    /// Units that may be used: gives count before they are stored, takes only after.
    fn usable(&self, pool: u32) -> u32 {
        if self.unreadable {
            return 0;
        }
        let given = self
            .next
            .as_ref()
            .map_or(&self.stored.given, |next| &next.given);
        units(pool, &self.stored.taken, given)
    }
}

/// Units that are held back for another pool.
#[derive(Clone, Copy, Debug)]
struct Withheld {
    units: u32,
    /// Rounds after which they are used again unless the other pool asks once more.
    rounds: u32,
}

/// The parts of one pool, without network or clock.
///
/// ```
/// use host::quota_parts::{QuotaParts, UNITS};
///
/// let mut giver = QuotaParts::new(0, 4_096);
/// let mut taker = QuotaParts::new(1, 4_096);
/// assert_eq!(giver.units_of("acme"), 0); // The rows have not been read yet.
/// giver.load([]);
/// taker.load([]);
/// assert_eq!(giver.units_of("acme"), UNITS);
///
/// assert!(giver.give(&"acme".into(), 1, 250_000));
/// assert_eq!(giver.units_of("acme"), 750_000);
/// assert_eq!(giver.start_write(40).len(), 1);
/// assert!(giver.untaken(1, 10).is_empty()); // The write is not confirmed yet.
/// giver.write_stored(7);
///
/// for (customer, total) in giver.untaken(1, 10) {
///     taker.take(&customer, 0, total);
/// }
/// assert_eq!(taker.units_of("acme"), 0);
/// taker.start_write(40);
/// taker.write_stored(8);
/// assert_eq!(taker.units_of("acme"), 250_000);
/// giver.acknowledged(1, &"acme".into(), taker.taken_from(0, "acme"));
/// assert!(giver.untaken(1, 10).is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct QuotaParts {
    pool: u32,
    max_row_bytes: usize,
    loaded: bool,
    parts: BTreeMap<CustomerId, Part>,
    /// Customers with changes that aren't stored and not being written.
    changed: BTreeSet<CustomerId>,
    /// Customers whose rows are being written.
    writing: Vec<CustomerId>,
    /// An attempt at the present write got no answer, so it may have taken effect or still do so.
    unsure: bool,
    /// Customers of which units were given that the receiving pool may not have taken yet, by that pool.
    untaken: BTreeMap<u32, BTreeSet<CustomerId>>,
    /// Units that are held back, by the pool that asked for them.
    withheld: BTreeMap<CustomerId, BTreeMap<u32, Withheld>>,
}

impl QuotaParts {
    /// The parts of a pool whose rows have not been read yet, so that nothing may be used.
    #[must_use]
    pub fn new(pool: u32, max_row_bytes: usize) -> Self {
        Self {
            pool,
            max_row_bytes,
            loaded: false,
            parts: BTreeMap::new(),
            changed: BTreeSet::new(),
            writing: Vec::new(),
            unsure: false,
            untaken: BTreeMap::new(),
            withheld: BTreeMap::new(),
        }
    }

    /// Loads all rows of the pool, as of a time after its owner claimed it.
    pub fn load(&mut self, rows: impl IntoIterator<Item = StoredRow>) {
        *self = Self::new(self.pool, self.max_row_bytes);
        self.loaded = true;
        for row in rows {
            self.adopt(row);
        }
    }

    /// Whether the rows have been read.
    #[must_use]
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Units of a customer that the pool may use now.
    #[must_use]
    pub fn units_of(&self, customer: &str) -> u32 {
        let withheld = self.withheld_for_others(customer, self.pool);
        self.units_before_withholding(customer)
            .saturating_sub(withheld)
    }

    /// Units of a customer that the pool holds back for other pools than this one.
    #[must_use]
    pub fn withheld_for_others(&self, customer: &str, pool: u32) -> u32 {
        let withheld = self.withheld.get(customer).into_iter().flatten();
        let others = withheld.filter(|(to, _)| **to != pool);
        others.fold(0, |sum, (_, withheld)| sum.saturating_add(withheld.units))
    }

    /// Units of a customer that the pool has, including those that it holds back for others.
    #[must_use]
    pub fn units_before_withholding(&self, customer: &str) -> u32 {
        if !self.loaded {
            return 0;
        }
        match self.parts.get(customer) {
            Some(part) => part.usable(self.pool),
            None => QuotaRow::default().units(self.pool),
        }
    }

    /// Units of a customer that were ever taken from another pool, as stored.
    #[must_use]
    pub fn taken_from(&self, pool: u32, customer: &str) -> u64 {
        let part = self.parts.get(customer);
        part.and_then(|part| part.stored.taken.get(&pool).copied())
            .unwrap_or(0)
    }

    /// Whether units of a customer were ever given to another pool, or are about to be.
    #[must_use]
    pub fn has_given(&self, to: u32, customer: &str) -> bool {
        self.parts.get(customer).is_some_and(|part| {
            let row = part.next.as_ref().unwrap_or(&part.stored);
            row.given.contains_key(&to)
        })
    }

    /// Gives units of a customer to another pool with the next write; from now on this pool doesn't use them. Returns `false` if
    /// they can't be given now: the pool has fewer, the customer's row is being written or would become too large.
    ///
    /// The caller has to make sure that the units are not in use, after this pool's tasks obey the smaller part; see
    /// [`QuotaParts::keep`].
    pub fn give(&mut self, customer: &CustomerId, to: u32, units: u32) -> bool {
        if units == 0 || to == self.pool || units > self.units_before_withholding(customer) {
            return false;
        }
        self.change(customer, |row| {
            *row.given.entry(to).or_insert(0) += u64::from(units);
        })
    }

    /// Takes back what [`QuotaParts::give`] gave since the last write, as far as the pool needs it to have `units`. Has no effect
    /// once the write has started. Returns whether anything was taken back.
    pub fn keep(&mut self, customer: &str, units: u32) -> bool {
        let mut lacking = u64::from(units.saturating_sub(self.units_before_withholding(customer)));
        if lacking == 0 || !self.changed.contains(customer) {
            return false;
        }
        let Some(part) = self.parts.get_mut(customer) else {
            return false;
        };
        let (stored, Some(next)) = (&part.stored, &mut part.next) else {
            return false;
        };
        let before = next.clone();
        for (to, total) in &mut next.given {
            let given_before = stored.given.get(to).copied().unwrap_or(0);
            let kept = lacking.min(*total - given_before);
            *total -= kept;
            lacking -= kept;
        }
        next.given.retain(|_, total| *total > 0);
        let changed = *next != before;
        if *next == *stored {
            part.next = None;
            self.changed.remove(customer);
        }
        changed
    }

    /// Takes what another pool has given, with the next write; `total` is what that pool has given of the customer ever.
    pub fn take(&mut self, customer: &CustomerId, from: u32, total: u64) {
        let known = self.parts.get(customer).map_or(0, |part| {
            let row = part.next.as_ref().unwrap_or(&part.stored);
            row.taken.get(&from).copied().unwrap_or(0)
        });
        if from != self.pool && total > known {
            self.change(customer, |row| {
                row.taken.insert(from, total);
            });
        }
    }

    /// Holds back units of a customer for a number of rounds, so that they become free for the pool `to`. Replaces what was held
    /// back for it before.
    pub fn withhold(&mut self, customer: &CustomerId, to: u32, units: u32, rounds: u32) {
        if units > 0 {
            let withheld = self.withheld.entry(Arc::clone(customer)).or_default();
            withheld.insert(to, Withheld { units, rounds });
        } else if let Some(withheld) = self.withheld.get_mut(customer) {
            withheld.remove(&to);
        }
    }

    /// Ends a round: units that were held back for long enough are used again. Returns whether there were any.
    pub fn end_round(&mut self) -> bool {
        let mut ended = false;
        self.withheld.retain(|_, withheld| {
            let before = withheld.len();
            withheld.retain(|_, withheld| {
                withheld.rounds = withheld.rounds.saturating_sub(1);
                withheld.rounds > 0
            });
            ended |= withheld.len() < before;
            !withheld.is_empty()
        });
        ended
    }

    /// Whether a write was started that has no final answer yet.
    #[must_use]
    pub fn is_writing(&self) -> bool {
        !self.writing.is_empty()
    }

    /// Whether there are changes that no write contains yet.
    #[must_use]
    pub fn has_changes(&self) -> bool {
        !self.changed.is_empty()
    }

    /// Starts a write of at most `max_rows` rows, or repeats the present one. Returns nothing if there is nothing to write.
    pub fn start_write(&mut self, max_rows: usize) -> Vec<RowWrite> {
        if self.writing.is_empty() {
            while self.writing.len() < max_rows.max(1) {
                let Some(customer) = self.changed.pop_first() else {
                    break;
                };
                self.writing.push(customer);
            }
        }
        let parts = self.writing.iter().filter_map(|customer| {
            let part = self.parts.get(customer)?;
            Some(RowWrite {
                customer: Arc::clone(customer),
                version: part.version,
                value: part.next.as_ref()?.encoded(),
            })
        });
        parts.collect()
    }

    /// The present write was stored by this transaction.
    pub fn write_stored(&mut self, version: u64) {
        self.unsure = false;
        for customer in std::mem::take(&mut self.writing) {
            let Some(part) = self.parts.get_mut(&customer) else {
                continue;
            };
            part.version = version;
            let Some(next) = part.next.take() else {
                continue;
            };
            for (&to, total) in &next.given {
                if part.stored.given.get(&to) != Some(total) {
                    self.untaken
                        .entry(to)
                        .or_default()
                        .insert(Arc::clone(&customer));
                }
            }
            part.stored = next;
        }
    }

    /// The present write got no answer. It has to be repeated until there is one: until then it may still take effect.
    pub fn write_lost(&mut self) {
        self.unsure = true;
    }

    /// The store refused the present write, which therefore had no effect. Unless an earlier attempt got no answer, what it would
    /// have given is used again; what it would have taken is given up until the giver reports it again.
    pub fn write_refused(&mut self) {
        if self.unsure {
            return;
        }
        for customer in std::mem::take(&mut self.writing) {
            if let Some(part) = self.parts.get_mut(&customer) {
                part.next = None;
            }
        }
    }

    /// The store rejected the present write for good. Does what [`QuotaParts::write_refused`] does, and if the write had a single
    /// row, nothing of that customer is moved any more. Returns that customer.
    pub fn write_rejected(&mut self) -> Option<CustomerId> {
        // An earlier attempt had the same content, so the store can't accept it either.
        self.unsure = false;
        let [customer] = self.writing.as_slice() else {
            self.write_refused();
            return None;
        };
        let customer = Arc::clone(customer);
        self.write_refused();
        self.parts.get_mut(&customer)?.rejected = true;
        Some(customer)
    }

    /// A condition of the present write didn't hold: these are the rows as stored. If none of them has changed, the claim has, and
    /// the write is to be repeated if this owner still has the pool.
    pub fn write_conflicted(&mut self, rows: impl IntoIterator<Item = StoredRow>) {
        let rows: Vec<StoredRow> = rows.into_iter().collect();
        let changed = rows.iter().any(|row| {
            self.parts
                .get(&row.customer)
                .is_some_and(|part| part.version != row.version)
        });
        if !changed {
            return;
        }
        // One transaction wrote all rows or none, so the rows of an earlier attempt that took effect are all there.
        self.unsure = false;
        for customer in std::mem::take(&mut self.writing) {
            if let Some(part) = self.parts.get_mut(&customer) {
                part.next = None;
            }
        }
        for row in rows {
            self.adopt(row);
        }
    }

    /// At most `max` customers of which the pool `to` may not have taken all units, with the totals that were given to it, as
    /// stored.
    #[must_use]
    pub fn untaken(&self, to: u32, max: usize) -> Vec<(CustomerId, u64)> {
        let customers = self.untaken.get(&to).into_iter().flatten();
        let totals = customers.take(max).filter_map(|customer| {
            let total = self.parts.get(customer)?.stored.given.get(&to)?;
            Some((Arc::clone(customer), *total))
        });
        totals.collect()
    }

    /// Pools that may not have taken all units that were given to them.
    pub fn pools_with_untaken(&self) -> impl Iterator<Item = u32> {
        self.untaken.keys().copied()
    }

    /// The pool `to` has stored that it took this many units of the customer ever.
    pub fn acknowledged(&mut self, to: u32, customer: &CustomerId, total: u64) {
        let given = self.parts.get(customer);
        let given = given.and_then(|part| part.stored.given.get(&to).copied());
        if given.is_some_and(|given| total < given) {
            return;
        }
        if let Some(customers) = self.untaken.get_mut(&to) {
            customers.remove(customer);
            if customers.is_empty() {
                self.untaken.remove(&to);
            }
        }
    }

    /// Takes over a row as stored.
    fn adopt(&mut self, row: StoredRow) {
        let decoded: Option<QuotaRow> = match &row.value {
            None => Some(QuotaRow::default()),
            Some(value) => serde_json::from_slice(value).ok(),
        };
        let part = Part {
            unreadable: decoded.is_none(),
            stored: decoded.unwrap_or_default(),
            version: row.version,
            ..Part::default()
        };
        for &to in part.stored.given.keys() {
            self.untaken
                .entry(to)
                .or_default()
                .insert(Arc::clone(&row.customer));
        }
        self.changed.remove(&row.customer);
        self.parts.insert(row.customer, part);
    }

    /// Changes a customer's row with the next write; `false` if that isn't possible now.
    fn change(&mut self, customer: &CustomerId, change: impl FnOnce(&mut QuotaRow)) -> bool {
        if !self.loaded || self.writing.contains(customer) {
            return false;
        }
        let part = self.parts.entry(Arc::clone(customer)).or_default();
        if part.unreadable || part.rejected {
            return false;
        }
        let mut next = part.next.clone().unwrap_or_else(|| part.stored.clone());
        change(&mut next);
        if next.encoded().len() > self.max_row_bytes {
            return false;
        }
        part.next = Some(next);
        self.changed.insert(Arc::clone(customer));
        true
    }
}
