//! Calls that are in progress while a placer drains and ends.

#![allow(clippy::unwrap_used, reason = "a test that can't go on panics")]

mod cluster;

use cluster::{Cluster, TEAM, job, ms, request, secs};
use standin::Faults;
use tokio::task::JoinHandle;
use wire::rpc::PlacerServer as _;
use wire::{Class, Fault, Phase, Shape, State};

/// A cell with one placer that owns all racks. Each call to the table takes 200 ms.
async fn cluster_with_slow_table() -> Cluster {
    let mut cluster = Cluster::new(1, 3).await;
    cluster.start("p1");
    cluster.wait_for_owners(secs(5)).await;
    cluster
        .submit(job("watch", Shape::Service, 1, 1, 0))
        .await
        .unwrap();
    cluster
        .wait_for_job("watch", secs(5), |state| state.running == 1)
        .await;
    cluster.platform.set(Faults {
        slow_ms: 200,
        ..Faults::default()
    });
    tokio::time::sleep(secs(2)).await;
    cluster
}

type JobCall = JoinHandle<Result<State, Fault>>;

/// Submits a job without waiting for the answer.
async fn spawn_submission(cluster: &Cluster, id: &str) -> JobCall {
    let (server, home) = (cluster.home_server(), cluster.team_home_rack());
    let job = job(id, Shape::Batch, 1, 1, 100);
    let call = tokio::spawn(async move { server.submit(home, job).await.unwrap() });
    tokio::time::sleep(ms(100)).await;
    call
}

/// Cancels a job without waiting for the answer.
async fn spawn_cancellation(cluster: &Cluster, id: &str) -> JobCall {
    let (server, home) = (cluster.home_server(), cluster.team_home_rack());
    let id = id.to_owned();
    let call = tokio::spawn(async move { server.cancel(home, TEAM.to_owned(), id).await.unwrap() });
    tokio::time::sleep(ms(100)).await;
    call
}

fn class(fault: &Fault) -> Class {
    fault.kind.row().class
}

/// Guards against a job that is stored and will run, and whose submission is answered with "not
/// run" because its owner drains meanwhile.
#[tokio::test(start_paused = true)]
async fn a_submission_that_is_stored_during_a_drain_is_accepted() {
    let mut cluster = cluster_with_slow_table().await;
    let call = spawn_submission(&cluster, "report").await;
    cluster.placers["p1"].node.drain().await;
    let state = call.await.unwrap().expect("the job is stored");
    assert_eq!((state.phase, state.waiting), (Phase::Queued, 1));
    cluster.platform.set(Faults::default());
    cluster.placers["p1"].node.shutdown.join().await;
    cluster.start("p2");
    cluster.wait_for_owners(secs(20)).await;
    cluster
        .wait_for_job("report", secs(20), |state| state.phase == Phase::Finished)
        .await;
    cluster.end().await;
}

/// Guards against a cancellation that takes effect and is answered with "not run" because its owner
/// drains meanwhile.
#[tokio::test(start_paused = true)]
async fn a_cancellation_that_is_stored_during_a_drain_is_confirmed() {
    let cluster = cluster_with_slow_table().await;
    let call = spawn_cancellation(&cluster, "watch").await;
    cluster.placers["p1"].node.drain().await;
    let state = call.await.unwrap().expect("the cancellation is stored");
    assert_eq!(state.phase, Phase::Cancelled);
    cluster.end().await;
}

/// Guards against a cancellation in effect, or stored with its answer lost, that is answered with
/// "not run".
#[tokio::test(start_paused = true)]
async fn a_cancellation_of_unknown_outcome_is_not_reported_as_refused() {
    for faults in [
        Faults {
            down: true,
            ..Faults::default()
        },
        Faults {
            lose: 1_000,
            ..Faults::default()
        },
    ] {
        let cluster = cluster_with_slow_table().await;
        cluster.platform.set(faults);
        let call = spawn_cancellation(&cluster, "watch").await;
        let fault = call.await.unwrap().expect_err("the table doesn't answer");
        assert_eq!(class(&fault), Class::MayHaveRun, "{fault:?}");
        cluster.platform.set(Faults::default());
        cluster.end().await;
    }
}

/// Guards against a job that is stored and never scheduled because the entry that submitted it
/// stopped waiting.
#[tokio::test(start_paused = true)]
async fn a_submission_whose_caller_disconnects_is_completed() {
    let cluster = cluster_with_slow_table().await;
    spawn_submission(&cluster, "report").await.abort();
    cluster
        .wait_for_job("report", secs(20), |state| state.phase == Phase::Finished)
        .await;
    cluster.end().await;
}

/// Guards against calls that wait for a worker or the table for longer than their placer lives, and
/// against a placer that waits for them beyond its time for draining.
#[tokio::test(start_paused = true)]
async fn calls_that_outlast_the_drain_are_answered() {
    let cluster = cluster_with_slow_table().await;
    let placer = &cluster.placers["p1"];
    let run = cluster.spawn_send("p1", request("a", "k", true, 450));
    tokio::time::sleep(ms(100)).await;
    let submission = spawn_submission(&cluster, "report").await;
    placer.faults.pause();
    let max_drain = placer.node.options.drain_timeout;
    let stopped = tokio::time::timeout(max_drain, placer.node.stop()).await;
    assert!(stopped.is_ok(), "still running after {max_drain:?}");
    assert_eq!(run.await.unwrap().class(), Class::MayHaveRun);
    let fault = submission.await.unwrap().expect_err("it is not known");
    assert_eq!(class(&fault), Class::MayHaveRun, "{fault:?}");
    cluster.end().await;
}
