//! What a host knows about the owner of each pool.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use pool::Ms;
use rustc_hash::FxHashMap;

use crate::clock;
use crate::host::{Host, lock};
use crate::link::Link;
use crate::owner::Owner;
use crate::route::Load;
use crate::wire::Heartbeat;

/// A heartbeat counts as recent for this long, which is four heartbeat intervals; after that the owner may have failed.
const MAX_HEARTBEAT_AGE: Ms = 1_000;
/// What a heartbeat says about the store counts for this long.
const MAX_STORE_STATUS_AGE: Ms = 1_500;

/// The last heartbeat that this host received from a pool's owner.
#[derive(Clone, Debug, Default)]
pub(crate) struct LastHeartbeat {
    /// When it was received.
    pub received_at: Ms,
    pub heartbeat: Heartbeat,
}

impl LastHeartbeat {
    /// Its age at `now`; `None` if there was none.
    pub(crate) fn age(&self, now: Ms) -> Option<Ms> {
        (self.received_at > 0).then(|| now.saturating_sub(self.received_at))
    }
}

/// What a host knows about the owner of one pool.
#[derive(Clone, Default)]
pub(crate) struct PoolState {
    /// The owner, if it is this host.
    pub owner: Option<Arc<Owner>>,
    /// The link to the owner, if it is another host and there is a connection.
    pub link: Option<Arc<Link>>,
    /// The last heartbeat of the owner.
    pub last_heartbeat: LastHeartbeat,
}

impl Host {
    /// What this host knows about a pool's owner.
    pub(crate) fn pool_state(&self, pool: u32) -> PoolState {
        let pool_states = lock(&self.pool_states);
        pool_states.get(pool as usize).cloned().unwrap_or_default()
    }

    /// Changes the state of a pool, which is created if there is none yet.
    pub(crate) fn update_pool_state(&self, pool: u32, change: impl FnOnce(&mut PoolState)) {
        let mut pool_states = lock(&self.pool_states);
        let index = pool as usize;
        if pool_states.len() <= index {
            pool_states.resize_with(index + 1, PoolState::default);
        }
        if let Some(state) = pool_states.get_mut(index) {
            change(state);
        }
    }

    /// The owner of a pool, if it is this host.
    #[must_use]
    pub fn owner(&self, pool: u32) -> Option<Arc<Owner>> {
        self.pool_state(pool).owner
    }

    pub(crate) fn set_owner(&self, pool: u32, owner: Option<Arc<Owner>>) {
        let reachable = owner.is_some();
        self.change_route(pool, reachable, |state| state.owner = owner);
    }

    pub(crate) fn set_link(&self, pool: u32, link: Option<Arc<Link>>) {
        let reachable = link.is_some();
        self.change_route(pool, reachable, |state| state.link = link);
    }

    /// Changes how a pool's owner is reached; `reachable` tells whether it can be reached afterwards.
    fn change_route(&self, pool: u32, reachable: bool, change: impl FnOnce(&mut PoolState)) {
        if reachable {
            self.knows_owner.store(true, Ordering::Relaxed);
        }
        self.update_pool_state(pool, change);
        self.owner_missing.notify_one();
    }

    /// Pools whose owner this host neither is nor has a link to.
    pub(crate) fn pools_without_known_owner(&self) -> Vec<u32> {
        let pools = self.pool_map.load().pool_count();
        let pool_states = lock(&self.pool_states);
        let has_owner = |pool: &u32| {
            let state = pool_states.get(*pool as usize);
            state.is_some_and(|state| state.owner.is_some() || state.link.is_some())
        };
        (0..pools).filter(|pool| !has_owner(pool)).collect()
    }

    /// Number of pools that this host owns.
    pub(crate) fn owned_pool_count(&self) -> u32 {
        let pool_states = lock(&self.pool_states);
        pool_states
            .iter()
            .filter(|state| state.owner.is_some())
            .count() as u32
    }

