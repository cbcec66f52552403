//! Quick requests: non-idempotent ones run at most once, and the answers are correct, in particular
//! "not run".

#![allow(clippy::unwrap_used, reason = "a test that can't go on panics")]

mod cluster;

use cluster::{Cluster, ms, request, secs, wait_until};
use standin::{Faults, WorkerFaults};
use wire::{Answer, Class, Kind};

async fn one_placer() -> Cluster {
    let mut cluster = Cluster::new(1, 3).await;
    cluster.start("p1");
    cluster.wait_for_owners(secs(5)).await;
    cluster
}

fn kind(answer: &Answer) -> Option<Kind> {
    match answer {
        Answer::Done(_) => None,
        Answer::Fault(fault) => Some(fault.kind),
    }
}

fn set_all(cluster: &Cluster, faults: WorkerFaults) {
    for n in 0..3 {
        cluster.racks.set(&format!("r1-{n}"), faults);
    }
}

/// The same request sent three times must run once and get the same answer each time: the second
/// arrives while the first runs, the third after its end.
#[tokio::test(start_paused = true)]
async fn the_same_request_through_two_entries_runs_once() {
    let cluster = one_placer().await;
    let first = cluster.spawn_send("p1", request("a", "seat", false, 200));
    tokio::time::sleep(ms(100)).await;
    let second = cluster.spawn_send("p1", request("a", "seat", false, 200));
    let (first, second) = (first.await.unwrap(), second.await.unwrap());
    assert_eq!(first.class(), Class::Done);
    assert_eq!(first, second);
    let third = cluster.send(request("a", "seat", false, 200)).await;
    assert_eq!(first, third);
    assert_eq!(cluster.runs("a"), 1);
    cluster.end().await;
}

/// An id identifies one request for good: another request with the same id is refused as a
/// conflict.
#[tokio::test(start_paused = true)]
async fn an_id_that_was_used_for_another_request_is_refused() {
    let cluster = one_placer().await;
    cluster.send(request("a", "seat", false, 5)).await;
    let other = cluster.send(request("a", "seat", false, 6)).await;
    assert_eq!(kind(&other), Some(Kind::Conflict));
    assert_eq!(cluster.runs("a"), 1);
    cluster.end().await;
}

/// The owner is killed after it has written the claim and sent the start; the caller sends the
/// request again, and the new owner must find the claim and answer "may have run".
#[tokio::test(start_paused = true)]
async fn a_request_whose_owner_was_killed_after_the_claim_never_runs_again() {
    let mut cluster = one_placer().await;
    cluster.start("p2");
    tokio::time::sleep(secs(2)).await;
    let owner = cluster.owner("r1").unwrap();
    let first = cluster.spawn_send(&owner, request("a", "seat", false, 400));
    tokio::time::sleep(ms(200)).await;
    assert_eq!(cluster.runs("a"), 1);
    cluster.kill(&owner);
    cluster.wait_for_owners(secs(10)).await;
    let again = cluster.send(request("a", "seat", false, 400)).await;
    assert_eq!(kind(&again), Some(Kind::ClaimedBefore));
    assert_eq!(again.class(), Class::MayHaveRun);
    assert_eq!(cluster.runs("a"), 1);
    first.abort();
    cluster.check_invariants();
    cluster.end().await;
}

/// The owner is killed between its claim and the start: the new owner can't tell whether the
/// request ran, so it must answer "may have run" and not start it.
#[tokio::test(start_paused = true)]
async fn a_claim_without_a_start_is_not_run_by_the_next_owner() {
    let mut cluster = one_placer().await;
    cluster.start("p2");
    tokio::time::sleep(secs(2)).await;
    let owner = cluster.owner("r1").unwrap();
    // Three requests for one key: the third one has its claim and waits for the key.
    let asks: Vec<_> = ["a", "b", "c"]
        .iter()
        .map(|id| cluster.spawn_send(&owner, request(id, "seat", false, 400)))
        .collect();
    tokio::time::sleep(ms(200)).await;
    cluster.kill(&owner);
    cluster.wait_for_owners(secs(10)).await;
    let again = cluster.send(request("c", "seat", false, 400)).await;
    assert_eq!(again.class(), Class::MayHaveRun);
    assert_eq!(cluster.runs("c"), 0);
    asks.iter().for_each(tokio::task::JoinHandle::abort);
    cluster.check_invariants();
    cluster.end().await;
}

