//! How a host keeps its configuration current.
//!
//! Owners of pools follow the configuration in the store. All other hosts are told by an owner's beats whether theirs is
//! the newest, and fetch a newer one from the owner, compressed: a copy from the store for each host of a region would fill
//! the line between the regions. A host that no owner tells anything follows the store itself.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use log::{info, warn};
use pool::Ms;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

use crate::catalog::Catalog;
use crate::clock;
use crate::follow::{Change, Rhythm, follow};
use crate::host::{Host, lock};
use crate::outside::Page;
use crate::packed::Packed;
use crate::plan::Plan;
use crate::rows::{COMMON, PLAN};
use crate::wire::{Call, Reply};

/// Time between two looks whether an owner keeps this host current.
const RELIANCE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// A host relies on owners once they tell of a time within this share of the time in which a change has to be in force.
const RELY_AGE_SHARE: f64 = 0.5;
/// A host follows the store again once that time is longer ago than this share.
const DOUBT_AGE_SHARE: f64 = 0.7;
/// A host that reads the store asks an owner as well after it has been behind for this long, and one that asks an owner reads
/// the store as well after it has waited for this long.
const SECOND_SOURCE_DELAY: Duration = Duration::from_millis(1_000);
/// A host that owners keep current asks the store for a change of the plan so often, to know that the store serves it. Hosts
/// that ask callers' jobs in know that from their inserts too.
const PLAN_WAIT: Duration = Duration::from_millis(2_000);
/// It asks again so often while the store doesn't serve it. An owner, which asks more often, tells when it is served again.
const PLAN_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Pause after an owner's configuration that can't be read; the next one would hardly differ.
const UNREADABLE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// What a host knows of how current its configuration is.
#[derive(Default)]
pub(crate) struct Current {
    /// When the configuration in force was known to be the newest.
    known: AtomicU64,
    /// The transaction of the store up to which it is known to be the newest.
    as_of: AtomicU64,
    /// When it was the newest, as far as owners have told.
    pub(crate) told: AtomicU64,
    /// Owners keep it current.
    relying: AtomicBool,
    /// Since when one is on its way from an owner; 0 if none is.
    fetching: AtomicU64,
    /// An owner has a newer one: told with each of its beats until it is here.
    pub(crate) newer: Notify,
    /// An owner has a newer plan of pools: told in the same way.
    pub(crate) newer_plan: Notify,
    /// A newer one is in force.
    pub(crate) changed: Notify,
    /// The configuration as it is sent to other hosts.
    packed: Mutex<Packed>,
}

impl Host {
    /// The configuration in force was the newest at this time and up to this transaction of the store.
    pub(crate) fn confirm(&self, at: Ms, as_of: u64) {
        self.current.known.fetch_max(at, Ordering::Relaxed);
        self.current.as_of.fetch_max(as_of, Ordering::Relaxed);
    }

    /// Up to which transaction of the store the configuration in force is known to be the newest; 0 if to none.
    pub(crate) fn catalog_as_of(&self) -> u64 {
        self.current.as_of.load(Ordering::Relaxed)
    }

    /// Time since the configuration in force was known to be the newest.
    pub(crate) fn catalog_age(&self) -> Ms {
        clock::now().saturating_sub(self.current.known.load(Ordering::Relaxed))
    }

    /// Keeps the configuration current until the host stops.
    pub(crate) async fn follow_catalog(self: &Arc<Self>) {
        tokio::select! {
            () = self.read_or_rely() => {}
            () = self.ask_owners() => {}
            () = self.stop.ended() => {}
        }
    }

    /// Follows the store, but for the time in which owners keep this host current.
    async fn read_or_rely(&self) {
        loop {
            info!(from = "store", as_of = self.catalog_as_of(); "the configuration is followed");
            tokio::select! {
                () = self.read_catalog() => {}
                () = self.until(|| self.owned_pool_count() == 0 && self.is_told_within(RELY_AGE_SHARE)) => {}
            }
            info!(from = "owner", as_of = self.catalog_as_of(); "the configuration is followed");
            self.current.relying.store(true, Ordering::Relaxed);
            tokio::select! {
                // A small table: its answers tell whether the store serves this host.
                () = self.follow_plan() => {}
                () = self.until(|| self.owned_pool_count() > 0 || !self.is_kept_current()) => {}
            }
            self.current.relying.store(false, Ordering::Relaxed);
        }
    }

    async fn until(&self, holds: impl Fn() -> bool) {
        while !holds() {
            sleep(RELIANCE_CHECK_INTERVAL).await;
        }
    }

    /// Whether an owner has told that the configuration was the newest within this share of the time for changes.
    fn is_told_within(&self, share: f64) -> bool {
        let age = clock::now().saturating_sub(self.current.told.load(Ordering::Relaxed));
        Duration::from_millis(age) < self.settings.catalog_within.mul_f64(share)
    }

