//! Parts in proportion to the pools' capacities, which never move.

use host::quota_parts::UNITS;

use crate::world::{Way, World};

pub(crate) struct Fixed {
    units: Vec<u32>,
}

impl Fixed {
    pub(crate) fn new(world: &World) -> Self {
        let total: u64 = world.sizes.iter().sum();
        let units = world
            .sizes
            .iter()
            .map(|size| (u64::from(UNITS) * size / total) as u32);
        Self {
            units: units.collect(),
        }
    }
}

impl Way for Fixed {
    fn allowed(&self, world: &World, pool: usize, customer: usize) -> u64 {
        world.share(customer, self.units[pool])
    }

    fn step(&mut self, _: &mut World) {}

    fn owner_replaced(&mut self, _: &World, _: usize) {}

    fn messages_and_writes(&self) -> (u64, u64) {
        (0, 0)
    }
}