/// The table writes the claim but its answer is lost: the same claim is written again and found
/// under the same epoch, so the request must run.
#[tokio::test(start_paused = true)]
async fn a_claim_whose_answer_is_lost_is_found() {
    let cluster = one_placer().await;
    cluster.platform.set(Faults {
        lose: 1,
        ..Faults::default()
    });
    let answer = cluster.send(request("a", "seat", false, 5)).await;
    assert_eq!(answer.class(), Class::Done);
    assert_eq!(cluster.runs("a"), 1);
    cluster.end().await;
}

/// While the table is down, a non-idempotent request must be refused; sent again later, it runs
/// once.
#[tokio::test(start_paused = true)]
async fn without_the_table_nothing_non_idempotent_runs() {
    let cluster = one_placer().await;
    cluster.platform.set(Faults {
        down: true,
        ..Faults::default()
    });
    let answer = cluster.send(request("a", "seat", false, 5)).await;
    assert_eq!(kind(&answer), Some(Kind::StoreDown));
    assert_eq!(cluster.runs("a"), 0);
    cluster.platform.set(Faults::default());
    let answer = cluster.send(request("a", "seat", false, 5)).await;
    assert_eq!(answer.class(), Class::Done);
    assert_eq!(cluster.runs("a"), 1);
    cluster.end().await;
}

/// A worker freezes during a run and answers nothing, not even whether the run goes on. The request
/// must be answered with "may have run", and its key must stay locked until the worker has ended
/// the run itself.
#[tokio::test(start_paused = true)]
async fn a_key_on_a_frozen_worker_stays_locked_until_the_run_has_ended() {
    let cluster = one_placer().await;
    let first = cluster.spawn_send("p1", request("a", "seat", true, 400));
    tokio::time::sleep(ms(100)).await;
    set_all(
        &cluster,
        WorkerFaults {
            frozen: true,
            ..WorkerFaults::default()
        },
    );
    let answer = first.await.unwrap();
    assert_eq!(answer.class(), Class::MayHaveRun);
    set_all(&cluster, WorkerFaults::default());
    tokio::time::sleep(secs(1)).await;
    let second = cluster.send(request("b", "seat", true, 5)).await;
    assert_eq!(second.class(), Class::Done);
    cluster.check_invariants();
    cluster.end().await;
}

/// The answer of a worker is lost: the owner must void the attempt, which returns the answer of a
/// run that has ended, and answer "done".
#[tokio::test(start_paused = true)]
async fn an_answer_that_was_lost_is_fetched_by_voiding() {
    let cluster = one_placer().await;
    set_all(
        &cluster,
        WorkerFaults {
            loses_answers: true,
            ..WorkerFaults::default()
        },
    );
    let answer = cluster.send(request("a", "seat", false, 5)).await;
    let Answer::Done(body) = answer else {
        panic!("{answer:?}")
    };
    assert!(body.0.starts_with(b"officers/a checks/seat "));
    assert_eq!(cluster.runs("a"), 1);
    cluster.end().await;
}

/// A key is busy for long: a request that is queued behind it must be removed from the queue at its
/// deadline and must not run.
#[tokio::test(start_paused = true)]
async fn a_request_that_waits_past_its_deadline_does_not_run() {
    let cluster = one_placer().await;
    let first = cluster.spawn_send("p1", request("a", "seat", true, 450));
    tokio::time::sleep(ms(10)).await;
    let mut late = request("b", "seat", true, 5);
    late.budget_ms = 200;
    let answer = cluster.send(late).await;
    assert_eq!(kind(&answer), Some(Kind::Deadline));
    assert_eq!(first.await.unwrap().class(), Class::Done);
    tokio::time::sleep(secs(2)).await;
    assert_eq!(cluster.runs("b"), 0);
    cluster.end().await;
}

