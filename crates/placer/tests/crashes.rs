//! Tasks that crash their workers, and workers that restart on their own.

#![allow(clippy::unwrap_used, reason = "a test that can't go on panics")]

mod cluster;

use std::time::Duration;

use cluster::{Cluster, job, ms, secs};
use standin::Machine;
use tokio::time::Instant;
use wire::{Phase, Shape};

const CRASHER: &str = "crasher";
/// Maximum number of starts of a task that crashes its worker each time: three, plus two as a
/// tolerance.
const STARTS_MOST: usize = 5;

async fn cluster(racks: usize, workers: u32) -> Cluster {
    let mut cluster = Cluster::new(racks, workers).await;
    cluster.start("p1");
    cluster.start("p2");
    cluster.wait_for_owners(secs(12)).await;
    cluster
}

fn starts(cluster: &Cluster, job: &str) -> usize {
    let part = format!("/{job}/");
    let starts = cluster.journal().starts;
    starts.iter().filter(|start| start.contains(&part)).count()
}

/// Restarts each worker that runs a task of the job [`CRASHER`], for this long.
async fn crash_workers(cluster: &Cluster, time: Duration) {
    let end = Instant::now() + time;
    while Instant::now() < end {
        for worker in cluster.racks.journals().into_keys() {
            cluster.racks.with(&worker, |machine| {
                if machine.running_attempts().any(|id| id.job == CRASHER) {
                    machine.restart();
                }
            });
        }
        tokio::time::sleep(ms(10)).await;
    }
}

async fn phase(cluster: &Cluster, job: &str) -> Phase {
    cluster.job_state(job).await.unwrap().phase
}

/// Guards against a task that crashes one worker after the other, and against failing the jobs that
/// lose their tasks with it.
#[tokio::test(start_paused = true)]
async fn a_task_that_crashes_its_workers_is_given_up_and_its_neighbours_finish() {
    let cluster = cluster(2, 3).await;
    let neighbours: Vec<String> = (0..6).map(|n| format!("neighbour{n}")).collect();
    for name in &neighbours {
        let neighbour = job(name, Shape::Batch, 3, 1, 6_000);
        cluster.submit(neighbour).await.unwrap();
    }
    let crasher = job(CRASHER, Shape::Batch, 1, 1, 6_000);
    cluster.submit(crasher).await.unwrap();
    crash_workers(&cluster, secs(40)).await;
    assert_eq!(phase(&cluster, CRASHER).await, Phase::Failed);
    let starts = starts(&cluster, CRASHER);
    assert!(starts <= STARTS_MOST, "{starts} starts");
    for name in &neighbours {
        assert_eq!(phase(&cluster, name).await, Phase::Finished, "{name}");
    }
    cluster.check_invariants();
    cluster.end().await;
}

/// Guards against endless restarts where there is only one worker, which has always just restarted.
#[tokio::test(start_paused = true)]
async fn a_task_that_crashes_the_only_worker_is_given_up() {
    let cluster = cluster(1, 1).await;
    let crasher = job(CRASHER, Shape::Batch, 1, 1, 6_000);
    cluster.submit(crasher).await.unwrap();
    crash_workers(&cluster, secs(60)).await;
    assert_eq!(phase(&cluster, CRASHER).await, Phase::Failed);
    let starts = starts(&cluster, CRASHER);
    assert!(starts <= STARTS_MOST, "{starts} starts");
    cluster.end().await;
}

/// Guards against endless restarts of services and gangs whose tasks crash their workers.
#[tokio::test(start_paused = true)]
async fn a_service_and_a_gang_that_crash_their_workers_are_given_up() {
    for shape in [Shape::Service, Shape::Gang] {
        let cluster = cluster(2, 3).await;
        let neighbour = job("neighbour", Shape::Batch, 6, 1, 6_000);
        cluster.submit(neighbour).await.unwrap();
        let crasher = job(CRASHER, shape, 2, 9, 60_000);
        cluster.submit(crasher).await.unwrap();
        crash_workers(&cluster, secs(90)).await;
        assert_eq!(phase(&cluster, CRASHER).await, Phase::Failed, "{shape:?}");
        let starts = starts(&cluster, CRASHER);
        assert!(starts <= 2 * STARTS_MOST, "{shape:?}: {starts} starts");
        assert_eq!(phase(&cluster, "neighbour").await, Phase::Finished);
        cluster.check_invariants();
        cluster.end().await;
    }
}

