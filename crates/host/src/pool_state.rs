//! What a host knows of the pools' owners.

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

/// An owner whose last beat is older than four of them may be gone.
const RECENT: Ms = 1_000;
/// What an owner said of the store counts for this long.
const SERVED_NEWS: Ms = 1_500;

/// What this host heard from an owner last.
#[derive(Clone, Debug, Default)]
pub(crate) struct LastHeartbeat {
    pub received_at: Ms,
    pub heartbeat: Heartbeat,
}

/// One pool, as a host that may own it sees it.
#[derive(Clone, Default)]
pub(crate) struct PoolState {
    /// The owner, if it is this host.
    pub owner: Option<Arc<Owner>>,
    /// The way to the owner, if it is another host and there is one.
    pub link: Option<Arc<Link>>,
    /// What the owner said last.
    pub last_heartbeat: LastHeartbeat,
}

impl Host {
    /// What is known of a pool's owner.
    pub(crate) fn pool_state(&self, pool: u32) -> PoolState {
        let pool_states = lock(&self.pool_states);
        pool_states.get(pool as usize).cloned().unwrap_or_default()
    }

    pub(crate) fn update_pool_state(&self, pool: u32, change: impl FnOnce(&mut PoolState)) {
        let mut pool_states = lock(&self.pool_states);
        let at = pool as usize;
        if pool_states.len() <= at {
            pool_states.resize_with(at + 1, PoolState::default);
        }
        if let Some(state) = pool_states.get_mut(at) {
            change(state);
        }
    }

    /// The owner of a pool, if it is this host.
    #[must_use]
    pub fn owner(&self, pool: u32) -> Option<Arc<Owner>> {
        self.pool_state(pool).owner
    }

    pub(crate) fn set_owner(&self, pool: u32, owner: Option<Arc<Owner>>) {
        let known = owner.is_some();
        self.change_holder(pool, known, |state| state.owner = owner);
    }

    pub(crate) fn set_link(&self, pool: u32, link: Option<Arc<Link>>) {
        let known = link.is_some();
        self.change_holder(pool, known, |state| state.link = link);
    }

    /// Changes by what a pool's owner is reached; `known` if there is a way to it.
    fn change_holder(&self, pool: u32, known: bool, change: impl FnOnce(&mut PoolState)) {
        if known {
            self.knows_owner.store(true, Ordering::Relaxed);
        }
        self.update_pool_state(pool, change);
        self.owner_missing.notify_one();
    }

    /// Whether there is a pool whose owner this host doesn't know.
    pub(crate) fn has_unknown_owner(&self) -> bool {
        let pools = self.pool_map.load().pool_count() as usize;
        let pool_states = lock(&self.pool_states);
        let known = pool_states.iter().take(pools);
        known
            .filter(|state| state.owner.is_some() || state.link.is_some())
            .count()
            < pools
    }

    /// How many pools this host owns.
    pub(crate) fn owned_pool_count(&self) -> u32 {
        let pool_states = lock(&self.pool_states);
        pool_states
            .iter()
            .filter(|state| state.owner.is_some())
            .count() as u32
    }

    /// How many of the pools up to this one, itself included, this host owns.
    pub(crate) fn owned_pool_count_up_to(&self, pool: u32) -> u32 {
        let pool_states = lock(&self.pool_states);
        let up_to = pool_states.iter().take(pool as usize + 1);
        up_to.filter(|state| state.owner.is_some()).count() as u32
    }

    pub(crate) fn owner_link(&self, pool: u32) -> Option<Arc<Link>> {
        self.pool_state(pool).link
    }

    /// Epoch of a pool's owner, if this host is linked to it or is it; 0 if not.
    pub(crate) fn owner_epoch(&self, pool: u32) -> u64 {
        let state = self.pool_state(pool);
        match (state.owner, state.link) {
            (Some(owner), _) => owner.epoch(),
            (None, Some(_)) => state.last_heartbeat.heartbeat.epoch,
            (None, None) => 0,
        }
    }

    /// The way to an owner that the store serves, as far as this host knows.
    pub(crate) fn link_to_owner_with_store(&self) -> Option<Arc<Link>> {
        let now = clock::now();
        let pool_states = lock(&self.pool_states);
        let served = pool_states.iter().find(|state| {
            state.link.is_some()
                && state.last_heartbeat.heartbeat.store_available
                && now.saturating_sub(state.last_heartbeat.received_at) < SERVED_NEWS
        });
        served.and_then(|state| state.link.clone())
    }

    pub(crate) fn last_heartbeat(&self, pool: u32) -> LastHeartbeat {
        let pool_states = lock(&self.pool_states);
        pool_states
            .get(pool as usize)
            .map_or_else(LastHeartbeat::default, |state| state.last_heartbeat.clone())
    }

    /// Sums up what owners said within the last `max_age` milliseconds; `None` if one of them wasn't heard or didn't know.
    pub(crate) fn sum_over_pools(
        &self,
        max_age: Ms,
        part: impl Fn(&Heartbeat) -> Option<u64>,
    ) -> Option<u64> {
        let now = clock::now();
        let pools = self.pool_map.load().pool_count() as usize;
        let pool_states = lock(&self.pool_states);
        let told = (0..pools).map(|pool| {
            let state = pool_states.get(pool)?;
            let recent = now.saturating_sub(state.last_heartbeat.received_at) < max_age;
            recent
                .then(|| part(&state.last_heartbeat.heartbeat))
                .flatten()
        });
        told.sum()
    }

    /// How loaded the pools are, as far as this host knows.
    pub(crate) fn pool_loads(&self) -> FxHashMap<u32, Load> {
        let now = clock::now();
        let pool_states = lock(&self.pool_states);
        let loads = pool_states.iter().enumerate().map(|(pool, state)| {
            let load = Load {
                is_recent: now.saturating_sub(state.last_heartbeat.received_at) < RECENT
                    && state.last_heartbeat.heartbeat.pending.is_some(),
                load: state.last_heartbeat.heartbeat.load,
                labels: state.last_heartbeat.heartbeat.labels.clone(),
            };
            (pool as u32, load)
        });
        loads.collect()
    }

    /// The way to an owner that was heard lately and knows something newer.
    pub(crate) fn link_to_owner_where(
        &self,
        newer: impl Fn(&Heartbeat) -> bool,
    ) -> Option<Arc<Link>> {
        let now = clock::now();
        let pool_states = lock(&self.pool_states);
        let ahead = pool_states.iter().find(|state| {
            now.saturating_sub(state.last_heartbeat.received_at) < RECENT
                && newer(&state.last_heartbeat.heartbeat)
                && state.link.is_some()
        });
        ahead.and_then(|state| state.link.clone())
    }
}
