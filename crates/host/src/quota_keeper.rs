//! Keeps a pool's parts of the customers' limits: reads and writes their rows, asks other pools for units and gives units to them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use log::{info, warn};
use pool::{CustomerId, Limit, QuotaDemand};
use rustc_hash::{FxHashMap, FxHashSet};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

use crate::claim::parse;
use crate::follow::read;
use crate::interfaces::{Row, Store, StoreError, Transaction};
use crate::quota_parts::{QuotaParts, RowWrite, StoredRow, UNITS};
use crate::quota_policy::{QuotaGiven, QuotaNeeds, Standing, decide, units_for};
use crate::rows::{OWNER, OwnerRow, QUOTA, pool_part};
use crate::sync::lock;

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

/// The claim under which rows are written.
#[derive(Clone, Copy, Debug)]
pub struct Ownership {
    /// Epoch of the owner.
    pub epoch: u64,
    /// Incarnation of the owner's host.
    pub incarnation: u64,
    /// Version of the owner's row.
    pub version: u64,
}

impl Ownership {
    /// Finds the owner's row among these. Returns `false` if another owner wrote it.
    fn update(&mut self, rows: &[Row]) -> bool {
        let Some((row, version)) = parse::<OwnerRow>(rows, OWNER) else {
            return true;
        };
        self.version = version;
        row.epoch == self.epoch && row.incarnation == self.incarnation
    }
}

/// Result of a write.
enum Written {
    /// There is nothing to write.
    Nothing,
    Stored,
    /// The store didn't execute the write, or didn't answer.
    Failed,
    /// Another host owns the pool.
    Deposed,
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

    /// Gives pools that never got units of a customer their first ones, in proportion to their sizes. Only pool 0 has units from the
    /// start, so only its owner does it.
    fn deal(&self, dealer: &mut Dealer, limits: &Limits, sizes: &[u32], user: &dyn QuotaUser) {
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

    /// Writes changed rows.
    async fn write(
        &self,
        ownership: &mut Ownership,
        store: &dyn Store,
        max_rows: &mut usize,
    ) -> Written {
        let rows = lock(&self.parts).start_write(*max_rows);
        if rows.is_empty() {
            return Written::Nothing;
        }
        let transaction = transaction(self.pool, *ownership, &rows);
        let result = store.commit(&transaction).await;
        let mut parts = lock(&self.parts);
        match result {
            Ok(version) => {
                metrics::counter!("lentilyoke_quota_rows_written_total")
                    .increment(rows.len() as u64);
                parts.write_stored(version);
                *max_rows = (*max_rows * 2).min(MAX_ROWS);
                Written::Stored
            }
            Err(StoreError::Conflict { rows }) => {
                if !ownership.update(&rows) {
                    return Written::Deposed;
                }
                let rows = rows.into_iter().filter(|row| row.table == QUOTA);
                parts.write_conflicted(rows.map(stored_row));
                Written::Failed
            }
            Err(error @ StoreError::Rejected { .. }) => {
                *max_rows = (rows.len() / 2).max(1);
                let customer = parts.write_rejected();
                warn!(pool = self.pool, rows = rows.len(), customer = customer.as_deref().unwrap_or(""), error:% = error; "store rejected the write of parts of limits");
                Written::Failed
            }
            Err(error) => {
                if matches!(error, StoreError::Lost { .. }) {
                    parts.write_lost();
                } else {
                    parts.write_refused();
                }
                warn!(pool = self.pool, rows = rows.len(), error:% = error; "writing parts of limits failed");
                Written::Failed
            }
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

/// The customers whose units were dealt out, as of a configuration and the sizes of the pools.
#[derive(Debug, Default)]
struct Dealer {
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

/// The units that tasks use, by customer.
fn units_used(limits: &Limits, demand: &[QuotaDemand]) -> FxHashMap<CustomerId, u32> {
    let used = demand.iter().filter_map(|demand| {
        let limit = limits.by_customer.get(&demand.customer)?;
        let units = units_for(*limit, demand.used);
        Some((Arc::clone(&demand.customer), units))
    });
    used.collect()
}

fn stored_row(row: Row) -> StoredRow {
    StoredRow {
        customer: row.key.into(),
        value: row.value,
        version: row.version,
    }
}

/// The transaction that writes these rows under the owner's claim.
fn transaction(pool: u32, ownership: Ownership, rows: &[RowWrite]) -> Transaction {
    let mut transaction = Transaction {
        part: pool_part(pool),
        checks: vec![(OWNER.to_owned(), OWNER.to_owned(), ownership.version)],
        ..Transaction::default()
    };
    for row in rows {
        let key = row.customer.to_string();
        let check = (QUOTA.to_owned(), key.clone(), row.version);
        transaction.checks.push(check);
        let put = (QUOTA.to_owned(), key, row.value.clone());
        transaction.puts.push(put);
    }
    transaction
}
