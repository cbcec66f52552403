//! Jobs that the pool can't serve any more.

#[allow(dead_code, reason = "other test files use the rest")]
mod case;
#[allow(dead_code, reason = "other test files use the rest")]
mod world;

use std::sync::Arc;

use case::{pool, report, report_all, starts};
use world::{UNIX, job};

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
    pool.mark_unresponsive(&"w03".into());
    assert!(pool.misfits(1_100).is_empty(), "it may come back");
    let mut leave = Vec::new();
    for now in (1_200..5_000).step_by(100) {
        for id in ["w00", "w01", "w02"] {
            report(&mut pool, now, &id.into(), vec![], vec![]);
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
        report_all(&mut pool, now, &runs);
        assert!(pool.misfits(now).is_empty());
    }
}
