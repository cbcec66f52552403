//! Other hosts, as the owner sees them: beats, what they say, and which of them should own the pool instead.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::info;
use pool::{Mechanism, Ms, WorkerId};
use rustc_hash::FxHashMap;
use tokio::sync::mpsc;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::Owner;
use crate::advisor_proxies::AdvisorProxy;
use crate::clock;
use crate::election::NEAR_MS;
use crate::host::lock;
use crate::lag::TimerLag;
use crate::peers::BEAT;
use crate::rows::Successor;
use crate::store_outage::Candidate;
use crate::suitability::Suitability;
use crate::wire::{FromOwner, Heartbeat, ToOwner};

/// A better placed host gets a pool only if the store has served it for this long.
const STEADY: Ms = 800;
/// An owner that works well gives the pool to a better placed host only after this long: hosts come and go at a start.
const SETTLED: Ms = 5_000;
/// The same for an owner that has too little for the pool: long enough for the others to join.
const SETTLED_WEAK: Ms = 600;
/// An owner whose writes go unanswered gives the pool up only after this long.
const SETTLED_UNANSWERED: Ms = 3_000;
/// Shortest time between two beats: a store that answers every other call must not fill the line with news of it.
const BEAT_LEAST: Duration = Duration::from_millis(120);
/// An owner that has no time for its pool gives it to another host after this long.
const SETTLED_OVERLOADED: Ms = 1_500;
/// Time between two looks whether another host should have the pool.
const HAND_OVER_INTERVAL: Duration = Duration::from_millis(50);
/// A host that was urged to take the pool has this long to do so before another is urged.
const URGE: Ms = 1_000;
/// How many heirs an owner names: enough that some are left when a data centre is lost with the owner.
const HEIRS: usize = 8;
/// A host that was not heard for this long gets no questions.
pub(super) const QUIET: Ms = 800;

/// Another host, as the owner sees it.
pub(super) struct Member {
    pub(super) number: u64,
    /// Where other hosts reach it.
    address: SocketAddr,
    /// Its share of a processor.
    processors: f64,
    /// Its line, in Mbit/s.
    line: f64,
    pub(super) to: mpsc::Sender<FromOwner>,
    pub(super) heard: Ms,
    /// When its last beat was sent, on its clock; 0 if none came.
    sent: Ms,
    /// Since when the store serves it, as far as it said; `None` if it doesn't.
    served: Option<Ms>,
    /// When the store answered it last, as far as it said.
    answered: Ms,
    pub(super) away: u64,
    /// How many pools it owns.
    owns: u32,
    /// How it answers questions to the advisor.
    pub(super) helper: AdvisorProxy,
    /// It asks the advisor for this pool: the advisor serves one question at a time for each host, so hosts are divided
    /// over the pools.
    pub(super) helps: bool,
}

impl Member {
    /// Whether it was heard lately and the store has served it for this long.
    fn is_served(&self, now: Ms, least: Ms) -> bool {
        let since = self.served.map(|since| now.saturating_sub(since));
        since.is_some_and(|time| time >= least) && now.saturating_sub(self.heard) < QUIET
    }

    fn candidate(&self) -> Candidate {
        Candidate {
            available_since: self.served,
            last_answer: self.answered,
        }
    }

    fn post(&self) -> Suitability {
        Suitability {
            near: self.away <= NEAR_MS,
            processors: self.processors,
            line: self.line,
            pools: self.owns + 1,
        }
    }
}

