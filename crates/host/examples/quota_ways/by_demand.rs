//! Parts that follow demand, as `host::quota_parts` and `host::quota_policy` move them.

use std::collections::BTreeMap;
use std::sync::Arc;

use host::quota_parts::{QuotaParts, RowWrite, StoredRow, UNITS};
use host::quota_policy::{QuotaNeeds, Standing, decide, units_for};
use pool::CustomerId;
use rand::Rng as _;

use crate::network::Network;
use crate::world::{Way, World, name};

const ROUND_MS: u64 = 250;
/// Changes of rows are collected for this long.
const BATCH_MS: u64 = 50;
const MAX_ROWS: usize = 40;
const MAX_ROW_BYTES: usize = 16_384;
const WITHHOLD_ROUNDS: u32 = 3;

enum Message {
    Needs(QuotaNeeds),
    Given(usize, Vec<(CustomerId, u64)>),
    Taken(usize, Vec<(CustomerId, u64)>),
}

/// A write under way.
struct Write {
    rows: Vec<RowWrite>,
    at: u64,
    /// Number of the owner that sent it.
    owner: u64,
}

type Rows = BTreeMap<CustomerId, (Vec<u8>, u64)>;

pub(crate) struct ByDemand {
    names: Vec<CustomerId>,
    parts: Vec<QuotaParts>,
    stored: Vec<Rows>,
    writes: Vec<Option<Write>>,
    owners: Vec<u64>,
    /// When each pool last told each other one what it gave to it.
    told: Vec<Vec<u64>>,
    version: u64,
    network: Network<Message>,
    written: u64,
}

impl ByDemand {
    pub(crate) fn new(world: &World) -> Self {
        let pools = world.pools();
        let parts = (0..pools as u32).map(|pool| {
            let mut parts = QuotaParts::new(pool, MAX_ROW_BYTES);
            parts.load([]);
            parts
        });
        let mut way = Self {
            names: (0..world.customers()).map(|it| name(it).into()).collect(),
            parts: parts.collect(),
            stored: vec![Rows::new(); pools],
            writes: (0..pools).map(|_| None).collect(),
            owners: vec![0; pools],
            told: vec![vec![0; pools]; pools],
            version: 0,
            network: Network::new(),
            written: 0,
        };
        let total: u64 = world.sizes.iter().sum();
        for customer in &way.names {
            for (to, size) in (0..).zip(&world.sizes).skip(1) {
                let share = u64::from(UNITS) * size / total;
                way.parts[0].give(customer, to, share as u32);
            }
        }
        way
    }

    fn standing(&self, world: &World, pool: usize, customer: usize, own: u32) -> Standing {
        Standing::new(world.quota(customer), own, &world.demand(pool, customer))
    }

    fn ask(&mut self, world: &mut World, pool: usize) {
        let needs = (0..world.customers()).filter_map(|customer| {
            let name = &self.names[customer];
            let own = self.parts[pool].units_before_withholding(name);
            let standing = self.standing(world, pool, customer, own);
            standing.lacks().then(|| (Arc::clone(name), standing))
        });
        let needs: Vec<(CustomerId, Standing)> = needs.collect();
        if needs.is_empty() {
            return;
        }
        for to in (0..world.pools()).filter(|to| *to != pool) {
            let needs = QuotaNeeds {
                from: pool as u32,
                asked: world.pools() as u32 - 1,
                needs: needs.clone(),
            };
            self.network
                .send(&mut world.rng, world.now, to, Message::Needs(needs));
        }
    }

    fn answer(&mut self, world: &World, pool: usize, request: &QuotaNeeds) {
        for (id, theirs) in &request.needs {
            let Some(customer) = self.names.iter().position(|name| name == id) else {
                continue;
            };
            let parts = &self.parts[pool];
            let own = parts
                .units_before_withholding(id)
                .saturating_sub(parts.withheld_for_others(id, request.from));
            let mine = self.standing(world, pool, customer, own);
            let first = request.from < pool as u32;
            let decision = decide(&mine, theirs, request.asked, first);
            let parts = &mut self.parts[pool];
            let given = decision.give > 0 && parts.give(id, request.from, decision.give);
            let withheld = if given || decision.give == 0 {
                decision.withhold
            } else {
                decision.give + decision.withhold
            };
            parts.withhold(id, request.from, withheld, WITHHOLD_ROUNDS);
            let used = units_for(world.quota(customer), world.demand(pool, customer).used);
            parts.keep(id, used);
        }
    }

    fn deliver(&mut self, world: &mut World, pool: usize) {
        let pools: Vec<u32> = self.parts[pool].pools_with_untaken().collect();
        for to in pools {
            // A message under way is repeated only when its answer is overdue.
            let told = &mut self.told[pool][to as usize];
            if world.now < *told + 100 {
                continue;
            }
            *told = world.now;
            let totals = self.parts[pool].untaken(to, 80);
            let given = Message::Given(pool, totals);
            self.network
                .send(&mut world.rng, world.now, to as usize, given);
        }
    }

