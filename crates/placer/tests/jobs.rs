//! Services, batch jobs and gangs under failure.

#![allow(clippy::unwrap_used, reason = "a test that can't go on panics")]

mod world;

use resource::Size;
use standin::{Faults, Mischief};
use wire::{Kind, Phase, Shape};
use world::{World, job, ms, secs, until};

async fn placers(racks: usize, workers: u32, n: usize) -> World {
    let mut world = World::new(racks, workers).await;
    for nth in 1..=n {
        world.start(&format!("p{nth}"));
    }
    world.settle(secs(12)).await;
    tokio::time::sleep(secs(3)).await;
    world
}

/// Callers see: the job finishes, each task started once. Forty tasks run on two racks.
#[tokio::test(start_paused = true)]
async fn a_batch_job_finishes() {
    let world = placers(2, 3, 2).await;
    world
        .submit(job("report", Shape::Batch, 40, 2, 3_000))
        .await
        .unwrap();
    world
        .await_job("report", secs(30), |s| s.phase == Phase::Finished)
        .await;
    assert_eq!(world.journal().starts.len(), 40);
    world.check();
    world.end().await;
}

/// Callers see: the job finishes although its owner dies. The new owner reads the job's row, asks
/// all racks what they hold, and starts only what none of them holds.
#[tokio::test(start_paused = true)]
async fn a_job_survives_its_owner() {
    let mut world = placers(3, 3, 3).await;
    world
        .submit(job("report", Shape::Batch, 30, 4, 8_000))
        .await
        .unwrap();
    world
        .await_job("report", secs(5), |s| s.running >= 24)
        .await;
    let owner = world.owner(&world.team_home()).unwrap();
    world.kill(&owner);
    world.settle(secs(12)).await;
    world
        .await_job("report", secs(60), |s| s.phase == Phase::Finished)
        .await;
    let running_twice = world.journal().starts.len();
    assert!(running_twice <= 32, "{running_twice} attempts for 30 tasks");
    world.check();
    world.end().await;
}

/// Callers see: the tasks of a dead worker run elsewhere, after its leases have run out. Nothing
/// runs twice at once: the lease ends the attempt on a worker that is merely cut off.
#[tokio::test(start_paused = true)]
async fn tasks_of_a_frozen_worker_start_elsewhere_after_their_leases() {
    let world = placers(2, 3, 2).await;
    world
        .submit(job("watch", Shape::Service, 6, 2, 0))
        .await
        .unwrap();
    world.await_job("watch", secs(5), |s| s.running == 6).await;
    let held = |n: &String| world.racks.journals()[n].starts.len();
    let names: Vec<String> = world.racks.journals().into_keys().collect();
    let victim = names.iter().find(|n| held(n) > 0).unwrap().clone();
    world.racks.set(
        &victim,
        Mischief {
            frozen: true,
            ..Mischief::default()
        },
    );
    let began = tokio::time::Instant::now();
    world
        .await_job("watch", secs(40), |s| s.restarts >= 1 && s.running == 6)
        .await;
    assert!(began.elapsed() >= cell::TASK_LEASE);
    world.check();
    world.end().await;
}

/// Callers see: all of the gang runs, or none of it. A second gang does not fit beside the first
/// and waits; no part of it starts before there is room for the whole.
#[tokio::test(start_paused = true)]
async fn a_gang_runs_whole_or_not_at_all() {
    let world = placers(2, 2, 2).await;
    world
        .submit(job("first", Shape::Gang, 3, 16, 5_000))
        .await
        .unwrap();
    world.await_job("first", secs(5), |s| s.running == 3).await;
    world
        .submit(job("second", Shape::Gang, 2, 16, 2_000))
        .await
        .unwrap();
    tokio::time::sleep(secs(3)).await;
    let starts = world.journal().starts;
    assert!(!starts.iter().any(|s| s.contains("/second/")), "{starts:?}");
    world
        .await_job("second", secs(30), |s| s.phase == Phase::Finished)
        .await;
    world.check();
    world.end().await;
}

