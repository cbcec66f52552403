//! Keeping the configuration and the pool map of a host up to date.
//!
//! Owners of pools follow the configuration in the store. All other hosts learn from the owners' heartbeats whether theirs is the
//! newest, and fetch a newer one from an owner in compressed form: reading a copy from the store for each host of a region would
//! saturate the link between the regions. A host without heartbeats from any owner follows the store itself.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use log::{info, warn};
use pool::Ms;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

use crate::catalog::Catalog;
use crate::clock;
use crate::confirmation::Confirmation;
use crate::first_source;
use crate::follow::{Change, Cursor, PollTiming, follow, read};
use crate::host::{Host, lock};
use crate::interfaces::{Page, StoreError};
use crate::packed::Packed;
use crate::pool_map::PoolMap;
use crate::pool_state::PoolState;
use crate::rows::{COMMON, POOL_MAP};
use crate::store_checks::StoreChecks;
use crate::wire::{Call, Heartbeat, Reply};

/// Interval at which a host checks whether owners keep it up to date.
const SOURCE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// A host stops following the store when owners have confirmed its configuration within this share of `catalog_deadline`.
const RELY_AGE_SHARE: f64 = 0.5;
/// A host follows the store again when the last confirmation by an owner is older than this share of `catalog_deadline`.
const FALL_BACK_AGE_SHARE: f64 = 0.7;
/// A host that follows the store fetches from an owner as well after it has been behind for this long, and one that fetches from
/// an owner follows the store as well after it has waited for this long.
const SECOND_SOURCE_DELAY: Duration = Duration::from_millis(1_000);
/// Timeout of a query for the version of the configuration.
const VERSION_QUERY_TIMEOUT: Duration = Duration::from_millis(700);
/// An owner replies to such a query with what it knows after this time. The rest of the timeout is for the network.
const VERSION_REPLY_LIMIT: Duration = Duration::from_millis(500);
/// Delay after an owner's configuration that could not be parsed; it would hardly differ at the next try.
const UNREADABLE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// State of the synchronisation of a host's configuration.
#[derive(Default)]
pub(crate) struct CatalogSync {
    /// How recent the configuration in force is known to be.
    pub(crate) confirmation: Arc<Confirmation>,
    /// The transaction of the store up to which it is known to be the newest.
    as_of: AtomicU64,
    /// Like `confirmed_at`, but by heartbeats of owners only.
    pub(crate) confirmed_by_owner_at: AtomicU64,
    /// The host relies on owners to keep it up to date.
    relying: AtomicBool,
    /// Time since which a newer configuration is being fetched from an owner; 0 if none is.
    fetching_since: AtomicU64,
    /// Notified by each heartbeat of an owner with a newer configuration.
    pub(crate) newer: Notify,
    /// Notified by each heartbeat of an owner with a newer pool map.
    pub(crate) newer_pool_map: Notify,
    /// Notified when a newer configuration is in force.
    pub(crate) changed: Notify,
    /// The packed configuration, cached for other hosts.
    packed: Mutex<Packed>,
}

impl Host {
    /// Records that the configuration in force was the newest at this time and up to this transaction of the store.
    pub(crate) fn confirm(&self, at: Ms, as_of: u64) {
        self.catalog_sync.confirmation.confirm(at);
        self.catalog_sync.as_of.fetch_max(as_of, Ordering::Relaxed);
    }

    /// The transaction of the store up to which the configuration in force is known to be the newest; 0 if unknown.
    pub(crate) fn catalog_as_of(&self) -> u64 {
        self.catalog_sync.as_of.load(Ordering::Relaxed)
    }

    /// Time since the configuration in force was last known to be the newest.
    pub(crate) fn catalog_age(&self) -> Ms {
        self.catalog_sync.confirmation.age()
    }

    /// Keeps the configuration and the pool map up to date until the host stops.
    pub(crate) async fn follow_catalog(self: &Arc<Self>) {
        tokio::select! {
            () = self.follow_store_or_owners() => {}
            () = self.fetch_from_owners() => {}
            () = self.catalog_sync.confirmation.run(|| self.query_catalog_version()) => {}
            () = self.stop.ended() => {}
        }
    }

    /// Follows the configuration in the store, except while owners keep this host up to date.
    async fn follow_store_or_owners(&self) {
        let is_confirmed = || self.catalog_as_of() > 0;
        first_source::wait_for_owner(is_confirmed, || self.store_rtt()).await;
        loop {
            info!(from = "store", as_of = self.catalog_as_of(); "source of the configuration");
            tokio::select! {
                () = self.read_catalog() => {}
                () = self.until(|| self.owned_pool_count() == 0 && self.is_confirmed_within(RELY_AGE_SHARE)) => {}
            }
            info!(from = "owner", as_of = self.catalog_as_of(); "source of the configuration");
            self.catalog_sync.relying.store(true, Ordering::Relaxed);
            tokio::select! {
                // The table is small, and the answers show whether the store is available to this host.
                () = self.follow_pool_map() => {}
                () = self.until(|| self.owned_pool_count() > 0 || !self.is_kept_current()) => {}
            }
            self.catalog_sync.relying.store(false, Ordering::Relaxed);
            // Polls for changes of the configuration are more frequent than any checks.
            self.store_checks.begin(StoreChecks::interval(0));
        }
    }