impl Owner {
    /// When the host is stopped, or the store doesn't serve it, urges another host to take the pool.
    ///
    /// The owner goes on until the other has it, and learns that from the workers or the store. If it stopped before, and
    /// the other couldn't write the owner's row (a part of the store may be down for all), nobody would own the pool.
    pub(super) async fn hand_over(self: Arc<Self>) {
        let began = clock::now();
        let mut urged: FxHashMap<String, Ms> = FxHashMap::default();
        let mut lag = TimerLag::default();
        loop {
            let due = clock::now() + HAND_OVER_INTERVAL.as_millis() as Ms;
            tokio::time::sleep(HAND_OVER_INTERVAL).await;
            let now = clock::now();
            lag.note(now, now.saturating_sub(due));
            let recent = urged.values().any(|&at| now.saturating_sub(at) < URGE);
            if recent {
                continue;
            }
            if let Some(name) = self.next_owner(now, began, lag.is_overloaded(now), &urged) {
                urged.insert(name, now);
            }
        }
    }

    /// Urges the host that should own the pool in place of this one, if there is one; tells which.
    fn next_owner(
        &self,
        now: Ms,
        began: Ms,
        overloaded: bool,
        urged: &FxHashMap<String, Ms>,
    ) -> Option<String> {
        let unserved = lock(&self.unserved).filter(|unserved| {
            // A write that was sent just before the store came back is still unanswered when other calls are served again.
            let all_fail = if unserved.only_refusals {
                self.host.store_failing_since().is_some()
            } else {
                !self.host.store_available()
            };
            // It could write its row when it took the pool. That answers don't come now is a matter of a full line: the next owner
            // would read everything over one like it.
            let settled = unserved.only_refusals || now.saturating_sub(began) > SETTLED_UNANSWERED;
            unserved.warrants_handover(now) && all_fail && settled
        });
        let draining = self.host.stop.is_draining();
        // A new owner has much to do at first, and a pool that no host has time for must not go round.
        let overloaded = overloaded && now.saturating_sub(began) > SETTLED_OVERLOADED;
        let leaving = unserved.is_some() || draining || overloaded;
        let workers = self.workers();
        let own = Suitability {
            near: self.host.store_rtt() <= NEAR_MS,
            processors: self.host.settings.processors,
            line: self.host.settings.link_mbps,
            pools: self.host.owned_pool_count_up_to(self.number),
        };
        // One that is too weak for the pool may never know the jobs.
        let settled = if own.suits(workers) {
            self.loaded.load(Ordering::Relaxed) && now.saturating_sub(began) > SETTLED
        } else {
            now.saturating_sub(began) > SETTLED_WEAK
        };
        if !leaving && !settled {
            return None;
        }
        let takes = |member: &Member| match unserved {
            Some(unserved) if !draining => unserved.can_take_over(now, &member.candidate()),
            None if !draining => member.is_served(now, STEADY),
            _ => true,
        };
        let members = lock(&self.members);
        let (name, member) = members
            .iter()
            .filter(|(_, member)| member.is_served(now, 0) && takes(member))
            .filter(|(_, member)| !overloaded || draining || member.post().suits(workers))
            .filter(|(_, member)| leaving || member.post().better(&own, workers))
            .min_by(|(a, a_is), (b, b_is)| {
                let urged = |name| urged.get(name).copied().unwrap_or(0);
                let rank = |member: &Member| member.post().rank(workers);
                (urged(*a).cmp(&urged(*b)))
                    .then_with(|| rank(b_is).total_cmp(&rank(a_is)))
                    .then_with(|| self.turn(a).cmp(&self.turn(b)))
            })?;
        info!(pool = self.number, heir = name.as_str(), epoch = self.epoch, unserved = unserved.is_some(), overloaded = overloaded, suits = own.suits(workers); "urges a host to take the pool");
        drop(
            member
                .to
                .try_send(FromOwner::TakeOver { epoch: self.epoch }),
        );
        Some(name.clone())
    }

    /// The largest pool that a host should own, among those that are here.
    pub(super) fn largest_pool(&self) -> u32 {
        let own = Suitability {
            near: true,
            processors: self.host.settings.processors,
            line: self.host.settings.link_mbps,
            pools: 1,
        };
        let members = lock(&self.members);
        let others = members.values().map(|member| {
            let post = Suitability {
                pools: 1,
                ..member.post()
            };
            post.capacity()
        });
        others.fold(own.capacity(), u32::max).max(1)
    }