/// Callers see: the gang starts anew as a whole. One of its workers restarts and loses its member;
/// the other members are stopped, and then all are started again.
#[tokio::test(start_paused = true)]
async fn a_gang_that_loses_a_member_starts_anew() {
    let world = placers(2, 3, 2).await;
    world
        .submit(job("model", Shape::Gang, 4, 12, 20_000))
        .await
        .unwrap();
    world.await_job("model", secs(5), |s| s.running == 4).await;
    tokio::time::sleep(secs(2)).await;
    let journals = world.racks.journals();
    let victim = journals
        .iter()
        .find(|(_, j)| !j.starts.is_empty())
        .unwrap()
        .0
        .clone();
    world.racks.with(&victim, standin::Machine::restart);
    world
        .await_job("model", secs(60), |s| s.phase == Phase::Finished)
        .await;
    let starts = world.journal().starts;
    assert!(starts.len() >= 8, "{starts:?}");
    world.check();
    world.end().await;
}

/// Callers see: urgent work runs at once on a full cell. Batch work makes room: it is checkpointed
/// and stopped, and goes on later from where it was.
#[tokio::test(start_paused = true)]
async fn urgent_work_takes_room_from_batch_work() {
    let world = placers(1, 2, 1).await;
    world
        .submit(job("report", Shape::Batch, 8, 4, 6_000))
        .await
        .unwrap();
    world.await_job("report", secs(5), |s| s.running == 8).await;
    tokio::time::sleep(secs(2)).await;
    let mut urgent = job("flood", Shape::Batch, 2, 8, 1_000);
    urgent.urgent = true;
    let began = tokio::time::Instant::now();
    world.submit(urgent).await.unwrap();
    world
        .await_job("flood", ms(1_200), |s| s.phase != Phase::Queued)
        .await;
    assert!(began.elapsed() <= ms(1_200));
    world
        .await_job("flood", secs(10), |s| s.phase == Phase::Finished)
        .await;
    world
        .await_job("report", secs(30), |s| s.phase == Phase::Finished)
        .await;
    let state = world.watch("report").await.unwrap();
    assert!(state.restarts >= 2, "{state:?}");
    world.check();
    world.end().await;
}

/// Callers see: "cancelled", and nothing more of it starts. Two hundred tasks are withdrawn while
/// most of them wait and some run.
#[tokio::test(start_paused = true)]
async fn a_withdrawn_job_starts_nothing_more() {
    let world = placers(2, 3, 2).await;
    world
        .submit(job("report", Shape::Batch, 200, 2, 60_000))
        .await
        .unwrap();
    world.await_job("report", secs(5), |s| s.running > 20).await;
    let home = world.team_home();
    let desk = world.desk();
    let cancelled =
        wire::rpc::PlacerServer::cancel(&desk, home, world::TEAM.to_owned(), "report".to_owned());
    let state = cancelled.await.unwrap().unwrap();
    assert_eq!(state.phase, Phase::Cancelled);
    let started = world.journal().starts.len();
    tokio::time::sleep(secs(10)).await;
    assert_eq!(world.journal().starts.len(), started);
    world
        .await_job("report", secs(10), |s| s.running == 0)
        .await;
    world.check();
    world.end().await;
}

/// Callers see: "refused" with the reason, at once, for what can never run.
#[tokio::test(start_paused = true)]
async fn a_job_that_can_never_run_is_refused_at_once() {
    let world = placers(1, 2, 1).await;
    let refused = |job| async { world.submit(job).await.unwrap_err().kind };
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
    world.end().await;
}

/// Callers see: the job is taken, once, although the table loses the answer to its row.
#[tokio::test(start_paused = true)]
async fn a_job_whose_row_s_answer_is_lost_is_taken_once() {
    let world = placers(1, 3, 1).await;
    world.platform.set(Faults {
        lose: 1,
        ..Faults::default()
    });
    world
        .submit(job("report", Shape::Batch, 5, 2, 500))
        .await
        .unwrap();
    world
        .submit(job("report", Shape::Batch, 5, 2, 500))
        .await
        .unwrap();
    world
        .await_job("report", secs(20), |s| s.phase == Phase::Finished)
        .await;
    assert_eq!(world.journal().starts.len(), 5);
    let other = world.submit(job("report", Shape::Batch, 6, 2, 500)).await;
    assert_eq!(other.unwrap_err().kind, Kind::Conflict);
    world.end().await;
}

