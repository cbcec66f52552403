//! What each customer uses and is entitled to in this pool.

use std::collections::BTreeMap;

use resource::Size;
use rustc_hash::FxHashMap;

use crate::customer::{CustomerId, Entitlement, Limit};

/// Jobs are counted per second, and a job is owed if the jobs of its second and of the seconds before it, this many together,
/// don't exceed the customer's weight.
const OWED_WINDOW_S: u64 = 2;
/// Number of seconds for which jobs are counted: a new owner reads the jobs of many seconds in any order.
const MAX_COUNTED_SECONDS: usize = 128;

/// The accounts of all customers, by name.
#[derive(Clone, Debug, Default)]
pub(crate) struct Accounts {
    /// Whether the entitlements are known; until then nothing of any customer may start.
    known: bool,
    by_customer: FxHashMap<CustomerId, Account>,
    /// Sum of the weights of all customers that are entitled to something.
    total_weight: f64,
}

/// One customer's account.
#[derive(Clone, Debug, Default)]
pub(crate) struct Account {
    /// What the customer is entitled to; `None` if no configuration has named it.
    entitlement: Option<Entitlement>,
    /// Whether the configuration in force names the customer.
    listed: bool,
    /// Resources of the runs that were ordered and are not known to have ended.
    pub used: Size,
    /// Number of accepted jobs, by Unix second.
    accepted: BTreeMap<u64, u32>,
}

impl Account {
    /// Resources that the customer may use at the same time.
    pub(crate) fn limit(&self) -> Limit {
        self.entitlement.unwrap_or_default().limit
    }

    /// The customer's weight; `None` if it has none.
    pub(crate) fn weight(&self) -> Option<f64> {
        let weight = self.entitlement?.weight;
        (weight > 0.0).then_some(weight)
    }

    /// Counts an accepted job; returns whether the customer is owed it.
    fn count_job(&mut self, accepted: u64) -> bool {
        let second = accepted / 1_000;
        *self.accepted.entry(second).or_default() += 1;
        while self.accepted.len() > MAX_COUNTED_SECONDS {
            self.accepted.pop_first();
        }
        let Some(weight) = self.weight() else {
            return true;
        };
        let window = second.saturating_sub(OWED_WINDOW_S - 1)..=second;
        let jobs: u32 = self.accepted.range(window).map(|(_, count)| count).sum();
        f64::from(jobs) <= (weight * OWED_WINDOW_S as f64).max(1.0)
    }
}

impl Accounts {
    /// Sets what the customers are entitled to. A customer that isn't named any more keeps its account, with the limit that it
    /// had, until nothing of it runs.
    pub(crate) fn set(
        &mut self,
        entitlements: impl IntoIterator<Item = (CustomerId, Entitlement)>,
    ) {
        for account in self.by_customer.values_mut() {
            account.listed = false;
        }
        self.known = true;
        self.total_weight = 0.0;
        for (customer, entitlement) in entitlements {
            self.total_weight += entitlement.weight.max(0.0);
            let account = self.by_customer.entry(customer).or_default();
            account.entitlement = Some(entitlement);
            account.listed = true;
        }
        self.by_customer
            .retain(|_, account| account.listed || account.used != Size::ZERO);
    }

    /// Whether the entitlements are known.
    pub(crate) fn are_known(&self) -> bool {
        self.known
    }

    /// The account of a customer, if it has one.
    pub(crate) fn get(&self, customer: &str) -> Option<&Account> {
        self.by_customer.get(customer)
    }

    /// All accounts.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&CustomerId, &Account)> {
        self.by_customer.iter()
    }

    /// Sum of the weights of all customers.
    pub(crate) fn total_weight(&self) -> f64 {
        self.total_weight
    }

    /// Adds the resources of a run.
    pub(crate) fn charge(&mut self, customer: &CustomerId, size: Size) {
        if customer.is_empty() {
            return;
        }
        let account = self.by_customer.entry(CustomerId::clone(customer));
        let account = account.or_default();
        account.used = account.used.plus(size);
    }

    /// Subtracts the resources of a run that has ended.
    pub(crate) fn release(&mut self, customer: &CustomerId, size: Size) {
        if let Some(account) = self.by_customer.get_mut(customer) {
            account.used = account.used.saturating_minus(size);
        }
    }

    /// Counts a job that was accepted at this Unix time in milliseconds; returns whether its customer is owed it.
    pub(crate) fn count_job(&mut self, customer: &CustomerId, accepted: u64) -> bool {
        let account = self.by_customer.get_mut(customer);
        account.is_none_or(|account| account.count_job(accepted))
    }
}
