//! Calls whose answers are lost or late: workers that leave a share of them unanswered.

use std::convert::Infallible;
use std::time::Duration;

use futures::FutureExt as _;
use futures::future::BoxFuture;
use host::hedge::{Attempt, Hedge, LossRate, Outcome};
use tokio::time::{Instant, sleep};

const OVERDUE: Duration = Duration::from_millis(700);
const DUE: Duration = Duration::from_millis(1_250);

/// A call that is answered after this long; never if not told.
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

/// What was taken, and when, in milliseconds.
type Taken = Vec<(u128, &'static str, Attempt)>;

async fn ask(
    holds: &mut Hedge<&'static str>,
    first: BoxFuture<'static, &'static str>,
    again: Option<BoxFuture<'static, &'static str>>,
) -> (Outcome, Taken) {
    let began = Instant::now();
    let mut taken = Taken::new();
    let answered = holds
        .call(
            first,
            || again,
            OVERDUE,
            DUE,
            |name, call| {
                taken.push((began.elapsed().as_millis(), name, call));
                Ok::<_, Infallible>(())
            },
        )
        .await;
    (answered.expect("nothing fails"), taken)
}

/// Guards against news of ends that waits until a lost answer is given up: that took 1.4 s of the two seconds that a quick job
/// has, and one worker in fifteen lost one.
#[tokio::test(start_paused = true)]
async fn an_overdue_answer_is_asked_for_again() {
    let mut holds = Hedge::default();
    let (outcome, taken) = ask(
        &mut holds,
        call("first", None),
        Some(call("again", Some(45))),
    )
    .await;
    assert_eq!(outcome, Outcome::Lost);
    assert_eq!(taken, [(745, "again", Attempt::Current)]);
}

/// Guards against an answer that is dropped because another one was asked for: it may tell of ends.
#[tokio::test(start_paused = true)]
async fn an_answer_that_comes_late_is_taken() {
    let mut holds = Hedge::default();
    let (outcome, taken) = ask(
        &mut holds,
        call("first", Some(720)),
        Some(call("again", Some(100))),
    )
    .await;
    assert_eq!(taken, [(720, "first", Attempt::Earlier)]);
    assert_eq!(outcome, Outcome::Late, "it is not lost");
    let (_, taken) = ask(
        &mut holds,
        call("next", Some(600)),
        Some(call("none", None)),
    )
    .await;
    let rest = [
        (80, "again", Attempt::Earlier),
        (600, "next", Attempt::Current),
    ];
    assert_eq!(taken, rest);
}

/// Guards against an answer to a call of long ago that is taken for the one that is awaited: the worker would count as lost before
/// its answer is due.
#[tokio::test(start_paused = true)]
async fn an_answer_to_an_older_call_ends_no_wait() {
    let mut holds = Hedge::default();
    ask(
        &mut holds,
        call("old", Some(2_000)),
        Some(call("none", None)),
    )
    .await;
    let (outcome, taken) = ask(&mut holds, call("first", Some(1_100)), None).await;
    assert_eq!(outcome, Outcome::Late);
    let both = [
        (750, "old", Attempt::Earlier),
        (1_100, "first", Attempt::Earlier),
    ];
    assert_eq!(taken, both);
}

/// Guards against a full line on which each late answer is asked for again: where no copies are left, the answer is awaited.
#[tokio::test(start_paused = true)]
async fn without_copies_the_first_answer_is_awaited() {
    let mut holds = Hedge::default();
    let (outcome, taken) = ask(&mut holds, call("first", Some(1_000)), None).await;
    assert_eq!(outcome, Outcome::Late);
    assert_eq!(taken, [(1_000, "first", Attempt::Earlier)]);
}

/// Guards against a worker that never answers and is not told from one that does, and against calls that pile up there.
#[tokio::test(start_paused = true)]
async fn two_lost_answers_in_a_row_are_told() {
    let mut holds = Hedge::default();
    for _ in 0..10 {
        let began = Instant::now();
        let (outcome, taken) =
            ask(&mut holds, call("first", None), Some(call("again", None))).await;
        assert_eq!(outcome, Outcome::Unanswered);
        assert!(taken.is_empty());
        assert_eq!(began.elapsed(), DUE);
    }
}

/// An answer in time costs no second call.
#[tokio::test(start_paused = true)]
async fn an_answer_in_time_is_asked_for_once() {
    let mut holds = Hedge::default();
    let began = Instant::now();
    let answered = holds
        .call(
            call("first", Some(640)),
            || panic!("it is asked again"),
            OVERDUE,
            DUE,
            |_, _| Ok::<_, Infallible>(()),
        )
        .await;
    assert_eq!(answered, Ok(Outcome::InTime));
    assert_eq!(began.elapsed().as_millis(), 640);
}

/// Guards against holds that wait long while every fifteenth is lost, and against more looks at workers than usual where a few
/// of them are down or a few answers come late.
#[test]
fn lost_answers_are_common_only_while_many_are_lost() {
    let mut lost = LossRate::default();
    let mut play = |every: usize| {
        (1..=600).for_each(|call| lost.note(call % every == 0));
        lost.is_high()
    };
    assert!(!play(70), "eight of 540 workers are down");
    assert!(play(15));
    assert!(!play(1_000), "it is over");
}
