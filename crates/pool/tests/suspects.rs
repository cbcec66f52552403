//! Where tasks start that may have crashed a worker, and what is held against them.

#[allow(dead_code, reason = "the other test files use the rest")]
mod case;
#[allow(dead_code, reason = "the other test files use the rest")]
mod simulation;

use std::sync::Arc;

use case::{adopt, end, hold, hold_all, list_workers, pool, run, starts};
use pool::{
    Answer, Command, End, How, Job, Listing, Ms, Options, Pool, Progress, Start, State, StopAnswer,
    WorkerId,
};
use simulation::{UNIX, job};

/// Stores all that is to be stored; tells the progress of the last job in it.
fn store(pool: &mut Pool) -> Option<Progress> {
    let batch = pool.batch(80);
    pool.saved(&batch);
    batch.rows.last().map(|(_, progress)| progress.clone())
}

/// The worker of a start answers in a new life.
fn restart(pool: &mut Pool, now: Ms, start: &Start, life: u64) {
    let listing = Listing {
        clock: 10 + now % 100,
        born: 1 + life,
        lease: 1_000_000,
        asked: now,
        ..Listing::default()
    };
    pool.apply_listing(now, UNIX + now, &start.worker, &listing);
}

/// A worker answers in its present life: nothing runs there, and this has ended.
fn answer(pool: &mut Pool, now: Ms, id: &WorkerId, ended: Vec<End>) {
    let listing = Listing {
        clock: now + 50_000,
        born: pool.worker(id).map_or(0, |worker| worker.ends().0),
        lease: now + 55_000,
        asked: now,
        ended,
        ..Listing::default()
    };
    pool.apply_listing(now, UNIX + now, id, &listing);
}

/// All workers but that of the start answer.
fn others_answer(pool: &mut Pool, now: Ms, but: &Start) {
    let ids: Vec<_> = pool.workers().map(|worker| worker.id.clone()).collect();
    for id in ids.into_iter().filter(|id| *id != but.worker) {
        answer(pool, now, &id, vec![]);
    }
}

/// Starts a job and lets each worker that starts its first task crash, until nothing is started any more.
fn crash_until_given_up(pool: &mut Pool, task: Job) -> usize {
    let id = Arc::clone(&task.id);
    adopt(pool, 1_000, task);
    let mut now = 1_000;
    for crashes in 0..6 {
        let mut begun = run(pool, now);
        drop(store(pool));
        begun.extend(run(pool, now + 50));
        let Some(start) = begun.iter().find(|start| start.task.index == 0) else {
            drop(store(pool));
            assert_eq!(pool.state(&id), Some(State::Failed));
            return crashes;
        };
        now += 1_000;
        restart(pool, now, start, crashes as u64 + 1);
        now += 1_000;
        for other in begun.iter().filter(|it| it.worker != start.worker) {
            let broken = vec![end(other, crashes as u64 + 1, How::Broken)];
            answer(pool, now, &other.worker, broken);
        }
        others_answer(pool, now, start);
    }
    6
}

/// Guards against lasting tasks being restarted without end where they crash their workers.
#[test]
fn a_lasting_task_that_crashes_its_workers_is_given_up() {
    let mut lasting = job("00000000000000l1", &[(1, 500, 100)]);
    lasting.steps[0].lasting = true;
    assert_eq!(crash_until_given_up(&mut pool(6), lasting), 3);
}

/// Guards against a gang being started without end where one member crashes its worker.
#[test]
fn a_gang_whose_member_crashes_its_worker_is_given_up() {
    let mut gang = job("00000000000000g1", &[(3, 3_000, 500)]);
    gang.steps[0].gang = true;
    assert_eq!(crash_until_given_up(&mut pool(8), gang), 3);
}