    /// How many workers the pool has.
    fn workers(&self) -> u32 {
        let listed = lock(&self.pool)
            .workers()
            .filter(|it| it.registered)
            .count() as u32;
        listed.max(self.host.pool_map().size(self.number))
    }

    /// Order of equally well placed hosts. It differs by pool, or all pools of a host would be handed to the same one, and
    /// from there to the next.
    fn turn(&self, name: &str) -> u64 {
        xxh3_64_with_seed(name.as_bytes(), self.number.into())
    }

    /// Hosts that should take the pool when this one is lost, the best placed first.
    pub(crate) fn heirs(&self) -> Vec<Successor> {
        if !self.host.has(Mechanism::Heirs) {
            return Vec::new();
        }
        let now = clock::now();
        let workers = self.workers();
        let members = lock(&self.members);
        let mut heirs: Vec<(f64, Successor)> = members
            .iter()
            .filter(|(_, member)| member.is_served(now, 0))
            .map(|(name, member)| {
                let heir = Successor {
                    host: name.clone(),
                    address: member.address,
                };
                (member.post().rank(workers), heir)
            })
            .collect();
        heirs.sort_by(|(a, one), (b, other)| {
            b.total_cmp(a)
                .then_with(|| self.turn(&one.host).cmp(&self.turn(&other.host)))
        });
        heirs.truncate(HEIRS);
        heirs.into_iter().map(|(_, heir)| heir).collect()
    }

    /// Tells all hosts that the owner is alive and what they have to know.
    pub(super) async fn beat(self: Arc<Self>) {
        loop {
            let (pending, load) = {
                let pool = lock(&self.pool);
                (pool.pending(), pool.load())
            };
            let loaded = self.loaded.load(Ordering::Relaxed);
            self.show(&load, pending.values().sum());
            let beat = Heartbeat {
                pool: self.number,
                epoch: self.epoch,
                catalog: self.host.catalog_version(),
                catalog_as_of: 0,
                catalog_age: Ms::MAX,
                echoed_at: 0,
                store_available: self.host.store_available(),
                store_failing: self.host.store_failing_since().is_some(),
                pool_map: self.host.pool_map().version,
                pending: loaded.then_some(pending),
                load: load.demand,
                labels: load.labels,
            };
            let mut alive = 1;
            {
                let now = clock::now();
                let mut members = lock(&self.members);
                for (name, member) in members.iter_mut() {
                    member.helps = self.is_helped_by(name);
                    drop(
                        member
                            .to
                            .try_send(FromOwner::Heartbeat(self.beat_to(member, &beat))),
                    );
                    alive += usize::from(member.helps && now.saturating_sub(member.heard) < QUIET);
                }
            }
            lock(&self.pool).set_max_queries(alive);
            self.host.receive_heartbeat(beat);
            let changed = self.host.catalog_sync.changed.notified();
            let store_changed = self.host.store_changed.notified();
            tokio::time::sleep(BEAT_LEAST).await;
            tokio::select! {
                () = tokio::time::sleep(BEAT - BEAT_LEAST) => {}
                () = changed => {}
                // Hosts that the store doesn't serve yet have their callers' jobs stored by the owner; and where it serves the owner
                // no more, others have to find out whether it serves them.
                () = store_changed => {}
            }
        }
    }

    /// A beat as it is told to one host: what it says of the configuration was so when that host's last beat came.
    fn beat_to(&self, member: &Member, beat: &Heartbeat) -> Heartbeat {
        let (catalog_as_of, catalog_age) = (self.host.catalog_as_of(), self.host.catalog_age());
        Heartbeat {
            echoed_at: member.sent,
            catalog_as_of,
            catalog_age,
            // Read after these: a version that came between is only newer.
            catalog: self.host.catalog_version(),
            ..beat.clone()
        }
    }

