//! Tasks that make no progress are stopped and started again on another worker.

#[allow(dead_code, reason = "other test files use the rest")]
mod case;
#[allow(dead_code, reason = "other test files use the rest")]
mod simulation;

use std::collections::BTreeMap;

use case::{adopt, end, pool, report, running, starts, stops};
use pool::{Command, Ms, RunOutcome, RunStatus, Start, StartAnswer, StopAnswer, WorkerId};
use simulation::{UNIX, job};

/// Runs one task on four workers for this long; it makes progress only on workers for which `advances` is true. Returns the times of
/// its starts.
fn start_times(time: Ms, advances: impl Fn(&WorkerId) -> bool) -> Vec<Ms> {
    let mut pool = pool(4);
    adopt(
        &mut pool,
        1_000,
        job("00000000000000e1", &[(1, 1_000, 10_000)]),
    );
    let mut times = Vec::new();
    let mut running: Option<Start> = None;
    let mut stopped: Option<Start> = None;
    let mut ends: BTreeMap<WorkerId, u64> = BTreeMap::new();
    for now in (1_100..1_100 + time).step_by(100) {
        let ids: Vec<WorkerId> = pool.workers().map(|worker| worker.id.clone()).collect();
        for id in &ids {
            let run = running.as_ref().filter(|start| start.worker == *id);
            let status = run.map(|start| RunStatus {
                task: start.task.clone(),
                run: start.run,
                checkpoint: String::new(),
                percent: if advances(id) {
                    (now / 100 % 100) as u32
                } else {
                    0
                },
                load: 0,
            });
            let ended = stopped.take_if(|start| start.worker == *id).map(|start| {
                let number = ends.entry(id.clone()).or_default();
                *number += 1;
                end(&start, *number, RunOutcome::Stopped)
            });
            report(
                &mut pool,
                now,
                id,
                status.into_iter().collect(),
                ended.into_iter().collect(),
            );
        }
        for command in pool.schedule(now, UNIX + now) {
            match command {
                Command::Start(start) => {
                    pool.start_answered(now + 5, &start, StartAnswer::Running);
                    times.push(now);
                    running = Some(start);
                }
                Command::Stop(stop) => {
                    pool.stop_answered(now + 5, &stop, StopAnswer::Stopped(now + 50_005));
                    stopped = running.take();
                }
                Command::Pace(_) | Command::Query(_) => {}
            }
        }
    }
    times
}

/// Guards against a task that stands still wherever it runs and is started again every few seconds for as long as its job lasts: the
/// time for which it may stand still grows.
#[test]
fn a_task_that_stalls_on_every_worker_is_started_less_and_less_often() {
    let times = start_times(1_200_000, |_| false);
    let gaps: Vec<Ms> = times.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(times.len() <= 12, "{} starts, {gaps:?}", times.len());
    let last = gaps.last().copied().unwrap_or(0);
    assert!(last > 100_000, "{gaps:?}");
}

/// Guards against tasks that wait long on faulty workers: a task that stalls on two workers in a row leaves each of them soon.
#[test]
fn a_task_that_stalls_on_two_workers_leaves_them_soon() {
    let mut seen = BTreeMap::new();
    let faulty = std::cell::RefCell::new(&mut seen);
    let times = start_times(30_000, |id| {
        let mut faulty = faulty.borrow_mut();
        let count = faulty.len();
        *faulty.entry(id.clone()).or_insert(count) >= 2
    });
    assert_eq!(times.len(), 3, "{times:?}");
    assert!(times[2] < 8_500, "{times:?}");
}

/// Guards against blaming workers for a gang that can't go on: its members stand still until one answers whose worker can't be reached.
#[test]
fn a_gang_with_an_unreachable_member_raises_no_suspicion() {
    let mut pool = pool(4);
    let mut gang = job("00000000000000g1", &[(7, 2_000, 5_000)]);
    gang.steps[0].gang = true;
    adopt(&mut pool, 1_000, gang);
    let started = starts(pool.schedule(1_000, UNIX + 1_000));
    assert_eq!(started.len(), 7);
    let unreachable = started[0].worker.clone();
    for start in &started {
        let answer = if start.worker == unreachable {
            StartAnswer::Lost
        } else {
            StartAnswer::Running
        };
        pool.start_answered(1_010, start, answer);
    }
    let ids: Vec<WorkerId> = pool.workers().map(|worker| worker.id.clone()).collect();
    let mut stopped = 0;
    for now in (1_100..4_500).step_by(100) {
        for id in ids.iter().filter(|id| **id != unreachable) {
            let runs = started.iter().filter(|start| start.worker == *id);
            report(&mut pool, now, id, runs.map(running).collect(), vec![]);
        }
        stopped += stops(&pool.schedule(now, UNIX + now));
    }
    assert!(stopped > 0, "the members don't wait for ever");
    let changes = pool.take_worker_suspicions();
    assert!(changes.is_empty(), "{changes:?}");
}
