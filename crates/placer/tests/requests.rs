//! Quick requests: at most once, one true answer, and "not run" when it is said.

#![allow(clippy::unwrap_used, reason = "a test that can't go on panics")]

mod world;

use standin::{Faults, Mischief};
use wire::{Answer, Class, Kind};
use world::{World, ms, request, secs, until};

async fn one_placer() -> World {
    let mut world = World::new(1, 3).await;
    world.start("p1");
    world.settle(secs(5)).await;
    world
}

fn kind(answer: &Answer) -> Option<Kind> {
    match answer {
        Answer::Done(_) => None,
        Answer::Fault(fault) => Some(fault.kind),
    }
}

fn set_all(world: &World, mischief: Mischief) {
    for n in 0..3 {
        world.racks.set(&format!("r1-{n}"), mischief);
    }
}

/// Callers see: the same answer from both entries, and one run. The second ask comes while the
/// first runs and joins it; a third comes later and gets the remembered answer.
#[tokio::test(start_paused = true)]
async fn the_same_request_through_two_entries_runs_once() {
    let world = one_placer().await;
    let first = world.ask_later("p1", request("a", "seat", false, 200));
    tokio::time::sleep(ms(100)).await;
    let second = world.ask_later("p1", request("a", "seat", false, 200));
    let (first, second) = (first.await.unwrap(), second.await.unwrap());
    assert_eq!(first.class(), Class::Done);
    assert_eq!(first, second);
    let third = world.ask(request("a", "seat", false, 200)).await;
    assert_eq!(first, third);
    assert_eq!(world.runs("a"), 1);
    world.end().await;
}

/// Callers see: "refused, conflict", since an id names one request for good.
#[tokio::test(start_paused = true)]
async fn an_id_that_was_used_for_another_request_is_refused() {
    let world = one_placer().await;
    world.ask(request("a", "seat", false, 5)).await;
    let other = world.ask(request("a", "seat", false, 6)).await;
    assert_eq!(kind(&other), Some(Kind::Conflict));
    assert_eq!(world.runs("a"), 1);
    world.end().await;
}

/// Callers see: "may have run". The owner is killed after it has claimed and sent the start; the
/// caller asks again, and the new owner finds the claim.
#[tokio::test(start_paused = true)]
async fn a_request_whose_owner_was_killed_after_the_claim_never_runs_again() {
    let mut world = one_placer().await;
    world.start("p2");
    tokio::time::sleep(secs(2)).await;
    let owner = world.owner("r1").unwrap();
    let first = world.ask_later(&owner, request("a", "seat", false, 400));
    tokio::time::sleep(ms(200)).await;
    assert_eq!(world.runs("a"), 1);
    world.kill(&owner);
    world.settle(secs(10)).await;
    let again = world.ask(request("a", "seat", false, 400)).await;
    assert_eq!(kind(&again), Some(Kind::ClaimedBefore));
    assert_eq!(again.class(), Class::MayHaveRun);
    assert_eq!(world.runs("a"), 1);
    first.abort();
    world.check();
    world.end().await;
}

/// Callers see: "may have run", which is as much as anybody can know. The owner is killed between
/// its claim and the start, so nothing runs, ever.
#[tokio::test(start_paused = true)]
async fn a_claim_without_a_start_is_not_run_by_the_next_owner() {
    let mut world = one_placer().await;
    world.start("p2");
    tokio::time::sleep(secs(2)).await;
    let owner = world.owner("r1").unwrap();
    // Three requests for one key: the third has its claim and waits for the key.
    let asks: Vec<_> = ["a", "b", "c"]
        .iter()
        .map(|id| world.ask_later(&owner, request(id, "seat", false, 400)))
        .collect();
    tokio::time::sleep(ms(200)).await;
    world.kill(&owner);
    world.settle(secs(10)).await;
    let again = world.ask(request("c", "seat", false, 400)).await;
    assert_eq!(again.class(), Class::MayHaveRun);
    assert_eq!(world.runs("c"), 0);
    asks.iter().for_each(tokio::task::JoinHandle::abort);
    world.check();
    world.end().await;
}

/// Callers see: "done". The table takes the claim and loses its answer; the same claim is written
/// again and found to stand there under the same epoch.
#[tokio::test(start_paused = true)]
async fn a_claim_whose_answer_is_lost_is_found() {
    let world = one_placer().await;
    world.platform.set(Faults {
        lose: 1,
        ..Faults::default()
    });
    let answer = world.ask(request("a", "seat", false, 5)).await;
    assert_eq!(answer.class(), Class::Done);
    assert_eq!(world.runs("a"), 1);
    world.end().await;
}

