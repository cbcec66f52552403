//! Answers to holds that arrive long after they were asked for.

#[allow(dead_code, reason = "other test files use the rest")]
mod case;
#[allow(dead_code, reason = "other test files use the rest")]
mod simulation;

use case::{adopt, hold, pool, run};
use pool::Listing;
use simulation::{UNIX, job};

/// A worker lists what ran before a start reached it, and that answer is on its way for longer than a run may be missing. The
/// run was taken as over and started a second time beside the first.
#[test]
fn a_listing_older_than_a_run_does_not_end_it() {
    let mut pool = pool(3);
    adopt(
        &mut pool,
        1_000,
        job("00000000000000d1", &[(1, 1_000, 60_000)]),
    );
    let started = run(&mut pool, 1_010);
    assert_eq!(started.len(), 1);
    let (now, asked) = (5_100, 1_005);
    let ids = ["w00", "w01", "w02"].map(pool::WorkerId::from);
    for id in ids.iter().filter(|id| **id != started[0].worker) {
        hold(&mut pool, now, id, vec![], vec![]);
    }
    let late = Listing {
        clock: asked + 50_000,
        born: 1,
        lease: asked + 56_000,
        asked,
        running: vec![],
        ended: vec![],
    };
    pool.apply_listing(now, UNIX + now, &started[0].worker, &late);
    assert_eq!(run(&mut pool, now + 1).len(), 0, "it runs already");
}

/// A worker began a new life under its old id, took a start in it and had done the task when it was heard again. The run was
/// taken as gone with the former life and started a second time.
#[test]
fn an_end_in_a_new_life_that_was_not_known_counts() {
    let mut pool = pool(3);
    let short = job("00000000000000d2", &[(1, 1_000, 100)]);
    adopt(&mut pool, 1_000, short);
    let started = run(&mut pool, 1_010);
    assert_eq!(started.len(), 1);
    let first = &started[0];
    let end = pool::End {
        number: 1,
        task: first.task.clone(),
        run: first.run,
        how: pool::How::Done,
        saved: String::new(),
    };
    let restarted = Listing {
        clock: 500,
        born: 2,
        lease: 6_500,
        asked: 1_500,
        running: vec![],
        ended: vec![end],
    };
    pool.apply_listing(1_510, UNIX + 1_510, &first.worker, &restarted);
    assert_eq!(run(&mut pool, 1_520).len(), 0, "it is done");
}
