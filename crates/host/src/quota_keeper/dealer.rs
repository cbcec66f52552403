//! Deals out the first units of customers' limits to the other pools.

use std::sync::Arc;

use pool::CustomerId;
use rustc_hash::FxHashSet;

use super::{Limits, QuotaKeeper, QuotaUser, units_used};
use crate::quota_parts::UNITS;
use crate::sync::lock;

/// The customers whose units were dealt out, as of a configuration and the sizes of the pools.
#[derive(Debug, Default)]
pub(super) struct Dealer {
    version: u64,
    sizes: Vec<u32>,
    done: FxHashSet<CustomerId>,
    complete: bool,
}

impl Dealer {
    fn forget_if_changed(&mut self, limits: &Limits, sizes: &[u32]) {
        let same_pools = self.sizes.len() == sizes.len()
            && self
                .sizes
                .iter()
                .zip(sizes)
                .all(|(a, b)| (*a > 0) == (*b > 0));
        if !same_pools {
            self.done.clear();
        }
        if !same_pools || self.version != limits.version {
            self.complete = false;
        }
        self.version = limits.version;
        self.sizes = sizes.to_vec();
    }
}

impl QuotaKeeper {
    /// Gives pools that never got units of a customer their first ones, in proportion to their sizes. Only pool 0 has units from the
    /// start, so only its owner does it.
    pub(super) fn deal(
        &self,
        dealer: &mut Dealer,
        limits: &Limits,
        sizes: &[u32],
        user: &dyn QuotaUser,
    ) {
        if self.pool != 0 {
            return;
        }
        dealer.forget_if_changed(limits, sizes);
        if dealer.complete {
            return;
        }
        let Some(demand) = user.demand() else {
            return;
        };
        let used = units_used(limits, &demand);
        let total: u64 = sizes.iter().map(|size| u64::from(*size)).sum();
        let mut complete = true;
        for customer in limits.by_customer.keys() {
            if dealer.done.contains(customer) {
                continue;
            }
            let mut parts = lock(&self.parts);
            let mut done = true;
            for (to, size) in (0..).zip(sizes).skip(1) {
                if *size == 0 || parts.has_given(to, customer) {
                    continue;
                }
                let share = u64::from(UNITS) * u64::from(*size) / total.max(1);
                let used = used.get(customer).copied().unwrap_or(0);
                let free = parts.units_of(customer).saturating_sub(used);
                done &= parts.give(customer, to, free.min(share as u32));
            }
            if done {
                dealer.done.insert(Arc::clone(customer));
            }
            complete &= done;
        }
        dealer.complete = complete;
        self.enforce_gives(limits, user);
    }
}