/// Guards against failing jobs without cause: all workers restart every few seconds, whatever runs
/// on them, and are steady again afterwards.
#[tokio::test(start_paused = true)]
async fn jobs_on_workers_that_restart_every_few_seconds_are_not_failed() {
    for interval in [ms(3_000), ms(5_300), ms(7_100), ms(11_000)] {
        let cluster = cluster(2, 3).await;
        let names: Vec<String> = (0..4).map(|n| format!("job{n}")).collect();
        for name in &names {
            let innocent = job(name, Shape::Batch, 4, 2, 3_000);
            cluster.submit(innocent).await.unwrap();
        }
        let workers: Vec<String> = cluster.racks.journals().into_keys().collect();
        let end = Instant::now() + secs(60);
        while Instant::now() < end {
            for worker in &workers {
                cluster.racks.with(worker, Machine::restart);
                tokio::time::sleep(interval / workers.len() as u32).await;
            }
        }
        for name in &names {
            assert_ne!(phase(&cluster, name).await, Phase::Failed, "{interval:?}");
        }
        for name in &names {
            cluster
                .wait_for_job(name, secs(60), |s| s.phase == Phase::Finished)
                .await;
        }
        cluster.check_invariants();
        cluster.end().await;
    }
}

/// Guards against failing jobs without cause where the restarts go from worker to worker, also of
/// different racks, so that they follow the tasks that are started elsewhere after each loss.
#[tokio::test(start_paused = true)]
async fn jobs_are_not_failed_while_restarts_go_from_worker_to_worker() {
    let cells = [
        (2, 2, ms(5_370)),
        (1, 3, ms(5_800)),
        (2, 4, ms(6_230)),
        (2, 2, ms(7_090)),
        (2, 4, ms(13_110)),
        (2, 4, ms(14_830)),
    ];
    for (racks, workers, interval) in cells {
        let cluster = cluster(racks, workers).await;
        let shape = |n| if n == 4 { Shape::Gang } else { Shape::Batch };
        let jobs = (0..5).map(|n| (format!("job{n}"), shape(n)));
        let jobs: Vec<(String, Shape)> = jobs.collect();
        for (name, shape) in &jobs {
            let innocent = job(name, *shape, 3, 2, 3_000);
            cluster.submit(innocent).await.unwrap();
        }
        restart_in_turn(&cluster, interval, secs(80)).await;
        for (name, _) in &jobs {
            let phase = phase(&cluster, name).await;
            assert_ne!(phase, Phase::Failed, "{name}, {interval:?}");
        }
        for (name, _) in &jobs {
            cluster
                .wait_for_job(name, secs(120), |s| s.phase == Phase::Finished)
                .await;
        }
        cluster.check_invariants();
        cluster.end().await;
    }
}

/// Restarts each worker once in this interval, one after the other.
async fn restart_in_turn(cluster: &Cluster, interval: Duration, time: Duration) {
    let workers: Vec<String> = cluster.racks.journals().into_keys().collect();
    let start = Instant::now();
    let offset = |n: usize| start + interval * n as u32 / workers.len() as u32;
    let mut due: Vec<Instant> = (0..workers.len()).map(offset).collect();
    while Instant::now() < start + time {
        for (worker, due) in workers.iter().zip(&mut due) {
            if Instant::now() >= *due {
                cluster.racks.with(worker, Machine::restart);
                *due += interval;
            }
        }
        tokio::time::sleep(ms(20)).await;
    }
}
