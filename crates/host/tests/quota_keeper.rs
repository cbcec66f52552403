//! Owners of several pools move units of a customer's limit through the store and by messages.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use host::quota_keeper::{Limits, Ownership, QuotaKeeper, QuotaPeers, QuotaUser};
use host::quota_parts::UNITS;
use host::quota_policy::{QuotaGiven, QuotaNeeds};
use host::{Feed, Page, Row, Store, StoreError, Transaction};
use pool::{CustomerId, Limit, QuotaDemand};
use resource::Size;
use tokio::time::sleep;

const POOLS: u32 = 3;
/// Version of the owners' rows.
const CLAIMED: u64 = 1;

/// Part, table and key.
type RowKey = (String, String, String);

#[derive(Default)]
struct FakeStore {
    /// Values with their versions.
    rows: Mutex<BTreeMap<RowKey, (Vec<u8>, u64)>>,
    commits: Mutex<u64>,
}

#[async_trait]
impl Store for FakeStore {
    async fn commit(&self, transaction: &Transaction) -> Result<u64, StoreError> {
        sleep(Duration::from_millis(4)).await;
        let mut rows = self.rows.lock().expect("not poisoned");
        let key =
            |table: &str, key: &str| (transaction.part.clone(), table.to_owned(), key.to_owned());
        let present = transaction.checks.iter().map(|(table, id, _)| {
            let row = rows.get(&key(table, id));
            Row {
                table: table.clone(),
                part: transaction.part.clone(),
                key: id.clone(),
                value: row.map(|(value, _)| value.clone()),
                version: row.map_or(0, |(_, version)| *version),
            }
        });
        let present: Vec<Row> = present.collect();
        let holds = present
            .iter()
            .zip(&transaction.checks)
            .all(|(row, check)| row.version == check.2);
        if !holds {
            return Err(StoreError::Conflict { rows: present });
        }
        let mut commits = self.commits.lock().expect("not poisoned");
        *commits += 1;
        let version = CLAIMED + *commits;
        for (table, id, value) in &transaction.puts {
            rows.insert(key(table, id), (value.clone(), version));
        }
        Ok(version)
    }

    async fn page(&self, table: &str, part: &str, _: &str) -> Result<Page, StoreError> {
        let rows = self.rows.lock().expect("not poisoned");
        let found = rows
            .iter()
            .filter(|((in_part, in_table, _), _)| in_part == part && in_table == table);
        let found = found.map(|((part, table, key), (value, version))| Row {
            table: table.clone(),
            part: part.clone(),
            key: key.clone(),
            value: Some(value.clone()),
            version: *version,
        });
        Ok(Page {
            rows: found.collect(),
            version: u64::MAX,
            ..Page::default()
        })
    }

    async fn get(&self, _: &str, _: &str, _: &str) -> Result<Option<Row>, StoreError> {
        Ok(None)
    }

    async fn feed(&self, _: &str, _: u64, _: Duration) -> Result<Feed, StoreError> {
        Ok(Feed::default())
    }
}

/// The keepers of all pools, which reach each other; the sizes are those of the pools.
struct Peers {
    keepers: Vec<Arc<QuotaKeeper>>,
}

#[async_trait]
impl QuotaPeers for Peers {
    fn pool_sizes(&self) -> Vec<u32> {
        vec![100; self.keepers.len()]
    }

    fn send_needs(&self, to: u32, needs: QuotaNeeds) {
        self.keepers[to as usize].receive_needs(needs);
    }

    async fn send_given(&self, to: u32, given: QuotaGiven) -> Option<Vec<(CustomerId, u64)>> {
        sleep(Duration::from_millis(20)).await;
        Some(self.keepers[to as usize].receive_given(&given).await)
    }
}

/// A pool whose tasks of one customer use and want this many millicores of a limit of 9,000.
#[derive(Default)]
struct User {
    used: Mutex<u64>,
    wanted: Mutex<u64>,
}

impl QuotaUser for User {
    fn update_limits(&self, limits: &mut Limits) {
        limits.version = 1;
        limits.by_customer = [("acme".into(), Limit::from(Size::new(9_000, 0, 0)))]
            .into_iter()
            .collect();
    }

    fn demand(&self) -> Option<Vec<QuotaDemand>> {
        let (used, wanted) = (
            *self.used.lock().expect("not poisoned"),
            *self.wanted.lock().expect("not poisoned"),
        );
        Some(vec![QuotaDemand {
            customer: "acme".into(),
            used: Size::new(used, 0, 0),
            wanted: Size::new(wanted, 0, 0),
            largest: Size::new(wanted.min(1_000), 0, 0),
            ..QuotaDemand::default()
        }])
    }