    /// Number of pools up to and including this one that this host owns.
    pub(crate) fn owned_pool_count_up_to(&self, pool: u32) -> u32 {
        let pool_states = lock(&self.pool_states);
        let up_to = pool_states.iter().take(pool as usize + 1);
        up_to.filter(|state| state.owner.is_some()).count() as u32
    }

    /// The link to the owner of a pool, if there is one.
    pub(crate) fn owner_link(&self, pool: u32) -> Option<Arc<Link>> {
        self.pool_state(pool).link
    }

    /// Epoch of a pool's owner if this host is the owner or has a link to it, otherwise 0.
    pub(crate) fn owner_epoch(&self, pool: u32) -> u64 {
        let state = self.pool_state(pool);
        match (state.owner, state.link) {
            (Some(owner), _) => owner.epoch(),
            (None, Some(_)) => state.last_heartbeat.heartbeat.epoch,
            (None, None) => 0,
        }
    }

    /// The link to an owner that the store serves, according to a recent heartbeat.
    pub(crate) fn link_to_owner_with_store(&self) -> Option<Arc<Link>> {
        let now = clock::now();
        let pool_states = lock(&self.pool_states);
        let found = pool_states.iter().find(|state| {
            state.link.is_some()
                && state.last_heartbeat.heartbeat.store_available
                && now.saturating_sub(state.last_heartbeat.received_at) < MAX_STORE_STATUS_AGE
        });
        found.and_then(|state| state.link.clone())
    }

    /// The last heartbeat of a pool's owner.
    pub(crate) fn last_heartbeat(&self, pool: u32) -> LastHeartbeat {
        let pool_states = lock(&self.pool_states);
        pool_states
            .get(pool as usize)
            .map_or_else(LastHeartbeat::default, |state| state.last_heartbeat.clone())
    }

    /// The sum of a value over the heartbeats of all pools' owners; `None` if one of the heartbeats is `max_age` milliseconds
    /// old or older, or has no value.
    pub(crate) fn sum_over_pools(
        &self,
        max_age: Ms,
        value: impl Fn(&Heartbeat) -> Option<u64>,
    ) -> Option<u64> {
        let now = clock::now();
        let pools = self.pool_map.load().pool_count() as usize;
        let pool_states = lock(&self.pool_states);
        let values = (0..pools).map(|pool| {
            let state = pool_states.get(pool)?;
            let recent = now.saturating_sub(state.last_heartbeat.received_at) < max_age;
            recent
                .then(|| value(&state.last_heartbeat.heartbeat))
                .flatten()
        });
        values.sum()
    }

    /// The load of each pool according to the last heartbeat of its owner.
    pub(crate) fn pool_loads(&self) -> FxHashMap<u32, Load> {
        let now = clock::now();
        let pool_states = lock(&self.pool_states);
        let loads = pool_states.iter().enumerate().map(|(pool, state)| {
            let load = Load {
                is_recent: now.saturating_sub(state.last_heartbeat.received_at) < MAX_HEARTBEAT_AGE
                    && state.last_heartbeat.heartbeat.pending.is_some(),
                load: state.last_heartbeat.heartbeat.load,
                labels: state.last_heartbeat.heartbeat.labels.clone(),
            };
            (pool as u32, load)
        });
        loads.collect()
    }

    /// Number of hosts of the deployment, as far as owners have told; 0 if none has.
    pub(crate) fn host_count(&self) -> u32 {
        let pool_states = lock(&self.pool_states);
        let counts = pool_states
            .iter()
            .map(|state| state.last_heartbeat.heartbeat.hosts);
        counts.max().unwrap_or(0)
    }

    /// The link to an owner whose last heartbeat is recent and fulfils a condition.
    pub(crate) fn link_to_owner_where(
        &self,
        condition: impl Fn(&Heartbeat) -> bool,
    ) -> Option<Arc<Link>> {
        let now = clock::now();
        let pool_states = lock(&self.pool_states);
        let found = pool_states.iter().find(|state| {
            now.saturating_sub(state.last_heartbeat.received_at) < MAX_HEARTBEAT_AGE
                && condition(&state.last_heartbeat.heartbeat)
                && state.link.is_some()
        });
        found.and_then(|state| state.link.clone())
    }
}
