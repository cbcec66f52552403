//! Workers that report to a new owner before it knows what the former one has stored about them.

#[allow(dead_code, reason = "other test files use the rest")]
mod case;
#[allow(dead_code, reason = "other test files use the rest")]
mod simulation;

use case::{adopt, register_workers, report, run};
use pool::{Options, Pool, UnavailableWorker, WorkerId};
use simulation::{UNIX, job};

/// Guards against a task that is never started again: a worker that the former owner couldn't use reports before the new owner inherits
/// the list of such workers, gets a lease without an end, and is lost later.
#[test]
fn the_lease_of_a_worker_that_reported_before_the_inheritance_ends() {
    let mut pool = Pool::new(Options::default());
    register_workers(&mut pool, 1);
    let lost: WorkerId = "w00".into();
    let unavailable = UnavailableWorker {
        worker: lost.clone(),
        runs: vec![],
        incarnation: 1,
    };
    pool.inherit(1_005, [], &[unavailable]);
    report(&mut pool, 1_010, &lost, vec![], vec![]);
    adopt(
        &mut pool,
        1_010,
        job("00000000000000a1", &[(1, 1_000, 60_000)]),
    );
    assert_eq!(run(&mut pool, 1_020).len(), 1);
    pool.deregister_worker(&lost);
    for now in (1_100..20_000).step_by(100) {
        drop(pool.schedule(now, UNIX + now));
    }
    assert_eq!(pool.take_lost_runs().len(), 1, "its lease has lapsed");
}
