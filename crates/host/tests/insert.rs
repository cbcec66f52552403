//! A job's row is written once, and a job is refused only if it is certain that its row is not written.

use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use host::insert::{Inserted, JobLocation, insert};
use host::{Feed, Page, Row, Store, StoreError, Transaction};
use pool::Job;
use tokio::time::{Instant, sleep};

/// The pool of the inserts.
const POOL: u32 = 3;

/// Result for a job that has always been in this pool, whose row was written by the only transaction of the fake store.
const fn present(pool: u32) -> Inserted {
    Inserted::Present(JobLocation {
        pool,
        version: 1,
        epoch: 0,
        moved: false,
    })
}

/// Behaviour of the store for one call.
#[derive(Clone, Copy, Debug)]
enum Behaviour {
    /// Executes the call and answers after this many milliseconds.
    Slow(u64),
    /// Executes the call, but the answer is lost.
    DoneUnanswered,
    /// Doesn't execute the call, and the answer is lost.
    Silent,
    /// Refuses the call.
    Refuses,
    /// Rejects the call for good.
    Rejects,
}

/// A store with at most one row. Calls beyond the given behaviours are answered after 4 ms.
struct FakeStore {
    behaviours: Mutex<Vec<Behaviour>>,
    /// Content of the row, if it exists.
    row: Mutex<Option<Vec<u8>>>,
    calls: Mutex<usize>,
}

impl FakeStore {
    fn new(behaviours: &[Behaviour]) -> Self {
        Self {
            behaviours: Mutex::new(behaviours.iter().rev().copied().collect()),
            row: Mutex::default(),
            calls: Mutex::new(0),
        }
    }

    fn put(&self, transaction: &Transaction) -> Result<u64, StoreError> {
        let (table, key, value) = transaction.puts.first().expect("it writes a row").clone();
        let mut stored = self.row.lock().expect("not poisoned");
        if stored.is_some() {
            let row = Row {
                table,
                part: transaction.part.clone(),
                key,
                value: stored.clone(),
                version: 1,
            };
            return Err(StoreError::Conflict { rows: vec![row] });
        }
        *stored = Some(value);
        Ok(1)
    }
}

