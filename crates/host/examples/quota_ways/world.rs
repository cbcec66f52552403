//! Pools, customers and their work.

use std::collections::VecDeque;

use host::quota_parts::UNITS;
use pool::{Limit, QuotaDemand};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use resource::Size;

/// Duration of a step, in milliseconds.
const STEP_MS: u64 = 10;
const DURATION_MS: u64 = 120_000;
/// Work that arrives before this time isn't counted.
const WARM_UP_MS: u64 = 10_000;
const CUSTOMERS: usize = 20;
/// Time after which each customer's work arrives at other pools.
const SHIFT_MS: u64 = 20_000;
/// Time until a pool has an owner again.
const TAKEOVER_MS: u64 = 1_200;

/// What distinguishes a simulation from others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Scenario {
    /// Nothing fails.
    Calm,
    /// Each pool's owner is lost every 15 seconds on average.
    Losses,
}

impl Scenario {
    pub(crate) const ALL: [Self; 2] = [Self::Calm, Self::Losses];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Calm => "no owner lost",
            Self::Losses => "owners lost",
        }
    }
}

/// A way to divide the limits.
pub(crate) trait Way {
    /// What the customer may use in the pool now.
    fn allowed(&self, world: &World, pool: usize, customer: usize) -> u64;

    fn step(&mut self, world: &mut World);

    /// The pool has an owner again, which knows only what is stored.
    fn owner_replaced(&mut self, world: &World, pool: usize);

    /// Messages and writes since the start.
    fn messages_and_writes(&self) -> (u64, u64);
}

pub(crate) struct Outcome {
    /// Share of the work that could have run under the limits and did, over all customers.
    pub(crate) share: f64,
    /// The same of the customer with the smallest.
    pub(crate) worst_share: f64,
    /// Longest time in seconds for which a pool with an owner had work of a customer waiting, nothing of it running, and no part for
    /// it, although the customer was below its limit.
    pub(crate) longest_wait: f64,
    /// The same while the customer used less than half of its limit.
    pub(crate) longest_wait_below_half: f64,
    pub(crate) messages: f64,
    pub(crate) writes: f64,
    /// Most that a customer used beyond its limit, in millicores.
    pub(crate) excess: f64,
}

#[derive(Clone, Copy)]
struct Task {
    millicores: u64,
    ms: u64,
}

struct Customer {
    limit: u64,
    task: Task,
    /// Tasks that arrive in a second, over all pools.
    rate: f64,
    /// Share of its work that arrives at each pool.
    shares: Vec<f64>,
}

pub(crate) struct World {
    pub(crate) now: u64,
    pub(crate) rng: ChaCha8Rng,
    /// Number of workers of each pool.
    pub(crate) sizes: Vec<u64>,
    customers: Vec<Customer>,
    /// By pool and customer.
    waiting: Vec<Vec<VecDeque<Task>>>,
    used: Vec<Vec<u64>>,
    /// End, pool, customer and size of each run.
    running: Vec<(u64, usize, usize, u64)>,
    /// Until when each pool has no owner.
    away_until: Vec<u64>,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let sizes = vec![500, 500, 400, 300, 200, 100];
        let customers = (0..CUSTOMERS).map(|number| {
            let limit = if number < 4 { 2_000_000 } else { 200_000 };
            let task = if number % 2 == 0 {
                Task {
                    millicores: 8_900,
                    ms: 640,
                }
            } else {
                Task {
                    millicores: 18_000,
                    ms: 4_800,
                }
            };
            let load = rng.random_range(0.3..1.3);
            let concurrent = limit as f64 * load / task.millicores as f64;
            Customer {
                limit,
                task,
                rate: concurrent * 1_000.0 / task.ms as f64,
                shares: Vec::new(),
            }
        });
        let customers: Vec<Customer> = customers.collect();
        let pools = sizes.len();
        let mut world = Self {
            now: 0,
            rng,
            sizes,
            customers,
            waiting: vec![vec![VecDeque::new(); CUSTOMERS]; pools],
            used: vec![vec![0; CUSTOMERS]; pools],
            running: Vec::new(),
            away_until: vec![0; pools],
        };
        world.shift_work();
        world
    }

    pub(crate) fn customers(&self) -> usize {
        self.customers.len()
    }

    pub(crate) fn pools(&self) -> usize {
        self.sizes.len()
    }

    pub(crate) fn has_owner(&self, pool: usize) -> bool {
        self.now >= self.away_until[pool]
    }

    pub(crate) fn limit(&self, customer: usize) -> u64 {
        self.customers[customer].limit
    }

    pub(crate) fn quota(&self, customer: usize) -> Limit {
        Limit::from(Size::new(self.limit(customer), 0, 0))
    }

    pub(crate) fn share(&self, customer: usize, units: u32) -> u64 {
        self.quota(customer)
            .share(units, UNITS)
            .millicores
            .unwrap_or(u64::MAX)
    }

    pub(crate) fn demand(&self, pool: usize, customer: usize) -> QuotaDemand {
        let waiting = &self.waiting[pool][customer];
        let wanted: u64 = waiting.iter().map(|task| task.millicores).sum();
        let largest = waiting.iter().map(|task| task.millicores).max();
        QuotaDemand {
            customer: name(customer).into(),
            used: Size::new(self.used[pool][customer], 0, 0),
            wanted: Size::new(wanted, 0, 0),
            largest: Size::new(largest.unwrap_or(0), 0, 0),
            ..QuotaDemand::default()
        }
    }

    /// Gives each customer other shares of its work in the pools: most arrives at a few of them.
    fn shift_work(&mut self) {
        let pools = self.pools();
        for customer in &mut self.customers {
            let weights: Vec<f64> = (0..pools)
                .map(|_| self.rng.random_range(0.0_f64..1.0).powi(4))
                .collect();
            let sum: f64 = weights.iter().sum();
            customer.shares = weights.iter().map(|weight| weight / sum).collect();
        }
    }

    fn add_work(&mut self) {
        for (number, customer) in self.customers.iter().enumerate() {
            for pool in 0..self.sizes.len() {
                let mut expected = customer.rate * customer.shares[pool] * STEP_MS as f64 / 1_000.0;
                while expected > 0.0 {
                    if self.rng.random_bool(expected.min(1.0)) {
                        self.waiting[pool][number].push_back(customer.task);
                    }
                    expected -= 1.0;
                }
            }
        }
    }

    fn end_work(&mut self) {
        let now = self.now;
        for (_, pool, customer, millicores) in self.running.extract_if(.., |run| run.0 <= now) {
            self.used[pool][customer] -= millicores;
        }
    }

    fn start_work(&mut self, way: &impl Way) {
        for pool in 0..self.pools() {
            if !self.has_owner(pool) {
                continue;
            }
            for customer in 0..self.customers() {
                let allowed = way.allowed(self, pool, customer);
                while let Some(task) = self.waiting[pool][customer].front().copied() {
                    if self.used[pool][customer] + task.millicores > allowed {
                        break;
                    }
                    self.waiting[pool][customer].pop_front();
                    self.used[pool][customer] += task.millicores;
                    self.running
                        .push((self.now + task.ms, pool, customer, task.millicores));
                }
            }
        }
    }

    fn total_used(&self, customer: usize) -> u64 {
        self.used.iter().map(|used| used[customer]).sum()
    }
}

