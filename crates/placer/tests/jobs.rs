//! Services, batch jobs and gangs under faults.

#![allow(clippy::unwrap_used, reason = "a test that can't go on panics")]

mod cluster;

use cluster::{Cluster, job, ms, secs, wait_until};
use resource::Size;
use standin::{Faults, WorkerFaults};
use wire::{Kind, Phase, Shape};

async fn placers(racks: usize, workers: u32, n: usize) -> Cluster {
    let mut cluster = Cluster::new(racks, workers).await;
    for nth in 1..=n {
        cluster.start(&format!("p{nth}"));
    }
    cluster.wait_for_owners(secs(12)).await;
    tokio::time::sleep(secs(3)).await;
    cluster
}

/// A job of forty tasks on two racks finishes, and each task is started once.
#[tokio::test(start_paused = true)]
async fn a_batch_job_finishes() {
    let cluster = placers(2, 3, 2).await;
    cluster
        .submit(job("report", Shape::Batch, 40, 2, 3_000))
        .await
        .unwrap();
    cluster
        .wait_for_job("report", secs(30), |s| s.phase == Phase::Finished)
        .await;
    assert_eq!(cluster.journal().starts.len(), 40);
    cluster.check_invariants();
    cluster.end().await;
}

/// A job must finish although its owner is killed: the new owner reads the job's row, fetches the
/// inventories of all racks, and starts only the tasks that none of them holds.
#[tokio::test(start_paused = true)]
async fn a_job_survives_a_crash_of_its_owner() {
    let mut cluster = placers(3, 3, 3).await;
    cluster
        .submit(job("report", Shape::Batch, 30, 4, 8_000))
        .await
        .unwrap();
    cluster
        .wait_for_job("report", secs(5), |s| s.running >= 24)
        .await;
    let owner = cluster.owner(&cluster.team_home_rack()).unwrap();
    cluster.kill(&owner);
    cluster.wait_for_owners(secs(12)).await;
    cluster
        .wait_for_job("report", secs(60), |s| s.phase == Phase::Finished)
        .await;
    let attempts = cluster.journal().starts.len();
    assert!(attempts <= 32, "{attempts} attempts for 30 tasks");
    cluster.check_invariants();
    cluster.end().await;
}

/// The tasks of a worker that does not answer must start elsewhere, but only after their leases
/// have expired: the lease ends the attempt on a worker that still runs and is only unreachable.
#[tokio::test(start_paused = true)]
async fn tasks_of_a_frozen_worker_start_elsewhere_after_their_leases() {
    let cluster = placers(2, 3, 2).await;
    cluster
        .submit(job("watch", Shape::Service, 6, 2, 0))
        .await
        .unwrap();
    cluster
        .wait_for_job("watch", secs(5), |s| s.running == 6)
        .await;
    let held = |n: &String| cluster.racks.journals()[n].starts.len();
    let names: Vec<String> = cluster.racks.journals().into_keys().collect();
    let victim = names.iter().find(|n| held(n) > 0).unwrap().clone();
    cluster.racks.set(
        &victim,
        WorkerFaults {
            frozen: true,
            ..WorkerFaults::default()
        },
    );
    let started_at = tokio::time::Instant::now();
    cluster
        .wait_for_job("watch", secs(40), |s| s.restarts >= 1 && s.running == 6)
        .await;
    assert!(started_at.elapsed() >= cell::TASK_LEASE);
    cluster.check_invariants();
    cluster.end().await;
}

/// Guards against partly started gangs: a second gang does not fit beside the first one, and no
/// member of it may start before there is capacity for all.
#[tokio::test(start_paused = true)]
async fn a_gang_starts_all_or_nothing() {
    let cluster = placers(2, 2, 2).await;
    cluster
        .submit(job("first", Shape::Gang, 3, 16, 5_000))
        .await
        .unwrap();
    cluster
        .wait_for_job("first", secs(5), |s| s.running == 3)
        .await;
    cluster
        .submit(job("second", Shape::Gang, 2, 16, 2_000))
        .await
        .unwrap();
    tokio::time::sleep(secs(3)).await;
    let starts = cluster.journal().starts;
    assert!(!starts.iter().any(|s| s.contains("/second/")), "{starts:?}");
    cluster
        .wait_for_job("second", secs(30), |s| s.phase == Phase::Finished)
        .await;
    cluster.check_invariants();
    cluster.end().await;
}

