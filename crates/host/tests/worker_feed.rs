//! One owner reads the table of workers for the owners of all pools.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use host::follow::{Change, PollTiming, follow};
use host::worker_feed::{ChangeFilter, ChangedRow, WorkerChanges, follow_reader};
use host::{Catalog, Decode, Feed, InvalidCatalog, Page, Row, Store, StoreError, Transaction};
use pool::{Ms, WorkerInfo};
use tokio::sync::broadcast;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

const TABLE: &str = "workers";
/// Time between two heartbeats of a worker.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Maximum number of rows that the store returns at once.
const PAGE_ROWS: usize = 500;
/// An owner has to know within this time that a worker drains: the shortest bound of a drain of the users' deployments.
const DRAIN_BOUND: Duration = Duration::from_millis(2_500);

/// A table of workers in which each row changes with its worker's heartbeats. Removed rows have no value.
#[derive(Default)]
struct WorkerTable {
    rows: Mutex<BTreeMap<String, (u64, Option<String>)>>,
    version: AtomicU64,
    rows_read: AtomicU64,
    polls: AtomicU64,
}

impl WorkerTable {
    fn write(&self, worker: &str, value: Option<&str>) -> u64 {
        let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
        let row = (version, value.map(str::to_owned));
        let mut rows = self.rows.lock().expect("not poisoned");
        rows.insert(worker.to_owned(), row);
        version
    }

    fn changes(&self, after: u64) -> Feed {
        if self.version.load(Ordering::Relaxed) <= after {
            return Feed {
                version: after,
                ..Page::default()
            };
        }
        let rows = self.rows.lock().expect("not poisoned");
        let mut newer: Vec<Row> = rows
            .iter()
            .filter(|(_, (version, _))| *version > after)
            .map(|(key, (version, value))| Row {
                table: TABLE.to_owned(),
                part: String::new(),
                key: key.clone(),
                value: value.clone().map(String::into_bytes),
                version: *version,
            })
            .collect();
        newer.sort_by_key(|row| row.version);
        newer.truncate(PAGE_ROWS);
        let full = newer.len() == PAGE_ROWS;
        let last = newer.last().map_or(after, |row| row.version);
        let version = if full {
            last
        } else {
            self.version.load(Ordering::Relaxed)
        };
        Feed {
            rows: newer,
            version,
            ..Page::default()
        }
    }
}

#[async_trait]
impl Store for WorkerTable {
    async fn commit(&self, _: &Transaction) -> Result<u64, StoreError> {
        Ok(0)
    }

    async fn page(&self, _: &str, _: &str, _: &str) -> Result<Page, StoreError> {
        Ok(Page::default())
    }

    async fn get(&self, _: &str, _: &str, _: &str) -> Result<Option<Row>, StoreError> {
        Ok(None)
    }