/// Callers see: "not run, come back in 5 s", at once, while the table is down; later it runs once.
#[tokio::test(start_paused = true)]
async fn without_the_table_nothing_non_idempotent_runs() {
    let world = one_placer().await;
    world.platform.set(Faults {
        down: true,
        ..Faults::default()
    });
    let answer = world.ask(request("a", "seat", false, 5)).await;
    assert_eq!(kind(&answer), Some(Kind::StoreDown));
    assert_eq!(world.runs("a"), 0);
    world.platform.set(Faults::default());
    let answer = world.ask(request("a", "seat", false, 5)).await;
    assert_eq!(answer.class(), Class::Done);
    assert_eq!(world.runs("a"), 1);
    world.end().await;
}

/// Callers see: "may have run" for the first, and the second only once the first must be over. The
/// worker freezes half-way and answers nothing, not even whether it runs; its key stays taken until
/// the worker itself has ended the run.
#[tokio::test(start_paused = true)]
async fn a_key_on_a_frozen_worker_stays_taken_until_the_run_must_be_over() {
    let world = one_placer().await;
    let first = world.ask_later("p1", request("a", "seat", true, 400));
    tokio::time::sleep(ms(100)).await;
    set_all(
        &world,
        Mischief {
            frozen: true,
            ..Mischief::default()
        },
    );
    let answer = first.await.unwrap();
    assert_eq!(answer.class(), Class::MayHaveRun);
    set_all(&world, Mischief::default());
    tokio::time::sleep(secs(1)).await;
    let second = world.ask(request("b", "seat", true, 5)).await;
    assert_eq!(second.class(), Class::Done);
    world.check();
    world.end().await;
}

/// Callers see: "done" all the same. The worker loses its answer; the owner voids the attempt,
/// learns that it had ended, and passes on the answer.
#[tokio::test(start_paused = true)]
async fn an_answer_that_was_lost_is_fetched_by_voiding() {
    let world = one_placer().await;
    set_all(
        &world,
        Mischief {
            loses_answers: true,
            ..Mischief::default()
        },
    );
    let answer = world.ask(request("a", "seat", false, 5)).await;
    let Answer::Done(body) = answer else {
        panic!("{answer:?}")
    };
    assert!(body.0.starts_with(b"officers/a checks/seat "));
    assert_eq!(world.runs("a"), 1);
    world.end().await;
}

/// Callers see: "not run" at their deadlines, with none of them run. One key is worked on for long;
/// those behind it can't start in time and are taken out of the queue.
#[tokio::test(start_paused = true)]
async fn a_request_that_waits_past_its_deadline_does_not_run() {
    let world = one_placer().await;
    let first = world.ask_later("p1", request("a", "seat", true, 450));
    tokio::time::sleep(ms(10)).await;
    let mut late = request("b", "seat", true, 5);
    late.budget_ms = 200;
    let answer = world.ask(late).await;
    assert_eq!(kind(&answer), Some(Kind::Deadline));
    assert_eq!(first.await.unwrap().class(), Class::Done);
    tokio::time::sleep(secs(2)).await;
    assert_eq!(world.runs("b"), 0);
    world.end().await;
}

/// Callers see: each the whole answer to their own request. A hundred run at once on three workers.
#[tokio::test(start_paused = true)]
async fn everybody_gets_the_answer_to_their_own_request() {
    let world = one_placer().await;
    let ask = |n: u64| {
        world.ask_later(
            "p1",
            request(
                &format!("a{n}"),
                &format!("k{n}"),
                n.is_multiple_of(2),
                n % 7,
            ),
        )
    };
    let asks: Vec<_> = (0..100).map(|n| (n, ask(n))).collect();
    for (n, answer) in asks {
        let answer = answer.await.unwrap();
        let Answer::Done(body) = answer else {
            panic!("{answer:?}")
        };
        let expected = format!("officers/a{n} checks/k{n} work_ms={}", n % 7);
        assert_eq!(String::from_utf8(body.0).unwrap(), expected);
    }
    world.check();
    world.end().await;
}

/// Callers see: "done", served by other workers. One worker fails everything it starts and is
/// always free; after a few failures it gets nothing for a while.
#[tokio::test(start_paused = true)]
async fn a_worker_that_fails_everything_gets_no_more_work() {
    let world = one_placer().await;
    world.racks.set(
        "r1-0",
        Mischief {
            fails: true,
            ..Mischief::default()
        },
    );
    let mut failed = 0;
    for n in 0..100 {
        let answer = world
            .ask(request(&format!("a{n}"), &format!("k{n}"), false, 5))
            .await;
        failed += u32::from(answer.class() != Class::Done);
    }
    assert!(failed <= 5, "{failed} of 100 failed");
    world.end().await;
}

