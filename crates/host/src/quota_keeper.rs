//! Keeps a pool's parts of the customers' limits: reads and writes their rows, asks other pools for units and gives units to them.

mod dealer;
mod writes;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use log::info;
use pool::{CustomerId, Limit, QuotaDemand};
use rustc_hash::FxHashMap;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

use crate::follow::read;
use crate::interfaces::Store;
use crate::quota_parts::{QuotaParts, UNITS};
use crate::quota_policy::{QuotaGiven, QuotaNeeds, Standing, decide, units_for};
use crate::rows::{QUOTA, pool_part};
use crate::sync::lock;

pub use writes::Ownership;

use dealer::Dealer;
use writes::{Written, stored_row};

/// Time between two requests to other pools.
const ROUND: Duration = Duration::from_millis(250);
/// Units that another pool lacks are held back for it until it has had time to ask again.
const WITHHOLD_ROUNDS: u32 = 3;
/// Maximum number of pools that are asked in one round; the next round asks the following ones.
const MAX_ASKED_POOLS: usize = 16;
/// Maximum number of customers in one request, those that can't start anything first.
const MAX_NEEDS: usize = 64;
/// Maximum number of customers in one message about given units.
const MAX_GIVEN: usize = 80;
/// Maximum number of rows in one transaction: the store accepts 100 entries, and each row is a condition and a write.
const MAX_ROWS: usize = 40;
/// Changes of rows are collected for this long.
const BATCH_DELAY: Duration = Duration::from_millis(50);
/// Delay after a write without an answer.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// How long a pool that was given units has to store them before the giver tells it once more.
const TAKE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The limits of the customers that have one, as of a version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    /// The version of the configuration.
    pub version: u64,
    /// The limits by customer.
    pub by_customer: FxHashMap<CustomerId, Limit>,
}

/// The pool whose tasks use the parts.
pub trait QuotaUser: Send + Sync {
    /// Replaces the limits if a newer configuration is in force.
    fn update_limits(&self, limits: &mut Limits);

    /// What the pool's tasks use and need; customers that aren't listed use and need nothing. `None` as long as the pool can't tell
    /// what is used, for example since its owner has not heard all workers and knows no bound for what runs there.
    fn demand(&self) -> Option<Vec<QuotaDemand>>;

    /// The result of [`QuotaKeeper::units_of`] has changed. When this returns, the pool starts nothing beyond it any more.
    fn parts_changed(&self);
}

/// The owners of the other pools.
#[async_trait]
pub trait QuotaPeers: Send + Sync {
    /// Number of workers in each pool, by number of the pool.
    fn pool_sizes(&self) -> Vec<u32>;

    /// Sends what this pool needs to the owner of another one, if there is a connection. The message may be lost.
    fn send_needs(&self, to: u32, needs: QuotaNeeds);

    /// Tells the owner of another pool what this one has given to it; returns what that pool has taken, as stored, or `None` if it
    /// can't be reached.
    async fn send_given(&self, to: u32, given: QuotaGiven) -> Option<Vec<(CustomerId, u64)>>;
}

/// Keeps a pool's parts of the customers' limits.
pub struct QuotaKeeper {
    pool: u32,
    parts: Mutex<QuotaParts>,
    /// The last request of each pool that wasn't answered yet.
    requests: Mutex<BTreeMap<u32, QuotaNeeds>>,
    /// Notified when there is a request or something to take.
    wake: Notify,
    /// Notified after each write that was stored.
    stored: Notify,
}

impl QuotaKeeper {
    /// Creates the keeper of a pool's parts, which allows nothing until [`QuotaKeeper::run`] has read the rows.
    #[must_use]
    pub fn new(pool: u32, max_row_bytes: usize) -> Self {
        Self {
            pool,
            parts: Mutex::new(QuotaParts::new(pool, max_row_bytes)),
            requests: Mutex::default(),
            wake: Notify::new(),
            stored: Notify::new(),
        }
    }

    /// Units of a customer's limit that the pool may use, of [`UNITS`].
    #[must_use]
    pub fn units_of(&self, customer: &str) -> u32 {
        lock(&self.parts).units_of(customer)
    }

    /// Records what another pool needs.
    pub fn receive_needs(&self, needs: QuotaNeeds) {
        lock(&self.requests).insert(needs.from, needs);
        self.wake.notify_one();
    }

