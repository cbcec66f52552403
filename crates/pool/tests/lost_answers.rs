//! A share of the orders to workers gets no answer.
//!
//! Answers the load in which quick work of many tasks meets workers that leave some orders unanswered and carry them out
//! seconds later, or not at all. One unanswered order in a step holds up the whole job.

#[allow(dead_code, reason = "other test files use the rest")]
mod case;
#[allow(dead_code, reason = "other test files use the rest")]
mod simulation;

use case::{adopt, pool, starts};
use pool::{Answer, Ms, Pool, Start};
use simulation::{Simulation, UNIX, job};

/// Plans every 5 ms from `from` to `to`; when each order to start was given.
fn orders(pool: &mut Pool, from: Ms, to: Ms) -> Vec<(Ms, Start)> {
    let mut given = Vec::new();
    for now in (from..to).step_by(5) {
        let planned = starts(pool.schedule(now, UNIX + now));
        given.extend(planned.into_iter().map(|start| (now, start)));
    }
    given
}

/// Guards against waiting for the call to fail, 450 ms, before an order is repeated: the way there and back takes a tenth of
/// that, and a quick job has two seconds for all of its steps.
#[test]
fn an_order_is_repeated_when_its_answer_is_overdue() {
    let mut pool = pool(1);
    adopt(&mut pool, 1_000, job("00000000000000q1", &[(1, 100, 500)]));
    let first = orders(&mut pool, 1_000, 1_010);
    pool.answered(1_045, &first[0].1, Answer::Running);
    adopt(&mut pool, 2_000, job("00000000000000q2", &[(1, 100, 500)]));
    let given = orders(&mut pool, 2_000, 2_300);
    assert!(given.len() > 1, "the order is repeated: {given:?}");
    assert_eq!(given[0].1.task, given[1].1.task);
    assert_eq!(given[0].1.run, given[1].1.run, "the same run");
    let waited = given[1].0 - given[0].0;
    assert!((60..=200).contains(&waited), "after {waited} ms");
}

/// Guards against copies at a fixed pace: a worker that is down would get one for each task every few milliseconds.
#[test]
fn copies_of_an_order_come_at_growing_intervals() {
    let mut pool = pool(1);
    adopt(&mut pool, 1_000, job("00000000000000q1", &[(1, 100, 500)]));
    let times: Vec<Ms> = orders(&mut pool, 1_000, 2_400)
        .into_iter()
        .map(|(at, _)| at)
        .collect();
    let gaps: Vec<Ms> = times.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!((2..=4).contains(&gaps.len()), "{times:?}");
    assert!(gaps.windows(2).all(|pair| pair[1] > pair[0]), "{gaps:?}");
    assert!(
        times.iter().all(|at| *at < 2_000),
        "none after its last moment: {times:?}"
    );
}

/// A copy was refused for want of room while the first may still be carried out: the run is stopped before its task starts
/// elsewhere, or it would run twice.
#[test]
fn a_refused_copy_does_not_free_the_task() {
    let mut pool = pool(2);
    adopt(&mut pool, 1_000, job("00000000000000q1", &[(1, 100, 500)]));
    let given = orders(&mut pool, 1_000, 1_300);
    assert!(given.len() > 1);
    pool.answered(1_300, &given[0].1, Answer::Room);
    assert_eq!(orders(&mut pool, 1_300, 1_500).len(), 0);
}

/// Sixty quick jobs of ten tasks, of whose orders one in fifteen gets no answer and is carried out late if at all. The answer
/// of a worker takes 10 ms, so one lost order may cost some 100 ms of the objective of a job.
#[test]
fn lost_orders_cost_quick_jobs_little() {
    let mut world = Simulation::new(7, 20);
    world.conditions.lost_answer_rate = 0.065;
    world.start_owner();
    world.run_for(200);
    for at in 0..60 {
        world.accept(job(&format!("000000000000q{at:03}"), &[(10, 100, 600)]));
        world.run_for(50);
    }
    world.run_for(4_000);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    let late = world.count_late(850);
    assert!(late <= 3, "{late} of 60 took over 850 ms");
}
