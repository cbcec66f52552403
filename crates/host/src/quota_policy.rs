//! How units of customers' limits move between pools by demand, without network or clock.
//!
//! A pool that lacks units of a customer tells the other pools how it stands; see [`Standing`]. Each of them decides by its own
//! standing what it gives; see [`decide`]. In this order:
//!
//! 1. A pool whose tasks use more than its part, after the limit fell, gets all that is free, so that the other pools start nothing
//!    beyond the new limit.
//! 2. Units that the giver has no work for are given at once.
//! 3. When both lack units, their parts move towards parts in proportion to their needs. A giver whose units are in use holds back
//!    what becomes free. Each pool gets enough for its largest start if the units suffice for both, otherwise one of them does, so
//!    that a gang isn't starved by two parts that are both too small for it.

use pool::{CustomerId, Limit, QuotaDemand};
use resource::Size;
use serde::{Deserialize, Serialize};

use crate::quota_parts::UNITS;

/// Smallest move between two pools that both lack units, unless one of them can't start anything: smaller ones aren't worth their
/// two writes.
const MIN_FAIR_MOVE: u32 = UNITS / 50;

/// What a pool has and needs of a customer's limit, in units.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Standing {
    /// Units that it has.
    #[serde(rename = "o")]
    pub own: u32,
    /// Units that its tasks use.
    #[serde(rename = "u")]
    pub used: u32,
    /// Units that its long-running tasks use, which don't become free.
    #[serde(default, rename = "k")]
    pub kept: u32,
    /// Units that its largest waiting start takes beside its long-running tasks, without which that one never starts; 0 if nothing
    /// waits or if it exceeds the limit.
    #[serde(rename = "f")]
    pub first: u32,
    /// Units that it needs to run all that waits too.
    #[serde(rename = "n")]
    pub need: u32,
}

impl Standing {
    /// The standing of a pool that has `own` units.
    #[must_use]
    pub fn new(limit: Limit, own: u32, demand: &QuotaDemand) -> Self {
        let waits = demand.wanted != Size::ZERO;
        let can_start = waits && limit.allows(demand.lasting, demand.largest);
        let first = if can_start {
            demand.lasting.plus(demand.largest)
        } else {
            Size::ZERO
        };
        Self {
            own,
            used: units_for(limit, demand.used),
            kept: units_for(limit, demand.lasting),
            first: units_for(limit, first),
            need: units_for(limit, demand.used.plus(demand.wanted)),
        }
    }

    /// The same standing beside a pool whose long-running tasks use `kept` units: a start that doesn't fit within the limit beside
    /// them takes no precedence.
    fn beside(self, kept: u32) -> Self {
        let fits = self.first.saturating_add(kept) <= UNITS;
        Self {
            first: if fits { self.first } else { 0 },
            ..self
        }
    }

    /// Whether the pool should ask others for units.
    #[must_use]
    pub fn lacks(&self) -> bool {
        self.own < self.need
    }

    /// Order in which needs are sent: pools that use more than their part, then those that can't start anything.
    #[must_use]
    pub fn urgency(&self) -> (bool, bool, u32) {
        (self.used <= self.own, self.first <= self.own, self.used)
    }
}

/// What a pool asks others for: its standing for each customer of which it lacks units.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct QuotaNeeds {
    /// The asking pool.
    pub from: u32,
    /// Number of pools that it asks at the same time.
    pub asked: u32,
    /// Its standing by customer.
    pub needs: Vec<(CustomerId, Standing)>,
}

/// What a pool has given to another one.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct QuotaGiven {
    /// The giving pool.
    pub from: u32,
    /// Units that it has ever given to the receiving pool, by customer, as stored.
    pub totals: Vec<(CustomerId, u64)>,
}

/// What a pool gives to one that asked.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Decision {
    /// Units to give now.
    pub give: u32,
    /// Units to hold back until the next request, so that they become free.
    pub withhold: u32,
}