/// Callers see: jobs go on through an outage of the table; new ones are turned away until it is
/// back.
#[tokio::test(start_paused = true)]
async fn jobs_go_on_while_the_table_is_down() {
    let world = placers(2, 3, 2).await;
    world
        .submit(job("report", Shape::Batch, 60, 4, 4_000))
        .await
        .unwrap();
    world.await_job("report", secs(5), |s| s.running > 10).await;
    world.platform.set(Faults {
        down: true,
        ..Faults::default()
    });
    let fault = world
        .submit(job("other", Shape::Batch, 1, 1, 100))
        .await
        .unwrap_err();
    assert_eq!(fault.kind, Kind::StoreDown);
    world
        .await_job("report", secs(60), |s| s.phase == Phase::Finished)
        .await;
    world.platform.set(Faults::default());
    world
        .submit(job("other", Shape::Batch, 1, 1, 100))
        .await
        .unwrap();
    world
        .await_job("other", secs(10), |s| s.phase == Phase::Finished)
        .await;
    world.check();
    world.end().await;
}

/// Callers see: workers that are never overfull, although tasks use more than they declared. The
/// owner sets aside what it sees them use, throttles them, and stops the worst if memory is short.
#[tokio::test(start_paused = true)]
async fn tasks_that_use_more_than_they_said_are_reined_in() {
    let world = placers(1, 1, 1).await;
    let mut hungry = job("hungry", Shape::Batch, 4, 3, 30_000);
    hungry.size = Size::new(3_000, 16_000, 0);
    world.submit(hungry).await.unwrap();
    world.await_job("hungry", secs(5), |s| s.running == 4).await;
    world.racks.set(
        "r1-0",
        Mischief {
            usage_percent: 150,
            ..Mischief::default()
        },
    );
    world
        .await_job("hungry", secs(20), |s| s.restarts >= 1)
        .await;
    world.check();
    world.end().await;
}

/// Callers see: a leaving worker's tasks go on there, and nothing new is started on it.
#[tokio::test(start_paused = true)]
async fn a_leaving_worker_starts_no_new_tasks() {
    let world = placers(1, 3, 1).await;
    world.racks.set(
        "r1-1",
        Mischief {
            leaving: true,
            ..Mischief::default()
        },
    );
    tokio::time::sleep(secs(3)).await;
    world
        .submit(job("report", Shape::Batch, 30, 2, 1_000))
        .await
        .unwrap();
    world
        .await_job("report", secs(30), |s| s.phase == Phase::Finished)
        .await;
    assert_eq!(world.racks.journals()["r1-1"].starts.len(), 0);
    world.end().await;
}

/// Callers see: work within a quota is not kept waiting by work beyond one. One team has borrowed
/// the whole cell; another asks for its own, and the borrower's tasks make room.
#[tokio::test(start_paused = true)]
async fn borrowed_room_is_given_back() {
    let mut world = World::new(1, 4).await;
    let mut raw = world::cell_of(1, 4);
    let mut other = raw.teams[0].clone();
    other.name = "planners".to_owned();
    raw.teams[0].quota.cores = 16.0;
    raw.teams.push(other);
    world.configure(&raw).await;
    world.cell = config::Cell::try_from(raw).unwrap();
    world.start("p1");
    world.settle(secs(8)).await;
    tokio::time::sleep(secs(3)).await;
    world
        .submit(job("all", Shape::Batch, 16, 4, 60_000))
        .await
        .unwrap();
    world.await_job("all", secs(5), |s| s.running == 16).await;
    tokio::time::sleep(secs(2)).await;
    let mut own = job("own", Shape::Batch, 4, 8, 1_000);
    own.team = "planners".to_owned();
    world.submit(own).await.unwrap();
    let starts = || world.journal().starts;
    until(secs(5), || {
        starts()
            .iter()
            .filter(|s| s.starts_with("planners/own/"))
            .count()
            == 4
    })
    .await;
    world.check();
    world.end().await;
}