/// Guards against neighbours that share the blame again: what one worker lost is started on different ones.
#[test]
fn tasks_that_were_lost_together_start_on_different_workers() {
    let mut pool = pool(4);
    adopt(
        &mut pool,
        1_000,
        job("00000000000000a1", &[(4, 900, 5_000)]),
    );
    let first = run(&mut pool, 1_000);
    let home = first[0].worker.clone();
    assert!(first.iter().all(|start| start.worker == home), "{first:?}");
    restart(&mut pool, 2_000, &first[0], 1);
    others_answer(&mut pool, 2_100, &first[0]);
    let mut places: Vec<_> = run(&mut pool, 2_110)
        .into_iter()
        .map(|start| start.worker)
        .collect();
    places.sort();
    places.dedup();
    assert_eq!(places.len(), 4);
}

/// Hands in a job of one task and lets two workers crash under it; tells when.
fn crash_twice(pool: &mut Pool) -> Ms {
    adopt(pool, 1_000, job("00000000000000a1", &[(1, 900, 5_000)]));
    let mut now = 1_000;
    for life in 1..3 {
        let start = run(pool, now).remove(0);
        restart(pool, now + 1_000, &start, life);
        others_answer(pool, now + 1_100, &start);
        now += 1_200;
    }
    now
}

/// A task that has crashed two workers is started; then another job comes.
fn third_start(pool: &mut Pool) -> (Start, Start) {
    let now = crash_twice(pool);
    assert!(run(pool, now).is_empty(), "it isn't stored yet");
    drop(store(pool));
    let third = run(pool, now + 10).remove(0);
    adopt(pool, now + 20, job("00000000000000b1", &[(1, 900, 5_000)]));
    let other = run(pool, now + 30).remove(0);
    (third, other)
}

/// Guards against further neighbours of a task that has crashed two workers.
#[test]
fn nothing_is_started_beside_a_task_that_crashed_two_workers() {
    let (third, other) = third_start(&mut pool(4));
    assert_eq!(third.run, 3);
    assert_ne!(third.worker, other.worker);
}

/// Guards against starts that the next owner doesn't count: the owner may be lost together with the worker.
#[test]
fn the_third_start_is_stored_before_it_is_ordered() {
    let mut pool = pool(4);
    let now = crash_twice(&mut pool);
    for wait in 0..20 {
        assert!(
            run(&mut pool, now + wait * 50).is_empty(),
            "while it isn't stored"
        );
    }
    let stored = store(&mut pool).expect("there is something to store");
    assert_eq!(stored.open[0].steps[0].crashed, vec![(0, vec![1, 2, 3])]);
    let mut next = Pool::new(Options::default());
    list_workers(&mut next, 4);
    let again = Arc::new(job("00000000000000a1", &[(1, 900, 5_000)]));
    next.adopt(1_000, UNIX + 1_000, again, Some(&stored), true);
    assert!(starts(next.schedule(1_010, UNIX + 1_010)).is_empty());
    drop(store(&mut next));
    assert_eq!(next.state("00000000000000a1"), Some(State::Failed));
}

/// Guards against orders that are carried out by the next life of the worker that they crashed.
#[test]
fn an_order_of_a_suspect_is_not_repeated() {
    let mut pool = pool(4);
    adopt(
        &mut pool,
        1_000,
        job("00000000000000a1", &[(1, 900, 5_000)]),
    );
    let first = run(&mut pool, 1_000).remove(0);
    restart(&mut pool, 2_000, &first, 1);
    others_answer(&mut pool, 2_100, &first);
    let second = starts(pool.schedule(2_110, UNIX + 2_110)).remove(0);
    pool.answered(2_120, &second, Answer::Lost);
    for now in (2_120..3_000).step_by(20) {
        let more = starts(pool.schedule(now, UNIX + now));
        assert!(more.is_empty(), "{now}: {more:?}");
    }
}

