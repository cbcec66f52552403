//! The owner's part in the limits of customers: what its pool uses of them, and the owners of the other pools.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use pool::{CustomerId, Limit, QuotaDemand};

use super::Owner;
use crate::host::{Host, lock};
use crate::quota_keeper::{Limits, Ownership, QuotaPeers, QuotaUser};
use crate::quota_policy::{QuotaGiven, QuotaNeeds};
use crate::wire::{Call, Reply, ToOwner};

/// Timeout of a call that tells another pool's owner what was given to its pool, which replies when it has stored it.
const GIVEN_TIMEOUT: Duration = Duration::from_millis(1_500);

impl Owner {
    /// Units of a customer's limit that the pool may use, of [`crate::quota_parts::UNITS`]; none until the rows are read.
    #[must_use]
    pub fn units_of(&self, customer: &str) -> u32 {
        self.quota.units_of(customer)
    }

    /// Keeps the pool's parts of the customers' limits. `claimed` is the transaction by which this owner claimed the pool.
    pub(super) async fn keep_quota_parts(self: Arc<Self>, incarnation: u64, claimed: u64) {
        let ownership = Ownership {
            epoch: self.epoch,
            incarnation,
            version: claimed,
        };
        let store = Arc::clone(&self.host.store);
        self.quota
            .run(ownership, store.as_ref(), self.host.as_ref(), self.as_ref())
            .await;
    }
}

impl QuotaUser for Owner {
    fn update_limits(&self, limits: &mut Limits) {
        let Some(catalog) = self.host.catalog() else {
            return;
        };
        if catalog.version == limits.version {
            return;
        }
        let customers = catalog.customers.iter().filter_map(|customer| {
            let limit = Limit::from(customer.policy.limit);
            (!limit.is_unlimited()).then(|| (CustomerId::from(customer.name.as_str()), limit))
        });
        *limits = Limits {
            version: catalog.version,
            by_customer: customers.collect(),
        };
    }

    fn demand(&self) -> Option<Vec<QuotaDemand>> {
        let pool = lock(&self.pool);
        let is_known = self.loaded.load(Ordering::Relaxed) && pool.knows_all_use();
        is_known.then(|| pool.quota_demand())
    }

    fn parts_changed(&self) {
        self.apply_entitlements();
        self.wake.notify_one();
    }
}

#[async_trait]
impl QuotaPeers for Host {
    fn pool_sizes(&self) -> Vec<u32> {
        let map = self.pool_map();
        (0..map.pool_count()).map(|pool| map.size(pool)).collect()
    }

    fn send_needs(&self, to: u32, needs: QuotaNeeds) {
        let state = self.pool_state(to);
        if let Some(owner) = state.owner {
            owner.quota.receive_needs(needs);
        } else if let Some(link) = state.link {
            link.send(ToOwner::QuotaNeeds(needs));
        }
    }

    async fn send_given(&self, to: u32, given: QuotaGiven) -> Option<Vec<(CustomerId, u64)>> {
        let state = self.pool_state(to);
        if let Some(owner) = state.owner {
            return Some(owner.quota.receive_given(&given).await);
        }
        let call = Call::QuotaGiven(given);
        match state.link?.call(call, GIVEN_TIMEOUT).await {
            Some(Reply::QuotaTaken(taken)) => Some(taken),
            _ => None,
        }
    }
}