    /// Takes what another pool has given. Returns what was ever taken from it, as stored.
    pub async fn receive_given(&self, given: &QuotaGiven) -> Vec<(CustomerId, u64)> {
        let until = Instant::now() + TAKE_TIMEOUT;
        loop {
            let stored = self.stored.notified();
            {
                let mut parts = lock(&self.parts);
                for (customer, total) in &given.totals {
                    parts.take(customer, given.from, *total);
                }
            }
            self.wake.notify_one();
            let taken = self.taken(given);
            let all = taken.iter().zip(&given.totals).all(|(a, b)| a.1 >= b.1);
            if all || timeout_at(until, stored).await.is_err() {
                return self.taken(given);
            }
        }
    }

    fn taken(&self, given: &QuotaGiven) -> Vec<(CustomerId, u64)> {
        let parts = lock(&self.parts);
        let taken = |customer: &CustomerId| parts.taken_from(given.from, customer);
        let customers = given.totals.iter().map(|(customer, _)| customer);
        customers
            .map(|customer| (Arc::clone(customer), taken(customer)))
            .collect()
    }

    /// Reads the rows, then moves units until another host owns the pool.
    pub async fn run(
        &self,
        mut ownership: Ownership,
        store: &dyn Store,
        peers: &dyn QuotaPeers,
        user: &dyn QuotaUser,
    ) {
        // As of the claim, all writes of the former owner have taken effect or never will.
        let page = read(store, QUOTA, &[pool_part(self.pool)], ownership.version).await;
        let rows = page.rows.into_iter().map(stored_row);
        lock(&self.parts).load(rows);
        user.parts_changed();
        self.wake.notify_one();
        tokio::select! {
            () = self.move_units(&mut ownership, store, peers, user) => {}
            () = self.deliver(peers) => {}
        }
    }

    async fn move_units(
        &self,
        ownership: &mut Ownership,
        store: &dyn Store,
        peers: &dyn QuotaPeers,
        user: &dyn QuotaUser,
    ) {
        let mut limits = Limits::default();
        let mut dealer = Dealer::default();
        let mut next_round = Instant::now();
        let mut max_rows = MAX_ROWS;
        let mut round = 0;
        loop {
            tokio::select! {
                () = self.wake.notified() => {}
                () = sleep_until(next_round) => {}
            }
            let sizes = peers.pool_sizes();
            if sizes.len() > 1 {
                user.update_limits(&mut limits);
                if Instant::now() >= next_round {
                    if lock(&self.parts).end_round() {
                        user.parts_changed();
                    }
                    self.deal(&mut dealer, &limits, &sizes, user);
                    self.ask(&limits, round, &sizes, peers, user);
                    round += 1;
                }
                self.answer_requests(&limits, user);
            }
            if Instant::now() >= next_round {
                next_round = Instant::now() + ROUND;
            }
            if lock(&self.parts).has_changes() {
                sleep(BATCH_DELAY).await;
            }
            loop {
                match self.write(ownership, store, &mut max_rows).await {
                    Written::Nothing => break,
                    Written::Stored => self.notify_changed(user),
                    Written::Failed => {
                        self.notify_changed(user);
                        sleep(RETRY_DELAY).await;
                        if !lock(&self.parts).is_writing() {
                            break;
                        }
                    }
                    Written::Deposed => {
                        info!(pool = self.pool; "another host owns the pool; its parts of limits are not changed any more");
                        return;
                    }
                }
            }
        }
    }

    fn notify_changed(&self, user: &dyn QuotaUser) {
        user.parts_changed();
        self.stored.notify_waiters();
    }

    /// Asks other pools for units that this one lacks.
    fn ask(
        &self,
        limits: &Limits,
        round: usize,
        sizes: &[u32],
        peers: &dyn QuotaPeers,
        user: &dyn QuotaUser,
    ) {
        let demand = user.demand().unwrap_or_default();
        let mut needs: Vec<(CustomerId, Standing)> = {
            let parts = lock(&self.parts);
            let standings = demand.iter().filter_map(|demand| {
                let limit = limits.by_customer.get(&demand.customer)?;
                let own = parts.units_before_withholding(&demand.customer);
                let standing = Standing::new(*limit, own, demand);
                standing
                    .lacks()
                    .then(|| (Arc::clone(&demand.customer), standing))
            });
            standings.collect()
        };
        if needs.is_empty() {
            return;
        }
        needs.sort_by_key(|(_, standing)| standing.urgency());
        needs.truncate(MAX_NEEDS);
        let others: Vec<u32> = (0..sizes.len() as u32)
            .filter(|pool| *pool != self.pool)
            .collect();
        let asked = others.len().min(MAX_ASKED_POOLS);
        let first = round * asked % others.len();
        for to in others.iter().cycle().skip(first).take(asked) {
            let needs = QuotaNeeds {
                from: self.pool,
                asked: asked as u32,
                needs: needs.clone(),
            };
            peers.send_needs(*to, needs);
        }
    }