/// Guards against a worker that was only cut off being taken for one that crashed under its tasks.
#[test]
fn an_end_that_is_listed_later_takes_the_note_back() {
    let mut pool = pool(4);
    adopt(
        &mut pool,
        1_000,
        job("00000000000000a1", &[(1, 900, 5_000)]),
    );
    let first = run(&mut pool, 1_000).remove(0);
    let noted = |pool: &mut Pool| {
        let progress = store(pool).expect("there is something to store");
        !progress.open[0].steps[0].crashed.is_empty()
    };
    for now in (1_500..10_000).step_by(500) {
        others_answer(&mut pool, now, &first);
        drop(pool.schedule(now, UNIX + now));
    }
    assert!(noted(&mut pool));
    let lapsed = vec![end(&first, 1, How::Lapsed)];
    hold(&mut pool, 10_000, &first.worker, vec![], lapsed);
    let running = starts(pool.schedule(10_010, UNIX + 10_010));
    hold_all(&mut pool, 10_020, &running);
    let crashed = store(&mut pool).is_some_and(|progress| {
        let course = &progress.open[0].steps[0];
        course.crashed.iter().any(|(_, runs)| runs.contains(&1))
    });
    assert!(!crashed);
}

/// Guards against suspects that stay suspects: a task that has run for long did not crash its worker.
#[test]
fn a_task_that_runs_on_is_no_suspect() {
    let mut pool = pool(4);
    adopt(
        &mut pool,
        1_000,
        job("00000000000000a1", &[(1, 900, 60_000)]),
    );
    let first = run(&mut pool, 1_000).remove(0);
    restart(&mut pool, 2_000, &first, 1);
    others_answer(&mut pool, 2_100, &first);
    let second = run(&mut pool, 2_110);
    assert_eq!(second.len(), 1);
    let noted = store(&mut pool).expect("the start is noted");
    assert_eq!(noted.open[0].steps[0].crashed, vec![(0, vec![1, 2])]);
    hold_all(&mut pool, 4_200, &second);
    let noted = store(&mut pool).expect("it has outlived its start");
    assert_eq!(noted.open[0].steps[0].crashed, vec![(0, vec![1])]);
    hold_all(&mut pool, 12_200, &second);
    let noted = store(&mut pool).expect("it is stable");
    assert!(noted.open[0].steps[0].crashed.is_empty());
}

/// Guards against a crash that no owner notes: the worker falls silent under one and has restarted before the next one
/// reaches it.
#[test]
fn a_silent_worker_that_restarts_before_the_next_owner_comes_has_crashed() {
    let mut former = pool(4);
    adopt(
        &mut former,
        1_000,
        job("00000000000000a1", &[(1, 900, 5_000)]),
    );
    let first = run(&mut former, 1_000).remove(0);
    former.mark_unresponsive(&first.worker);
    let silent = former.unavailable_workers(1_100);
    assert_eq!(silent.len(), 1);
    let mut next = Pool::new(Options::default());
    let again = Arc::new(job("00000000000000a1", &[(1, 900, 5_000)]));
    next.adopt(1_200, UNIX + 1_200, again, None, true);
    next.inherit(1_200, former.roster(1_100), &silent);
    for worker in former.workers() {
        next.update_worker(1_200, &worker.id, worker.news.clone());
        if worker.id != first.worker {
            hold(&mut next, 1_250, &worker.id, vec![], vec![]);
        }
    }
    restart(&mut next, 1_300, &first, 1);
    drop(next.schedule(1_400, UNIX + 1_400));
    let stored = store(&mut next).expect("there is something to store");
    assert_eq!(stored.open[0].steps[0].crashed, vec![(0, vec![1])]);
}