/// A worker restarts and loses a member of a gang: the other members must be stopped and the whole
/// gang started again.
#[tokio::test(start_paused = true)]
async fn a_gang_that_loses_a_member_restarts() {
    let cluster = placers(2, 3, 2).await;
    cluster
        .submit(job("model", Shape::Gang, 4, 12, 20_000))
        .await
        .unwrap();
    cluster
        .wait_for_job("model", secs(5), |s| s.running == 4)
        .await;
    tokio::time::sleep(secs(2)).await;
    let journals = cluster.racks.journals();
    let victim = journals
        .iter()
        .find(|(_, j)| !j.starts.is_empty())
        .unwrap()
        .0
        .clone();
    cluster.racks.with(&victim, standin::Machine::restart);
    cluster
        .wait_for_job("model", secs(60), |s| s.phase == Phase::Finished)
        .await;
    let starts = cluster.journal().starts;
    assert!(starts.len() >= 8, "{starts:?}");
    cluster.check_invariants();
    cluster.end().await;
}

/// Urgent work must start within 1.2 s on a full cell: batch tasks are checkpointed and preempted,
/// and resume later.
#[tokio::test(start_paused = true)]
async fn urgent_work_preempts_batch_work() {
    let cluster = placers(1, 2, 1).await;
    cluster
        .submit(job("report", Shape::Batch, 8, 4, 6_000))
        .await
        .unwrap();
    cluster
        .wait_for_job("report", secs(5), |s| s.running == 8)
        .await;
    tokio::time::sleep(secs(2)).await;
    let mut urgent = job("flood", Shape::Batch, 2, 8, 1_000);
    urgent.urgent = true;
    let started_at = tokio::time::Instant::now();
    cluster.submit(urgent).await.unwrap();
    cluster
        .wait_for_job("flood", ms(1_200), |s| s.phase != Phase::Queued)
        .await;
    assert!(started_at.elapsed() <= ms(1_200));
    cluster
        .wait_for_job("flood", secs(10), |s| s.phase == Phase::Finished)
        .await;
    cluster
        .wait_for_job("report", secs(30), |s| s.phase == Phase::Finished)
        .await;
    let state = cluster.job_state("report").await.unwrap();
    assert!(state.restarts >= 2, "{state:?}");
    cluster.check_invariants();
    cluster.end().await;
}

/// After a job of two hundred tasks is cancelled while some of them run and most wait, none may
/// start any more.
#[tokio::test(start_paused = true)]
async fn a_cancelled_job_starts_nothing_more() {
    let cluster = placers(2, 3, 2).await;
    cluster
        .submit(job("report", Shape::Batch, 200, 2, 60_000))
        .await
        .unwrap();
    cluster
        .wait_for_job("report", secs(5), |s| s.running > 20)
        .await;
    let home = cluster.team_home_rack();
    let home_owner = cluster.home_server();
    let cancelled = wire::rpc::PlacerServer::cancel(
        &home_owner,
        home,
        cluster::TEAM.to_owned(),
        "report".to_owned(),
    );
    let state = cancelled.await.unwrap().unwrap();
    assert_eq!(state.phase, Phase::Cancelled);
    let started = cluster.journal().starts.len();
    tokio::time::sleep(secs(10)).await;
    assert_eq!(cluster.journal().starts.len(), started);
    cluster
        .wait_for_job("report", secs(10), |s| s.running == 0)
        .await;
    cluster.check_invariants();
    cluster.end().await;
}

/// A job that can never run must be refused at submission, with the reason.
#[tokio::test(start_paused = true)]
async fn a_job_that_can_never_run_is_refused_at_once() {
    let cluster = placers(1, 2, 1).await;
    let refused = |job| async { cluster.submit(job).await.unwrap_err().kind };
    assert_eq!(
        refused(job("a", Shape::Batch, 1, 17, 100)).await,
        Kind::NeverFits
    );
    assert_eq!(
        refused(job("b", Shape::Gang, 3, 16, 100)).await,
        Kind::NeverFits
    );
    assert_eq!(
        refused(job("c", Shape::Service, 9, 8, 0)).await,
        Kind::NeverFits
    );
    let mut stranger = job("d", Shape::Batch, 1, 1, 100);
    stranger.team = "strangers".to_owned();
    assert_eq!(refused(stranger).await, Kind::UnknownTeam);
    cluster.end().await;
}

/// The table's answer to the write of a job's row is lost: the job must be accepted exactly once.
#[tokio::test(start_paused = true)]
async fn a_job_whose_write_answer_is_lost_is_accepted_once() {
    let cluster = placers(1, 3, 1).await;
    cluster.platform.set(Faults {
        lose: 1,
        ..Faults::default()
    });
    cluster
        .submit(job("report", Shape::Batch, 5, 2, 500))
        .await
        .unwrap();
    cluster
        .submit(job("report", Shape::Batch, 5, 2, 500))
        .await
        .unwrap();
    cluster
        .wait_for_job("report", secs(20), |s| s.phase == Phase::Finished)
        .await;
    assert_eq!(cluster.journal().starts.len(), 5);
    let other = cluster.submit(job("report", Shape::Batch, 6, 2, 500)).await;
    assert_eq!(other.unwrap_err().kind, Kind::Conflict);
    cluster.end().await;
}