/// The least number of units whose share of the limit is this amount, or [`UNITS`] if the amount exceeds the limit.
///
/// ```
/// use host::quota_parts::UNITS;
/// use host::quota_policy::units_for;
/// use pool::Limit;
/// use resource::Size;
///
/// let limit = Limit::from(Size::new(3_000, 1_000, 0));
/// let units = units_for(limit, Size::new(1_000, 0, 0));
/// assert_eq!(units, 333_334);
/// assert_eq!(limit.share(units, UNITS).millicores, Some(1_000));
/// assert_eq!(units_for(limit, Size::new(9_000, 0, 0)), UNITS);
/// ```
#[must_use]
pub fn units_for(limit: Limit, amount: Size) -> u32 {
    let units = |limit: Option<u64>, amount: u64| match limit {
        None => 0,
        Some(limit) if amount >= limit => u64::from(if amount > 0 { UNITS } else { 0 }),
        Some(limit) => {
            let units = (u128::from(amount) * u128::from(UNITS)).div_ceil(u128::from(limit));
            units as u64
        }
    };
    units(limit.millicores, amount.millicores)
        .max(units(limit.memory_mib, amount.memory_mib))
        .max(units(limit.accelerators, amount.accelerators)) as u32
}

/// What a pool gives to one that asked, by the standings of both. `mine.own` must not contain what was already decided for others;
/// `asked` is the number of pools that were asked at the same time, and `first` whether the asking pool has precedence where the
/// units suffice for the largest start of only one of the two.
///
/// ```
/// use host::quota_policy::{Decision, Standing, decide};
///
/// // Nothing waits in the pool that is asked, so it gives what its tasks don't use.
/// let mine = Standing { own: 500_000, used: 100_000, kept: 0, first: 0, need: 100_000 };
/// let theirs = Standing { own: 0, used: 0, kept: 0, first: 10_000, need: 300_000 };
/// assert_eq!(decide(&mine, &theirs, 1, false).give, 300_000);
///
/// // All its units are in use and more of its work waits: it holds back a fair part.
/// let mine = Standing { own: 500_000, used: 500_000, kept: 0, first: 10_000, need: 600_000 };
/// assert_eq!(decide(&mine, &theirs, 1, false), Decision { give: 0, withhold: 166_666 });
/// ```
#[must_use]
pub fn decide(mine: &Standing, theirs: &Standing, asked: u32, first: bool) -> Decision {
    let (mine, theirs) = (&mine.beside(theirs.kept), &theirs.beside(mine.kept));
    let free = mine.own.saturating_sub(mine.used);
    let over = theirs.used.saturating_sub(theirs.own);
    if over > 0 {
        return Decision::of(over, free);
    }
    let lack = theirs.need.saturating_sub(theirs.own);
    let spare = mine.own.saturating_sub(mine.need.max(mine.used)).min(lack);
    let wanted = spare + fair(mine, theirs, spare, asked.max(1), first);
    Decision::of(wanted, free)
}

impl Decision {
    /// Gives what is free of this number of units, and holds back the rest.
    fn of(wanted: u32, free: u32) -> Self {
        let give = wanted.min(free);
        Self {
            give,
            withhold: wanted - give,
        }
    }
}

/// Units to give beyond `spare`, so that the parts of both pools come closer to their needs.
fn fair(mine: &Standing, theirs: &Standing, spare: u32, asked: u32, first: bool) -> u32 {
    let (own, their) = (mine.own - spare, theirs.own + spare);
    if their >= theirs.need || mine.need == 0 {
        return 0;
    }
    let total = own + their;
    let target = fair_target(total, mine, theirs, first);
    let owed = target.saturating_sub(their);
    let lacking_first = theirs.first.saturating_sub(their);
    if lacking_first > 0 {
        // Other pools that were asked may have nothing to give.
        return owed.min(lacking_first.max(owed.div_ceil(asked)));
    }
    if owed < MIN_FAIR_MOVE {
        return 0;
    }
    owed.div_ceil(asked)
}

/// The part of `total` units that the asking pool should have.
fn fair_target(total: u32, mine: &Standing, theirs: &Standing, first: bool) -> u32 {
    let needs = u64::from(mine.need) + u64::from(theirs.need);
    let target = (u64::from(total) * u64::from(theirs.need) / needs.max(1)) as u32;
    if mine.first.saturating_add(theirs.first) <= total {
        return target.clamp(theirs.first, total - mine.first);
    }
    // Only one of the two can make its largest start.
    let theirs_goes_first = match (mine.used, theirs.used) {
        (0, 1..) => false,
        (1.., 0) => true,
        _ => first,
    };
    if theirs_goes_first {
        theirs.first.min(total)
    } else {
        total.saturating_sub(mine.first)
    }
}
