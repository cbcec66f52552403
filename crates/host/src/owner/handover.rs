//! Requests that another host take over the pool, and the choice of that host.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::info;
use pool::Ms;
use rustc_hash::FxHashMap;

use super::Owner;
use super::connected_hosts::ConnectedHost;
use crate::clock;
use crate::first_source::NEAR_STORE_RTT_MS;
use crate::host::lock;
use crate::lag::TimerLag;
use crate::suitability::Suitability;
use crate::wire::FromOwner;

/// A more suitable host gets a pool only if the store has served it for this long.
const MIN_STORE_AVAILABILITY: Ms = 800;
/// An owner with sufficient resources hands the pool over to a more suitable host only after this long, since hosts come and go
/// while a deployment starts.
const MIN_OWNERSHIP: Ms = 5_000;
/// The same for an owner with insufficient resources: long enough for other hosts to connect.
const MIN_OWNERSHIP_INSUFFICIENT: Ms = 600;
/// An owner whose writes are not answered hands the pool over only after this long.
const MIN_OWNERSHIP_UNANSWERED: Ms = 3_000;
/// An overloaded owner hands the pool over only after this long.
const MIN_OWNERSHIP_OVERLOADED: Ms = 1_500;
/// Time between two checks whether another host should own the pool.
const HANDOVER_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// A host that was asked to take the pool over has this long to do so before another host is asked.
const TAKEOVER_REQUEST_TIMEOUT: Ms = 1_000;
/// Maximum number of tasks whose crash records are handed over with a takeover request, which goes over the hosts' thin links.
const MAX_CRASHES_HANDED_OVER: usize = 64;
/// Maximum number of workers for which the remaining wait is handed over, for the same reason.
const MAX_BOUNDS_HANDED_OVER: usize = 256;

impl Owner {
    /// Requests that another host take over the pool if this host is stopping, isn't served by the store, is overloaded, or is
    /// clearly less suitable.
    ///
    /// This owner works until another host owns the pool, which it learns from the workers or the store. If it stopped
    /// earlier and the other host could not write the owner's row (a part of the store may be down for all hosts), the pool
    /// would have no owner.
    pub(super) async fn run_handover(self: Arc<Self>) {
        let began = clock::now();
        let mut requested: FxHashMap<String, Ms> = FxHashMap::default();
        let mut lag = TimerLag::default();
        loop {
            let due = clock::now() + HANDOVER_CHECK_INTERVAL.as_millis() as Ms;
            tokio::time::sleep(HANDOVER_CHECK_INTERVAL).await;
            let now = clock::now();
            lag.record(now, now.saturating_sub(due));
            let recent = requested
                .values()
                .any(|&at| now.saturating_sub(at) < TAKEOVER_REQUEST_TIMEOUT);
            if recent {
                continue;
            }
            if let Some(name) =
                self.request_takeover(now, began, lag.is_overloaded(now), &requested)
            {
                requested.insert(name, now);
            }
        }
    }

    /// Requests that the most suitable host take over the pool, if one should own it in place of this one; returns its name.
    /// `requested` holds the times of earlier requests.
    fn request_takeover(
        &self,
        now: Ms,
        began: Ms,
        overloaded: bool,
        requested: &FxHashMap<String, Ms>,
    ) -> Option<String> {
        let store_outage = lock(&self.store_outage).filter(|outage| {
            // A write that was sent just before the store recovered may be unanswered while other calls are answered again.
            let all_fail = if outage.only_refusals {
                self.host.store_failing_since().is_some()
            } else {
                !self.host.store_available()
            };
            // This host could write its row when it claimed the pool. Shortly after, missing answers are due to a saturated
            // network connection, and the next owner would have to read everything over a similar one.
            let owned_long_enough =
                outage.only_refusals || now.saturating_sub(began) > MIN_OWNERSHIP_UNANSWERED;
            outage.warrants_handover(now) && all_fail && owned_long_enough
        });
        let draining = self.host.stop.is_draining();
        // A new owner is busy at first, and a pool that overloads every host must not be handed around.
        let overloaded = overloaded && now.saturating_sub(began) > MIN_OWNERSHIP_OVERLOADED;
        let leaving = store_outage.is_some() || draining || overloaded;
        let workers = self.worker_count();
        let own = Suitability {
            near_store: self.host.store_rtt() <= NEAR_STORE_RTT_MS,
            processors: self.host.settings.processors,
            link_mbps: self.host.settings.link_mbps,
            pools: self.host.owned_pool_count_up_to(self.pool_number),
        };
        // An owner with insufficient resources may never have loaded all jobs.
        let owned_long_enough = if own.is_sufficient(workers) {
            self.loaded.load(Ordering::Relaxed) && now.saturating_sub(began) > MIN_OWNERSHIP
        } else {
            now.saturating_sub(began) > MIN_OWNERSHIP_INSUFFICIENT
        };
        if !leaving && !owned_long_enough {
            return None;
        }
        let is_eligible = |host: &ConnectedHost| match store_outage {
            Some(outage) if !draining => outage.can_take_over(now, &host.candidate()),
            None if !draining => host.has_store(now, MIN_STORE_AVAILABILITY),
            _ => true,
        };
        let hosts = lock(&self.hosts);
        let (name, sender) = hosts
            .iter()
            .filter(|(_, host)| host.has_store(now, 0) && is_eligible(host))
            .filter(|(_, host)| {
                !overloaded || draining || host.suitability().is_sufficient(workers)
            })
            .filter(|(_, host)| leaving || host.suitability().is_clearly_better(&own, workers))
            .min_by(|(a_name, a), (b_name, b)| {
                let requested_at = |name| requested.get(name).copied().unwrap_or(0);
                let score = |host: &ConnectedHost| host.suitability().score(workers);
                (requested_at(*a_name).cmp(&requested_at(*b_name)))
                    .then_with(|| score(b).total_cmp(&score(a)))
                    .then_with(|| self.tie_break(a_name).cmp(&self.tie_break(b_name)))
            })
            .map(|(name, host)| (name.clone(), host.sender.clone()))?;
        drop(hosts);
        let (crashes, lease_bounds) = {
            let mut pool = lock(&self.pool);
            let crashes = pool.unstored_crashes(MAX_CRASHES_HANDED_OVER);
            // A host that isn't stopping may go on owning the pool, and then needs the workers.
            let bounds = draining.then(|| pool.release_silent_workers(now, MAX_BOUNDS_HANDED_OVER));
            (crashes, bounds.unwrap_or_default())
        };
        info!(pool = self.pool_number, heir = name.as_str(), epoch = self.epoch, unserved = store_outage.is_some(), overloaded = overloaded, suits = own.is_sufficient(workers), crashes = crashes.len(), bounds = lease_bounds.len(); "requested that another host take over the pool");
        let epoch = self.epoch;
        let request = FromOwner::TakeOver {
            epoch,
            crashes,
            lease_bounds,
        };
        drop(sender.try_send(request));
        Some(name)
    }
}