/// Callers see: the job goes on once the table is back. The home rack changes hands, and the table
/// goes down before the new owner could read the jobs: it holds tasks and has news for itself, but
/// nobody to tell. It must wait, not spin; if it spins, time stands still and this test never ends.
#[tokio::test(start_paused = true)]
async fn news_for_a_home_whose_jobs_are_not_read_yet_waits() {
    let mut world = placers(1, 3, 2).await;
    world
        .submit(job("report", Shape::Batch, 6, 8, 30_000))
        .await
        .unwrap();
    world.await_job("report", secs(5), |s| s.running == 6).await;
    let owner = world.owner("r1").unwrap();
    world.kill(&owner);
    let next = world.placers.keys().next().unwrap().clone();
    // It has to wait for a worker that it can't reach, so that the outage comes in between.
    world.placers[&next].faults.cut_worker("r1-0");
    let stage = || {
        world.placers[&next]
            .node
            .status()
            .racks
            .first()
            .map(|r| r.stage.clone())
    };
    until(secs(20), || stage().as_deref() == Some("fencing")).await;
    world.platform.set(Faults {
        down: true,
        ..Faults::default()
    });
    tokio::time::sleep(secs(20)).await;
    world.platform.set(Faults::default());
    world
        .await_job("report", secs(90), |s| s.phase == Phase::Finished)
        .await;
    world.check();
    world.end().await;
}

/// Callers see: the job finishes. A rack's owner dies together with the memory of the rack's
/// workers, and the very placer that looks after the job takes the rack: nobody reports the lost
/// tasks, so it must ask itself what the rack holds.
#[tokio::test(start_paused = true)]
async fn tasks_that_die_with_their_rack_s_owner_are_missed() {
    let mut world = placers(4, 2, 2).await;
    world
        .submit(job("report", Shape::Batch, 16, 8, 15_000))
        .await
        .unwrap();
    world
        .await_job("report", secs(5), |s| s.running == 16)
        .await;
    let desk = world.owner(&world.team_home()).unwrap();
    let other = world
        .placers
        .keys()
        .find(|name| **name != desk)
        .unwrap()
        .clone();
    let racks: Vec<String> = world
        .cell
        .racks
        .keys()
        .filter(|r| world.active(&other, r))
        .cloned()
        .collect();
    assert!(!racks.is_empty());
    world.kill(&other);
    for rack in &racks {
        for n in 0..2 {
            world
                .racks
                .with(&format!("{rack}-{n}"), standin::Machine::restart);
        }
    }
    world
        .await_job("report", secs(90), |s| s.phase == Phase::Finished)
        .await;
    world.check();
    world.end().await;
}

/// Callers see: each task once. The answers to orders are lost although the tasks were placed; the
/// job's owner asks what the racks hold before it orders anything again.
#[tokio::test(start_paused = true)]
async fn orders_whose_answers_are_lost_are_asked_after() {
    let world = placers(2, 3, 2).await;
    let desk = world.owner(&world.team_home()).unwrap();
    world.placers[&desk].faults.lose_orders(true);
    world
        .submit(job("report", Shape::Batch, 30, 3, 6_000))
        .await
        .unwrap();
    tokio::time::sleep(secs(1)).await;
    world.placers[&desk].faults.lose_orders(false);
    world
        .await_job("report", secs(60), |s| s.phase == Phase::Finished)
        .await;
    assert_eq!(world.journal().starts.len(), 30);
    world.check();
    world.end().await;
}

/// Callers see: no task in two places. The owner of the rack and of the job dies, and the next one
/// can't reach a worker that still runs some tasks; it starts them elsewhere only when their leases
/// must have run out.
#[tokio::test(start_paused = true)]
async fn tasks_on_a_worker_that_can_t_be_reached_are_not_started_elsewhere_too_soon() {
    let mut world = placers(1, 3, 2).await;
    world
        .submit(job("watch", Shape::Service, 6, 2, 0))
        .await
        .unwrap();
    world.await_job("watch", secs(5), |s| s.running == 6).await;
    tokio::time::sleep(secs(2)).await;
    let owner = world.owner("r1").unwrap();
    world.kill(&owner);
    let next = world.placers.keys().next().unwrap().clone();
    world.placers[&next].faults.cut_worker("r1-0");
    let deadline = tokio::time::Instant::now() + secs(40);
    while tokio::time::Instant::now() < deadline {
        world.check_attempts();
        tokio::time::sleep(ms(100)).await;
    }
    world.await_job("watch", secs(5), |s| s.running == 6).await;
    let started_again = world.journal().starts.len() - 6;
    assert!(
        started_again >= 1,
        "nothing ran on the worker that was cut off"
    );
    world.check();
    world.end().await;
}
