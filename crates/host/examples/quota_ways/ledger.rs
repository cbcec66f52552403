//! One ledger for each customer, kept by one pool's owner, which leases amounts to the other pools.
//!
//! Each pool reports its need every 250 ms if it differs from its lease. The ledger's owner sets a target for each pool, in
//! proportion to the needs, and writes the ledger before it tells a pool a larger lease. A pool that is told a smaller target lowers
//! its own lease as its tasks end, and reports the smaller one.

use rand::Rng as _;

use crate::network::Network;
use crate::world::{Way, World};

const ROUND_MS: u64 = 250;

#[derive(Clone, Copy)]
enum Message {
    Report {
        from: usize,
        customer: usize,
        /// Number of the report, which tells a late one.
        number: u64,
        need: u64,
        /// The most that the pool will use until it is told a lease of a higher number.
        lease: u64,
        /// Number of the lease that it was told last.
        lease_number: u64,
    },
    Lease {
        customer: usize,
        number: u64,
        lease: u64,
        target: u64,
    },
}

/// What a pool knows.
#[derive(Clone, Copy, Default)]
struct Holder {
    lease: u64,
    lease_number: u64,
    target: u64,
    report_number: u64,
}

/// What the ledger says of a pool; stored but for the need.
#[derive(Clone, Copy, Default)]
struct Entry {
    lease: u64,
    lease_number: u64,
    report_number: u64,
    need: u64,
}

pub(crate) struct Ledger {
    /// By pool and customer.
    holders: Vec<Vec<Holder>>,
    entries: Vec<Vec<Entry>>,
    /// Pools that a lease must be told to, once the write of their ledger is done at this time.
    writing: Vec<(u64, usize, usize)>,
    network: Network<Message>,
    written: u64,
}

impl Ledger {
    pub(crate) fn new(world: &World) -> Self {
        let total: u64 = world.sizes.iter().sum();
        let mut holders = vec![vec![Holder::default(); world.customers()]; world.pools()];
        let mut entries = vec![vec![Entry::default(); world.customers()]; world.pools()];
        for (pool, size) in world.sizes.iter().enumerate() {
            for customer in 0..world.customers() {
                let lease = world.limit(customer) * size / total;
                holders[pool][customer].lease = lease;
                holders[pool][customer].target = lease;
                entries[pool][customer].lease = lease;
            }
        }
        Self {
            holders,
            entries,
            writing: Vec::new(),
            network: Network::new(),
            written: 0,
        }
    }

    fn keeper(world: &World, customer: usize) -> usize {
        customer % world.pools()
    }

    fn report(&mut self, world: &mut World, pool: usize) {
        for customer in 0..world.customers() {
            let demand = world.demand(pool, customer);
            let used = demand.used.millicores;
            let need = used + demand.wanted.millicores;
            let holder = &mut self.holders[pool][customer];
            let lowered = holder.lease.min(holder.target.max(used));
            let known = self.entries[pool][customer];
            // The ledger is told once more until it has answered.
            if lowered == holder.lease && need <= holder.lease && known.need == need {
                continue;
            }
            holder.lease = lowered;
            holder.report_number += 1;
            let report = Message::Report {
                from: pool,
                customer,
                number: holder.report_number,
                need,
                lease: holder.lease,
                lease_number: holder.lease_number,
            };
            let to = Self::keeper(world, customer);
            self.network.send(&mut world.rng, world.now, to, report);
        }
    }

    /// The lease that a pool should have: the present one as long as no pool lacks anything, otherwise in proportion to its need.
    fn target(&self, world: &World, customer: usize, pool: usize) -> u64 {
        let limit = world.limit(customer);
        let entries = self.entries.iter().map(|entries| entries[customer]);
        let lacks = entries.clone().any(|entry| entry.need > entry.lease);
        let needs: u64 = entries.map(|entry| entry.need.min(limit)).sum();
        let entry = self.entries[pool][customer];
        if lacks {
            limit * entry.need.min(limit) / needs.max(1)
        } else {
            entry.lease
        }
    }

    /// Leases what is free to a pool, up to its target.
    fn divide(&mut self, world: &mut World, customer: usize, pool: usize) {
        let target = self.target(world, customer, pool);
        let leased: u64 = self.entries.iter().map(|it| it[customer].lease).sum();
        let free = world.limit(customer).saturating_sub(leased);
        let entry = &mut self.entries[pool][customer];
        let more = target.saturating_sub(entry.lease).min(free);
        entry.lease += more;
        let mut at = world.now;
        if more > 0 {
            entry.lease_number += 1;
            self.written += 1;
            at += world.rng.random_range(4..=20);
        }
        self.writing.push((at, customer, pool));
    }

    fn tell(&mut self, world: &mut World, customer: usize, pool: usize) {
        let entry = self.entries[pool][customer];
        let lease = Message::Lease {
            customer,
            number: entry.lease_number,
            lease: entry.lease,
            target: self.target(world, customer, pool),
        };
        self.network.send(&mut world.rng, world.now, pool, lease);
    }

    fn handle(&mut self, world: &mut World, pool: usize, message: Message) {
        match message {
            Message::Report {
                from,
                customer,
                number,
                need,
                lease,
                lease_number,
            } => {
                let entry = &mut self.entries[from][customer];
                if number <= entry.report_number {
                    return;
                }
                entry.report_number = number;
                entry.need = need;
                if lease_number == entry.lease_number && lease < entry.lease {
                    entry.lease = lease;
                    self.written += 1;
                }
                self.divide(world, customer, from);
            }
            Message::Lease {
                customer,
                number,
                lease,
                target,
            } => {
                let holder = &mut self.holders[pool][customer];
                if number > holder.lease_number {
                    holder.lease_number = number;
                    holder.lease = lease;
                }
                holder.target = target;
            }
        }
    }
}

impl Way for Ledger {
    fn allowed(&self, _: &World, pool: usize, customer: usize) -> u64 {
        let holder = self.holders[pool][customer];
        holder.lease.min(holder.target)
    }

    fn step(&mut self, world: &mut World) {
        for (pool, message) in self.network.receive(world.now) {
            if world.has_owner(pool) {
                self.handle(world, pool, message);
            }
        }
        let now = world.now;
        let done: Vec<(u64, usize, usize)> = self
            .writing
            .extract_if(.., |(at, _, _)| *at <= now)
            .collect();
        for (_, customer, pool) in done {
            if world.has_owner(Self::keeper(world, customer)) {
                self.tell(world, customer, pool);
            }
        }
        for pool in 0..world.pools() {
            if world.has_owner(pool) && (now + pool as u64 * 40).is_multiple_of(ROUND_MS) {
                self.report(world, pool);
            }
        }
    }

    /// The new owner has no lease until the ledger's owner has told it; reports go on from the number that the ledger knows.
    fn owner_replaced(&mut self, world: &World, pool: usize) {
        for customer in 0..world.customers() {
            let entry = &mut self.entries[pool][customer];
            entry.lease_number += 1;
            self.holders[pool][customer] = Holder {
                report_number: entry.report_number + 1,
                ..Holder::default()
            };
            if Self::keeper(world, customer) == pool {
                for entries in &mut self.entries {
                    entries[customer].need = 0;
                }
            }
        }
    }

    fn messages_and_writes(&self) -> (u64, u64) {
        (self.network.sent, self.written)
    }
}
