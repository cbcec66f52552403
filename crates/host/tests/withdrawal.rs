//! Ids that were cancelled before their jobs were accepted.

use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use host::access::Caller;
use host::insert::{Inserted, insert};
use host::withdrawal::Withdrawal;
use host::withdrawals::{Withdrawals, delete_expired};
use host::{Feed, Page, Row, Store, StoreError, Transaction};
use pool::{Job, State};
use tokio::time::Instant;

const JOB: &str = "00000000000000c1";
const POOL: u32 = 3;
const RETENTION: u64 = 150_000;

/// A store with one table, whose calls can be held up and carried out later.
#[derive(Default)]
struct FakeStore {
    rows: Mutex<Vec<Row>>,
    version: Mutex<u64>,
    /// Whether calls get no answer and are kept in `held`.
    holds: Mutex<bool>,
    held: Mutex<Vec<Transaction>>,
}

impl FakeStore {
    fn row(&self, key: &str) -> Option<Row> {
        let rows = self.rows.lock().expect("not poisoned");
        rows.iter().find(|row| row.key == key).cloned()
    }

    fn execute(&self, transaction: &Transaction) -> Result<u64, StoreError> {
        let mut version = self.version.lock().expect("not poisoned");
        let mut rows = self.rows.lock().expect("not poisoned");
        let present = |key: &String| {
            let absent = Row {
                table: "jobs".into(),
                part: transaction.part.clone(),
                key: key.clone(),
                value: None,
                version: 0,
            };
            let found = rows.iter().find(|row| row.key == *key).cloned();
            found.unwrap_or(absent)
        };
        let checked: Vec<Row> = transaction.checks.iter().map(|it| present(&it.1)).collect();
        let mut checks = checked.iter().zip(&transaction.checks);
        if checks.any(|(row, check)| row.version != check.2) {
            return Err(StoreError::Conflict { rows: checked });
        }
        *version += 1;
        let deleted = transaction.deletes.iter().map(|(_, key)| key);
        let written = transaction.puts.iter().map(|(_, key, _)| key);
        let changed: Vec<&String> = deleted.chain(written).collect();
        rows.retain(|row| !changed.contains(&&row.key));
        rows.extend(transaction.puts.iter().map(|(table, key, value)| Row {
            table: table.clone(),
            part: transaction.part.clone(),
            key: key.clone(),
            value: Some(value.clone()),
            version: *version,
        }));
        Ok(*version)
    }

    /// Carries out the calls that were held up.
    fn release(&self) -> Vec<Result<u64, StoreError>> {
        *self.holds.lock().expect("not poisoned") = false;
        let held = std::mem::take(&mut *self.held.lock().expect("not poisoned"));
        held.iter().map(|it| self.execute(it)).collect()
    }

    /// The state of the job as its row tells it; `None` if it runs as submitted.
    fn stored_state(&self) -> Option<State> {
        let value = self.row(JOB).and_then(|row| row.value);
        let row: serde_json::Value =
            serde_json::from_slice(&value.expect("there is a row")).expect("it is JSON");
        let state = row.pointer("/moved/progress/state")?.clone();
        serde_json::from_value(state).ok()
    }
}