    /// Tells the givers what this pool has taken.
    fn acknowledge(&mut self, world: &mut World, pool: usize, rows: &[RowWrite]) {
        for from in (0..world.pools()).filter(|from| *from != pool) {
            let taken = rows.iter().map(|row| {
                let total = self.parts[pool].taken_from(from as u32, &row.customer);
                (Arc::clone(&row.customer), total)
            });
            let taken: Vec<(CustomerId, u64)> = taken.filter(|(_, total)| *total > 0).collect();
            if !taken.is_empty() {
                let taken = Message::Taken(pool, taken);
                self.network.send(&mut world.rng, world.now, from, taken);
            }
        }
    }

    fn handle(&mut self, world: &mut World, pool: usize, message: Message) {
        match message {
            Message::Needs(request) => self.answer(world, pool, &request),
            Message::Given(from, totals) => {
                let mut known = Vec::new();
                for (customer, total) in totals {
                    self.parts[pool].take(&customer, from as u32, total);
                    let taken = self.parts[pool].taken_from(from as u32, &customer);
                    if taken >= total {
                        known.push((customer, taken));
                    }
                }
                if !known.is_empty() {
                    let taken = Message::Taken(pool, known);
                    self.network.send(&mut world.rng, world.now, from, taken);
                }
            }
            Message::Taken(from, totals) => {
                for (customer, total) in totals {
                    self.parts[pool].acknowledged(from as u32, &customer, total);
                }
                self.told[pool][from] = 0;
                self.deliver(world, pool);
            }
        }
    }

    fn write(&mut self, world: &mut World, pool: usize) {
        if self.writes[pool].is_some() {
            return;
        }
        let rows = self.parts[pool].start_write(MAX_ROWS);
        if !rows.is_empty() {
            self.written += 1;
            self.writes[pool] = Some(Write {
                rows,
                at: world.now + world.rng.random_range(4..=20),
                owner: self.owners[pool],
            });
        }
    }

    /// Executes a write whose time has come.
    fn execute(&mut self, world: &mut World, pool: usize) {
        let Some(write) = self.writes[pool].take_if(|write| write.at <= world.now) else {
            return;
        };
        if write.owner != self.owners[pool] {
            return;
        }
        let version_of = |rows: &Rows, id| rows.get(id).map_or(0, |(_, version)| *version);
        let stored = &mut self.stored[pool];
        let conflict = write
            .rows
            .iter()
            .any(|row| version_of(stored, &row.customer) != row.version);
        let unanswered = world.rng.random_bool(0.02);
        let lost = world.rng.random_bool(0.01);
        if !conflict && !lost {
            self.version += 1;
            for row in &write.rows {
                let value = (row.value.clone(), self.version);
                stored.insert(Arc::clone(&row.customer), value);
            }
        }
        if unanswered || lost {
            self.parts[pool].write_lost();
        } else if conflict {
            let rows = write.rows.iter().map(|row| StoredRow {
                customer: Arc::clone(&row.customer),
                value: stored.get(&row.customer).map(|(value, _)| value.clone()),
                version: version_of(stored, &row.customer),
            });
            let rows: Vec<StoredRow> = rows.collect();
            self.parts[pool].write_conflicted(rows);
        } else {
            self.parts[pool].write_stored(self.version);
            self.acknowledge(world, pool, &write.rows);
            self.deliver(world, pool);
        }
    }
}

impl Way for ByDemand {
    fn allowed(&self, world: &World, pool: usize, customer: usize) -> u64 {
        world.share(customer, self.parts[pool].units_of(&self.names[customer]))
    }

    fn step(&mut self, world: &mut World) {
        for (pool, message) in self.network.receive(world.now) {
            if world.has_owner(pool) {
                self.handle(world, pool, message);
            }
        }
        for pool in (0..world.pools())
            .filter(|pool| world.has_owner(*pool))
            .collect::<Vec<_>>()
        {
            self.execute(world, pool);
            // The owners' rounds don't coincide.
            if (world.now + pool as u64 * 40).is_multiple_of(ROUND_MS) {
                self.parts[pool].end_round();
                self.deliver(world, pool);
                self.ask(world, pool);
            }
            if world.now.is_multiple_of(BATCH_MS) {
                self.write(world, pool);
            }
        }
    }

    fn owner_replaced(&mut self, _: &World, pool: usize) {
        self.owners[pool] += 1;
        self.writes[pool] = None;
        let rows = self.stored[pool].iter().map(|(customer, row)| StoredRow {
            customer: Arc::clone(customer),
            value: Some(row.0.clone()),
            version: row.1,
        });
        self.parts[pool].load(rows);
    }

    fn messages_and_writes(&self) -> (u64, u64) {
        (self.network.sent, self.written)
    }
}
