//! What the customers are entitled to in an owner's pool, and what they use of it.

use log::info;
use pool::{CustomerId, Entitlement, Limit, WaitReason};
use resource::Size;

use super::{Owner, events};
use crate::host::lock;
use crate::quota_parts::UNITS;

/// Maximum number of customers in the log lines and metrics of one pool; those that use most come first.
const MAX_REPORTED_CUSTOMERS: usize = 100;

/// Maximum number of log lines about gangs that wait, per interval.
const MAX_GANG_WAITS_LOGGED: usize = 8;

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
    pub(super) fn update_entitlements(&self, applied: &mut AppliedEntitlements) {
        let Some(catalog) = self.host.catalog() else {
            return;
        };
        let versions = AppliedEntitlements {
            catalog: catalog.version,
            pool_map: self.host.pool_map().version,
        };
        if versions == *applied {
            return;
        }
        *applied = versions;
        self.apply_entitlements();
        info!(
            pool = self.pool_number, epoch = self.epoch, version = catalog.version, customers = catalog.customers.len();
            "entitlements of customers in force"
        );
    }

    /// Passes the customers' entitlements to the pool.
    pub(super) fn apply_entitlements(&self) {
        let Some(catalog) = self.host.catalog() else {
            return;
        };
        let map = self.host.pool_map();
        let (size, all) = map.share(self.pool_number);
        let share = f64::from(size) / f64::from(all.max(1));
        let entitlements: Vec<_> = catalog
            .customers
            .iter()
            .map(|customer| {
                let units = if map.pool_count() == 1 {
                    UNITS
                } else {
                    self.units_of(&customer.name)
                };
                let entitlement = Entitlement {
                    weight: customer.policy.weight * share,
                    limit: Limit::from(customer.policy.limit).share(units, UNITS),
                };
                (CustomerId::from(customer.name.as_str()), entitlement)
            })
            .collect();
        lock(&self.pool).set_customers(entitlements);
        self.wake.notify_one();
    }

    /// Logs what each customer uses and waits for, and sets the metrics of its use.
    pub(super) fn log_customers(&self) {
        let mut demand = lock(&self.pool).quota_demand();
        demand.sort_by_key(|it| std::cmp::Reverse(it.used.millicores));
        for it in demand.iter().take(MAX_REPORTED_CUSTOMERS) {
            let customer = it.customer.to_string();
            let pool = self.pool_number.to_string();
            let share = it.used_share();
            metrics::gauge!("lentilyoke_customer_limit_used_share", "pool" => pool, "customer" => customer)
                .set(share);
            if it.used == Size::ZERO && it.wanted == Size::ZERO {
                continue;
            }
            let waiting = |reason: WaitReason| it.waiting[reason as usize];
            let (gang, reserved) = it
                .reserved
                .as_ref()
                .map_or(("", Size::ZERO), |(gang, size)| (&*gang.job, *size));
            info!(
                pool = self.pool_number, epoch = self.epoch, customer = &*it.customer, limit_used = share,
                processors = it.used.millicores, memory = it.used.memory_mib, accelerators = it.used.accelerators,
                reserved_for = gang, reserved_processors = reserved.millicores, reserved_memory = reserved.memory_mib,
                unreported_processors = it.unreported.millicores,
                waiting_capacity = waiting(WaitReason::Capacity), waiting_quota = waiting(WaitReason::Quota),
                waiting_share = waiting(WaitReason::Share), waiting_advice = waiting(WaitReason::Advice);
                "customer"
            );
        }
    }

    /// Logs the gangs that wait for their customers' limits.
    pub(super) fn log_gang_waits(&self) {
        let gangs = lock(&self.pool).gang_waits(MAX_GANG_WAITS_LOGGED);
        gangs.iter().for_each(events::log_gang_wait);
    }
}