pub(crate) fn name(customer: usize) -> String {
    format!("customer-{customer}")
}

/// Simulates one way with one seed.
pub(crate) fn run<W: Way>(scenario: Scenario, seed: u64, way: &impl Fn(&World) -> W) -> Outcome {
    let mut world = World::new(seed);
    let mut faults = ChaCha8Rng::seed_from_u64(seed ^ 0xfa17);
    let mut arrivals = ChaCha8Rng::seed_from_u64(seed ^ 0xa441);
    let mut way = way(&world);
    let mut ran = [0_u64; CUSTOMERS];
    let mut possible = [0_u64; CUSTOMERS];
    let mut waits = vec![vec![(0_u64, 0_u64); CUSTOMERS]; world.pools()];
    let (mut longest_wait, mut longest_wait_below_half, mut excess) = (0, 0, 0);
    while world.now < DURATION_MS {
        world.now += STEP_MS;
        // Work arrives alike whatever the way draws.
        std::mem::swap(&mut world.rng, &mut arrivals);
        if world.now.is_multiple_of(SHIFT_MS) {
            world.shift_work();
        }
        world.add_work();
        std::mem::swap(&mut world.rng, &mut arrivals);
        for pool in 0..world.pools() {
            let lost = faults.random_bool(STEP_MS as f64 / 15_000.0);
            if scenario == Scenario::Losses && lost && world.has_owner(pool) {
                world.away_until[pool] = world.now + TAKEOVER_MS;
            } else if world.away_until[pool] == world.now {
                way.owner_replaced(&world, pool);
            }
        }
        world.end_work();
        way.step(&mut world);
        world.start_work(&way);
        for customer in 0..CUSTOMERS {
            let (used, limit) = (world.total_used(customer), world.limit(customer));
            excess = excess.max(used.saturating_sub(limit));
            let waiting = |pool: usize| world.demand(pool, customer).wanted.millicores;
            let wanted: u64 = (0..world.pools()).map(waiting).sum();
            let task = world.customers[customer].task.millicores;
            for (pool, waits) in waits.iter_mut().enumerate() {
                let starved = world.has_owner(pool)
                    && waiting(pool) > 0
                    && world.used[pool][customer] == 0
                    && way.allowed(&world, pool, customer) < task
                    && used + task <= limit;
                let (wait, below_half) = &mut waits[customer];
                *wait = if starved { *wait + STEP_MS } else { 0 };
                longest_wait = longest_wait.max(*wait);
                let starved = starved && used * 2 < limit;
                *below_half = if starved { *below_half + STEP_MS } else { 0 };
                longest_wait_below_half = longest_wait_below_half.max(*below_half);
            }
            if world.now > WARM_UP_MS {
                ran[customer] += used;
                possible[customer] += limit.min(used + wanted);
            }
        }
    }
    let shares: Vec<f64> = ran
        .iter()
        .zip(&possible)
        .map(|(ran, possible)| *ran as f64 / (*possible).max(1) as f64)
        .collect();
    let (messages, writes) = way.messages_and_writes();
    let seconds = DURATION_MS as f64 / 1_000.0;
    Outcome {
        share: ran.iter().sum::<u64>() as f64 / possible.iter().sum::<u64>() as f64,
        worst_share: shares.iter().copied().fold(1.0, f64::min),
        longest_wait: longest_wait as f64 / 1_000.0,
        longest_wait_below_half: longest_wait_below_half as f64 / 1_000.0,
        messages: messages as f64 / seconds,
        writes: writes as f64 / seconds,
        excess: excess as f64,
    }
}