#[async_trait]
impl Store for FakeStore {
    async fn commit(&self, transaction: &Transaction) -> Result<u64, StoreError> {
        *self.calls.lock().expect("not poisoned") += 1;
        let behaviour = self.behaviours.lock().expect("not poisoned").pop();
        let lost = || StoreError::Lost {
            why: "silence".to_owned(),
        };
        match behaviour.unwrap_or(Behaviour::Slow(4)) {
            Behaviour::Slow(ms) => {
                sleep(Duration::from_millis(ms)).await;
                self.put(transaction)
            }
            Behaviour::DoneUnanswered => {
                let _ = self.put(transaction);
                sleep(Duration::from_millis(900)).await;
                Err(lost())
            }
            Behaviour::Silent => {
                sleep(Duration::from_millis(900)).await;
                Err(lost())
            }
            Behaviour::Rejects => Err(StoreError::Rejected {
                why: "too long".to_owned(),
            }),
            Behaviour::Refuses => Err(StoreError::Refused {
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

async fn try_insert(behaviours: &[Behaviour], may_exist: bool) -> (Inserted, Duration, usize) {
    insert_with_delay(behaviours, 160, may_exist).await
}

async fn insert_with_delay(
    behaviours: &[Behaviour],
    retry_delay: u64,
    may_exist: bool,
) -> (Inserted, Duration, usize) {
    let store = FakeStore::new(behaviours);
    let began = Instant::now();
    let until = began + Duration::from_secs(2);
    let inserted = insert(
        &store,
        POOL,
        &Job::default(),
        until,
        Duration::from_millis(retry_delay),
        may_exist,
    )
    .await;
    let calls = *store.calls.lock().expect("not poisoned");
    (inserted, began.elapsed(), calls)
}

/// Guards against callers that wait for the timeout of a call whose answer is lost: the same insert, repeated, finds the row.
#[tokio::test(start_paused = true)]
async fn a_lost_answer_is_detected_by_the_next_attempt() {
    let (inserted, took, calls) = try_insert(&[Behaviour::DoneUnanswered], false).await;
    assert_eq!(inserted, present(POOL));
    assert_eq!(calls, 2);
    assert!(took < Duration::from_millis(250), "{took:?}");
}

/// Guards against retries that overload a slow store: when it answered after 270 ms, 40 times slower than usual, slow answers
/// were taken for lost ones, and the repeated calls slowed it down further until it refused.
#[tokio::test(start_paused = true)]
async fn a_slow_store_is_waited_for() {
    let (inserted, took, calls) =
        try_insert(&[Behaviour::Slow(270), Behaviour::Slow(270)], false).await;
    assert_eq!(inserted, present(POOL));
    assert!(took <= Duration::from_millis(270), "{took:?}");
    assert!(calls <= 2, "{calls} calls");
    let (inserted, _, calls) = insert_with_delay(&[Behaviour::Slow(270)], 810, false).await;
    assert_eq!(
        (inserted, calls),
        (present(POOL), 1),
        "a store that is known to be slow is called once"
    );
}

/// Guards against a job that runs twice: if the first call is not answered and later ones are refused, the first may still take
/// effect. A caller that is refused sends the job elsewhere.
#[tokio::test(start_paused = true)]
async fn a_refusal_after_an_unanswered_call_leaves_the_outcome_unknown() {
    let mut behaviours = vec![Behaviour::Silent];
    behaviours.extend([Behaviour::Refuses; 200]);
    let (inserted, _, _) = try_insert(&behaviours, false).await;
    assert_eq!(inserted, Inserted::Unsure);
}

/// A refusal of the only call is certain and is returned at once.
#[tokio::test(start_paused = true)]
async fn a_refusal_of_the_only_call_is_returned_at_once() {
    let (inserted, took, calls) = try_insert(&[Behaviour::Refuses], false).await;
    assert_eq!((inserted, calls), (Inserted::Refused, 1));
    assert!(took < Duration::from_millis(10), "{took:?}");
}

/// Guards against an insert that the store rejects for good and that is repeated until the caller's timeout.
#[tokio::test(start_paused = true)]
async fn a_rejected_insert_is_refused_at_once_and_not_repeated() {
    let (inserted, took, calls) = try_insert(&[Behaviour::Rejects], false).await;
    assert_eq!((inserted, calls), (Inserted::Refused, 1));
    assert!(took < Duration::from_millis(10), "{took:?}");
}

/// Guards against a rejection that counts as certain although an earlier call may have written the row, and against repeating the
/// insert after it.
#[tokio::test(start_paused = true)]
async fn a_rejection_leaves_an_unknown_outcome_unknown_and_ends_the_insert() {
    let (inserted, _, calls) = try_insert(&[Behaviour::Rejects, Behaviour::Rejects], true).await;
    assert_eq!((inserted, calls), (Inserted::Unsure, 1));
}

/// If an earlier call elsewhere may have written the row, the outcome is unknown until the row is found.
#[tokio::test(start_paused = true)]
async fn an_unknown_outcome_is_settled_by_the_row_only() {
    let (inserted, _, _) = try_insert(
        &[Behaviour::Refuses, Behaviour::Refuses, Behaviour::Slow(4)],
        true,
    )
    .await;
    assert_eq!(inserted, present(POOL));
    let (inserted, _, _) = try_insert(&[Behaviour::Refuses; 200], true).await;
    assert_eq!(inserted, Inserted::Unsure);
}

/// Guards against a job that runs in two pools: a caller sends it through two hosts that choose different pools because the loads
/// have changed. The second host must notify the owner of the pool that the row names.
#[tokio::test(start_paused = true)]
async fn a_repeated_insert_returns_the_pool_that_the_row_names() {
    let store = FakeStore::new(&[]);
    let until = Instant::now() + Duration::from_secs(2);
    let retry_delay = Duration::from_millis(160);
    let job = Job::default();
    let first = insert(&store, 0, &job, until, retry_delay, false).await;
    let second = insert(&store, 1, &job, until, retry_delay, false).await;
    assert_eq!((first, second), (present(0), present(0)));
}

/// Guards against a customer that is told "accepted" for an id of another customer's job, or learns anything of that job.
#[tokio::test(start_paused = true)]
async fn an_id_of_another_customer_is_in_use() {
    let store = FakeStore::new(&[]);
    let until = Instant::now() + Duration::from_secs(2);
    let retry_delay = Duration::from_millis(160);
    let job = |customer: &str, queue: &str| Job {
        customer: customer.into(),
        queue: queue.to_owned(),
        ..Job::default()
    };
    let insert = async |job: Job| insert(&store, 0, &job, until, retry_delay, false).await;
    assert_eq!(insert(job("a", "q")).await, present(0));
    assert_eq!(insert(job("a", "q")).await, present(0));
    assert_eq!(insert(job("b", "q")).await, Inserted::IdInUse);
    assert_eq!(insert(job("", "other queue")).await, Inserted::IdInUse);
    // The caller's key was removed meanwhile, and the queue is open to all.
    assert_eq!(insert(job("", "q")).await, present(0));
}
