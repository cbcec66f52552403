//! The hosts that are connected to an owner: the heartbeats that it sends to them, and the messages that it receives.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::info;
use pool::{Mechanism, Ms, WorkerId};
use tokio::sync::mpsc;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::Owner;
use crate::advisor_proxies::AdvisorProxy;
use crate::clock;
use crate::first_source::NEAR_STORE_RTT_MS;
use crate::host::lock;
use crate::peers::HEARTBEAT_INTERVAL;
use crate::rows::Successor;
use crate::store_outage::Candidate;
use crate::suitability::Suitability;
use crate::wire::{FromOwner, Heartbeat, ToOwner};
use crate::worker_feed::WorkerChanges;

/// Shortest time between two heartbeats: a store that answers every other call must not make the owner saturate its network
/// connection with heartbeats.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(120);
/// Number of successors that an owner names: enough that some remain when a data centre fails together with the owner.
const MAX_SUCCESSORS: usize = 8;
/// A host from which no heartbeat was received for this long gets no advisor queries and isn't considered for a handover.
pub(super) const MAX_SILENCE: Ms = 800;

/// A host that is connected to this owner.
pub(super) struct ConnectedHost {
    /// Number of the connection.
    pub(super) connection: u64,
    /// The address at which it accepts connections of other hosts.
    address: SocketAddr,
    /// Its share of a processor.
    processors: f64,
    /// Its network bandwidth, in Mbit/s.
    link_mbps: f64,
    /// Messages to it.
    pub(super) sender: mpsc::Sender<FromOwner>,
    /// When its last heartbeat was received.
    pub(super) heartbeat_received_at: Ms,
    /// When that heartbeat was sent, on the clock of that host; 0 if there was none.
    heartbeat_sent_at: Ms,
    /// Since when the store has served it, according to its heartbeats; `None` if the store doesn't.
    store_available_since: Option<Ms>,
    /// When the store answered it last, according to its heartbeats.
    store_answered_at: Ms,
    /// Its round-trip time to the store, in milliseconds.
    pub(super) store_rtt: u64,
    /// Number of pools that it owns.
    owned_pools: u32,
    /// It wants to be told changes of the table of workers.
    follows_workers: bool,
    /// How fast the advisor answers it.
    pub(super) advisor_proxy: AdvisorProxy,
    /// It makes advisor queries for this pool. The advisor serves one query at a time for each host, so the hosts are divided
    /// among the pools.
    pub(super) is_advisor_proxy: bool,
}

impl ConnectedHost {
    /// Whether its last heartbeat is recent and the store has served it for at least `min_time`.
    pub(super) fn has_store(&self, now: Ms, min_time: Ms) -> bool {
        let available_for = self
            .store_available_since
            .map(|since| now.saturating_sub(since));
        available_for.is_some_and(|time| time >= min_time)
            && now.saturating_sub(self.heartbeat_received_at) < MAX_SILENCE
    }

    /// What is known about its access to the store.
    pub(super) fn candidate(&self) -> Candidate {
        Candidate {
            available_since: self.store_available_since,
            last_answer: self.store_answered_at,
        }
    }

    /// Its suitability as the owner of one more pool.
    pub(super) fn suitability(&self) -> Suitability {
        Suitability {
            near_store: self.store_rtt <= NEAR_STORE_RTT_MS,
            processors: self.processors,
            link_mbps: self.link_mbps,
            pools: self.owned_pools + 1,
        }
    }
}

impl Owner {
    /// Size of the largest pool that this host or one of the connected hosts should own, in workers.
    pub(super) fn largest_pool(&self) -> u32 {
        let own = Suitability {
            near_store: true,
            processors: self.host.settings.processors,
            link_mbps: self.host.settings.link_mbps,
            pools: 1,
        };
        let hosts = lock(&self.hosts);
        let others = hosts.values().map(|host| {
            let suitability = Suitability {
                pools: 1,
                ..host.suitability()
            };
            suitability.capacity()
        });
        others.fold(own.capacity(), u32::max).max(1)
    }

    /// Number of workers in the pool, or the number that the pool map states if that is larger.
    pub(super) fn worker_count(&self) -> u32 {
        let registered = lock(&self.pool)
            .workers()
            .filter(|it| it.registered)
            .count() as u32;
        registered.max(self.host.pool_map().size(self.pool_number))
    }

    /// Order of equally suitable hosts. It differs between pools; otherwise all pools of a host would be handed over to the same
    /// host, and from there to the next.
    pub(super) fn tie_break(&self, name: &str) -> u64 {
        xxh3_64_with_seed(name.as_bytes(), self.pool_number.into())
    }

