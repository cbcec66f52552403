//! Scheduling policies: rank, gangs, constraints, retries, evacuation, pacing, and faulty workers.

#[allow(dead_code, reason = "other test files use the rest")]
mod case;
#[allow(dead_code, reason = "other test files use the rest")]
mod simulation;

use case::{adopt, end, pool, report, report_all, run, starts, stops};
use pool::pace::PaceController;
use pool::rank::{RankInput, rank};
use pool::{Command, Pool, RunOutcome, StartAnswer, State, WorkerId, WorkerInfo};
use resource::Size;
use simulation::{Simulation, UNIX, job};

/// A burst of quick jobs arrives just after a long report. In order of arrival the report would take the capacity, and all
/// quick jobs would be late; by rank the quick jobs go first.
#[test]
fn quick_work_goes_before_a_report_that_arrived_earlier() {
    let mut pool = pool(2);
    let mut report = job("00000000000000r1", &[(8, 1_000, 60_000)]);
    report.policy.priority = 2;
    adopt(&mut pool, 1_000, report);
    for index in 0..4 {
        let mut quick = job(&format!("00000000000000q{index}"), &[(2, 1_000, 500)]);
        quick.policy.priority = 0;
        adopt(&mut pool, 1_001, quick);
    }
    let started = run(&mut pool, 1_002);
    assert_eq!(started.len(), 8);
    assert!(
        started
            .iter()
            .all(|start| start.task.stage.job.contains('q'))
    );
}

/// Work that can no longer have any value goes last, whatever its priority. Late work that still has some value doesn't.
#[test]
fn work_without_value_goes_last() {
    let rank_of = |priority, age| {
        rank(&RankInput {
            priority,
            age,
            objective: 1_000,
            chain: 500,
            work: 10,
            long_running: false,
            ..RankInput::default()
        })
    };
    assert!(rank_of(0, 2_600) > rank_of(2, 0));
    assert!(rank_of(0, 800) < rank_of(2, 0), "late, but still of value");
}

/// A gang starts with all its members or not at all, and its members have the same run number.
#[test]
fn a_gang_waits_for_capacity_for_all_its_members() {
    let mut pool = pool(2);
    let mut other = job("00000000000000f1", &[(1, 3_000, 10_000)]);
    other.policy.priority = 0;
    adopt(&mut pool, 1_000, other);
    let running = run(&mut pool, 1_001);
    let mut gang = job("00000000000000g1", &[(4, 1_500, 1_000)]);
    gang.steps[0].gang = true;
    adopt(&mut pool, 1_002, gang);
    assert_eq!(
        run(&mut pool, 1_003).len(),
        0,
        "there is capacity for two of four members"
    );
    let done = vec![end(&running[0], 1, RunOutcome::Done)];
    let worker = running[0].worker.clone();
    report(&mut pool, 1_200, &worker, vec![], done);
    let started = run(&mut pool, 1_201);
    assert_eq!(started.len(), 4);
    assert!(started.iter().all(|start| start.run == started[0].run));
}

/// One member of a gang is refused. The others would wait for it until they end with [`RunOutcome::Alone`], so they are
/// stopped at once.
#[test]
fn a_gang_with_a_refused_member_is_stopped() {
    let mut pool = pool(2);
    let mut gang = job("00000000000000g2", &[(3, 1_000, 1_000)]);
    gang.steps[0].gang = true;
    adopt(&mut pool, 1_000, gang);
    let started = starts(pool.schedule(1_001, UNIX));
    pool.start_answered(1_005, &started[0], StartAnswer::Running);
    pool.start_answered(1_005, &started[1], StartAnswer::Room);
    pool.start_answered(1_006, &started[2], StartAnswer::Running);
    assert_eq!(stops(&pool.schedule(1_010, UNIX)), 2);
}