    fn parts_changed(&self) {}
}

struct Site {
    store: Arc<FakeStore>,
    keepers: Vec<Arc<QuotaKeeper>>,
    users: Vec<Arc<User>>,
}

impl Site {
    fn start(pools: u32) -> Self {
        let store = Arc::new(FakeStore::default());
        let keepers: Vec<Arc<QuotaKeeper>> = (0..pools)
            .map(|pool| Arc::new(QuotaKeeper::new(pool, 4_096)))
            .collect();
        let users: Vec<Arc<User>> = (0..pools).map(|_| Arc::default()).collect();
        for pool in 0..pools {
            let row = format!(
                r#"{{"host":"h{pool}","address":"127.0.0.1:1","epoch":1,"life":7,"heirs":[]}}"#
            );
            let key = (
                format!("pool-{pool}"),
                "owner".to_owned(),
                "owner".to_owned(),
            );
            store
                .rows
                .lock()
                .expect("not poisoned")
                .insert(key, (row.into_bytes(), CLAIMED));
            let (keeper, user) = (
                Arc::clone(&keepers[pool as usize]),
                Arc::clone(&users[pool as usize]),
            );
            let (store, peers) = (
                Arc::clone(&store),
                Peers {
                    keepers: keepers.clone(),
                },
            );
            tokio::spawn(async move {
                let ownership = Ownership {
                    epoch: 1,
                    incarnation: 7,
                    version: CLAIMED,
                };
                keeper
                    .run(ownership, store.as_ref(), &peers, user.as_ref())
                    .await;
            });
        }
        Self {
            store,
            keepers,
            users,
        }
    }

    fn units(&self) -> Vec<u32> {
        self.keepers
            .iter()
            .map(|keeper| keeper.units_of("acme"))
            .collect()
    }
}

/// Guards against a deployment with one pool that depends on rows, or writes any.
#[tokio::test(start_paused = true)]
async fn a_single_pool_has_the_whole_limit_and_writes_nothing() {
    let site = Site::start(1);
    *site.users[0].wanted.lock().expect("not poisoned") = 20_000;
    sleep(Duration::from_secs(5)).await;
    assert_eq!(site.units(), [UNITS]);
    assert_eq!(*site.store.commits.lock().expect("not poisoned"), 0);
}

/// Guards against pools without units until their first work waits.
#[tokio::test(start_paused = true)]
async fn the_first_units_are_dealt_out_by_size() {
    let site = Site::start(POOLS);
    sleep(Duration::from_secs(1)).await;
    assert_eq!(site.units(), [333_334, 333_333, 333_333]);
}

/// Guards against work that waits in one pool while the others don't use their units: it has them within a second.
#[tokio::test(start_paused = true)]
async fn units_follow_demand_within_a_second() {
    let site = Site::start(POOLS);
    sleep(Duration::from_secs(2)).await;
    *site.users[1].wanted.lock().expect("not poisoned") = 9_000;
    sleep(Duration::from_secs(1)).await;
    assert_eq!(site.units(), [0, UNITS, 0]);
}

/// Guards against giving units that running tasks use.
#[tokio::test(start_paused = true)]
async fn units_in_use_are_not_given() {
    let site = Site::start(POOLS);
    sleep(Duration::from_secs(2)).await;
    *site.users[0].used.lock().expect("not poisoned") = 2_000;
    *site.users[1].wanted.lock().expect("not poisoned") = 9_000;
    sleep(Duration::from_secs(1)).await;
    // Pool 0 also holds back a part of what its tasks use, for when they end.
    let units = site.units();
    assert_eq!(units[1..], [UNITS - 222_223, 0]);
    assert!(units[0] <= 222_223, "{units:?}");
}

/// Guards against an owner that was replaced and goes on moving units.
#[tokio::test(start_paused = true)]
async fn a_replaced_owner_moves_nothing() {
    let site = Site::start(POOLS);
    sleep(Duration::from_secs(2)).await;
    let key = ("pool-0".to_owned(), "owner".to_owned(), "owner".to_owned());
    let row = br#"{"host":"h9","address":"127.0.0.1:1","epoch":2,"life":8,"heirs":[]}"#;
    site.store
        .rows
        .lock()
        .expect("not poisoned")
        .insert(key, (row.to_vec(), 1_000));
    *site.users[1].wanted.lock().expect("not poisoned") = 9_000;
    sleep(Duration::from_secs(2)).await;
    assert_eq!(site.units()[1..], [666_666, 0]);
}