    /// Gives units to pools that have asked, as the policy decides.
    fn answer_requests(&self, limits: &Limits, user: &dyn QuotaUser) {
        let requests = std::mem::take(&mut *lock(&self.requests));
        if requests.is_empty() {
            return;
        }
        let Some(demand) = user.demand() else {
            return;
        };
        let demand: FxHashMap<&CustomerId, &QuotaDemand> =
            demand.iter().map(|it| (&it.customer, it)).collect();
        for (to, request) in requests {
            for (customer, theirs) in &request.needs {
                let Some(limit) = limits.by_customer.get(customer) else {
                    continue;
                };
                let mut parts = lock(&self.parts);
                let own = parts
                    .units_before_withholding(customer)
                    .saturating_sub(parts.withheld_for_others(customer, to));
                let mine = match demand.get(customer) {
                    Some(demand) => Standing::new(*limit, own, demand),
                    None => Standing {
                        own,
                        ..Standing::default()
                    },
                };
                let decision = decide(&mine, theirs, request.asked, to < self.pool);
                let given = decision.give > 0 && parts.give(customer, to, decision.give);
                let withheld = if given || decision.give == 0 {
                    decision.withhold
                } else {
                    decision.give + decision.withhold
                };
                parts.withhold(customer, to, withheld, WITHHOLD_ROUNDS);
            }
        }
        self.enforce_gives(limits, user);
    }

    /// Makes the pool obey its smaller parts, and takes back what its tasks use: a task may have started since the pool was asked for
    /// its demand.
    fn enforce_gives(&self, limits: &Limits, user: &dyn QuotaUser) {
        user.parts_changed();
        let kept = match user.demand() {
            Some(demand) => {
                let used = units_used(limits, &demand);
                let mut parts = lock(&self.parts);
                let kept = used
                    .iter()
                    .filter(|(customer, units)| parts.keep(customer, **units));
                kept.count()
            }
            None => {
                let mut parts = lock(&self.parts);
                let customers = limits.by_customer.keys();
                customers.filter(|it| parts.keep(it, UNITS)).count()
            }
        };
        if kept > 0 {
            user.parts_changed();
        }
    }

    /// Tells other pools what this one has given to them, until they have taken it.
    async fn deliver(&self, peers: &dyn QuotaPeers) {
        let mut under_way = BTreeSet::new();
        let mut deliveries = FuturesUnordered::new();
        loop {
            let stored = self.stored.notified();
            let pools: Vec<u32> = lock(&self.parts).pools_with_untaken().collect();
            for to in pools {
                if under_way.insert(to) {
                    deliveries.push(self.deliver_to(peers, to));
                }
            }
            tokio::select! {
                Some(to) = deliveries.next() => {
                    under_way.remove(&to);
                }
                () = stored => {}
                () = sleep(ROUND) => {}
            }
        }
    }

    async fn deliver_to(&self, peers: &dyn QuotaPeers, to: u32) -> u32 {
        let totals = lock(&self.parts).untaken(to, MAX_GIVEN);
        let given = QuotaGiven {
            from: self.pool,
            totals,
        };
        let call = peers.send_given(to, given);
        match timeout(TAKE_TIMEOUT * 2, call).await {
            Ok(Some(taken)) => {
                let mut parts = lock(&self.parts);
                for (customer, total) in &taken {
                    parts.acknowledged(to, customer, *total);
                }
            }
            Ok(None) | Err(_) => sleep(ROUND).await,
        }
        to
    }
}

/// The units that tasks use, by customer.
fn units_used(limits: &Limits, demand: &[QuotaDemand]) -> FxHashMap<CustomerId, u32> {
    let used = demand.iter().filter_map(|demand| {
        let limit = limits.by_customer.get(&demand.customer)?;
        let units = units_for(*limit, demand.used);
        Some((Arc::clone(&demand.customer), units))
    });
    used.collect()
}