/// How many workers a task crashes before it is given up, if its orders are answered like this.
fn crashes_with_answer(answer: Answer) -> usize {
    let mut pool = pool(8);
    adopt(
        &mut pool,
        1_000,
        job("00000000000000a1", &[(1, 900, 5_000)]),
    );
    let mut now = 1_000;
    for crashes in 0..8 {
        let mut begun = starts(pool.schedule(now, UNIX + now));
        drop(store(&mut pool));
        now += 10;
        begun.extend(starts(pool.schedule(now, UNIX + now)));
        let lost = pool
            .workers()
            .find(|worker| worker.free().millicores < 4_000);
        let Some(worker) = lost.map(|worker| Arc::clone(&worker.id)) else {
            return crashes;
        };
        for start in &begun {
            pool.answered(now + 10, start, answer);
        }
        let life = pool.worker(&worker).map_or(0, |worker| worker.ends().0);
        now += 1_000;
        for (clock, born) in [(10, life + 1), (2_000, life + 1)] {
            let listing = Listing {
                clock,
                born,
                lease: 1_000_000,
                asked: now,
                ..Listing::default()
            };
            for stop in pool.schedule(now, UNIX + now) {
                if let Command::Stop(stop) = stop {
                    pool.stopped(now, &stop, StopAnswer::Stopped(20));
                }
            }
            pool.apply_listing(now, UNIX + now, &worker, &listing);
            now += 20;
        }
        let ids: Vec<_> = pool.workers().map(|it| Arc::clone(&it.id)).collect();
        for id in ids.iter().filter(|id| **id != worker) {
            self::answer(&mut pool, now, id, vec![]);
        }
    }
    8
}

/// Guards against tasks being given up for orders that met workers which were gone already: only the third start is made on
/// one that surely lives.
#[test]
fn orders_that_time_out_prove_no_crash() {
    assert_eq!(crashes_with_answer(Answer::Running), 3);
    assert_eq!(crashes_with_answer(Answer::Cut), 3, "it lived until then");
    assert_eq!(crashes_with_answer(Answer::Lost), 4);
}

/// The stored crash notes of the only task of a job.
fn notes(pool: &mut Pool) -> Vec<(u32, Vec<u32>)> {
    store(pool).map_or_else(Vec::new, |progress| {
        progress.open[0].steps[0].crashed.clone()
    })
}

/// Guards against notes for runs that had outlived their start long before their worker crashed.
#[test]
fn a_task_that_had_run_for_long_is_not_held_responsible() {
    let mut pool = pool(4);
    adopt(
        &mut pool,
        1_000,
        job("00000000000000a1", &[(1, 900, 60_000)]),
    );
    let first = run(&mut pool, 1_000);
    hold_all(&mut pool, 3_500, &first);
    restart(&mut pool, 4_000, &first[0], 1);
    assert!(notes(&mut pool).is_empty());
}

/// Guards against notes for runs on workers that said they would leave.
#[test]
fn a_worker_that_leaves_has_not_crashed() {
    let mut pool = pool(4);
    adopt(
        &mut pool,
        1_000,
        job("00000000000000a1", &[(1, 900, 60_000)]),
    );
    let first = run(&mut pool, 1_000).remove(0);
    let mut news = pool
        .worker(&first.worker)
        .expect("it is there")
        .news
        .clone();
    news.draining = Some(2_000);
    pool.update_worker(1_100, &first.worker, news);
    for now in (1_500..10_000).step_by(500) {
        others_answer(&mut pool, now, &first);
        drop(pool.schedule(now, UNIX + now));
    }
    assert_eq!(pool.take_lost_runs().len(), 1);
    assert!(notes(&mut pool).is_empty());
}

/// Guards against a third start on a worker that was lost in the same event as the one before.
#[test]
fn the_third_start_is_made_on_a_worker_that_surely_lives() {
    let mut pool = pool(4);
    adopt(
        &mut pool,
        1_000,
        job("00000000000000a1", &[(1, 900, 5_000)]),
    );
    let first = run(&mut pool, 1_000).remove(0);
    restart(&mut pool, 2_000, &first, 1);
    others_answer(&mut pool, 2_100, &first);
    let second = run(&mut pool, 2_200).remove(0);
    restart(&mut pool, 3_000, &second, 2);
    drop(run(&mut pool, 3_010));
    drop(store(&mut pool));
    assert!(
        run(&mut pool, 3_020).is_empty(),
        "no other has answered since"
    );
    let alive = pool
        .workers()
        .map(|worker| Arc::clone(&worker.id))
        .find(|id| *id != first.worker && *id != second.worker);
    let alive = alive.expect("there are four");
    answer(&mut pool, 3_100, &alive, vec![]);
    let third = run(&mut pool, 3_110);
    assert_eq!(third[0].worker, alive);
}
