//! A pool with a few workers, and what a test tells it.
//!
//! Each test file uses a part of it.

use std::sync::Arc;

use pool::{
    Answer, Command, End, How, Job, Listing, News, Options, Pool, Running, Start, WorkerId,
};
use resource::Size;

use crate::simulation::UNIX;

/// A pool with workers that have answered, at time 1000.
pub(crate) fn pool(workers: usize) -> Pool {
    let mut pool = Pool::new(Options::default());
    list_workers(&mut pool, workers);
    pool
}

pub(crate) fn list_workers(pool: &mut Pool, workers: usize) {
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
        pool.update_worker(1_000, id, news);
    }
    pool.set_stored_roster(&ids);
    for id in &ids {
        hold(pool, 1_000, id, vec![], vec![]);
    }
}

pub(crate) fn hold(
    pool: &mut Pool,
    now: u64,
    id: &WorkerId,
    running: Vec<Running>,
    ended: Vec<End>,
) {
    let listing = Listing {
        clock: now + 50_000,
        born: 1,
        lease: now + 55_000,
        asked: now,
        running,
        ended,
    };
    pool.apply_listing(now, UNIX + now, id, &listing);
}

pub(crate) fn hold_all(pool: &mut Pool, now: u64, runs: &[Start]) {
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

pub(crate) fn starts(orders: Vec<Command>) -> Vec<Start> {
    let start = |order| match order {
        Command::Start(start) => Some(start),
        _ => None,
    };
    orders.into_iter().filter_map(start).collect()
}

pub(crate) fn stops(orders: &[Command]) -> usize {
    orders
        .iter()
        .filter(|order| matches!(order, Command::Stop(_)))
        .count()
}

pub(crate) fn adopt(pool: &mut Pool, now: u64, job: Job) {
    pool.adopt(now, UNIX + now, Arc::new(job), None, false);
}

pub(crate) fn run(pool: &mut Pool, now: u64) -> Vec<Start> {
    let started = starts(pool.schedule(now, UNIX + now));
    for start in &started {
        pool.answered(now + 5, start, Answer::Running);
    }
    started
}

pub(crate) fn end(start: &Start, number: u64, how: How) -> End {
    End {
        number,
        task: start.task.clone(),
        run: start.run,
        how,
        saved: String::new(),
    }
}