/// Steps run in the order of their dependencies; labels, the rack of the data and the limit per worker are respected.
#[test]
fn dependencies_labels_and_limits_are_respected() {
    let mut pool = pool(4);
    let mut spread = job("00000000000000s1", &[(3, 100, 500), (2, 100, 500)]);
    spread.steps[0].per_worker = 1;
    spread.steps[0].data_rack = "r1".into();
    spread.steps[1].label = "r0".into();
    adopt(&mut pool, 1_000, spread);
    let first = run(&mut pool, 1_001);
    let mut workers: Vec<&str> = first.iter().map(|start| &*start.worker).collect();
    workers.sort_unstable();
    workers.dedup();
    assert_eq!(workers.len(), 3, "one task on each worker");
    assert!(
        workers.contains(&"w02") && workers.contains(&"w03"),
        "the rack of the data first"
    );
    for (number, start) in first.iter().enumerate() {
        assert_eq!(
            run(&mut pool, 1_100 + number as u64).len(),
            0,
            "the first step isn't complete"
        );
        let done = vec![end(start, 1, RunOutcome::Done)];
        report(
            &mut pool,
            1_100 + number as u64,
            &start.worker,
            vec![],
            done,
        );
    }
    let second = run(&mut pool, 1_200);
    assert_eq!(second.len(), 2);
    assert!(
        second
            .iter()
            .all(|start| matches!(&*start.worker, "w00" | "w01"))
    );
}

/// A job fails once a task has used up its attempts, and nothing of it starts any more. Each failure counts once, even if a
/// worker reports it again.
#[test]
fn attempts_are_counted_once() {
    let mut pool = pool(3);
    let mut failing = job("00000000000000d1", &[(1, 100, 500)]);
    failing.policy.attempts = 2;
    adopt(&mut pool, 1_000, failing);
    let first = run(&mut pool, 1_001);
    let failed = end(&first[0], 1, RunOutcome::Failed);
    report(
        &mut pool,
        1_100,
        &first[0].worker,
        vec![],
        vec![failed.clone()],
    );
    report(&mut pool, 1_110, &first[0].worker, vec![], vec![failed]);
    let second = run(&mut pool, 1_200);
    assert_eq!(second.len(), 1, "one attempt is left");
    let number = if second[0].worker == first[0].worker {
        2
    } else {
        1
    };
    let failed = end(&second[0], number, RunOutcome::Failed);
    report(&mut pool, 1_300, &second[0].worker, vec![], vec![failed]);
    let batch = pool.batch(80);
    pool.batch_stored(&batch);
    assert_eq!(pool.state("00000000000000d1"), Some(State::Failed));
    assert_eq!(run(&mut pool, 1_400).len(), 0);
}

/// A long-running task is restarted within half a second, however it ends.
#[test]
fn a_long_running_task_is_restarted() {
    let mut pool = pool(2);
    let mut long_running = job("00000000000000l1", &[(1, 100, 0)]);
    long_running.steps[0].long_running = true;
    adopt(&mut pool, 1_000, long_running);
    let mut number = 0;
    let mut now = 1_001;
    for outcome in [
        RunOutcome::Failed,
        RunOutcome::Lapsed,
        RunOutcome::Done,
        RunOutcome::Failed,
        RunOutcome::Failed,
    ] {
        let started = run(&mut pool, now);
        assert_eq!(started.len(), 1, "after {number} ends");
        number += 1;
        let ids = [WorkerId::from("w00"), WorkerId::from("w01")];
        for id in &ids {
            let ended = if *id == started[0].worker {
                vec![end(&started[0], number, outcome)]
            } else {
                vec![]
            };
            report(&mut pool, now + 10, id, vec![], ended);
        }
        now += 500;
    }
}

