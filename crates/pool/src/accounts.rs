//! What each customer uses and is entitled to in this pool.

use std::collections::BTreeMap;

use resource::Size;
use rustc_hash::FxHashMap;

use crate::customer::{CustomerId, Entitlement, Limit};
use crate::task::Ms;

/// Jobs are counted per second, and a job is owed if the jobs of its second and of the seconds before it, this many together,
/// don't exceed the customer's weight.
const OWED_WINDOW_S: u64 = 2;
/// Number of seconds for which jobs are counted: a new owner reads the jobs of many seconds in any order.
const MAX_COUNTED_SECONDS: usize = 128;

/// A customer may have as many jobs waiting as it is owed in this many seconds.
const MAX_BACKLOG_S: f64 = 60.0;
/// Each customer may have this many jobs waiting, however small its weight is.
const MIN_BACKLOG: f64 = 200.0;
/// After this time without use, the reserve for a priority has halved.
const RESERVE_HALF_LIFE: Ms = 4_000;

/// What a run counts with, and against which customer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Charge {
    /// The customer; empty for none.
    pub customer: CustomerId,
    /// Priority of the job's queue.
    pub priority: u32,
    /// Resources.
    pub size: Size,
}

/// Use of the work of one priority.
#[derive(Clone, Copy, Debug, Default)]
struct PriorityUse {
    priority: u32,
    used: Size,
    /// The most that was used lately, and when.
    peak: (Size, Ms),
}

impl PriorityUse {
    /// The most that was used lately; decreases with time.
    fn recent_peak(&self, now: Ms) -> Size {
        let age = now.saturating_sub(self.peak.1) as f64 / RESERVE_HALF_LIFE as f64;
        let factor = 0.5_f64.powf(age);
        let part = |value: u64| (value as f64 * factor) as u64;
        let peak = self.peak.0;
        Size::new(
            part(peak.millicores),
            part(peak.memory_mib),
            part(peak.accelerators),
        )
        .max_each(self.used)
    }
}

/// The accounts of all customers, by name.
#[derive(Clone, Debug, Default)]
pub(crate) struct Accounts {
    /// Whether the entitlements are known; until then nothing of any customer may start.
    known: bool,
    by_customer: FxHashMap<CustomerId, Account>,
    /// Sum of the weights of all customers that are entitled to something.
    total_weight: f64,
    /// The current time.
    now: Ms,
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
    /// The same by priority.
    by_priority: Vec<PriorityUse>,
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

    /// How long it takes to serve the part of a backlog of this many jobs that exceeds the customer's bound, at the rate at which
    /// its jobs are owed; `None` if the bound isn't reached.
    pub(crate) fn backlog_excess(&self, waiting: u64) -> Option<Ms> {
        let weight = self.weight()?;
        let excess = waiting as f64 - (weight * MAX_BACKLOG_S).max(MIN_BACKLOG);
        (excess >= 0.0).then(|| ((excess + 1.0) / weight * 1_000.0) as Ms)
    }

    /// What work of higher priority than this one has used lately and doesn't use now.
    fn reserve(&self, now: Ms, priority: u32) -> Size {
        let higher = self.by_priority.iter().filter(|it| it.priority < priority);
        higher.fold(Size::ZERO, |sum, it| {
            sum.plus(it.recent_peak(now).saturating_minus(it.used))
        })
    }

    fn use_of(&mut self, priority: u32) -> &mut PriorityUse {
        let found = self
            .by_priority
            .iter()
            .position(|it| it.priority == priority);
        let index = found.unwrap_or_else(|| {
            self.by_priority.push(PriorityUse {
                priority,
                ..PriorityUse::default()
            });
            self.by_priority.len() - 1
        });
        &mut self.by_priority[index]
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

    /// Sets the current time.
    pub(crate) fn set_time(&mut self, now: Ms) {
        self.now = now;
    }

    /// What a customer should keep free for work of higher priority than this one: work that comes in short bursts finds the limit
    /// used up by long tasks otherwise.
    pub(crate) fn reserve(&self, customer: &str, priority: u32) -> Size {
        let account = self.by_customer.get(customer);
        account.map_or(Size::ZERO, |it| it.reserve(self.now, priority))
    }

    /// Adds the resources of a run.
    pub(crate) fn charge(&mut self, charge: &Charge) {
        if charge.customer.is_empty() {
            return;
        }
        let now = self.now;
        let account = self.by_customer.entry(CustomerId::clone(&charge.customer));
        let account = account.or_default();
        account.used = account.used.plus(charge.size);
        let class = account.use_of(charge.priority);
        class.used = class.used.plus(charge.size);
        class.peak = (class.recent_peak(now), now);
    }

    /// Subtracts the resources of a run that has ended.
    pub(crate) fn release(&mut self, charge: &Charge) {
        if let Some(account) = self.by_customer.get_mut(&charge.customer) {
            account.used = account.used.saturating_minus(charge.size);
            let class = account.use_of(charge.priority);
            class.used = class.used.saturating_minus(charge.size);
        }
    }

    /// Counts a job that was accepted at this Unix time in milliseconds; returns whether its customer is owed it.
    pub(crate) fn count_job(&mut self, customer: &CustomerId, accepted: u64) -> bool {
        let account = self.by_customer.get_mut(customer);
        account.is_none_or(|account| account.count_job(accepted))
    }
}