    /// Hosts that should take over the pool when this one is lost, the most suitable first.
    pub(crate) fn successors(&self) -> Vec<Successor> {
        if !self.host.has(Mechanism::Heirs) {
            return Vec::new();
        }
        let now = clock::now();
        let workers = self.worker_count();
        let hosts = lock(&self.hosts);
        let mut successors: Vec<(f64, Successor)> = hosts
            .iter()
            .filter(|(_, host)| host.has_store(now, 0))
            .map(|(name, host)| {
                let successor = Successor {
                    host: name.clone(),
                    address: host.address,
                };
                (host.suitability().score(workers), successor)
            })
            .collect();
        successors.sort_by(|(a_score, a), (b_score, b)| {
            b_score
                .total_cmp(a_score)
                .then_with(|| self.tie_break(&a.host).cmp(&self.tie_break(&b.host)))
        });
        successors.truncate(MAX_SUCCESSORS);
        successors.into_iter().map(|(_, host)| host).collect()
    }

    /// Sends heartbeats with the state of this owner to all connected hosts.
    pub(super) async fn send_heartbeats(self: Arc<Self>) {
        loop {
            let (pending, full_backlogs, load) = {
                let pool = lock(&self.pool);
                (pool.pending(), pool.full_backlogs(), pool.load())
            };
            let loaded = self.loaded.load(Ordering::Relaxed);
            self.update_gauges(&load, pending.values().sum());
            let heartbeat = Heartbeat {
                pool: self.pool_number,
                epoch: self.epoch,
                catalog: self.host.catalog_version(),
                catalog_as_of: 0,
                catalog_age: Ms::MAX,
                echoed_at: 0,
                store_available: self.host.store_available(),
                store_failing: self.host.store_failing_since().is_some(),
                pool_map: self.host.pool_map().version,
                pending: loaded.then_some(pending),
                full_backlogs,
                load: load.demand,
                labels: load.labels,
                hosts: lock(&self.hosts).len() as u32 + 1,
            };
            let mut advisor_proxies = 1;
            {
                let now = clock::now();
                let mut hosts = lock(&self.hosts);
                for (name, host) in hosts.iter_mut() {
                    host.is_advisor_proxy = self.is_advisor_proxy_for_pool(name);
                    drop(
                        host.sender
                            .try_send(FromOwner::Heartbeat(self.heartbeat_to(host, &heartbeat))),
                    );
                    advisor_proxies += usize::from(
                        host.is_advisor_proxy
                            && now.saturating_sub(host.heartbeat_received_at) < MAX_SILENCE,
                    );
                }
            }
            lock(&self.pool).set_max_queries(advisor_proxies);
            self.host.receive_heartbeat(heartbeat);
            let changed = self.host.catalog_sync.changed.notified();
            let store_changed = self.host.store_changed.notified();
            tokio::time::sleep(MIN_HEARTBEAT_INTERVAL).await;
            tokio::select! {
                () = tokio::time::sleep(HEARTBEAT_INTERVAL - MIN_HEARTBEAT_INTERVAL) => {}
                () = changed => {}
                // Hosts that the store doesn't serve let the owner store their callers' jobs. When the store stops serving
                // the owner, the other hosts have to check whether it serves them.
                () = store_changed => {}
            }
        }
    }

    /// The heartbeat for one host. Its statement about the configuration refers to the time when that host's last heartbeat was
    /// received.
    fn heartbeat_to(&self, host: &ConnectedHost, heartbeat: &Heartbeat) -> Heartbeat {
        let (catalog_as_of, catalog_age) = (self.host.catalog_as_of(), self.host.catalog_age());
        Heartbeat {
            echoed_at: host.heartbeat_sent_at,
            catalog_as_of,
            catalog_age,
            // Read after the other two: a version that was installed in between is only newer.
            catalog: self.host.catalog_version(),
            ..heartbeat.clone()
        }
    }

    /// Passes changes of the table of workers on to the owners of other pools.
    pub(super) fn pass_on(&self, changes: &WorkerChanges) {
        let now = clock::now();
        for host in lock(&self.hosts).values() {
            if host.follows_workers && now.saturating_sub(host.heartbeat_received_at) < MAX_SILENCE
            {
                let changes = WorkerChanges {
                    echoed_at: host.heartbeat_sent_at,
                    ..changes.clone()
                };
                // A host that misses a message notices the gap.
                drop(host.sender.try_send(FromOwner::WorkerChanges(changes)));
            }
        }
        self.host.receive_worker_changes(WorkerChanges {
            echoed_at: now,
            ..changes.clone()
        });
    }

    /// Whether a host makes advisor queries for this pool.
    fn is_advisor_proxy_for_pool(&self, name: &str) -> bool {
        let pools = u64::from(self.host.pool_map().pool_count());
        xxh3_64(name.as_bytes()) % pools == u64::from(self.pool_number)
    }

