//! Calls that wait until the configuration is known to be recent enough.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use host::access::{PresentedKey, Revocation};
use host::admission::{Admission, Call, Refusal};
use host::catalog::CatalogInForce;
use host::confirmation::{Confirmation, Unconfirmed, Waiting};
use host::{Catalog, Customer, KeyDigest, Queue, clock};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// Time from the arrival of a call until it is given up.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Counts queries, and how many of them are made at the same time.
#[derive(Clone, Default)]
struct Queries {
    made: Arc<AtomicUsize>,
    open: Arc<AtomicUsize>,
}

impl Queries {
    /// Answers queries after `latency`, with a confirmation as of their beginning if `answered`.
    fn answer(
        &self,
        confirmation: &Arc<Confirmation>,
        latency: Duration,
        answered: bool,
        now: impl Fn() -> u64 + Send + Sync + 'static,
    ) -> JoinSet<()> {
        let (queries, confirmation) = (self.clone(), Arc::clone(confirmation));
        let mut tasks = JoinSet::new();
        tasks.spawn(async move {
            let query = || async {
                let began = now();
                queries.made.fetch_add(1, Ordering::Relaxed);
                assert_eq!(queries.open.fetch_add(1, Ordering::Relaxed), 0);
                sleep(latency).await;
                queries.open.fetch_sub(1, Ordering::Relaxed);
                if answered {
                    confirmation.confirm(began);
                }
            };
            confirmation.run(query).await;
        });
        tasks
    }
}

/// A clock in milliseconds that is paused with the runtime's.
fn paused_clock() -> impl Fn() -> u64 + Copy + Send + Sync + 'static {
    let began = Instant::now();
    move || 1_000 + began.elapsed().as_millis() as u64
}

/// Guards against a query for each call with an unknown key.
#[tokio::test(start_paused = true)]
async fn all_waiting_calls_share_one_query() {
    let confirmation = Arc::<Confirmation>::default();
    let (queries, now) = (Queries::default(), paused_clock());
    let _running = queries.answer(&confirmation, Duration::from_millis(20), true, now);
    let mut calls = JoinSet::new();
    for _ in 0..200 {
        let confirmation = Arc::clone(&confirmation);
        calls.spawn(async move {
            confirmation
                .wait(Waiting::UnknownKey, now(), Instant::now() + TIMEOUT)
                .await
        });
    }
    while let Some(waited) = calls.join_next().await {
        assert_eq!(waited.expect("no panic"), Ok(()));
    }
    assert_eq!(queries.made.load(Ordering::Relaxed), 1);
    assert_eq!(now(), 1_020, "the answer to the query ends all waits");
}

/// Guards against a rate of queries that grows with that of the calls.
#[tokio::test(start_paused = true)]
async fn the_rate_of_queries_is_bounded() {
    let confirmation = Arc::<Confirmation>::default();
    let (queries, now) = (Queries::default(), paused_clock());
    let _running = queries.answer(&confirmation, Duration::from_millis(5), true, now);
    let mut calls = JoinSet::new();
    for _ in 0..1_000 {
        let confirmation = Arc::clone(&confirmation);
        calls.spawn(async move {
            confirmation
                .wait(Waiting::UnknownKey, now(), Instant::now() + TIMEOUT)
                .await
        });
        sleep(Duration::from_millis(10)).await;
    }
    while let Some(waited) = calls.join_next().await {
        assert_eq!(waited.expect("no panic"), Ok(()));
    }
    let made = queries.made.load(Ordering::Relaxed);
    assert!(made <= 10 * 4 + 2, "{made} queries in 10 s");
}

/// Guards against calls that wait without bound, in number or in time, while nothing can be learned.
#[tokio::test(start_paused = true)]
async fn the_number_and_the_time_of_waiting_calls_are_bounded() {
    let confirmation = Arc::<Confirmation>::default();
    let (queries, now) = (Queries::default(), paused_clock());
    let _running = queries.answer(&confirmation, Duration::from_millis(700), false, now);
    let mut calls = JoinSet::new();
    for _ in 0..1_000 {
        let confirmation = Arc::clone(&confirmation);
        calls.spawn(async move {
            let began = Instant::now();
            let waited = confirmation
                .wait(Waiting::UnknownKey, now(), began + TIMEOUT)
                .await;
            (waited, began.elapsed())
        });
    }
    let mut waited_for_timeout = 0;
    while let Some(call) = calls.join_next().await {
        match call.expect("no panic") {
            (Err(Unconfirmed::TooManyWaiting), took) => assert_eq!(took, Duration::ZERO),
            (Err(Unconfirmed::TimedOut), took) => {
                assert!((TIMEOUT..TIMEOUT + Duration::from_millis(2)).contains(&took));
                waited_for_timeout += 1;
            }
            (Ok(()), _) => panic!("nothing was learned"),
        }
    }
    assert!((1..=256).contains(&waited_for_timeout));
    // The places are free again.
    confirmation.confirm(now());
    assert_eq!(
        confirmation
            .wait(Waiting::UnknownKey, 1, Instant::now() + TIMEOUT)
            .await,
        Ok(())
    );
}

