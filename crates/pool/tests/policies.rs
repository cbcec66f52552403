//! What the pool decides, case by case.

#[allow(dead_code, reason = "the other test file uses the rest")]
mod world;

use std::sync::Arc;

use pool::pace::Tempo;
use pool::rank::{Claim, rank};
use pool::{
    Advice, Answer, End, How, Job, Listing, News, Options, Order, Pool, Running, Start, State,
    WorkerId,
};
use resource::Size;
use world::{UNIX, World, job};

/// A pool with workers that have answered, at time 1000.
fn pool(workers: usize) -> Pool {
    let mut pool = Pool::new(Options::default());
    list_workers(&mut pool, workers);
    pool
}

fn list_workers(pool: &mut Pool, workers: usize) {
    let ids: Vec<WorkerId> = (0..workers).map(|at| format!("w{at:02}").into()).collect();
    for (at, id) in ids.iter().enumerate() {
        let news = News {
            address: id.to_string(),
            service: "s".into(),
            rack: format!("r{}", at / 2),
            labels: vec!["a".into(), format!("r{}", at / 2)],
            room: Size::new(4_000, 10_000, 0),
            born: 1,
            ..News::default()
        };
        pool.listed(1_000, id, news);
    }
    pool.enroll(&ids);
    for id in &ids {
        hold(pool, 1_000, id, vec![], vec![]);
    }
}

fn hold(pool: &mut Pool, now: u64, id: &WorkerId, running: Vec<Running>, ended: Vec<End>) {
    let listing = Listing {
        clock: now + 50_000,
        born: 1,
        lease: now + 55_000,
        asked: now,
        running,
        ended,
    };
    pool.heard(now, UNIX + now, id, &listing);
}

fn hold_all(pool: &mut Pool, now: u64, runs: &[Start]) {
    let ids: Vec<WorkerId> = pool.workers().map(|worker| worker.id.clone()).collect();
    for id in ids {
        let there = runs.iter().filter(|start| start.worker == id);
        let running = there
            .map(|start| Running {
                task: start.task.clone(),
                run: start.run,
                saved: "c1".into(),
                percent: (now / 100 % 100) as u32,
                load: 0,
            })
            .collect();
        hold(pool, now, &id, running, vec![]);
    }
}

fn starts(orders: Vec<Order>) -> Vec<Start> {
    let start = |order| match order {
        Order::Start(start) => Some(start),
        _ => None,
    };
    orders.into_iter().filter_map(start).collect()
}

fn stops(orders: &[Order]) -> usize {
    orders
        .iter()
        .filter(|order| matches!(order, Order::Stop(_)))
        .count()
}

fn adopt(pool: &mut Pool, now: u64, job: Job) {
    pool.adopt(now, UNIX + now, Arc::new(job), None, false);
}

fn run(pool: &mut Pool, now: u64) -> Vec<Start> {
    let started = starts(pool.plan(now, UNIX + now));
    for start in &started {
        pool.answered(now + 5, start, Answer::Running);
    }
    started
}

fn end(start: &Start, number: u64, how: How) -> End {
    End {
        number,
        task: start.task.clone(),
        run: start.run,
        how,
        saved: String::new(),
    }
}

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
    let done = vec![end(&filling[0], 1, How::Done)];
    let worker = filling[0].worker.clone();
    hold(&mut pool, 1_200, &worker, vec![], done);
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
    pool.answered(1_005, &started[0], Answer::Running);
    pool.answered(1_005, &started[1], Answer::Room);
    pool.answered(1_006, &started[2], Answer::Running);
    assert_eq!(stops(&pool.plan(1_010, UNIX)), 2);
}