/// Callers see: nothing. A worker says that it is leaving; from then on it starts nothing.
#[tokio::test(start_paused = true)]
async fn a_leaving_worker_gets_no_new_work_though_the_list_lags() {
    let world = one_placer().await;
    world.platform.set(Faults {
        lag_ms: 60_000,
        ..Faults::default()
    });
    world.racks.set(
        "r1-0",
        Mischief {
            leaving: true,
            ..Mischief::default()
        },
    );
    world.platform.unlist("r1-0", false);
    tokio::time::sleep(secs(3)).await;
    let before = world.racks.journals()["r1-0"].runs.len();
    for n in 0..50 {
        let answer = world
            .ask(request(&format!("a{n}"), &format!("k{n}"), true, 5))
            .await;
        assert_eq!(answer.class(), Class::Done);
    }
    assert_eq!(world.racks.journals()["r1-0"].runs.len(), before);
    world.end().await;
}

/// Callers see: nothing. Only the platform's list says that a worker is leaving; it would still
/// take work, and gets none once the list shows it.
#[tokio::test(start_paused = true)]
async fn a_worker_that_is_listed_as_leaving_gets_no_new_work() {
    let world = one_placer().await;
    world.platform.unlist("r1-0", false);
    tokio::time::sleep(secs(3)).await;
    let before = world.racks.journals()["r1-0"].runs.len();
    for n in 0..50 {
        world
            .ask(request(&format!("a{n}"), &format!("k{n}"), true, 5))
            .await;
    }
    assert_eq!(world.racks.journals()["r1-0"].runs.len(), before);
    world.end().await;
}

/// Callers see: "not run, come back", at once, when more comes than can be served in time.
#[tokio::test(start_paused = true)]
async fn what_can_t_be_served_in_time_is_turned_away_at_once() {
    let world = one_placer().await;
    let asks: Vec<_> = (0..2_000)
        .map(|n| world.ask_later("p1", request(&format!("a{n}"), &format!("k{n}"), true, 400)))
        .collect();
    let mut classes = std::collections::BTreeMap::new();
    for ask in asks {
        *classes
            .entry(ask.await.unwrap().class().as_str())
            .or_insert(0) += 1;
    }
    assert!(classes["not-run"] > 1_000, "{classes:?}");
    assert!(classes["done"] > 50, "{classes:?}");
    assert_eq!(classes.len(), 2, "{classes:?}");
    world.check();
    world.end().await;
}

/// Callers see: claims of many go through with few writes. A hundred non-idempotent requests come
/// at once; the table sees a handful of transactions.
#[tokio::test(start_paused = true)]
async fn claims_are_written_together() {
    let world = one_placer().await;
    let before = world.platform.counts().writes;
    let ask = |n: u32| world.ask_later("p1", request(&format!("a{n}"), &format!("k{n}"), false, 5));
    let asks: Vec<_> = (0..100).map(ask).collect();
    for answer in asks {
        assert_eq!(answer.await.unwrap().class(), Class::Done);
    }
    let writes = world.platform.counts().writes - before;
    assert!(writes <= 5, "{writes} writes");
    world.end().await;
}

/// Callers see: one run, although the table fails in between. A deposed owner claims while the new
/// one has the rack: the claim names an epoch that the row does not.
#[tokio::test(start_paused = true)]
async fn a_deposed_owner_can_t_claim() {
    let mut world = one_placer().await;
    world.placers["p1"].faults.pause();
    let late = world.ask_later("p1", request("a", "seat", false, 5));
    world.start("p2");
    until(secs(20), || world.active("p2", "r1")).await;
    world.placers["p1"].faults.thaw();
    let late = late.await.unwrap();
    assert_eq!(late.class(), Class::NotRun, "{late:?}");
    assert_eq!(world.runs("a"), 0);
    let again = world.ask_at("p2", request("a", "seat", false, 5)).await;
    assert_eq!(again.class(), Class::Done);
    assert_eq!(world.runs("a"), 1);
    world.end().await;
}

/// Callers see: "may have run" at once for the first, and the second only when the first must be
/// over. The connection to the worker breaks while it runs the key, and it can't be asked; another
/// worker would be free at once.
#[tokio::test(start_paused = true)]
async fn a_key_stays_taken_while_its_run_can_t_be_asked_after() {
    let world = one_placer().await;
    world.placers["p1"].faults.break_runs(true);
    let first = world.ask(request("a", "seat", true, 450)).await;
    assert_eq!(kind(&first), Some(Kind::Lost));
    world.placers["p1"].faults.break_runs(false);
    let mut asked = request("b", "seat", true, 5);
    asked.budget_ms = 8_000;
    let second = world.ask(asked).await;
    assert_eq!(second.class(), Class::Done);
    world.check();
    world.end().await;
}