#[async_trait]
impl Store for FakeStore {
    async fn commit(&self, transaction: &Transaction) -> Result<u64, StoreError> {
        if *self.holds.lock().expect("not poisoned") {
            let mut held = self.held.lock().expect("not poisoned");
            held.push(transaction.clone());
            return Err(StoreError::Lost {
                why: "held up".to_owned(),
            });
        }
        self.execute(transaction)
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

/// A caller with the key of this customer, empty for none, who calls the queue `q`.
fn caller(customer: &str, queue_is_open: bool) -> Caller {
    Caller {
        customer: customer.into(),
        queue: "q".to_owned(),
        queue_is_open,
    }
}

fn job_of(customer: &str) -> Job {
    Job {
        id: JOB.into(),
        queue: "q".to_owned(),
        customer: customer.into(),
        ..Job::default()
    }
}

async fn submit(store: &FakeStore, job: &Job) -> Inserted {
    let until = Instant::now() + Duration::from_secs(1);
    insert(store, POOL, job, until, Duration::from_millis(100), false).await
}

/// Withdraws the id, whose row has this version.
fn withdraw(store: &FakeStore, callers: &[Caller], version: u64) {
    let withdrawal = Withdrawal {
        pool: POOL,
        callers: callers.to_vec(),
    };
    let transaction = withdrawal.write(JOB, version).expect("it is encoded");
    store
        .execute(&transaction)
        .expect("the row has this version");
}

/// Guards against a job that starts after its caller was told that there is none: its insert was held up on the way to the store.
#[tokio::test(start_paused = true)]
async fn an_insert_that_is_carried_out_late_does_not_follow_a_withdrawal() {
    let store = FakeStore::default();
    *store.holds.lock().expect("not poisoned") = true;
    assert_eq!(submit(&store, &job_of("")).await, Inserted::Unsure);
    let held = std::mem::take(&mut *store.held.lock().expect("not poisoned"));
    withdraw(&store, &[caller("", true)], 0);
    *store.held.lock().expect("not poisoned") = held;
    let late = store.release();
    assert!(!late.is_empty() && late.iter().all(Result::is_err));
    let value = store.row(JOB).and_then(|row| row.value);
    assert!(value.is_some_and(|value| Withdrawal::is_row(&value)));
}

/// Guards against a job that runs, or that nobody knows, because its submission reaches a host after its cancellation was answered.
#[tokio::test(start_paused = true)]
async fn a_job_that_is_submitted_under_its_withdrawn_id_is_stored_as_cancelled() {
    let store = FakeStore::default();
    withdraw(&store, &[caller("a", false)], 0);
    for _ in 0..2 {
        let Inserted::Present(location) = submit(&store, &job_of("a")).await else {
            panic!("the job isn't stored");
        };
        assert!(location.moved, "its owner has to read its state in the row");
        assert_eq!(store.stored_state(), Some(State::Cancelled));
    }
}

/// Guards against callers that block the ids of other customers' jobs by cancelling them.
#[tokio::test(start_paused = true)]
async fn a_withdrawal_does_not_bind_the_job_of_another_customer() {
    for other in [caller("b", false), caller("", false)] {
        let store = FakeStore::default();
        withdraw(&store, std::slice::from_ref(&other), 0);
        let inserted = submit(&store, &job_of("a")).await;
        assert!(
            matches!(inserted, Inserted::Present(it) if !it.moved),
            "{inserted:?}"
        );
        assert_eq!(store.stored_state(), None);
    }
}

/// Guards against a withdrawal that is forgotten when somebody else cancels the same id.
#[tokio::test(start_paused = true)]
async fn each_caller_of_a_withdrawal_binds_its_own_jobs() {
    for customer in ["a", "b"] {
        let store = FakeStore::default();
        withdraw(&store, &[caller("b", false)], 0);
        let version = store.row(JOB).map_or(0, |row| row.version);
        withdraw(&store, &[caller("b", false), caller("a", false)], version);
        let inserted = submit(&store, &job_of(customer)).await;
        assert!(matches!(inserted, Inserted::Present(it) if it.moved));
    }
}

/// Guards against rows of withdrawals that stay for ever, and against the deletion of a job whose row has replaced one.
#[tokio::test(start_paused = true)]
async fn withdrawals_are_deleted_after_the_retention_period() {
    let store = FakeStore::default();
    withdraw(&store, &[caller("b", false)], 0);
    let withdrawals = Mutex::new(Withdrawals::default());
    let known = || withdrawals.lock().expect("not poisoned").len();
    let rows = [store.row(JOB).expect("it is there")];
    let apply_at = |now, pool, rows: &[Row]| {
        let mut withdrawals = withdrawals.lock().expect("not poisoned");
        withdrawals.apply(now, pool, rows);
    };
    let apply = |pool, rows: &[Row]| apply_at(1_000, pool, rows);
    apply(POOL + 1, &rows);
    assert_eq!(known(), 0, "the owner of its pool deletes it");
    apply(POOL, &rows);
    // A snapshot of the table lists it again.
    apply_at(90_000, POOL, &rows);
    delete_expired(&store, &withdrawals, 1_000 + RETENTION, RETENTION).await;
    assert!(store.row(JOB).is_some());
    assert_eq!(known(), 1);

    *store.holds.lock().expect("not poisoned") = true;
    delete_expired(&store, &withdrawals, 1_001 + RETENTION, RETENTION).await;
    assert_eq!(known(), 1, "it is tried again");
    *store.holds.lock().expect("not poisoned") = false;
    let mut job = job_of("a");
    job.payload = "p".to_owned();
    let inserted = submit(&store, &job).await;
    assert!(matches!(inserted, Inserted::Present(_)));
    assert!(store.release().iter().all(Result::is_err));
    delete_expired(&store, &withdrawals, 1_001 + RETENTION, RETENTION).await;
    assert_eq!(store.stored_state(), None, "the job is still there");
    assert_eq!(known(), 0);

    let store = FakeStore::default();
    withdraw(&store, &[caller("b", false)], 0);
    apply(POOL, &[store.row(JOB).expect("it is there")]);
    delete_expired(&store, &withdrawals, 1_001 + RETENTION, RETENTION).await;
    assert_eq!((store.row(JOB), known()), (None, 0));
}