/// Steps come in order; labels, racks and the limit of one worker are kept.
#[test]
fn order_labels_and_limits_are_kept() {
    let mut pool = pool(4);
    let mut spread = job("00000000000000s1", &[(3, 100, 500), (2, 100, 500)]);
    spread.steps[0].per_worker = 1;
    spread.steps[0].near = "r1".into();
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
        let done = vec![end(start, 1, How::Done)];
        hold(
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
    let failed = end(&first[0], 1, How::Failed);
    hold(
        &mut pool,
        1_100,
        &first[0].worker,
        vec![],
        vec![failed.clone()],
    );
    hold(&mut pool, 1_110, &first[0].worker, vec![], vec![failed]);
    let second = run(&mut pool, 1_200);
    assert_eq!(second.len(), 1, "one attempt is left");
    let number = if second[0].worker == first[0].worker {
        2
    } else {
        1
    };
    let failed = end(&second[0], number, How::Failed);
    hold(&mut pool, 1_300, &second[0].worker, vec![], vec![failed]);
    let batch = pool.batch(80);
    pool.saved(&batch);
    assert_eq!(pool.state("00000000000000d1"), Some(State::Failed));
    assert_eq!(run(&mut pool, 1_400).len(), 0);
}

/// A task that lasts starts again however it ends, and soon.
#[test]
fn a_lasting_task_is_started_again() {
    let mut pool = pool(2);
    let mut lasting = job("00000000000000l1", &[(1, 100, 0)]);
    lasting.steps[0].lasting = true;
    adopt(&mut pool, 1_000, lasting);
    let mut number = 0;
    let mut now = 1_001;
    for how in [
        How::Failed,
        How::Lapsed,
        How::Done,
        How::Failed,
        How::Failed,
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
            hold(&mut pool, now + 10, id, vec![], ended);
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
    lasting.steps[0].lasting = true;
    let mut saving = job("00000000000000v1", &[(1, 100, 60_000)]);
    saving.steps[0].checkpoints = true;
    let plain = job("00000000000000p1", &[(1, 100, 60_000)]);
    for job in [lasting, saving, plain] {
        adopt(&mut pool, 1_000, job);
    }
    let runs = run(&mut pool, 1_001);
    assert_eq!(runs.len(), 3);
    let leaving = |pool: &mut Pool, now| {
        let mut news = pool.worker("w00").expect("it is there").news.clone();
        news.draining = Some(3_000);
        pool.listed(now, &"w00".into(), news);
    };
    leaving(&mut pool, 1_100);
    hold_all(&mut pool, 1_200, &runs);
    assert_eq!(
        stops(&pool.plan(1_300, UNIX)),
        0,
        "there is no other worker"
    );
    let news = News {
        service: "s".into(),
        room: Size::new(4_000, 10_000, 0),
        born: 1,
        ..News::default()
    };
    pool.listed(1_300, &"w01".into(), news);
    pool.enroll(&["w00".into(), "w01".into()]);
    hold_all(&mut pool, 1_400, &runs);
    assert_eq!(stops(&pool.plan(1_600, UNIX)), 1, "the lasting one moves");
    for now in [2_000, 2_600, 3_100] {
        hold_all(&mut pool, now, &runs);
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

/// Steps of a queue with an advisor start only with a ticket that holds; an answer is kept, and only its ticket renewed.
#[test]
fn advised_steps_need_a_ticket() {
    let mut pool = pool(3);
    let mut advised = job("00000000000000a1", &[(2, 3_000, 500)]);
    advised.policy.advice = Some(Advice {
        base: 20.0,
        each: 1.0,
        valid: 2_000,
    });
    adopt(&mut pool, 1_000, advised);
    let orders = pool.plan(1_001, UNIX);
    let [Order::Ask(ask)] = orders.as_slice() else {
        panic!("a question is asked first: {orders:?}");
    };
    assert!(pool.plan(1_010, UNIX).is_empty(), "and only once");
    let rows = vec![(ask.workers[0].clone(), "t1".to_owned())];
    pool.advised(1_050, ask, Some((&rows, 2_000)));
    let orders = pool.plan(1_051, UNIX);
    let Some(Order::Start(start)) = orders.first() else {
        panic!("{orders:?}");
    };
    assert_eq!(
        (start.ticket.as_str(), &start.worker),
        ("t1", &ask.workers[0])
    );
    pool.answered(1_060, start, Answer::Ticket);
    for id in ["w00", "w01", "w02"] {
        hold(&mut pool, 1_070, &id.into(), vec![], vec![]);
    }
    let again = pool.plan(1_080, UNIX);
    let asked: Vec<_> = again
        .iter()
        .filter_map(|order| match order {
            Order::Ask(ask) => Some(ask.workers.clone()),
            _ => None,
        })
        .collect();
    assert!(
        asked.is_empty() || asked[0].contains(&ask.workers[0]),
        "{asked:?}"
    );
}

/// All workers are full, and a question takes half a second. Asked only when room was free, the room stood idle for as long;
/// with the answer and a ticket at hand, the step starts the moment there is room.
#[test]
fn the_advisor_is_asked_before_there_is_room() {
    let mut pool = Pool::new(Options {
        askers: 4,
        ..Options::default()
    });
    list_workers(&mut pool, 2);
    adopt(
        &mut pool,
        1_000,
        job("00000000000000f1", &[(2, 4_000, 5_000)]),
    );
    let full = run(&mut pool, 1_001);
    assert_eq!(full.len(), 2);
    let mut advised = job("00000000000000a3", &[(1, 4_000, 500)]);
    advised.policy.advice = Some(Advice {
        base: 490.0,
        each: 7.0,
        valid: 2_000,
    });
    adopt(&mut pool, 1_010, advised);
    let orders = pool.plan(1_020, UNIX);
    let [Order::Ask(ask)] = orders.as_slice() else {
        panic!("{orders:?}");
    };
    assert_eq!(ask.workers.len(), 2, "all, since each adds little");
    let first = full[0].worker.clone();
    pool.advised(
        1_550,
        ask,
        Some((&[(first.clone(), "t".to_owned())], 2_000)),
    );
    let done = vec![end(&full[0], 1, How::Done)];
    hold(&mut pool, 1_600, &first, vec![], done);
    let started = run(&mut pool, 1_601);
    assert_eq!(started.len(), 1);
    assert_eq!(
        (&started[0].worker, started[0].ticket.as_str()),
        (&first, "t")
    );
}

/// Questions ahead of need leave half of the advisor's time to steps for which there is room.
#[test]
fn questions_ahead_leave_time_to_others() {
    let mut pool = Pool::new(Options {
        askers: 4,
        ..Options::default()
    });
    list_workers(&mut pool, 2);
    adopt(
        &mut pool,
        1_000,
        job("00000000000000f1", &[(2, 4_000, 5_000)]),
    );
    assert_eq!(run(&mut pool, 1_001).len(), 2);
    for at in 0..8 {
        let mut advised = job(&format!("00000000000000b{at}"), &[(1, 1_000, 500)]);
        advised.policy.advice = Some(Advice {
            base: 490.0,
            each: 7.0,
            valid: 2_000,
        });
        adopt(&mut pool, 1_010, advised);
    }
    assert_eq!(pool.plan(1_020, UNIX).len(), 2);
}

/// At most one task of a step may run on a worker. The workers that the advisor allowed have one each, so a task that is
/// left needs others; asking about the same ones again and again left it waiting for ten seconds.
#[test]
fn workers_that_have_their_share_are_not_asked_about_again() {
    let mut pool = pool(4);
    let mut spread = job("00000000000000a2", &[(2, 100, 500)]);
    spread.steps[0].per_worker = 1;
    spread.policy.advice = Some(Advice {
        base: 20.0,
        each: 1.0,
        valid: 2_000,
    });
    adopt(&mut pool, 1_000, spread);
    let orders = pool.plan(1_001, UNIX);
    let [Order::Ask(first)] = orders.as_slice() else {
        panic!("{orders:?}");
    };
    let rows = vec![(first.workers[0].clone(), "t1".to_owned())];
    pool.advised(1_050, first, Some((&rows, 50)));
    // The ticket has run out when the start is due, so the worker is asked about again, and runs one task.
    pool.advised(1_051, first, Some((&rows, 2_000)));
    let started = run(&mut pool, 1_060);
    assert_eq!(started.len(), 1);
    hold_all(&mut pool, 3_300, &started);
    let orders = pool.plan(3_400, UNIX);
    for order in &orders {
        if let Order::Ask(ask) = order {
            assert!(!ask.workers.contains(&first.workers[0]), "{ask:?}");
        }
    }
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

/// A gang needs all four workers and one of them is gone. After a while in which it might have come back the job is to go to
/// another pool; until that is done, or not done, nothing of it starts here.
#[test]
fn a_job_that_the_pool_could_not_serve_if_it_were_empty_goes() {
    let mut pool = pool(4);
    let mut wide = job("wide", &[(4, 4_000, 500)]);
    wide.steps[0].gang = true;
    pool.adopt(1_000, UNIX + 1_000, Arc::new(wide), None, false);
    pool.adopt(
        1_000,
        UNIX + 1_000,
        Arc::new(job("narrow", &[(1, 4_000, 500)])),
        None,
        false,
    );
    pool.unlisted("w03");
    pool.unheard(&"w03".into());
    assert!(pool.misfits(1_100).is_empty(), "it may come back");
    let mut leave = Vec::new();
    for now in (1_200..5_000).step_by(100) {
        for id in ["w00", "w01", "w02"] {
            hold(&mut pool, now, &id.into(), vec![], vec![]);
        }
        leave = pool.misfits(now);
        if !leave.is_empty() {
            break;
        }
    }
    assert_eq!(leave, vec!["wide".into()]);
    pool.transferred(&"wide".into());
    assert!(!pool.knows("wide"));
    let again = job("wide", &[(1, 1_000, 500)]);
    pool.adopt(5_000, UNIX + 5_000, Arc::new(again), None, false);
    assert!(
        !pool.knows("wide"),
        "an older row of it would run it a second time"
    );
}

/// While the pool is full of others, a job that would fit if it were empty stays.
#[test]
fn a_job_that_only_waits_for_room_stays() {
    let mut pool = pool(2);
    pool.adopt(
        1_000,
        UNIX + 1_000,
        Arc::new(job("first", &[(2, 4_000, 60_000)])),
        None,
        false,
    );
    let runs = starts(pool.plan(1_010, UNIX + 1_010));
    assert_eq!(runs.len(), 2);
    pool.adopt(
        1_020,
        UNIX + 1_020,
        Arc::new(job("second", &[(2, 4_000, 500)])),
        None,
        false,
    );
    for now in (1_100..9_000).step_by(100) {
        hold_all(&mut pool, now, &runs);
        assert!(pool.misfits(now).is_empty());
    }
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