    fn is_kept_current(&self) -> bool {
        let since = self.current.fetching.load(Ordering::Relaxed);
        let waited = Duration::from_millis(clock::now().saturating_sub(since));
        since > 0 && waited < SECOND_SOURCE_DELAY || self.is_told_within(DOUBT_AGE_SHARE)
    }

    /// Follows the configuration in the store, from where it is known.
    async fn read_catalog(&self) {
        let (table, key) = &self.settings.places.catalog;
        let from = Some(self.catalog_as_of()).filter(|version| *version > 0);
        let parts = [String::new()];
        let store = self.store.as_ref();
        follow(
            store,
            table,
            &parts,
            from,
            Rhythm::default(),
            |change| match change {
                Change::All(page) | Change::Some(page) => self.take_up_catalog(&page, key),
                Change::Failed(error) => {
                    warn!(error:% = error; "the configuration is not followed for now");
                }
            },
        )
        .await;
    }

    fn take_up_catalog(&self, page: &Page, key: &str) {
        for row in page.rows.iter().filter(|row| row.key == key) {
            let value = row.value.as_deref().unwrap_or_default();
            match self.decode.catalog(value) {
                Some(catalog) => self.put_catalog(catalog),
                None => warn!(bytes = value.len(); "the configuration can't be read"),
            }
        }
        self.confirm(page.at, page.version);
    }

    async fn follow_plan(&self) {
        let parts = [COMMON.to_owned()];
        let store = self.store.as_ref();
        let rhythm = Rhythm::default().wait(PLAN_WAIT).retry(PLAN_RETRY_DELAY);
        follow(store, PLAN, &parts, None, rhythm, |change| {
            let rows = match change {
                Change::All(page) | Change::Some(page) => page.rows,
                Change::Failed(error) => {
                    warn!(error:% = error; "the plan of pools is not followed for now");
                    return;
                }
            };
            for value in rows.iter().filter_map(|row| row.value.as_deref()) {
                match serde_json::from_slice::<Plan>(value) {
                    Ok(plan) => self.put_plan(plan),
                    Err(error) => warn!(error:% = error; "the plan of pools can't be read"),
                }
            }
        })
        .await;
    }

    /// Asks owners for what they have newer than this host. An answer may take as long as its connection lasts, so none waits
    /// for another.
    async fn ask_owners(&self) {
        tokio::join!(self.ask_for_catalog(), self.ask_for_plan());
    }

    async fn ask_for_catalog(&self) {
        let mut behind: Option<Instant> = None;
        loop {
            self.current.newer.notified().await;
            let mine = self.catalog_version();
            let Some(link) = self.link_to_owner_where(|beat| beat.catalog > mine) else {
                behind = None;
                continue;
            };
            let since = *behind.get_or_insert_with(Instant::now);
            let reads = !self.current.relying.load(Ordering::Relaxed) && mine > 0 && self.served();
            if reads && since.elapsed() <= SECOND_SOURCE_DELAY {
                continue;
            }
            self.current.fetching.store(clock::now(), Ordering::Relaxed);
            let reply = link.fetch(Call::Catalog).await;
            self.current.fetching.store(0, Ordering::Relaxed);
            if let Some(Reply::Catalog(packed)) = reply
                && !self.take_up_packed(&packed)
            {
                sleep(UNREADABLE_RETRY_DELAY).await;
            }
        }
    }

    async fn ask_for_plan(&self) {
        loop {
            self.current.newer_plan.notified().await;
            let mine = self.plan.load().version;
            if let Some(link) = self.link_to_owner_where(|beat| beat.plan > mine)
                && let Some(Reply::Plan(plan)) = link.fetch(Call::Plan).await
            {
                self.put_plan(*plan);
            }
        }
    }

    /// Takes up an owner's configuration; `false` if it can't be read.
    fn take_up_packed(&self, packed: &Packed) -> bool {
        match Catalog::try_from(packed) {
            Ok(catalog) => {
                self.put_catalog(catalog);
                true
            }
            Err(error) => {
                warn!(version = packed.version, error:% = error; "an owner's configuration can't be read");
                false
            }
        }
    }

    /// The configuration in force, as it is sent to other hosts. It is packed once for all of them.
    pub(crate) fn packed_catalog(&self) -> Option<Packed> {
        let catalog = self.catalog()?;
        let mut packed = lock(&self.current.packed);
        if packed.version != catalog.version {
            match Packed::try_from(catalog.as_ref()) {
                Ok(newer) => *packed = newer,
                Err(error) => {
                    warn!(version = catalog.version, error:% = error; "the configuration can't be packed");
                    return None;
                }
            }
        }
        Some(packed.clone())
    }
}