    async fn feed(&self, _: &str, after: u64, wait: Duration) -> Result<Feed, StoreError> {
        self.polls.fetch_add(1, Ordering::Relaxed);
        sleep(Duration::from_millis(5)).await;
        let until = Instant::now() + wait;
        loop {
            let feed = self.changes(after);
            if !feed.rows.is_empty() || Instant::now() >= until {
                self.rows_read
                    .fetch_add(feed.rows.len() as u64, Ordering::Relaxed);
                return Ok(feed);
            }
            sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Decodes a row whose value is the state of its worker, with the number of its heartbeat after a colon.
struct StateDecoder;

impl Decode for StateDecoder {
    fn catalog(&self, _: &[u8]) -> Result<Catalog, InvalidCatalog> {
        Ok(Catalog::default())
    }

    fn worker(&self, _: &str, value: &[u8]) -> Option<WorkerInfo> {
        let text = std::str::from_utf8(value).ok()?;
        let (state, _) = text.split_once(':')?;
        Some(WorkerInfo {
            draining: (state == "draining").then_some(5_000),
            ..WorkerInfo::default()
        })
    }
}

/// Workers with heartbeats, the owner of pool 0 that reads their table, and the owners of other pools.
struct Scene {
    table: Arc<WorkerTable>,
    began: Instant,
    passed_on: broadcast::Sender<Arc<WorkerChanges>>,
    /// The reader works and reaches the other owners.
    reader_works: Arc<AtomicBool>,
    /// What each other owner knows of each worker.
    known: Vec<Arc<Mutex<BTreeMap<String, String>>>>,
    tasks: JoinSet<()>,
}

impl Scene {
    fn start(workers: u32, pools: usize) -> Self {
        let mut scene = Self {
            table: Arc::default(),
            began: Instant::now(),
            passed_on: broadcast::Sender::new(32),
            reader_works: Arc::new(AtomicBool::new(true)),
            known: Vec::new(),
            tasks: JoinSet::new(),
        };
        for worker in 0..workers {
            scene.table.write(&name(worker), Some("ready:0"));
        }
        let version = scene.table.version.load(Ordering::Relaxed);
        scene.send_heartbeats(workers);
        scene.read(version);
        for _ in 1..pools {
            scene.follow(version);
        }
        scene
    }

    fn clock(&self) -> impl Fn() -> Ms + Send + Sync + use<> {
        let began = self.began;
        move || began.elapsed().as_millis() as Ms + 1_000_000
    }

    /// Writes the rows of all workers evenly over each heartbeat interval. Rows in another state than `ready` are left alone.
    fn send_heartbeats(&mut self, workers: u32) {
        let table = Arc::clone(&self.table);
        self.tasks.spawn(async move {
            let slots = 30;
            for beat in 0_u32.. {
                let slot = beat % slots;
                for worker in (0..workers).filter(|worker| worker % slots == slot) {
                    let id = name(worker);
                    let ready = {
                        let rows = table.rows.lock().expect("not poisoned");
                        let value = rows.get(&id).and_then(|(_, value)| value.clone());
                        value.is_some_and(|value| value.starts_with("ready"))
                    };
                    if ready {
                        table.write(&id, Some(&format!("ready:{beat}")));
                    }
                }
                sleep(HEARTBEAT / slots).await;
            }
        });
    }

    fn read(&mut self, version: u64) {
        let (table, sender) = (Arc::clone(&self.table), self.passed_on.clone());
        let (works, clock) = (Arc::clone(&self.reader_works), self.clock());
        self.tasks.spawn(async move {
            let mut filter = ChangeFilter::new(HEARTBEAT);
            filter.skip_to(version);
            let parts = [String::new()];
            let timing = PollTiming::default().pause(Duration::from_millis(350));
            let apply = |change| {
                if let Change::Update(feed) = change
                    && works.load(Ordering::Relaxed)
                {
                    let feed = Feed {
                        at: clock(),
                        ..feed
                    };
                    let changes = filter.filter(clock(), &feed, &StateDecoder);
                    let changes = changes.map(|changes| WorkerChanges {
                        echoed_at: clock() - 250,
                        ..changes
                    });
                    drop(changes.map(|changes| sender.send(Arc::new(changes))));
                }
            };
            follow(table.as_ref(), TABLE, &parts, Some(version), timing, apply).await;
        });
    }

    fn follow(&mut self, version: u64) {
        let known = Arc::new(Mutex::new(BTreeMap::new()));
        self.known.push(Arc::clone(&known));
        let (table, receiver) = (Arc::clone(&self.table), self.passed_on.subscribe());
        let clock = self.clock();
        self.tasks.spawn(async move {
            let timing = PollTiming::default().pause(Duration::from_millis(350));
            let apply = |change| {
                if let Change::Update(feed) = change {
                    let mut known = known.lock().expect("not poisoned");
                    for row in feed.rows {
                        let state = row
                            .value
                            .map(|value| String::from_utf8(value).expect("text"));
                        known.insert(row.key, state.unwrap_or_else(|| "removed".to_owned()));
                    }
                }
            };
            follow_reader(
                table.as_ref(),
                TABLE,
                version,
                receiver,
                timing,
                clock,
                apply,
            )
            .await;
        });
    }

    /// Whether all owners know that a worker is in this state.
    fn all_know(&self, worker: u32, state: &str) -> bool {
        self.known.iter().all(|known| {
            let known = known.lock().expect("not poisoned");
            known
                .get(&name(worker))
                .is_some_and(|value| value.starts_with(state))
        })
    }

    /// Rows and polls of all owners in the next ten seconds.
    async fn count(&self) -> (u64, u64) {
        let read = || {
            let rows = self.table.rows_read.load(Ordering::Relaxed);
            (rows, self.table.polls.load(Ordering::Relaxed))
        };
        let before = read();
        sleep(Duration::from_secs(10)).await;
        let after = read();
        (after.0 - before.0, after.1 - before.1)
    }
}

fn name(worker: u32) -> String {
    format!("w{worker:05}")
}

/// Guards against bytes of the store that grow with the workers times the pools, because each owner reads the rows of all workers.
#[tokio::test(start_paused = true)]
async fn rows_read_grow_as_the_workers_do() {
    let small = Scene::start(500, 2);
    sleep(Duration::from_secs(3)).await;
    let (small_rows, _) = small.count().await;
    drop(small);
    let large = Scene::start(2_000, 8);
    sleep(Duration::from_secs(3)).await;
    let (large_rows, _) = large.count().await;
    assert!(small_rows > 0);
    assert!(
        large_rows <= small_rows * 4 + small_rows / 2,
        "four times the fleet: {small_rows} and {large_rows} rows"
    );
}

/// Guards against passing on most rows as those of workers that had been silent, in a deployment whose workers send rare heartbeats.
#[test]
fn heartbeats_are_not_passed_on_however_rare_they_are() {
    for heartbeat in [500, 1_500, 3_000, 10_000] {
        let mut filter = ChangeFilter::new(Duration::from_millis(heartbeat));
        filter.skip_to(0);
        let mut passed_on = 0;
        for beat in 1..20 {
            let row = Row {
                table: TABLE.to_owned(),
                part: String::new(),
                key: name(1),
                value: Some(format!("ready:{beat}").into_bytes()),
                version: beat,
            };
            let feed = Feed {
                rows: vec![row],
                version: beat,
                ..Page::default()
            };
            // Every other heartbeat is late by a third.
            let now = beat * heartbeat + beat % 2 * heartbeat / 3;
            let changes = filter.filter(now, &feed, &StateDecoder);
            passed_on += changes.expect("it is known after what").rows.len();
        }
        assert_eq!(passed_on, 1, "{heartbeat} ms");
    }
}

/// Guards against calls of the store that grow with the pools although one owner reads for all.
#[tokio::test(start_paused = true)]
async fn polls_do_not_grow_with_the_pools() {
    let small = Scene::start(400, 2);
    sleep(Duration::from_secs(3)).await;
    let (_, small_polls) = small.count().await;
    drop(small);
    let large = Scene::start(400, 8);
    sleep(Duration::from_secs(3)).await;
    let (_, large_polls) = large.count().await;
    assert!(
        large_polls <= small_polls + small_polls / 5,
        "two and eight pools: {small_polls} and {large_polls} polls"
    );
}

/// A worker that drains is known to all owners within the bound, as is one that was removed.
#[tokio::test(start_paused = true)]
async fn drains_and_removals_reach_all_owners() {
    let scene = Scene::start(300, 4);
    sleep(Duration::from_secs(4)).await;
    scene.table.write(&name(7), Some("draining:1"));
    scene.table.write(&name(8), None);
    sleep(DRAIN_BOUND).await;
    assert!(scene.all_know(7, "draining") && scene.all_know(8, "removed"));
}

/// Guards against a drain that nobody learns of because the reader was killed, was cut off or lost the store.
#[tokio::test(start_paused = true)]
async fn owners_go_on_by_themselves_when_the_reader_is_gone() {
    for late in [0, 200, 400, 800] {
        let scene = Scene::start(300, 4);
        sleep(Duration::from_millis(4_000 + late)).await;
        scene.reader_works.store(false, Ordering::Relaxed);
        scene.table.write(&name(7), Some("draining:1"));
        sleep(DRAIN_BOUND).await;
        assert!(scene.all_know(7, "draining"), "{late} ms later");
        scene.table.write(&name(8), Some("draining:1"));
        sleep(DRAIN_BOUND).await;
        assert!(scene.all_know(8, "draining"), "{late} ms later");
    }
}

/// Guards against a worker that stays removed at one owner: its entry expired and came back between two polls of the reader, which
/// saw no difference, while the owner had polled the store in between.
#[tokio::test(start_paused = true)]
async fn a_worker_that_expired_and_came_back_is_passed_on() {
    let mut filter = ChangeFilter::new(HEARTBEAT);
    filter.skip_to(0);
    let row = |version, value: Option<&str>| Row {
        table: TABLE.to_owned(),
        part: String::new(),
        key: name(1),
        value: value.map(|value| value.as_bytes().to_vec()),
        version,
    };
    let feed = |version, value| Feed {
        rows: vec![row(version, value)],
        version,
        ..Page::default()
    };
    let mut passed_on = |now, version, value| {
        let changes = filter.filter(now, &feed(version, value), &StateDecoder);
        changes.expect("it is known after what").rows.len()
    };
    assert_eq!(passed_on(1_000, 1, Some("ready:1")), 1, "a new worker");
    assert_eq!(passed_on(2_500, 2, Some("ready:2")), 0, "a heartbeat");
    assert_eq!(
        passed_on(7_000, 9, Some("ready:3")),
        1,
        "silent for three heartbeats"
    );
    assert_eq!(passed_on(8_000, 10, None), 1, "removed");
    assert_eq!(passed_on(8_100, 11, Some("ready:4")), 1, "back");
    assert_eq!(
        passed_on(8_200, 12, Some("no state")),
        1,
        "can't be decoded"
    );
}

/// What a batch says is used only if it follows without a gap on what the owner knows, and only for as long as it is recent. A
/// reader that lies behind, repeats itself or vouches for a time that has passed must not keep an owner from polling the store.
#[tokio::test(start_paused = true)]
async fn batches_with_gaps_and_old_batches_do_not_replace_polls() {
    type Alter = fn(u64, Ms) -> WorkerChanges;
    let altered: [(&str, Alter); 4] = [
        ("a gap", |version, now| WorkerChanges {
            after: version + 1_000_000,
            up_to: version + 1_000_001,
            echoed_at: now,
            ..WorkerChanges::default()
        }),
        ("behind", |version, now| WorkerChanges {
            up_to: version / 2,
            echoed_at: now,
            ..WorkerChanges::default()
        }),
        ("not recent", |version, now| WorkerChanges {
            up_to: version,
            age: 5_000,
            echoed_at: now,
            ..WorkerChanges::default()
        }),
        ("of unknown age", |version, now| WorkerChanges {
            up_to: version,
            age: Ms::MAX,
            echoed_at: now,
            rows: vec![ChangedRow {
                key: name(9),
                version: 1,
                value: None,
            }],
            ..WorkerChanges::default()
        }),
    ];
    for (what, alter) in altered {
        let scene = Scene::start(300, 2);
        scene.reader_works.store(false, Ordering::Relaxed);
        sleep(Duration::from_secs(1)).await;
        let frozen = scene.table.version.load(Ordering::Relaxed);
        let (sender, clock) = (scene.passed_on.clone(), scene.clock());
        let mut others = JoinSet::new();
        others.spawn(async move {
            loop {
                sleep(Duration::from_millis(100)).await;
                drop(sender.send(Arc::new(alter(frozen, clock()))));
            }
        });
        sleep(Duration::from_secs(3)).await;
        scene.table.write(&name(7), Some("draining:1"));
        sleep(DRAIN_BOUND).await;
        assert!(scene.all_know(7, "draining"), "{what}");
        assert!(!scene.all_know(9, "removed"), "{what}");
    }
}
