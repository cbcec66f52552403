//! A job's row is written once, and "not accepted" is said only when that is certain.

use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use host::insert::{Inserted, JobLocation, insert};
use host::{Feed, Page, Row, Store, StoreError, Transaction};
use pool::Job;
use tokio::time::{Instant, sleep};

/// The pool that the inserts choose.
const POOL: u32 = 3;

/// The row is there for a job that has always been in this pool, written by the fake's only transaction.
const fn there(pool: u32) -> Inserted {
    Inserted::Present(JobLocation {
        pool,
        version: 1,
        moved: false,
    })
}

/// What the store does with one call.
#[derive(Clone, Copy, Debug)]
enum Fate {
    /// Answers after this time.
    Slow(u64),
    /// Does it and never answers.
    DoneUnanswered,
    /// Does nothing and never answers.
    Silent,
    /// Refuses.
    Refuses,
    /// Says that it will never take this.
    Rejects,
}

/// A store with one row at most.
struct Fake {
    fates: Mutex<Vec<Fate>>,
    /// What the row holds, if it is there.
    there: Mutex<Option<Vec<u8>>>,
    calls: Mutex<usize>,
}

impl Fake {
    fn new(fates: &[Fate]) -> Self {
        Self {
            fates: Mutex::new(fates.iter().rev().copied().collect()),
            there: Mutex::default(),
            calls: Mutex::new(0),
        }
    }

    fn put(&self, transaction: &Transaction) -> Result<u64, StoreError> {
        let (table, key, value) = transaction.puts.first().expect("it writes a row").clone();
        let mut there = self.there.lock().expect("not poisoned");
        if there.is_some() {
            let row = Row {
                table,
                part: transaction.part.clone(),
                key,
                value: there.clone(),
                version: 1,
            };
            return Err(StoreError::Conflict { rows: vec![row] });
        }
        *there = Some(value);
        Ok(1)
    }
}

#[async_trait]
impl Store for Fake {
    async fn commit(&self, transaction: &Transaction) -> Result<u64, StoreError> {
        *self.calls.lock().expect("not poisoned") += 1;
        let fate = self.fates.lock().expect("not poisoned").pop();
        let lost = || StoreError::Lost {
            why: "silence".to_owned(),
        };
        match fate.unwrap_or(Fate::Slow(4)) {
            Fate::Slow(ms) => {
                sleep(Duration::from_millis(ms)).await;
                self.put(transaction)
            }
            Fate::DoneUnanswered => {
                let _ = self.put(transaction);
                sleep(Duration::from_millis(900)).await;
                Err(lost())
            }
            Fate::Silent => {
                sleep(Duration::from_millis(900)).await;
                Err(lost())
            }
            Fate::Rejects => Err(StoreError::Rejected {
                why: "too long".to_owned(),
            }),
            Fate::Refuses => Err(StoreError::Refused {
                why: "busy".to_owned(),
            }),
        }
    }

    async fn page(&self, _: &str, _: &str, _: &str) -> Result<Page, StoreError> {
        Ok(Page::default())
    }

    async fn get(&self, _: &str, _: &str, _: &str) -> Result<Option<Row>, StoreError> {
        Ok(None)
    }

    async fn feed(&self, _: &str, _: u64, _: Duration) -> Result<Feed, StoreError> {
        Ok(Feed::default())
    }
}

async fn try_insert(fates: &[Fate], doubt: bool) -> (Inserted, Duration, usize) {
    insert_again(fates, 160, doubt).await
}

async fn insert_again(fates: &[Fate], again: u64, doubt: bool) -> (Inserted, Duration, usize) {
    let store = Fake::new(fates);
    let began = Instant::now();
    let until = began + Duration::from_secs(2);
    let inserted = insert(
        &store,
        POOL,
        &Job::default(),
        until,
        Duration::from_millis(again),
        doubt,
    )
    .await;
    let calls = *store.calls.lock().expect("not poisoned");
    (inserted, began.elapsed(), calls)
}

