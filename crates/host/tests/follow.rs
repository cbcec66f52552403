//! A table that changes faster than it is told.

use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use host::follow::{Change, PollTiming, follow, read};
use host::{Feed, Page, Row, Store, StoreError, Transaction};
use tokio::time::{Instant, sleep, timeout};

/// Most rows that the store tells at once.
const PAGE: u64 = 500;
/// Rows that are written each second: 3,000 workers that beat each 1.5 s.
const WRITES: u64 = 2_000;

/// A store in which one row after the other is written, and which tells at most a page of them at once.
struct Busy {
    began: Instant,
    told: Mutex<u64>,
}

impl Busy {
    fn written(&self) -> u64 {
        self.began.elapsed().as_millis() as u64 * WRITES / 1_000
    }
}

#[async_trait]
impl Store for Busy {
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
        let version = self.written().min(after + PAGE);
        let rows = (after..version).map(|key| Row {
            table: table.to_owned(),
            part: String::new(),
            key: key.to_string(),
            value: Some(Vec::new()),
            version: key + 1,
        });
        *self.told.lock().expect("not poisoned") = version;
        Ok(Feed {
            rows: rows.collect(),
            version,
            next: None,
            at: 0,
        })
    }
}

/// Workers write more rows in a second than an owner that pauses after each answer is told. It fell further and further
/// behind, and went on giving tasks to workers that had said that they leave.
#[tokio::test(start_paused = true)]
async fn a_follower_keeps_up_with_a_table_that_changes_fast() {
    let store = Busy {
        began: Instant::now(),
        told: Mutex::new(0),
    };
    let parts = [String::new()];
    let pace = Duration::from_millis(350);
    let mut most = 0;
    let following = follow(
        &store,
        "workers",
        &parts,
        Some(0),
        PollTiming::default().pause(pace),
        |change| {
            if let Change::Update(feed) = change {
                most = most.max(feed.rows.len());
            }
        },
    );
    drop(timeout(Duration::from_secs(20), following).await);
    let behind = store.written() - *store.told.lock().expect("not poisoned");
    assert!(behind < WRITES, "{behind} rows behind");
    assert!(most as u64 <= PAGE);
}

/// What a line or a store in trouble does to reads.
enum Trouble {
    /// One call in three is refused.
    Refuses,
    /// All calls are refused for this long.
    RefusesAll(Duration),
    /// Pages are of an older moment than asked for, for this long.
    Lags(Duration),
    /// The line carries this many pages a second, and a call is given up after 900 ms.
    Thin(u64),
}

/// A table of 64 parts with two pages each.
struct Troubled {
    began: Instant,
    trouble: Trouble,
    calls: Mutex<u64>,
    under_way: Mutex<u64>,
}

impl Troubled {
    fn new(trouble: Trouble) -> Self {
        Self {
            began: Instant::now(),
            trouble,
            calls: Mutex::new(0),
            under_way: Mutex::new(0),
        }
    }

    async fn travel(&self, call: u64) -> Result<(), StoreError> {
        let lost = || StoreError::Lost {
            why: "no answer".to_owned(),
        };
        match self.trouble {
            Trouble::Refuses if call.is_multiple_of(3) => Err(lost()),
            Trouble::RefusesAll(time) if self.began.elapsed() < time => Err(lost()),
            Trouble::Refuses | Trouble::RefusesAll(_) | Trouble::Lags(_) => Ok(()),
            Trouble::Thin(pages) => {
                *self.under_way.lock().expect("not poisoned") += 1;
                let share = *self.under_way.lock().expect("not poisoned");
                let takes = Duration::from_millis(share * 1_000 / pages);
                let done = timeout(Duration::from_millis(900), sleep(takes)).await;
                *self.under_way.lock().expect("not poisoned") -= 1;
                done.map_err(|_| lost())
            }
        }
    }
}

#[async_trait]
impl Store for Troubled {
    async fn commit(&self, _: &Transaction) -> Result<u64, StoreError> {
        Ok(0)
    }