/// Jobs must continue through an outage of the table; new ones are refused until it is back.
#[tokio::test(start_paused = true)]
async fn jobs_go_on_while_the_table_is_down() {
    let cluster = placers(2, 3, 2).await;
    cluster
        .submit(job("report", Shape::Batch, 60, 4, 4_000))
        .await
        .unwrap();
    cluster
        .wait_for_job("report", secs(5), |s| s.running > 10)
        .await;
    cluster.platform.set(Faults {
        down: true,
        ..Faults::default()
    });
    let fault = cluster
        .submit(job("other", Shape::Batch, 1, 1, 100))
        .await
        .unwrap_err();
    assert_eq!(fault.kind, Kind::StoreDown);
    cluster
        .wait_for_job("report", secs(60), |s| s.phase == Phase::Finished)
        .await;
    cluster.platform.set(Faults::default());
    cluster
        .submit(job("other", Shape::Batch, 1, 1, 100))
        .await
        .unwrap();
    cluster
        .wait_for_job("other", secs(10), |s| s.phase == Phase::Finished)
        .await;
    cluster.check_invariants();
    cluster.end().await;
}

/// Tasks use more than they declared: the owner must account for their actual usage, throttle them,
/// and stop the worst ones if memory is short, so that no worker is overcommitted.
#[tokio::test(start_paused = true)]
async fn tasks_that_exceed_their_declared_usage_are_stopped() {
    let cluster = placers(1, 1, 1).await;
    let mut hungry = job("hungry", Shape::Batch, 4, 3, 30_000);
    hungry.size = Size::new(3_000, 16_000, 0);
    cluster.submit(hungry).await.unwrap();
    cluster
        .wait_for_job("hungry", secs(5), |s| s.running == 4)
        .await;
    cluster.racks.set(
        "r1-0",
        WorkerFaults {
            usage_percent: 150,
            ..WorkerFaults::default()
        },
    );
    cluster
        .wait_for_job("hungry", secs(20), |s| s.restarts >= 1)
        .await;
    cluster.check_invariants();
    cluster.end().await;
}

/// Tasks on a leaving worker continue there, but no new task may be started on it.
#[tokio::test(start_paused = true)]
async fn a_leaving_worker_starts_no_new_tasks() {
    let cluster = placers(1, 3, 1).await;
    cluster.racks.set(
        "r1-1",
        WorkerFaults {
            leaving: true,
            ..WorkerFaults::default()
        },
    );
    tokio::time::sleep(secs(3)).await;
    cluster
        .submit(job("report", Shape::Batch, 30, 2, 1_000))
        .await
        .unwrap();
    cluster
        .wait_for_job("report", secs(30), |s| s.phase == Phase::Finished)
        .await;
    assert_eq!(cluster.racks.journals()["r1-1"].starts.len(), 0);
    cluster.end().await;
}

/// One team has borrowed the whole cell beyond its quota: when another team submits work within its
/// own quota, the borrower's tasks must be preempted.
#[tokio::test(start_paused = true)]
async fn borrowed_capacity_is_returned() {
    let mut cluster = Cluster::new(1, 4).await;
    let mut raw = cluster::cell_config(1, 4);
    let mut other = raw.teams[0].clone();
    other.name = "planners".to_owned();
    raw.teams[0].quota.cores = 16.0;
    raw.teams.push(other);
    cluster.configure(&raw).await;
    cluster.cell = config::Cell::try_from(raw).unwrap();
    cluster.start("p1");
    cluster.wait_for_owners(secs(8)).await;
    tokio::time::sleep(secs(3)).await;
    cluster
        .submit(job("all", Shape::Batch, 16, 4, 60_000))
        .await
        .unwrap();
    cluster
        .wait_for_job("all", secs(5), |s| s.running == 16)
        .await;
    tokio::time::sleep(secs(2)).await;
    let mut own = job("own", Shape::Batch, 4, 8, 1_000);
    own.team = "planners".to_owned();
    cluster.submit(own).await.unwrap();
    let starts = || cluster.journal().starts;
    wait_until(secs(5), || {
        starts()
            .iter()
            .filter(|s| s.starts_with("planners/own/"))
            .count()
            == 4
    })
    .await;
    cluster.check_invariants();
    cluster.end().await;
}