/// The store does the insert and its answer is lost. The caller should not wait for the time-out of that call: the same
/// insert, sent again, finds the row.
#[tokio::test(start_paused = true)]
async fn a_lost_answer_is_found_out_by_the_next_try() {
    let (inserted, took, calls) = try_insert(&[Fate::DoneUnanswered], false).await;
    assert_eq!(inserted, there(POOL));
    assert_eq!(calls, 2);
    assert!(took < Duration::from_millis(250), "{took:?}");
}

/// The store answers after 270 ms, as it does when it is 40 times slower than usual. Taking that for a lost answer and
/// flooding it with tries made it slower still, until it refused.
#[tokio::test(start_paused = true)]
async fn a_slow_store_is_waited_for() {
    let (inserted, took, calls) = try_insert(&[Fate::Slow(270), Fate::Slow(270)], false).await;
    assert_eq!(inserted, there(POOL));
    assert!(took <= Duration::from_millis(270), "{took:?}");
    assert!(calls <= 2, "{calls} calls");
    let (inserted, _, calls) = insert_again(&[Fate::Slow(270)], 810, false).await;
    assert_eq!(
        (inserted, calls),
        (there(POOL), 1),
        "known to be slow, it is asked once"
    );
}

/// The first call goes unanswered, later ones are refused. The first may still be carried out, so callers must not be told
/// that the job was not accepted: they would send it elsewhere, and it would run as well.
#[tokio::test(start_paused = true)]
async fn a_refusal_after_an_unanswered_call_leaves_it_open() {
    let mut fates = vec![Fate::Silent];
    fates.extend([Fate::Refuses; 200]);
    let (inserted, _, _) = try_insert(&fates, false).await;
    assert_eq!(inserted, Inserted::Unsure);
}

/// A refusal of the only call is certain, and is told at once.
#[tokio::test(start_paused = true)]
async fn a_refusal_alone_is_told_at_once() {
    let (inserted, took, calls) = try_insert(&[Fate::Refuses], false).await;
    assert_eq!((inserted, calls), (Inserted::Refused, 1));
    assert!(took < Duration::from_millis(10), "{took:?}");
}

/// Guards against an insert that the store will never take being sent again until the caller's time is over.
#[tokio::test(start_paused = true)]
async fn a_rejected_insert_is_refused_at_once_and_not_sent_again() {
    let (inserted, took, calls) = try_insert(&[Fate::Rejects], false).await;
    assert_eq!((inserted, calls), (Inserted::Refused, 1));
    assert!(took < Duration::from_millis(10), "{took:?}");
}

/// Guards against a rejection that is taken for certain while an earlier call may have written the row, and against sending
/// the insert again after it.
#[tokio::test(start_paused = true)]
async fn a_rejection_in_doubt_leaves_it_open_and_ends_the_insert() {
    let (inserted, _, calls) = try_insert(&[Fate::Rejects, Fate::Rejects], true).await;
    assert_eq!((inserted, calls), (Inserted::Unsure, 1));
}

/// An insert that is in doubt from elsewhere stays in doubt until the row is found.
#[tokio::test(start_paused = true)]
async fn doubt_from_elsewhere_is_ended_by_the_row_only() {
    let (inserted, _, _) = try_insert(&[Fate::Refuses, Fate::Refuses, Fate::Slow(4)], true).await;
    assert_eq!(inserted, there(POOL));
    let (inserted, _, _) = try_insert(&[Fate::Refuses; 200], true).await;
    assert_eq!(inserted, Inserted::Unsure);
}

/// A caller sends a job twice, through two hosts that chose different pools, since the loads had changed. The second must
/// hand the job to the owner that the row names: the other one would start all of it a second time.
#[tokio::test(start_paused = true)]
async fn a_repeated_insert_tells_the_pool_that_the_row_names() {
    let store = Fake::new(&[]);
    let until = Instant::now() + Duration::from_secs(2);
    let again = Duration::from_millis(160);
    let job = Job::default();
    let first = insert(&store, 0, &job, until, again, false).await;
    let second = insert(&store, 1, &job, until, again, false).await;
    assert_eq!((first, second), (there(0), there(0)));
}