/// Guards against an older confirmation that replaces a newer one.
#[test]
fn a_confirmation_never_becomes_older() {
    let confirmation = Confirmation::default();
    confirmation.confirm(20);
    confirmation.confirm(10);
    assert_eq!(confirmation.confirmed_at(), 20);
}

fn catalog(version: u64, keys: &[&str]) -> Catalog {
    let queue = Queue {
        name: "q".to_owned(),
        host: "a".to_owned(),
        prefix: "/q/".to_owned(),
        ..Queue::default()
    };
    let customer = Customer {
        name: "c".to_owned(),
        keys: keys
            .iter()
            .map(|key| KeyDigest::of(key.as_bytes()))
            .collect(),
        ..Customer::default()
    };
    Catalog {
        version,
        queues: vec![queue],
        customers: vec![customer],
        ..Catalog::default()
    }
}

struct Setup {
    catalog: Arc<CatalogInForce>,
    confirmation: Arc<Confirmation>,
    admission: Arc<Admission>,
}

fn setup(revocation: Revocation) -> Setup {
    let in_force = Arc::<CatalogInForce>::default();
    in_force.update(catalog(1, &["good"]));
    let confirmation = Arc::<Confirmation>::default();
    let admission = Arc::new(Admission::new(
        Arc::clone(&in_force),
        Arc::clone(&confirmation),
        revocation,
        Duration::from_secs(2),
    ));
    Setup {
        catalog: in_force,
        confirmation,
        admission,
    }
}

/// Lets the spawned tasks run until all wait.
async fn run_spawned() {
    for _ in 0..1_000 {
        tokio::task::yield_now().await;
    }
}

fn call(key: &str) -> Call<'static> {
    Call {
        host: "a",
        path: "/q/1",
        key: PresentedKey::Digest(KeyDigest::of(key.as_bytes())),
        arrived_at: clock::now(),
    }
}

/// Guards against a denial of a key that is in the configuration by the time that the host knows it to be the newest.
#[tokio::test]
async fn a_waiting_call_is_decided_by_the_configuration_that_is_confirmed() {
    let setup = setup(Revocation::default());
    let admission = Arc::clone(&setup.admission);
    let until = Instant::now() + Duration::from_secs(30);
    let waiting = tokio::spawn(async move { admission.admit(call("new"), until).await });
    tokio::task::yield_now().await;
    setup.catalog.update(catalog(2, &["good", "new"]));
    setup.confirmation.confirm(clock::now() + 1);
    let admitted = waiting.await.expect("no panic").expect("the key is known");
    assert_eq!(&*admitted.caller.customer, "c");
    assert_eq!(admitted.catalog.version, 2);
    let refused = setup.admission.admit(call("none"), until);
    setup.confirmation.confirm(clock::now() + 1_000);
    assert_eq!(refused.await.expect_err("no such key"), Refusal::Denied);
}

/// Guards against callers with good keys that wait behind those with unknown ones.
#[tokio::test(start_paused = true)]
async fn unknown_keys_do_not_delay_known_ones() {
    let setup = setup(Revocation::default());
    let mut calls = JoinSet::new();
    for number in 0..2_000 {
        let admission = Arc::clone(&setup.admission);
        calls.spawn(async move {
            let until = Instant::now() + TIMEOUT;
            admission
                .admit(call(&format!("unknown-{number}")), until)
                .await
        });
    }
    run_spawned().await;
    let began = Instant::now();
    let admitted = setup.admission.admit(call("good"), began + TIMEOUT).await;
    assert!(admitted.is_ok());
    assert_eq!(began.elapsed(), Duration::ZERO);
    while let Some(refused) = calls.join_next().await {
        let refusal = refused.expect("no panic").expect_err("no such key");
        assert!(matches!(refusal, Refusal::Unknown(after) if !after.is_zero()));
    }
}

/// Guards against callers with good keys that have to be confirmed, and find all places taken by calls with unknown keys.
#[tokio::test]
async fn unknown_keys_take_no_place_of_known_ones() {
    let setup = setup(Revocation {
        strict: true,
        deadline: Duration::from_secs(5),
    });
    let mut calls = JoinSet::new();
    for number in 0..2_000 {
        let admission = Arc::clone(&setup.admission);
        calls.spawn(async move {
            let until = Instant::now() + TIMEOUT;
            admission
                .admit(call(&format!("unknown-{number}")), until)
                .await
        });
    }
    run_spawned().await;
    let admission = Arc::clone(&setup.admission);
    let until = Instant::now() + TIMEOUT;
    let good = tokio::spawn(async move { admission.admit(call("good"), until).await });
    tokio::task::yield_now().await;
    setup.confirmation.confirm(clock::now());
    assert!(good.await.expect("no panic").is_ok());
}