/// Guards against mixed-up answers: a hundred requests run at once on three workers.
#[tokio::test(start_paused = true)]
async fn each_request_gets_its_own_answer() {
    let cluster = one_placer().await;
    let ask = |n: u64| {
        cluster.spawn_send(
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
    cluster.check_invariants();
    cluster.end().await;
}

/// A worker that fails every run is always free and would attract all requests: after a few
/// failures it must get no more work for some time.
#[tokio::test(start_paused = true)]
async fn a_worker_that_fails_everything_gets_no_more_work() {
    let cluster = one_placer().await;
    cluster.racks.set(
        "r1-0",
        WorkerFaults {
            fails: true,
            ..WorkerFaults::default()
        },
    );
    let mut failed = 0;
    for n in 0..100 {
        let answer = cluster
            .send(request(&format!("a{n}"), &format!("k{n}"), false, 5))
            .await;
        failed += u32::from(answer.class() != Class::Done);
    }
    assert!(failed <= 5, "{failed} of 100 failed");
    cluster.end().await;
}

/// A worker that reports that it is leaving must get no new work, even if the platform's host list
/// does not show it yet.
#[tokio::test(start_paused = true)]
async fn a_leaving_worker_gets_no_new_work_though_the_list_lags() {
    let cluster = one_placer().await;
    cluster.platform.set(Faults {
        lag_ms: 60_000,
        ..Faults::default()
    });
    cluster.racks.set(
        "r1-0",
        WorkerFaults {
            leaving: true,
            ..WorkerFaults::default()
        },
    );
    cluster.platform.unlist("r1-0", false);
    tokio::time::sleep(secs(3)).await;
    let before = cluster.racks.journals()["r1-0"].runs.len();
    for n in 0..50 {
        let answer = cluster
            .send(request(&format!("a{n}"), &format!("k{n}"), true, 5))
            .await;
        assert_eq!(answer.class(), Class::Done);
    }
    assert_eq!(cluster.racks.journals()["r1-0"].runs.len(), before);
    cluster.end().await;
}

/// A worker that only the platform's host list shows as leaving would still accept work, and must
/// get none.
#[tokio::test(start_paused = true)]
async fn a_worker_that_is_listed_as_leaving_gets_no_new_work() {
    let cluster = one_placer().await;
    cluster.platform.unlist("r1-0", false);
    tokio::time::sleep(secs(3)).await;
    let before = cluster.racks.journals()["r1-0"].runs.len();
    for n in 0..50 {
        cluster
            .send(request(&format!("a{n}"), &format!("k{n}"), true, 5))
            .await;
    }
    assert_eq!(cluster.racks.journals()["r1-0"].runs.len(), before);
    cluster.end().await;
}

/// Requests that can't be served in time under overload must be refused at once as "not run".
#[tokio::test(start_paused = true)]
async fn requests_that_can_t_be_served_in_time_are_rejected_at_once() {
    let cluster = one_placer().await;
    let asks: Vec<_> = (0..2_000)
        .map(|n| cluster.spawn_send("p1", request(&format!("a{n}"), &format!("k{n}"), true, 400)))
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
    cluster.check_invariants();
    cluster.end().await;
}

/// The claims of a hundred simultaneous non-idempotent requests must be written in at most five
/// transactions.
#[tokio::test(start_paused = true)]
async fn claims_are_written_together() {
    let cluster = one_placer().await;
    let before = cluster.platform.counts().writes;
    let ask =
        |n: u32| cluster.spawn_send("p1", request(&format!("a{n}"), &format!("k{n}"), false, 5));
    let asks: Vec<_> = (0..100).map(ask).collect();
    for answer in asks {
        assert_eq!(answer.await.unwrap().class(), Class::Done);
    }
    let writes = cluster.platform.counts().writes - before;
    assert!(writes <= 5, "{writes} writes");
    cluster.end().await;
}

/// Guards against a run under a deposed owner: its claim contains an epoch that differs from that
/// of the rack's record, so it must be refused.
#[tokio::test(start_paused = true)]
async fn a_deposed_owner_can_t_claim() {
    let mut cluster = one_placer().await;
    cluster.placers["p1"].faults.pause();
    let late = cluster.spawn_send("p1", request("a", "seat", false, 5));
    cluster.start("p2");
    wait_until(secs(20), || cluster.is_active("p2", "r1")).await;
    cluster.placers["p1"].faults.resume();
    let late = late.await.unwrap();
    assert_eq!(late.class(), Class::NotRun, "{late:?}");
    assert_eq!(cluster.runs("a"), 0);
    let again = cluster.send_to("p2", request("a", "seat", false, 5)).await;
    assert_eq!(again.class(), Class::Done);
    assert_eq!(cluster.runs("a"), 1);
    cluster.end().await;
}

/// The connection to a worker breaks while it runs a key, and the attempt can't be voided. The
/// request must be answered with "lost", and the key must stay locked until the run must have
/// ended, although another worker is free.
#[tokio::test(start_paused = true)]
async fn a_key_stays_locked_while_the_outcome_of_its_run_is_unknown() {
    let cluster = one_placer().await;
    cluster.placers["p1"].faults.break_runs(true);
    let first = cluster.send(request("a", "seat", true, 450)).await;
    assert_eq!(kind(&first), Some(Kind::Lost));
    cluster.placers["p1"].faults.break_runs(false);
    let mut asked = request("b", "seat", true, 5);
    asked.budget_ms = 8_000;
    let second = cluster.send(asked).await;
    assert_eq!(second.class(), Class::Done);
    cluster.check_invariants();
    cluster.end().await;
}