    /// Whether a host asks the advisor for this pool.
    fn is_helped_by(&self, name: &str) -> bool {
        let pools = u64::from(self.host.pool_map().pool_count());
        xxh3_64(name.as_bytes()) % pools == u64::from(self.number)
    }

    /// Shows in the metrics how loaded the pool is.
    fn show(&self, load: &pool::Load, pending: u64) {
        let pool = self.number.to_string();
        metrics::gauge!("lentilyoke_room_used_share", "pool" => pool.clone()).set(load.used);
        metrics::gauge!("lentilyoke_steps_open", "pool" => pool.clone())
            .set(load.open_steps as f64);
        metrics::gauge!("lentilyoke_jobs_pending", "pool" => pool.clone()).set(pending as f64);
        for (service, room) in &load.services {
            let parts = [
                ("processors", room.used.millicores, room.total.millicores),
                ("memory", room.used.memory_mib, room.total.memory_mib),
                (
                    "accelerators",
                    room.used.accelerators,
                    room.total.accelerators,
                ),
            ];
            for (part, used, all) in parts.into_iter().filter(|(_, _, all)| *all > 0) {
                let share = used as f64 / all as f64;
                metrics::gauge!("lentilyoke_service_used_share", "pool" => pool.clone(), "service" => service.clone(), "part" => part)
                    .set(share);
            }
        }
    }

    /// A host has joined; tells the number of its connection.
    pub(crate) fn joined(
        &self,
        name: &str,
        address: SocketAddr,
        (processors, line): (f64, f64),
        to: mpsc::Sender<FromOwner>,
    ) -> u64 {
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        drop(to.try_send(FromOwner::Heartbeat(
            self.host.last_heartbeat(self.number).heartbeat,
        )));

        lock(&self.members).insert(
            name.to_owned(),
            Member {
                number,
                address,
                processors,
                line,
                to,
                heard: clock::now(),
                sent: 0,
                served: None,
                answered: 0,
                away: u64::MAX,
                owns: 0,
                helps: self.is_helped_by(name),
                helper: AdvisorProxy::default(),
            },
        );
        info!(pool = self.number, host = name, epoch = self.epoch; "a host joined the owner");
        number
    }

    /// A host's connection has ended.
    pub(crate) fn left(&self, name: &str, number: u64) {
        let mut members = lock(&self.members);
        if members
            .get(name)
            .is_some_and(|member| member.number == number)
        {
            members.remove(name);
        }
    }

    /// A host said something.
    pub(crate) fn told(
        self: &Arc<Self>,
        name: &str,
        number: u64,
        message: ToOwner,
        to: &mpsc::Sender<FromOwner>,
    ) {
        match message {
            ToOwner::Heartbeat {
                store_available,
                store_rtt,
                owned_pools,
                sent,
                store_answer_age,
                ..
            } => {
                if let Some(member) = lock(&self.members).get_mut(name)
                    && member.number == number
                {
                    member.heard = clock::now();
                    member.served = store_available.then(|| member.served.unwrap_or(member.heard));
                    member.answered =
                        store_answer_age.map_or(0, |age| member.heard.saturating_sub(age));
                    member.away = store_rtt;
                    member.owns = owned_pools;
                    member.sent = sent;
                }
            }
            ToOwner::Accepted(job, place) => self.add_accepted_job(*job, place),
            ToOwner::Advised(number, allowed) => {
                let allowed = allowed.map(|(rows, valid)| {
                    let rows = rows
                        .into_iter()
                        .map(|(id, text)| (WorkerId::from(id), text));
                    (rows.collect(), valid)
                });
                self.told_advice(number, allowed.as_ref());
            }
            ToOwner::Call(number, call) => {
                let (owner, to) = (Arc::clone(self), to.clone());
                self.host.stop.spawn(async move {
                    let reply = owner.handle_call(call).await;
                    drop(to.send(FromOwner::Reply(number, reply)).await);
                });
            }
            ToOwner::Hello { .. } | ToOwner::OwnerReachable(_) => {}
        }
    }
}
