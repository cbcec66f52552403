//! Following a table, and reading one, while the store or the network is slow or fails.

use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use host::follow::{Change, PollTiming, follow, read};
use host::{Feed, Page, Row, Store, StoreError, Transaction};
use tokio::time::{Instant, sleep, timeout};

/// Maximum number of rows that the store returns at once.
const PAGE_ROWS: u64 = 500;
/// Rows written per second: heartbeats of 3,000 workers, one every 1.5 s each.
const WRITES_PER_SECOND: u64 = 2_000;

/// A store with a constant rate of writes that returns at most one page of changes at once.
struct BusyStore {
    began: Instant,
    returned: Mutex<u64>,
}

impl BusyStore {
    fn written(&self) -> u64 {
        self.began.elapsed().as_millis() as u64 * WRITES_PER_SECOND / 1_000
    }
}

#[async_trait]
impl Store for BusyStore {
    async fn commit(&self, _: &Transaction) -> Result<u64, StoreError> {
        Ok(0)
    }

    async fn page(&self, _: &str, _: &str, _: &str) -> Result<Page, StoreError> {
        Ok(Page::default())
    }

    async fn get(&self, _: &str, _: &str, _: &str) -> Result<Option<Row>, StoreError> {
        Ok(None)
    }

    async fn feed(&self, table: &str, after: u64, _: Duration) -> Result<Feed, StoreError> {
        sleep(Duration::from_millis(5)).await;
        while self.written() == after {
            sleep(Duration::from_millis(1)).await;
        }
        let version = self.written().min(after + PAGE_ROWS);
        let rows = (after..version).map(|key| Row {
            table: table.to_owned(),
            part: String::new(),
            key: key.to_string(),
            value: Some(Vec::new()),
            version: key + 1,
        });
        *self.returned.lock().expect("not poisoned") = version;
        Ok(Feed {
            rows: rows.collect(),
            version,
            next: None,
            at: 0,
        })
    }
}

/// Guards against an owner that falls ever further behind because workers write more rows per second than it receives when it
/// pauses after each answer: it went on giving tasks to workers that had reported that they were leaving.
#[tokio::test(start_paused = true)]
async fn a_follower_keeps_up_with_a_table_that_changes_fast() {
    let store = BusyStore {
        began: Instant::now(),
        returned: Mutex::new(0),
    };
    let parts = [String::new()];
    let pause = Duration::from_millis(350);
    let mut max_rows = 0;
    let following = follow(
        &store,
        "workers",
        &parts,
        Some(0),
        PollTiming::default().pause(pause),
        |change| {
            if let Change::Update(feed) = change {
                max_rows = max_rows.max(feed.rows.len());
            }
        },
    );
    drop(timeout(Duration::from_secs(20), following).await);
    let behind = store.written() - *store.returned.lock().expect("not poisoned");
    assert!(behind < WRITES_PER_SECOND, "{behind} rows behind");
    assert!(max_rows as u64 <= PAGE_ROWS);
}

/// Fault of the store or the network that affects reads.
enum Fault {
    /// One call in three fails.
    FailsSome,
    /// All calls fail for this long.
    FailsAll(Duration),
    /// Pages are older than required for this long.
    Stale(Duration),
    /// The link carries this many pages per second, and calls time out after 900 ms.
    SlowLink(u64),
}

/// A store with the fault; its table has 64 parts with two pages each.
struct FaultyStore {
    began: Instant,
    fault: Fault,
    calls: Mutex<u64>,
    in_flight: Mutex<u64>,
}

impl FaultyStore {
    fn new(fault: Fault) -> Self {
        Self {
            began: Instant::now(),
            fault,
            calls: Mutex::new(0),
            in_flight: Mutex::new(0),
        }
    }

    /// Applies the fault to the call with this number.
    async fn transmit(&self, call: u64) -> Result<(), StoreError> {
        let lost = || StoreError::Lost {
            why: "no answer".to_owned(),
        };
        match self.fault {
            Fault::FailsSome if call.is_multiple_of(3) => Err(lost()),
            Fault::FailsAll(time) if self.began.elapsed() < time => Err(lost()),
            Fault::FailsSome | Fault::FailsAll(_) | Fault::Stale(_) => Ok(()),
            Fault::SlowLink(pages) => {
                *self.in_flight.lock().expect("not poisoned") += 1;
                let share = *self.in_flight.lock().expect("not poisoned");
                let takes = Duration::from_millis(share * 1_000 / pages);
                let done = timeout(Duration::from_millis(900), sleep(takes)).await;
                *self.in_flight.lock().expect("not poisoned") -= 1;
                done.map_err(|_| lost())
            }
        }
    }
}