/// A worker drains. A long-running task is stopped once another worker has capacity for it, a task with checkpoints just before
/// the worker leaves, and any other task not at all: the worker may stay longer than it announced.
#[test]
fn draining_workers_are_evacuated() {
    let mut pool = pool(1);
    let mut long_running = job("00000000000000l2", &[(1, 100, 0)]);
    long_running.steps[0].long_running = true;
    let mut with_checkpoints = job("00000000000000v1", &[(1, 100, 60_000)]);
    with_checkpoints.steps[0].checkpoints = true;
    let plain = job("00000000000000p1", &[(1, 100, 60_000)]);
    for job in [long_running, with_checkpoints, plain] {
        adopt(&mut pool, 1_000, job);
    }
    let runs = run(&mut pool, 1_001);
    assert_eq!(runs.len(), 3);
    let drain = |pool: &mut Pool, now| {
        let mut info = pool
            .worker("w00")
            .expect("the worker is known")
            .info
            .clone();
        info.draining = Some(3_000);
        pool.update_worker(now, &"w00".into(), info);
    };
    drain(&mut pool, 1_100);
    report_all(&mut pool, 1_200, &runs);
    assert_eq!(
        stops(&pool.schedule(1_300, UNIX)),
        0,
        "there is no other worker"
    );
    let info = WorkerInfo {
        service: "s".into(),
        capacity: Size::new(4_000, 10_000, 0),
        incarnation: 1,
        ..WorkerInfo::default()
    };
    pool.update_worker(1_300, &"w01".into(), info);
    pool.set_stored_roster(&["w00".into(), "w01".into()]);
    report_all(&mut pool, 1_400, &runs);
    assert_eq!(
        stops(&pool.schedule(1_600, UNIX)),
        1,
        "the long-running task is stopped"
    );
    for now in [2_000, 2_600, 3_100] {
        report_all(&mut pool, now, &runs);
    }
    let commands = pool.schedule(3_200, UNIX);
    let with_checkpoints = commands.iter().any(
        |command| matches!(command, Command::Stop(stop) if &*stop.task.stage.job == "00000000000000v1"),
    );
    let plain = commands.iter().any(
        |command| matches!(command, Command::Stop(stop) if &*stop.task.stage.job == "00000000000000p1"),
    );
    assert!(with_checkpoints && !plain);
}

/// A latency-sensitive task comes near its target because of best-effort tasks on the same worker. These are slowed down before
/// the target is exceeded, are paused if that is not enough, and speed up again only after the ratio has stayed low.
#[test]
fn best_effort_tasks_are_slowed_down_in_time() {
    let mut controller = PaceController::default();
    let worker: WorkerId = "w".into();
    assert_eq!(controller.update(1_000, &worker, 0.3), 100);
    assert_eq!(controller.update(1_200, &worker, 0.9), 25);
    assert_eq!(
        controller.update(1_400, &worker, 1.2),
        25,
        "a reading covers half a second"
    );
    assert_eq!(controller.update(2_000, &worker, 1.2), 0);
    assert_eq!(
        controller.update(3_000, &worker, 0.3),
        0,
        "the ratio has not been low for long enough"
    );
    let mut now = 3_000;
    while controller.update(now, &worker, 0.3) < 100 {
        now += 200;
        assert!(now < 30_000, "the pace returns to 100%");
    }
    assert!(now > 8_000, "it does so step by step");
}

/// A worker fails every task that it starts. After three failures in a row it gets nothing for a while, then one task at a
/// time, so that few attempts are spent there.
#[test]
fn a_worker_that_fails_every_task_is_detected_soon() {
    let mut sim = Simulation::new(5, 4);
    sim.start_owner();
    sim.run_for(500);
    sim.faulty.insert("w00".into());
    for index in 0..40 {
        sim.accept(job(&format!("{index:016}"), &[(2, 500, 200)]));
        sim.run_for(60);
    }
    sim.run_for(8_000);
    assert_eq!(sim.violations, Vec::<String>::new());
    assert_eq!(sim.unfinished(), 0);
    assert!(
        sim.failures <= 10,
        "{} tasks failed on the worker",
        sim.failures
    );
    let completed = sim
        .jobs
        .keys()
        .filter(|id| sim.stored(id) == Some(State::Completed))
        .count();
    assert_eq!(completed, 40);
}

/// A quick task runs on one worker, a long one on another. The next poll may wait for further ends for a tenth of the shortest
/// estimate, but at most 200 ms: without the wait, each end costs a poll of its own, and ends of quick tasks must be reported
/// soon.
#[test]
fn polls_wait_for_further_ends_only_as_long_as_callers_do_not_notice() {
    let mut pool = pool(2);
    adopt(
        &mut pool,
        1_000,
        job("00000000000000h1", &[(1, 4_000, 500)]),
    );
    adopt(
        &mut pool,
        1_000,
        job("00000000000000h2", &[(1, 4_000, 60_000)]),
    );
    let started = run(&mut pool, 1_001);
    let poll_delay = |job: &str| {
        let start = started
            .iter()
            .find(|start| &*start.task.stage.job == job)
            .expect("both run");
        pool.poll_delay(&start.worker)
    };
    assert_eq!(
        (
            poll_delay("00000000000000h1"),
            poll_delay("00000000000000h2")
        ),
        (50, 200)
    );
}