    async fn page(&self, table: &str, part: &str, from: &str) -> Result<Page, StoreError> {
        let call = {
            let mut calls = self.calls.lock().expect("not poisoned");
            *calls += 1;
            *calls
        };
        self.travel(call).await?;
        let row = Row {
            table: table.to_owned(),
            part: part.to_owned(),
            key: format!("{part}-{from}"),
            value: Some(Vec::new()),
            version: 1,
        };
        let lags = matches!(self.trouble, Trouble::Lags(time) if self.began.elapsed() < time);
        Ok(Page {
            rows: vec![row],
            version: if lags { 6 } else { 7 },
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

async fn read_through(trouble: Trouble) -> (usize, u64, Duration) {
    let store = Troubled::new(trouble);
    let parts: Vec<String> = (0..64).map(|part| part.to_string()).collect();
    let began = Instant::now();
    let page = read(&store, "jobs", &parts, 7).await;
    let mut keys: Vec<String> = page.rows.into_iter().map(|row| row.key).collect();
    keys.sort();
    keys.dedup();
    let calls = *store.calls.lock().expect("not poisoned");
    (keys.len(), calls, began.elapsed())
}

/// All hosts are back after a loss of power, while the store fails a third of all calls. A new owner that began its list of
/// 64 parts anew with each failure knew the jobs 1.5 s later than it could; callers saw nothing move.
#[tokio::test(start_paused = true)]
async fn what_was_read_is_kept_when_other_reads_fail() {
    let (rows, calls, took) = read_through(Trouble::Refuses).await;
    assert_eq!(rows, 128);
    assert!(calls < 128 * 2, "{calls} calls");
    assert!(took < Duration::from_secs(1), "{took:?}");
}

/// Guards against readers that repeat all their reads as fast as the store refuses them, or tells what is too old.
#[tokio::test(start_paused = true)]
async fn reads_that_fail_again_are_repeated_less_often() {
    let time = Duration::from_secs(3);
    for trouble in [Trouble::RefusesAll(time), Trouble::Lags(time)] {
        let (rows, calls, took) = read_through(trouble).await;
        assert_eq!(rows, 128);
        assert!(calls < 64 * 20, "{calls} calls");
        assert!(took < time + Duration::from_millis(500), "{took:?}");
    }
}

/// A host on a thin line takes a pool. Sixty-four reads at once share the line, all are given up and begun again: it never
/// knew the jobs, and leases lapsed.
#[tokio::test(start_paused = true)]
async fn a_thin_line_is_not_shared_by_more_reads_than_it_carries() {
    let (rows, _, took) = read_through(Trouble::Thin(20)).await;
    assert_eq!(rows, 128);
    assert!(took < Duration::from_secs(30), "{took:?}");
}

/// A store that is silent until some moment, and then tells changes only when there are any.
struct Away {
    back: Instant,
}

#[async_trait]
impl Store for Away {
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

/// An outage of the store ends. All hosts go on refusing callers until an answer tells them: those that waited 0.9 s for a
/// change, of which there was none, did so for up to two seconds.
#[tokio::test(start_paused = true)]
async fn the_end_of_an_outage_is_noticed_at_once() {
    for outage in (2_000..4_000).step_by(70) {
        let back = Instant::now() + Duration::from_millis(outage);
        let store = Away { back };
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

/// A store whose answers take this long to come back; a change is there from the start, or never.
struct Distant {
    back: Duration,
    row: Option<Row>,
}

#[async_trait]
impl Store for Distant {
    async fn commit(&self, _: &Transaction) -> Result<u64, StoreError> {
        Ok(0)
    }

    async fn page(&self, _: &str, _: &str, _: &str) -> Result<Page, StoreError> {
        sleep(self.back).await;
        Ok(Page::default())
    }

    async fn get(&self, _: &str, _: &str, _: &str) -> Result<Option<Row>, StoreError> {
        Ok(None)
    }

    async fn feed(&self, _: &str, _: u64, wait: Duration) -> Result<Feed, StoreError> {
        let told = self.row.is_some();
        if !told {
            sleep(wait).await;
        }
        // The answer's age is reckoned on a clock that no test can pause.
        let back = self.back;
        drop(tokio::task::spawn_blocking(move || std::thread::sleep(back)).await);
        Ok(Feed {
            rows: self.row.iter().cloned().collect(),
            ..Feed::default()
        })
    }
}

/// Guards against an answer that was long on its way and counts as of its arrival.
#[tokio::test]
async fn an_answer_that_arrives_late_is_not_newer_than_its_question() {
    let back = Duration::from_millis(400);
    let row = Row {
        table: "op".to_owned(),
        part: String::new(),
        key: "config".to_owned(),
        value: Some(Vec::new()),
        version: 1,
    };
    for row in [None, Some(row)] {
        let store = Distant { back, row };
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
        drop(timeout(back * 4, following).await);
        assert!(!ages.is_empty());
        let least = back.as_millis() as u64 - 1;
        assert!(ages.iter().all(|age| *age >= least), "{ages:?}");
    }
}

/// A store that counts questions for changes, and waits or refuses.
struct Counted {
    asked: Mutex<u32>,
    refuses: bool,
}

#[async_trait]
impl Store for Counted {
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
        *self.asked.lock().expect("not poisoned") += 1;
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

async fn questions(refuses: bool, rhythm: PollTiming) -> u32 {
    let store = Counted {
        asked: Mutex::default(),
        refuses,
    };
    let parts = [String::new()];
    let following = follow(&store, "plan", &parts, Some(0), rhythm, |_| {});
    drop(timeout(Duration::from_secs(60), following).await);
    let asked = store.asked.lock().expect("not poisoned");
    *asked
}

/// Guards against hundreds of hosts that ask the store for changes of a table that hardly changes, and all the more while it is
/// down: half of all calls of a quiet day were such questions.
#[tokio::test(start_paused = true)]
async fn a_table_that_hardly_changes_is_asked_about_seldom() {
    let seldom = PollTiming::default()
        .wait(Duration::from_secs(2))
        .retry(Duration::from_millis(400));
    assert!(questions(false, seldom).await <= 32);
    assert!(questions(true, seldom).await <= 151);
}
