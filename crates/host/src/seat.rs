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
use crate::wire::Beat;

/// An owner whose last beat is older than four of them may be gone.
const RECENT: Ms = 1_000;
/// What an owner said of the store counts for this long.
const SERVED_NEWS: Ms = 1_500;

/// What this host heard from an owner last.
#[derive(Clone, Debug, Default)]
pub(crate) struct Heard {
    pub at: Ms,
    pub beat: Beat,
}

/// One pool, as a host that may own it sees it.
#[derive(Clone, Default)]
pub(crate) struct Seat {
    /// The owner, if it is this host.
    pub owner: Option<Arc<Owner>>,
    /// The way to the owner, if it is another host and there is one.
    pub link: Option<Arc<Link>>,
    /// What the owner said last.
    pub heard: Heard,
}

impl Host {
    /// What is known of a pool's owner.
    pub(crate) fn seat(&self, pool: u32) -> Seat {
        let seats = lock(&self.seats);
        seats.get(pool as usize).cloned().unwrap_or_default()
    }

    pub(crate) fn change(&self, pool: u32, change: impl FnOnce(&mut Seat)) {
        let mut seats = lock(&self.seats);
        let at = pool as usize;
        if seats.len() <= at {
            seats.resize_with(at + 1, Seat::default);
        }
        if let Some(seat) = seats.get_mut(at) {
            change(seat);
        }
    }

    /// The owner of a pool, if it is this host.
    #[must_use]
    pub fn owner(&self, pool: u32) -> Option<Arc<Owner>> {
        self.seat(pool).owner
    }

    pub(crate) fn set_owner(&self, pool: u32, owner: Option<Arc<Owner>>) {
        let known = owner.is_some();
        self.change_holder(pool, known, |seat| seat.owner = owner);
    }

    pub(crate) fn set_link(&self, pool: u32, link: Option<Arc<Link>>) {
        let known = link.is_some();
        self.change_holder(pool, known, |seat| seat.link = link);
    }

    /// Changes by what a pool's owner is reached; `known` if there is a way to it.
    fn change_holder(&self, pool: u32, known: bool, change: impl FnOnce(&mut Seat)) {
        if known {
            self.knows_owner.store(true, Ordering::Relaxed);
        }
        self.change(pool, change);
        self.unowned.notify_one();
    }

    /// Whether there is a pool whose owner this host doesn't know.
    pub(crate) fn misses_owner(&self) -> bool {
        let pools = self.plan.load().pools() as usize;
        let seats = lock(&self.seats);
        let known = seats.iter().take(pools);
        known
            .filter(|seat| seat.owner.is_some() || seat.link.is_some())
            .count()
            < pools
    }

    /// How many pools this host owns.
    pub(crate) fn owns(&self) -> u32 {
        let seats = lock(&self.seats);
        seats.iter().filter(|seat| seat.owner.is_some()).count() as u32
    }

    /// How many of the pools up to this one, itself included, this host owns.
    pub(crate) fn owns_up_to(&self, pool: u32) -> u32 {
        let seats = lock(&self.seats);
        let up_to = seats.iter().take(pool as usize + 1);
        up_to.filter(|seat| seat.owner.is_some()).count() as u32
    }

    pub(crate) fn link(&self, pool: u32) -> Option<Arc<Link>> {
        self.seat(pool).link
    }

    /// Epoch of a pool's owner, if this host is linked to it or is it; 0 if not.
    pub(crate) fn epoch(&self, pool: u32) -> u64 {
        let seat = self.seat(pool);
        match (seat.owner, seat.link) {
            (Some(owner), _) => owner.epoch(),
            (None, Some(_)) => seat.heard.beat.epoch,
            (None, None) => 0,
        }
    }

    /// The way to an owner that the store serves, as far as this host knows.
    pub(crate) fn served_link(&self) -> Option<Arc<Link>> {
        let now = clock::now();
        let seats = lock(&self.seats);
        let served = seats.iter().find(|seat| {
            seat.link.is_some()
                && seat.heard.beat.served
                && now.saturating_sub(seat.heard.at) < SERVED_NEWS
        });
        served.and_then(|seat| seat.link.clone())
    }

    pub(crate) fn heard(&self, pool: u32) -> Heard {
        let seats = lock(&self.seats);
        seats
            .get(pool as usize)
            .map_or_else(Heard::default, |seat| seat.heard.clone())
    }

    /// Sums up what owners said within the last `age` milliseconds; `None` if one of them wasn't heard or didn't know.
    pub(crate) fn sum(&self, age: Ms, part: impl Fn(&Beat) -> Option<u64>) -> Option<u64> {
        let now = clock::now();
        let pools = self.plan.load().pools() as usize;
        let seats = lock(&self.seats);
        let told = (0..pools).map(|pool| {
            let seat = seats.get(pool)?;
            let recent = now.saturating_sub(seat.heard.at) < age;
            recent.then(|| part(&seat.heard.beat)).flatten()
        });
        told.sum()
    }

    /// How loaded the pools are, as far as this host knows.
    pub(crate) fn loads(&self) -> FxHashMap<u32, Load> {
        let now = clock::now();
        let seats = lock(&self.seats);
        let loads = seats.iter().enumerate().map(|(pool, seat)| {
            let load = Load {
                heard: now.saturating_sub(seat.heard.at) < RECENT
                    && seat.heard.beat.pending.is_some(),
                taken: seat.heard.beat.taken,
                labels: seat.heard.beat.labels.clone(),
            };
            (pool as u32, load)
        });
        loads.collect()
    }

    /// The way to an owner that was heard lately and knows something newer.
    pub(crate) fn ahead(&self, newer: impl Fn(&Beat) -> bool) -> Option<Arc<Link>> {
        let now = clock::now();
        let seats = lock(&self.seats);
        let ahead = seats.iter().find(|seat| {
            now.saturating_sub(seat.heard.at) < RECENT
                && newer(&seat.heard.beat)
                && seat.link.is_some()
        });
        ahead.and_then(|seat| seat.link.clone())
    }
}