/// Guards against a busy loop. The home rack gets a new owner, and the table goes down before this
/// owner could read the jobs: it holds tasks and has events to report to itself, but can't yet
/// accept them. It must wait and retry; if it spins, the paused time does not advance and this test
/// never ends.
#[tokio::test(start_paused = true)]
async fn task_events_wait_until_the_jobs_are_read() {
    let mut cluster = placers(1, 3, 2).await;
    cluster
        .submit(job("report", Shape::Batch, 6, 8, 30_000))
        .await
        .unwrap();
    cluster
        .wait_for_job("report", secs(5), |s| s.running == 6)
        .await;
    let owner = cluster.owner("r1").unwrap();
    cluster.kill(&owner);
    let next = cluster.placers.keys().next().unwrap().clone();
    // The next owner must wait for a worker that it can't reach, so that the outage begins before
    // it is active.
    cluster.placers[&next].faults.cut_worker("r1-0");
    let stage = || {
        cluster.placers[&next]
            .node
            .status()
            .racks
            .first()
            .map(|r| r.stage.clone())
    };
    wait_until(secs(20), || stage().as_deref() == Some("fencing")).await;
    cluster.platform.set(Faults {
        down: true,
        ..Faults::default()
    });
    tokio::time::sleep(secs(20)).await;
    cluster.platform.set(Faults::default());
    cluster
        .wait_for_job("report", secs(90), |s| s.phase == Phase::Finished)
        .await;
    cluster.check_invariants();
    cluster.end().await;
}

/// A rack's owner is killed while the rack's workers restart and lose their tasks, and the placer
/// that manages the job takes over the rack. Nobody reports the lost tasks, so the placer must
/// fetch the rack's inventory from itself.
#[tokio::test(start_paused = true)]
async fn tasks_lost_together_with_their_rack_s_owner_are_detected() {
    let mut cluster = placers(4, 2, 2).await;
    cluster
        .submit(job("report", Shape::Batch, 16, 8, 15_000))
        .await
        .unwrap();
    cluster
        .wait_for_job("report", secs(5), |s| s.running == 16)
        .await;
    let home_owner = cluster.owner(&cluster.team_home_rack()).unwrap();
    let other = cluster
        .placers
        .keys()
        .find(|name| **name != home_owner)
        .unwrap()
        .clone();
    let racks: Vec<String> = cluster
        .cell
        .racks
        .keys()
        .filter(|r| cluster.is_active(&other, r))
        .cloned()
        .collect();
    assert!(!racks.is_empty());
    cluster.kill(&other);
    for rack in &racks {
        for n in 0..2 {
            cluster
                .racks
                .with(&format!("{rack}-{n}"), standin::Machine::restart);
        }
    }
    cluster
        .wait_for_job("report", secs(90), |s| s.phase == Phase::Finished)
        .await;
    cluster.check_invariants();
    cluster.end().await;
}

/// Guards against duplicate starts. The answers to place requests are lost although the tasks were
/// placed: the job's owner must fetch the racks' inventories before it sends new ones.
#[tokio::test(start_paused = true)]
async fn place_requests_whose_answers_are_lost_are_reconciled() {
    let cluster = placers(2, 3, 2).await;
    let home_owner = cluster.owner(&cluster.team_home_rack()).unwrap();
    cluster.placers[&home_owner]
        .faults
        .lose_placement_answers(true);
    cluster
        .submit(job("report", Shape::Batch, 30, 3, 6_000))
        .await
        .unwrap();
    tokio::time::sleep(secs(1)).await;
    cluster.placers[&home_owner]
        .faults
        .lose_placement_answers(false);
    cluster
        .wait_for_job("report", secs(60), |s| s.phase == Phase::Finished)
        .await;
    assert_eq!(cluster.journal().starts.len(), 30);
    cluster.check_invariants();
    cluster.end().await;
}

/// Guards against two attempts at one task. The owner of the rack and of the job is killed, and the
/// next one can't reach a worker that still runs some tasks: it may start them elsewhere only when
/// their leases must have expired.
#[tokio::test(start_paused = true)]
async fn tasks_on_a_worker_that_can_t_be_reached_are_not_started_elsewhere_too_soon() {
    let mut cluster = placers(1, 3, 2).await;
    cluster
        .submit(job("watch", Shape::Service, 6, 2, 0))
        .await
        .unwrap();
    cluster
        .wait_for_job("watch", secs(5), |s| s.running == 6)
        .await;
    tokio::time::sleep(secs(2)).await;
    let owner = cluster.owner("r1").unwrap();
    cluster.kill(&owner);
    let next = cluster.placers.keys().next().unwrap().clone();
    cluster.placers[&next].faults.cut_worker("r1-0");
    let deadline = tokio::time::Instant::now() + secs(40);
    while tokio::time::Instant::now() < deadline {
        cluster.check_no_duplicate_attempts();
        tokio::time::sleep(ms(100)).await;
    }
    cluster
        .wait_for_job("watch", secs(5), |s| s.running == 6)
        .await;
    let started_again = cluster.journal().starts.len() - 6;
    assert!(
        started_again >= 1,
        "nothing ran on the worker that was cut off"
    );
    cluster.check_invariants();
    cluster.end().await;
}