    async fn until(&self, condition: impl Fn() -> bool) {
        while !condition() {
            sleep(SOURCE_CHECK_INTERVAL).await;
        }
    }

    /// Whether an owner has confirmed the configuration within this share of `catalog_deadline`.
    fn is_confirmed_within(&self, share: f64) -> bool {
        let age = clock::now().saturating_sub(
            self.catalog_sync
                .confirmed_by_owner_at
                .load(Ordering::Relaxed),
        );
        Duration::from_millis(age) < self.settings.catalog_deadline.mul_f64(share)
    }

    /// Whether owners keep this host up to date: they have confirmed its configuration, or it is being fetched from one.
    fn is_kept_current(&self) -> bool {
        let since = self.catalog_sync.fetching_since.load(Ordering::Relaxed);
        let waited = Duration::from_millis(clock::now().saturating_sub(since));
        since > 0 && waited < SECOND_SOURCE_DELAY || self.is_confirmed_within(FALL_BACK_AGE_SHARE)
    }

    /// Follows the configuration in the store from the last known version on.
    async fn read_catalog(&self) {
        let (table, key) = &self.settings.store_tables.catalog;
        let from = Some(self.catalog_as_of()).filter(|version| *version > 0);
        let parts = [String::new()];
        let store = self.store.as_ref();
        follow(
            store,
            table,
            &parts,
            from,
            PollTiming::default(),
            |change| match change {
                Change::Snapshot(page) | Change::Update(page) => {
                    self.apply_catalog_rows(&page, key);
                }
                Change::Failed(error) => {
                    warn!(error:% = error; "poll for changes of the configuration failed");
                }
            },
        )
        .await;
    }

    fn apply_catalog_rows(&self, page: &Page, key: &str) {
        for row in page.rows.iter().filter(|row| row.key == key) {
            let value = row.value.as_deref().unwrap_or_default();
            match self.decode.catalog(value) {
                Ok(catalog) => self.update_catalog(catalog),
                Err(error) => {
                    metrics::counter!("lentilyoke_invalid_catalogs_total").increment(1);
                    warn!(bytes = value.len(), in_force = self.catalog_version(), error:% = error; "configuration is invalid; the one in force stays");
                }
            }
        }
        self.confirm(page.at, page.version);
    }

    /// Queries an owner whether the configuration in force is the newest. If this host is an owner, has no link to one, or the owner
    /// doesn't know, queries the store.
    async fn query_catalog_version(&self) {
        let asked_at = clock::now();
        let link = if self.owned_pool_count() == 0 {
            self.link_to_owner_where(|_| true)
        } else {
            None
        };
        let reply = match link {
            Some(link) => link.call(Call::CatalogVersion, VERSION_QUERY_TIMEOUT).await,
            None => None,
        };
        if let Some(Reply::CatalogVersion {
            version,
            as_of,
            age,
        }) = reply
        {
            // If the owner has a newer configuration, its next heartbeat says so, and this host fetches it.
            if version == self.catalog_version() {
                self.confirm(asked_at.saturating_sub(age), as_of);
            }
            if age == 0 {
                return;
            }
        }
        drop(timeout(VERSION_QUERY_TIMEOUT, self.read_catalog_changes()).await);
    }

    /// Reads the changes of the configuration in the store without waiting for one.
    async fn read_catalog_changes(&self) {
        let (table, key) = &self.settings.store_tables.catalog;
        let (as_of, sent_at) = (self.catalog_as_of(), clock::now());
        let page = match self.store.feed(table, as_of, Duration::ZERO).await {
            Ok(feed) => Page {
                at: sent_at,
                ..feed
            },
            Err(StoreError::HistoryCompacted) => {
                read(self.store.as_ref(), table, &[String::new()], as_of).await
            }
            Err(error) => {
                warn!(error:% = error; "query for changes of the configuration failed");
                return;
            }
        };
        self.apply_catalog_rows(&page, key);
    }

    /// The reply to the query of another host for the version of the configuration in force.
    pub(crate) async fn confirmed_version(&self) -> Reply {
        let received_at = clock::now();
        let until = Instant::now() + VERSION_REPLY_LIMIT;
        let confirmation = &self.catalog_sync.confirmation;
        confirmation.wait_unbounded(received_at, until).await;
        let (as_of, confirmed_at) = (self.catalog_as_of(), confirmation.confirmed_at());
        Reply::CatalogVersion {
            // Read after the other two: a version that was installed in between is only newer.
            version: self.catalog_version(),
            as_of,
            age: received_at.saturating_sub(confirmed_at),
        }
    }