#[async_trait]
impl Store for FaultyStore {
    async fn commit(&self, _: &Transaction) -> Result<u64, StoreError> {
        Ok(0)
    }

    async fn page(&self, table: &str, part: &str, from: &str) -> Result<Page, StoreError> {
        let call = {
            let mut calls = self.calls.lock().expect("not poisoned");
            *calls += 1;
            *calls
        };
        self.transmit(call).await?;
        let row = Row {
            table: table.to_owned(),
            part: part.to_owned(),
            key: format!("{part}-{from}"),
            value: Some(Vec::new()),
            version: 1,
        };
        let stale = matches!(self.fault, Fault::Stale(time) if self.began.elapsed() < time);
        Ok(Page {
            rows: vec![row],
            version: if stale { 6 } else { 7 },
            next: from.is_empty().then(|| "m".to_owned()),
            at: 0,
        })
    }

    async fn get(&self, _: &str, _: &str, _: &str) -> Result<Option<Row>, StoreError> {
        Ok(None)
    }

    async fn feed(&self, _: &str, _: u64, _: Duration) -> Result<Feed, StoreError> {
        Ok(Feed::default())
    }
}

/// Reads the table; returns the number of distinct rows and of calls, and the time taken.
async fn read_with(fault: Fault) -> (usize, u64, Duration) {
    let store = FaultyStore::new(fault);
    let parts: Vec<String> = (0..64).map(|part| part.to_string()).collect();
    let began = Instant::now();
    let page = read(&store, "jobs", &parts, 7).await;
    let mut keys: Vec<String> = page.rows.into_iter().map(|row| row.key).collect();
    keys.sort();
    keys.dedup();
    let calls = *store.calls.lock().expect("not poisoned");
    (keys.len(), calls, began.elapsed())
}

/// Guards against a read of 64 parts that starts anew with each failed call: with a third of all calls failing after a loss of
/// power, a new owner knew its jobs 1.5 s later than it could, and no job made progress.
#[tokio::test(start_paused = true)]
async fn pages_are_kept_when_other_reads_fail() {
    let (rows, calls, took) = read_with(Fault::FailsSome).await;
    assert_eq!(rows, 128);
    assert!(calls < 128 * 2, "{calls} calls");
    assert!(took < Duration::from_secs(1), "{took:?}");
}

/// Guards against readers that repeat all their reads as fast as the store fails them or returns stale pages.
#[tokio::test(start_paused = true)]
async fn reads_that_fail_again_are_repeated_less_often() {
    let time = Duration::from_secs(3);
    for fault in [Fault::FailsAll(time), Fault::Stale(time)] {
        let (rows, calls, took) = read_with(fault).await;
        assert_eq!(rows, 128);
        assert!(calls < 64 * 20, "{calls} calls");
        assert!(took < time + Duration::from_millis(500), "{took:?}");
    }
}

/// Guards against a new owner on a slow link that never loads its jobs, so that leases expire: sixty-four concurrent reads shared
/// the link, and all of them timed out and started again.
#[tokio::test(start_paused = true)]
async fn a_slow_link_is_not_shared_by_more_reads_than_it_carries() {
    let (rows, _, took) = read_with(Fault::SlowLink(20)).await;
    assert_eq!(rows, 128);
    assert!(took < Duration::from_secs(30), "{took:?}");
}

/// A store that doesn't answer before the given time, and has no changes after it.
struct StoreInOutage {
    back: Instant,
}

#[async_trait]
impl Store for StoreInOutage {
    async fn commit(&self, _: &Transaction) -> Result<u64, StoreError> {
        Ok(0)
    }

    async fn page(&self, _: &str, _: &str, _: &str) -> Result<Page, StoreError> {
        Ok(Page::default())
    }

    async fn get(&self, _: &str, _: &str, _: &str) -> Result<Option<Row>, StoreError> {
        Ok(None)
    }

    async fn feed(&self, _: &str, _: u64, wait: Duration) -> Result<Feed, StoreError> {
        if Instant::now() < self.back {
            sleep(wait + Duration::from_millis(400)).await;
            return Err(StoreError::Lost {
                why: "silence".to_owned(),
            });
        }
        sleep(wait).await;
        Ok(Feed::default())
    }
}