    /// Updates the metrics of the pool's load.
    fn update_gauges(&self, load: &pool::Load, pending: u64) {
        let pool = self.pool_number.to_string();
        metrics::gauge!("lentilyoke_room_used_share", "pool" => pool.clone()).set(load.used);
        metrics::gauge!("lentilyoke_steps_open", "pool" => pool.clone())
            .set(load.open_steps as f64);
        metrics::gauge!("lentilyoke_jobs_pending", "pool" => pool.clone()).set(pending as f64);
        for (service, usage) in &load.services {
            let parts = [
                ("processors", usage.used.millicores, usage.total.millicores),
                ("memory", usage.used.memory_mib, usage.total.memory_mib),
                (
                    "accelerators",
                    usage.used.accelerators,
                    usage.total.accelerators,
                ),
            ];
            for (part, used, all) in parts.into_iter().filter(|(_, _, all)| *all > 0) {
                let share = used as f64 / all as f64;
                metrics::gauge!("lentilyoke_service_used_share", "pool" => pool.clone(), "service" => service.clone(), "part" => part)
                    .set(share);
            }
        }
    }

    /// Adds a host that has connected, by a message that it sent at the time `sent` on its clock; returns the number of its
    /// connection.
    pub(crate) fn host_connected(
        &self,
        name: &str,
        address: SocketAddr,
        (processors, link_mbps): (f64, f64),
        sent: Ms,
        sender: mpsc::Sender<FromOwner>,
    ) -> u64 {
        let connection = self.next_number.fetch_add(1, Ordering::Relaxed);
        let host = ConnectedHost {
            connection,
            address,
            processors,
            link_mbps,
            sender,
            heartbeat_received_at: clock::now(),
            heartbeat_sent_at: sent,
            store_available_since: None,
            store_answered_at: 0,
            store_rtt: u64::MAX,
            owned_pools: 0,
            follows_workers: false,
            is_advisor_proxy: self.is_advisor_proxy_for_pool(name),
            advisor_proxy: AdvisorProxy::default(),
        };
        let last = self.host.last_heartbeat(self.pool_number).heartbeat;
        drop(
            host.sender
                .try_send(FromOwner::Heartbeat(self.heartbeat_to(&host, &last))),
        );
        lock(&self.hosts).insert(name.to_owned(), host);
        info!(pool = self.pool_number, host = name, epoch = self.epoch; "host connected to the pool owner");
        connection
    }

    /// Removes a host whose connection has ended, unless it has a newer connection.
    pub(crate) fn host_disconnected(&self, name: &str, connection: u64) {
        let mut hosts = lock(&self.hosts);
        if hosts
            .get(name)
            .is_some_and(|host| host.connection == connection)
        {
            hosts.remove(name);
        }
    }

    /// Handles a message of a host.
    pub(crate) fn handle_message(
        self: &Arc<Self>,
        name: &str,
        connection: u64,
        message: ToOwner,
        sender: &mpsc::Sender<FromOwner>,
    ) {
        match message {
            ToOwner::Heartbeat {
                store_available,
                store_rtt,
                owned_pools,
                sent,
                store_answer_age,
                follows_workers,
                ..
            } => {
                if let Some(host) = lock(&self.hosts).get_mut(name)
                    && host.connection == connection
                {
                    host.heartbeat_received_at = clock::now();
                    host.store_available_since = store_available.then(|| {
                        host.store_available_since
                            .unwrap_or(host.heartbeat_received_at)
                    });
                    host.store_answered_at = store_answer_age
                        .map_or(0, |age| host.heartbeat_received_at.saturating_sub(age));
                    host.store_rtt = store_rtt;
                    host.owned_pools = owned_pools;
                    host.follows_workers = follows_workers;
                    host.heartbeat_sent_at = sent;
                }
            }
            ToOwner::Accepted(job, location) => self.add_accepted_job(*job, location),
            ToOwner::Advised(number, tickets) => {
                let tickets = tickets.map(|(rows, valid)| {
                    let rows = rows
                        .into_iter()
                        .map(|(id, text)| (WorkerId::from(id), text));
                    (rows.collect(), valid)
                });
                self.receive_advice(number, tickets.as_ref());
            }
            ToOwner::Call(number, call) => {
                let (owner, sender) = (Arc::clone(self), sender.clone());
                self.host.stop.spawn(async move {
                    tokio::select! {
                        reply = owner.handle_call(call) => {
                            drop(sender.send(FromOwner::Reply(number, reply)).await);
                        }
                        // The connection has ended, so no reply can be sent.
                        () = sender.closed() => {}
                    }
                });
            }
            ToOwner::QuotaNeeds(needs) => self.quota.receive_needs(needs),
            ToOwner::Hello { .. } | ToOwner::OwnerReachable(_) => {}
        }
    }
}
