//! What the pool decides, case by case.

#[allow(dead_code, reason = "other test files use the rest")]
mod case;
#[allow(dead_code, reason = "other test files use the rest")]
mod world;

use case::{adopt, end, pool, report, report_all, run, starts, stops};
use pool::pace::Tempo;
use pool::rank::{Claim, rank};
use pool::{Order, Pool, RunOutcome, StartAnswer, State, WorkerId, WorkerInfo};
use resource::Size;
use world::{UNIX, World, job};

/// A rush of quick work meets a long report. In order of arrival the report takes the room first, and all quick work is
/// late; by rank the quick work goes first, and the report is late alone.
#[test]
fn quick_work_goes_before_a_report_that_came_earlier() {
    let mut pool = pool(2);
    let mut report = job("00000000000000r1", &[(8, 1_000, 60_000)]);
    report.policy.priority = 2;
    adopt(&mut pool, 1_000, report);
    for at in 0..4 {
        let mut quick = job(&format!("00000000000000q{at}"), &[(2, 1_000, 500)]);
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

/// Work that can't earn any more goes last, whatever its priority, but is not dropped.
#[test]
fn hopeless_work_goes_last() {
    let claim = |priority, age| {
        rank(&Claim {
            priority,
            age,
            objective: 1_000,
            chain: 500,
            work: 10,
            lasting: false,
        })
    };
    assert!(claim(0, 2_600) > claim(2, 0));
    assert!(claim(0, 800) < claim(2, 0), "late, but it still earns");
}

/// A gang starts whole or not at all, with one run number and one checkpoint.
#[test]
fn a_gang_waits_for_room_for_all_of_it() {
    let mut pool = pool(2);
    let mut filler = job("00000000000000f1", &[(1, 3_000, 10_000)]);
    filler.policy.priority = 0;
    adopt(&mut pool, 1_000, filler);
    let filling = run(&mut pool, 1_001);
    let mut gang = job("00000000000000g1", &[(4, 1_500, 1_000)]);
    gang.steps[0].gang = true;
    adopt(&mut pool, 1_002, gang);
    assert_eq!(
        run(&mut pool, 1_003).len(),
        0,
        "there is room for two of four"
    );
    let done = vec![end(&filling[0], 1, RunOutcome::Done)];
    let worker = filling[0].worker.clone();
    report(&mut pool, 1_200, &worker, vec![], done);
    let started = run(&mut pool, 1_201);
    assert_eq!(started.len(), 4);
    assert!(started.iter().all(|start| start.run == started[0].run));
}

/// One member of a gang can't start. The others would wait for it until they end "alone": they are stopped at once.
#[test]
fn a_gang_with_a_refused_member_is_stopped() {
    let mut pool = pool(2);
    let mut gang = job("00000000000000g2", &[(3, 1_000, 1_000)]);
    gang.steps[0].gang = true;
    adopt(&mut pool, 1_000, gang);
    let started = starts(pool.plan(1_001, UNIX));
    pool.start_answered(1_005, &started[0], StartAnswer::Running);
    pool.start_answered(1_005, &started[1], StartAnswer::Room);
    pool.start_answered(1_006, &started[2], StartAnswer::Running);
    assert_eq!(stops(&pool.plan(1_010, UNIX)), 2);
}

/// Steps come in order; labels, racks and the limit of one worker are kept.
#[test]
fn order_labels_and_limits_are_kept() {
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
    assert_eq!(workers.len(), 3, "one task on a worker");
    assert!(
        workers.contains(&"w02") && workers.contains(&"w03"),
        "data's rack first"
    );
    for (number, start) in first.iter().enumerate() {
        assert_eq!(
            run(&mut pool, 1_100 + number as u64).len(),
            0,
            "the first step isn't done"
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

/// A task that fails as often as it may fails its job, and nothing more of it starts; failures are counted once each, also
/// when a worker lists them again.
#[test]
fn attempts_are_counted_once() {
    let mut pool = pool(3);
    let mut doomed = job("00000000000000d1", &[(1, 100, 500)]);
    doomed.policy.attempts = 2;
    adopt(&mut pool, 1_000, doomed);
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

/// A task that lasts starts again however it ends, and soon.
#[test]
fn a_lasting_task_is_started_again() {
    let mut pool = pool(2);
    let mut lasting = job("00000000000000l1", &[(1, 100, 0)]);
    lasting.steps[0].long_running = true;
    adopt(&mut pool, 1_000, lasting);
    let mut number = 0;
    let mut now = 1_001;
    for how in [
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
                vec![end(&started[0], number, how)]
            } else {
                vec![]
            };
            report(&mut pool, now + 10, id, vec![], ended);
        }
        now += 500;
    }
}

/// A worker drains. A task that lasts moves at once where another has room, one that saves its progress just before the
/// worker leaves, any other stays: the worker may stay longer than it says.
#[test]
fn leaving_workers_are_emptied() {
    let mut pool = pool(1);
    let mut lasting = job("00000000000000l2", &[(1, 100, 0)]);
    lasting.steps[0].long_running = true;
    let mut saving = job("00000000000000v1", &[(1, 100, 60_000)]);
    saving.steps[0].checkpoints = true;
    let plain = job("00000000000000p1", &[(1, 100, 60_000)]);
    for job in [lasting, saving, plain] {
        adopt(&mut pool, 1_000, job);
    }
    let runs = run(&mut pool, 1_001);
    assert_eq!(runs.len(), 3);
    let leaving = |pool: &mut Pool, now| {
        let mut news = pool.worker("w00").expect("it is there").info.clone();
        news.draining = Some(3_000);
        pool.listed(now, &"w00".into(), news);
    };
    leaving(&mut pool, 1_100);
    report_all(&mut pool, 1_200, &runs);
    assert_eq!(
        stops(&pool.plan(1_300, UNIX)),
        0,
        "there is no other worker"
    );
    let news = WorkerInfo {
        service: "s".into(),
        capacity: Size::new(4_000, 10_000, 0),
        incarnation: 1,
        ..WorkerInfo::default()
    };
    pool.listed(1_300, &"w01".into(), news);
    pool.enroll(&["w00".into(), "w01".into()]);
    report_all(&mut pool, 1_400, &runs);
    assert_eq!(stops(&pool.plan(1_600, UNIX)), 1, "the lasting one moves");
    for now in [2_000, 2_600, 3_100] {
        report_all(&mut pool, now, &runs);
    }
    let orders = pool.plan(3_200, UNIX);
    let saved = orders.iter().any(
        |order| matches!(order, Order::Stop(stop) if &*stop.task.stage.job == "00000000000000v1"),
    );
    let other = orders.iter().any(
        |order| matches!(order, Order::Stop(stop) if &*stop.task.stage.job == "00000000000000p1"),
    );
    assert!(saved && !other);
}

/// A serving task comes near its response time because of what fills beside it. That is slowed down before the harm, goes
/// down to a standstill if that is not enough, and comes back only after calm.
#[test]
fn filling_tasks_are_slowed_down_before_harm() {
    let mut tempo = Tempo::default();
    let worker: WorkerId = "w".into();
    assert_eq!(tempo.share(1_000, &worker, 0.3), 100);
    assert_eq!(tempo.share(1_200, &worker, 0.9), 25);
    assert_eq!(
        tempo.share(1_400, &worker, 1.2),
        25,
        "a reading covers half a second"
    );
    assert_eq!(tempo.share(2_000, &worker, 1.2), 0);
    assert_eq!(
        tempo.share(3_000, &worker, 0.3),
        0,
        "not calm for long enough"
    );
    let mut now = 3_000;
    while tempo.share(now, &worker, 0.3) < 100 {
        now += 200;
        assert!(now < 30_000, "it comes back");
    }
    assert!(now > 8_000, "step by step");
}

/// Workers fail all that they start. After three failures in a row a worker gets a task at a time, after a rest; others go
/// on, so that few attempts are spent there.
#[test]
fn a_worker_that_fails_everything_is_found_soon() {
    let mut world = World::new(5, 4);
    world.take();
    world.pass(500);
    world.bad.insert("w00".into());
    for at in 0..40 {
        world.accept(job(&format!("{at:016}"), &[(2, 500, 200)]));
        world.pass(60);
    }
    world.pass(8_000);
    assert_eq!(world.broken, Vec::<String>::new());
    assert_eq!(world.unfinished(), 0);
    assert!(
        world.failures <= 10,
        "{} tasks failed there",
        world.failures
    );
    let completed = world
        .jobs
        .keys()
        .filter(|id| world.stored(id) == Some(State::Completed))
        .count();
    assert_eq!(completed, 40);
}

/// Quick tasks run on one worker, long ones on another. Each end of a long task cost a look of its own, while more were about
/// to end; ends of quick tasks must be told soon.
#[test]
fn further_ends_are_awaited_as_long_as_callers_do_not_notice() {
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
    let gather = |job: &str| {
        let start = started
            .iter()
            .find(|start| &*start.task.stage.job == job)
            .expect("both run");
        pool.gather(&start.worker)
    };
    assert_eq!(
        (gather("00000000000000h1"), gather("00000000000000h2")),
        (50, 200)
    );
}
