//! Hedged calls to workers whose answers are lost or late.

use std::convert::Infallible;
use std::time::Duration;

use futures::FutureExt as _;
use futures::future::BoxFuture;
use host::hedge::{Attempt, Hedge, LossRate, Outcome};
use tokio::time::{Instant, sleep};

const OVERDUE: Duration = Duration::from_millis(700);
const TIMEOUT: Duration = Duration::from_millis(1_250);

/// A call that is answered after this many milliseconds; never if `None`.
fn call(name: &'static str, after: Option<u64>) -> BoxFuture<'static, &'static str> {
    async move {
        match after {
            Some(after) => sleep(Duration::from_millis(after)).await,
            None => std::future::pending().await,
        }
        name
    }
    .boxed()
}

/// Handled answers with their times in milliseconds.
type Handled = Vec<(u128, &'static str, Attempt)>;

async fn hedged_call(
    hedge: &mut Hedge<&'static str>,
    first: BoxFuture<'static, &'static str>,
    second: Option<BoxFuture<'static, &'static str>>,
) -> (Outcome, Handled) {
    let began = Instant::now();
    let mut handled = Handled::new();
    let outcome = hedge
        .call(
            first,
            || second,
            OVERDUE,
            TIMEOUT,
            |name, attempt| {
                handled.push((began.elapsed().as_millis(), name, attempt));
                Ok::<_, Infallible>(())
            },
        )
        .await;
    (outcome.expect("nothing fails"), handled)
}

/// Guards against ends of runs that are not seen until a lost poll times out: that took 1.4 s of the two seconds of a short job,
/// and one worker in fifteen lost an answer.
#[tokio::test(start_paused = true)]
async fn an_overdue_call_is_repeated() {
    let mut hedge = Hedge::default();
    let (outcome, handled) = hedged_call(
        &mut hedge,
        call("first", None),
        Some(call("second", Some(45))),
    )
    .await;
    assert_eq!(outcome, Outcome::Lost);
    assert_eq!(handled, [(745, "second", Attempt::Current)]);
}

/// Guards against a late answer that is dropped because the call was repeated: it may report ends of runs.
#[tokio::test(start_paused = true)]
async fn an_answer_that_comes_late_is_handled() {
    let mut hedge = Hedge::default();
    let (outcome, handled) = hedged_call(
        &mut hedge,
        call("first", Some(720)),
        Some(call("second", Some(100))),
    )
    .await;
    assert_eq!(handled, [(720, "first", Attempt::Earlier)]);
    assert_eq!(outcome, Outcome::Late, "it is not lost");
    let (_, handled) = hedged_call(
        &mut hedge,
        call("next", Some(600)),
        Some(call("none", None)),
    )
    .await;
    let rest = [
        (80, "second", Attempt::Earlier),
        (600, "next", Attempt::Current),
    ];
    assert_eq!(handled, rest);
}

/// Guards against an answer to a much older call that is mistaken for the awaited one: the worker would count as lost before its
/// answer is due.
#[tokio::test(start_paused = true)]
async fn an_answer_to_an_older_call_ends_no_wait() {
    let mut hedge = Hedge::default();
    hedged_call(
        &mut hedge,
        call("old", Some(2_000)),
        Some(call("none", None)),
    )
    .await;
    let (outcome, handled) = hedged_call(&mut hedge, call("first", Some(1_100)), None).await;
    assert_eq!(outcome, Outcome::Late);
    let both = [
        (750, "old", Attempt::Earlier),
        (1_100, "first", Attempt::Earlier),
    ];
    assert_eq!(handled, both);
}

/// Guards against a congested network on which every late call is repeated: without budget for a second call, the first answer is
/// awaited.
#[tokio::test(start_paused = true)]
async fn without_a_second_call_the_first_answer_is_awaited() {
    let mut hedge = Hedge::default();
    let (outcome, handled) = hedged_call(&mut hedge, call("first", Some(1_000)), None).await;
    assert_eq!(outcome, Outcome::Late);
    assert_eq!(handled, [(1_000, "first", Attempt::Earlier)]);
}

/// Guards against a worker that never answers and looks like one that does, and against calls to it that pile up.
#[tokio::test(start_paused = true)]
async fn two_unanswered_calls_are_reported() {
    let mut hedge = Hedge::default();
    for _ in 0..10 {
        let began = Instant::now();
        let (outcome, handled) =
            hedged_call(&mut hedge, call("first", None), Some(call("second", None))).await;
        assert_eq!(outcome, Outcome::Unanswered);
        assert!(handled.is_empty());
        assert_eq!(began.elapsed(), TIMEOUT);
    }
}

/// A call that is answered in time is not repeated.
#[tokio::test(start_paused = true)]
async fn a_call_that_is_answered_in_time_is_not_repeated() {
    let mut hedge = Hedge::default();
    let began = Instant::now();
    let outcome = hedge
        .call(
            call("first", Some(640)),
            || panic!("the call is repeated"),
            OVERDUE,
            TIMEOUT,
            |_, _| Ok::<_, Infallible>(()),
        )
        .await;
    assert_eq!(outcome, Ok(Outcome::InTime));
    assert_eq!(began.elapsed().as_millis(), 640);
}

/// Guards against polls that wait long while every fifteenth is lost, and against more frequent polls than usual where a few
/// workers are down or a few answers are late.
#[test]
fn the_loss_rate_is_high_only_while_many_answers_are_lost() {
    let mut lost = LossRate::default();
    let mut lose_every = |every: usize| {
        (1..=600).for_each(|call| lost.record(call % every == 0));
        lost.is_high()
    };
    assert!(!lose_every(70), "eight of 540 workers are down");
    assert!(lose_every(15));
    assert!(!lose_every(1_000), "the loss is over");
}