    /// Follows the pool map in the store. From the answers, a host that doesn't follow the configuration in the store learns that
    /// the store is available. Hosts that take jobs of callers learn this from their inserts too.
    async fn follow_pool_map(&self) {
        let parts = [COMMON.to_owned()];
        // Earlier changes are named by the owners' heartbeats.
        let from = Some(self.catalog_as_of()).filter(|version| *version > 0);
        let mut cursor = Cursor::new(
            self.store.as_ref(),
            POOL_MAP,
            &parts,
            from,
            PollTiming::default(),
        );
        loop {
            let hosts = self.host_count();
            let interval = StoreChecks::interval(hosts);
            self.store_checks.begin(interval);
            let timing = PollTiming::default()
                .wait(interval)
                .retry(StoreChecks::retry_delay(hosts));
            cursor.set_timing(timing);
            let pause = cursor.poll(&mut |change| self.apply_pool_map(change)).await;
            sleep(pause).await;
        }
    }

    fn apply_pool_map(&self, change: Change) {
        let rows = match change {
            Change::Snapshot(page) | Change::Update(page) => page.rows,
            Change::Failed(error) => {
                warn!(error:% = error; "poll for changes of the pool map failed");
                return;
            }
        };
        for value in rows.iter().filter_map(|row| row.value.as_deref()) {
            match serde_json::from_slice::<PoolMap>(value) {
                Ok(map) => self.update_pool_map(map),
                Err(error) => warn!(error:% = error; "pool map can't be parsed"),
            }
        }
    }

    /// Fetches newer versions from owners. A reply may take as long as its connection lasts, so the two run concurrently.
    async fn fetch_from_owners(&self) {
        tokio::join!(self.fetch_catalog(), self.fetch_pool_map());
    }

    async fn fetch_catalog(&self) {
        let mut behind_since: Option<Instant> = None;
        loop {
            self.catalog_sync.newer.notified().await;
            let mine = self.catalog_version();
            let Some(link) = self.link_to_owner_where(|heartbeat| heartbeat.catalog > mine) else {
                behind_since = None;
                continue;
            };
            let since = *behind_since.get_or_insert_with(Instant::now);
            let reads_store = !self.catalog_sync.relying.load(Ordering::Relaxed)
                && mine > 0
                && self.store_available();
            if reads_store && since.elapsed() <= SECOND_SOURCE_DELAY {
                continue;
            }
            self.catalog_sync
                .fetching_since
                .store(clock::now(), Ordering::Relaxed);
            let reply = link.fetch(Call::Catalog).await;
            self.catalog_sync.fetching_since.store(0, Ordering::Relaxed);
            if let Some(Reply::Catalog(packed)) = reply {
                if self.apply_packed_catalog(&packed) {
                    self.confirm_by_last_heartbeats();
                } else {
                    sleep(UNREADABLE_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Confirms the configuration in force by the heartbeats that owners sent while it was being fetched.
    fn confirm_by_last_heartbeats(&self) {
        let mine = self.catalog_version();
        let pools: Vec<PoolState> = lock(&self.pool_states).clone();
        for state in pools {
            self.confirm_by_heartbeat(mine, &state.last_heartbeat.heartbeat);
        }
    }

    /// Confirms the version `mine` of the configuration if this heartbeat does.
    pub(crate) fn confirm_by_heartbeat(&self, mine: u64, heartbeat: &Heartbeat) {
        if let Some(at) = heartbeat.confirmed_at(mine) {
            self.confirm(at, heartbeat.catalog_as_of);
            self.catalog_sync
                .confirmed_by_owner_at
                .fetch_max(at, Ordering::Relaxed);
        }
    }

    async fn fetch_pool_map(&self) {
        loop {
            self.catalog_sync.newer_pool_map.notified().await;
            let mine = self.pool_map.load().version;
            if let Some(link) = self.link_to_owner_where(|heartbeat| heartbeat.pool_map > mine)
                && let Some(Reply::PoolMap(map)) = link.fetch(Call::PoolMap).await
            {
                self.update_pool_map(*map);
            }
        }
    }

    /// Puts an owner's configuration into force; `false` if it can't be unpacked.
    fn apply_packed_catalog(&self, packed: &Packed) -> bool {
        match Catalog::try_from(packed) {
            Ok(catalog) => {
                self.update_catalog(catalog);
                true
            }
            Err(error) => {
                warn!(version = packed.version, error:% = error; "configuration from an owner can't be unpacked");
                false
            }
        }
    }

    /// The packed configuration in force. Each version is packed once, for all hosts.
    pub(crate) fn packed_catalog(&self) -> Option<Packed> {
        let catalog = self.catalog()?;
        let mut packed = lock(&self.catalog_sync.packed);
        if packed.version != catalog.version {
            match Packed::try_from(catalog.as_ref()) {
                Ok(newer) => *packed = newer,
                Err(error) => {
                    warn!(version = catalog.version, error:% = error; "configuration can't be packed");
                    return None;
                }
            }
        }
        Some(packed.clone())
    }
}