/// Guards against hosts that refuse callers for up to two seconds after the end of an outage, because their first poll waits 0.9 s
/// for a change before it is answered.
#[tokio::test(start_paused = true)]
async fn the_end_of_an_outage_is_noticed_at_once() {
    for outage in (2_000..4_000).step_by(70) {
        let back = Instant::now() + Duration::from_millis(outage);
        let store = StoreInOutage { back };
        let parts = [String::new()];
        let mut answered = None;
        let following = follow(
            &store,
            "op",
            &parts,
            Some(0),
            PollTiming::default(),
            |change| {
                if let Change::Update(_) = change {
                    answered.get_or_insert(Instant::now());
                }
            },
        );
        drop(timeout(Duration::from_secs(8), following).await);
        let late = answered.expect("it is back") - back;
        assert!(late < Duration::from_millis(600), "{late:?}");
    }
}

/// A store whose answers are in transit for this long. It has a change from the start, or none.
struct DistantStore {
    transit: Duration,
    row: Option<Row>,
}

#[async_trait]
impl Store for DistantStore {
    async fn commit(&self, _: &Transaction) -> Result<u64, StoreError> {
        Ok(0)
    }

    async fn page(&self, _: &str, _: &str, _: &str) -> Result<Page, StoreError> {
        sleep(self.transit).await;
        Ok(Page::default())
    }

    async fn get(&self, _: &str, _: &str, _: &str) -> Result<Option<Row>, StoreError> {
        Ok(None)
    }

    async fn feed(&self, _: &str, _: u64, wait: Duration) -> Result<Feed, StoreError> {
        let changed = self.row.is_some();
        if !changed {
            sleep(wait).await;
        }
        // The age of an answer is measured on a clock that tests can't pause, so this takes real time.
        let transit = self.transit;
        drop(tokio::task::spawn_blocking(move || std::thread::sleep(transit)).await);
        Ok(Feed {
            rows: self.row.iter().cloned().collect(),
            ..Feed::default()
        })
    }
}

/// Guards against an answer that was in transit for long and counts as up to date at its arrival.
#[tokio::test]
async fn an_answer_that_arrives_late_is_not_newer_than_its_request() {
    let transit = Duration::from_millis(400);
    let row = Row {
        table: "op".to_owned(),
        part: String::new(),
        key: "config".to_owned(),
        value: Some(Vec::new()),
        version: 1,
    };
    for row in [None, Some(row)] {
        let store = DistantStore { transit, row };
        let parts = [String::new()];
        let mut ages = Vec::new();
        let following = follow(
            &store,
            "op",
            &parts,
            Some(0),
            PollTiming::default(),
            |change| {
                if let Change::Update(feed) = change {
                    ages.push(host::clock::now().saturating_sub(feed.at));
                }
            },
        );
        drop(timeout(transit * 4, following).await);
        assert!(!ages.is_empty());
        let min_age = transit.as_millis() as u64 - 1;
        assert!(ages.iter().all(|age| *age >= min_age), "{ages:?}");
    }
}

/// A store that counts polls for changes, and has none or refuses.
struct CountingStore {
    polls: Mutex<u32>,
    refuses: bool,
}

#[async_trait]
impl Store for CountingStore {
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
        *self.polls.lock().expect("not poisoned") += 1;
        if self.refuses {
            let why = "down".to_owned();
            return Err(StoreError::Refused { why });
        }
        sleep(wait).await;
        Ok(Feed {
            version: after,
            ..Feed::default()
        })
    }
}

/// Number of polls in a minute.
async fn polls(refuses: bool, timing: PollTiming) -> u32 {
    let store = CountingStore {
        polls: Mutex::default(),
        refuses,
    };
    let parts = [String::new()];
    let following = follow(&store, "plan", &parts, Some(0), timing, |_| {});
    drop(timeout(Duration::from_secs(60), following).await);
    let polls = store.polls.lock().expect("not poisoned");
    *polls
}

/// Guards against hundreds of hosts that poll a table that hardly ever changes, and more often while the store is down: on a
/// quiet day such polls were half of all calls.
#[tokio::test(start_paused = true)]
async fn a_table_that_hardly_changes_is_polled_seldom() {
    let seldom = PollTiming::default()
        .wait(Duration::from_secs(2))
        .retry(Duration::from_millis(400));
    assert!(polls(false, seldom).await <= 32);
    assert!(polls(true, seldom).await <= 151);
}
