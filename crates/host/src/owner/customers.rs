//! What the customers are entitled to in an owner's pool, and what they use of it.

use log::info;
use pool::{CustomerId, Entitlement, Limit, WaitReason};
use resource::Size;

use super::Owner;
use crate::catalog::Customer;
use crate::host::lock;

/// Maximum number of customers in the log lines and metrics of one pool; those that use most come first.
const MAX_REPORTED_CUSTOMERS: usize = 100;

/// The versions from which the pool's entitlements were derived.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct AppliedEntitlements {
    /// Version of the configuration.
    catalog: u64,
    /// Version of the pool map.
    pool_map: u64,
}

impl Owner {
    /// Passes the customers' entitlements to the pool if the configuration or the pool map has changed.
    pub(super) fn apply_entitlements(&self, applied: &mut AppliedEntitlements) {
        let Some(catalog) = self.host.catalog() else {
            return;
        };
        let map = self.host.pool_map();
        let versions = AppliedEntitlements {
            catalog: catalog.version,
            pool_map: map.version,
        };
        if versions == *applied {
            return;
        }
        *applied = versions;
        let (units, of) = map.share(self.pool_number);
        let entitlements = catalog.customers.iter().map(|customer| {
            let id = CustomerId::from(customer.name.as_str());
            (id, entitlement(customer, units, of))
        });
        let count = catalog.customers.len();
        lock(&self.pool).set_customers(entitlements);
        self.wake.notify_one();
        info!(
            pool = self.pool_number, epoch = self.epoch, version = catalog.version, customers = count,
            units = units, of = of;
            "entitlements of customers in force"
        );
    }

    /// Logs what each customer uses and waits for, and sets the metrics of its use.
    pub(super) fn log_customers(&self) {
        let mut demand = lock(&self.pool).quota_demand();
        demand.retain(|it| it.used != Size::ZERO || it.wanted != Size::ZERO);
        demand.sort_by_key(|it| std::cmp::Reverse(it.used.millicores));
        for it in demand.iter().take(MAX_REPORTED_CUSTOMERS) {
            let customer = it.customer.to_string();
            let pool = self.pool_number.to_string();
            let share = it.used_share();
            let waiting = |reason: WaitReason| it.waiting[reason as usize];
            metrics::gauge!("lentilyoke_customer_limit_used_share", "pool" => pool, "customer" => customer)
                .set(share);
            info!(
                pool = self.pool_number, epoch = self.epoch, customer = &*it.customer, limit_used = share,
                processors = it.used.millicores, memory = it.used.memory_mib, accelerators = it.used.accelerators,
                waiting_capacity = waiting(WaitReason::Capacity), waiting_quota = waiting(WaitReason::Quota),
                waiting_share = waiting(WaitReason::Share), waiting_advice = waiting(WaitReason::Advice);
                "customer"
            );
        }
    }
}

/// What a customer is entitled to in a pool that has `units` of `of` units of its limit.
fn entitlement(customer: &Customer, units: u32, of: u32) -> Entitlement {
    Entitlement {
        weight: customer.policy.weight * f64::from(units) / f64::from(of.max(1)),
        limit: Limit::from(customer.policy.limit).share(units, of),
    }
}
