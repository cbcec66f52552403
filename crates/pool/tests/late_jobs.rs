//! Jobs that become known to a new owner some time after its takeover, while a worker of the former owner doesn't answer.

#[allow(dead_code, reason = "other test files use the rest")]
mod case;
#[allow(dead_code, reason = "other test files use the rest")]
mod simulation;

use std::sync::Arc;

use case::{register_workers, report, starts};
use pool::{Job, Ms, Options, Pool, WorkerId};
use simulation::{UNIX, job};

/// When the new owner first has a majority.
const MAJORITY: Ms = 1_000;

/// A job that the former owner received and may have started. The host that accepted it knew the owner of this epoch; 0 for none.
fn former_job(epoch: u64) -> Job {
    Job {
        epoch,
        ..job("00000000000000a1", &[(1, 1_000, 60_000)])
    }
}

fn options() -> Options {
    Options {
        epoch: 2,
        requested_lease: 5_000,
        ..Options::default()
    }
}

/// Time from the first majority of a new owner until the leases of the former one have lapsed, with 400 ms for delays and workers' clocks
/// that are 2% slow.
fn leases_end() -> Ms {
    let options = options();
    let lease = options.requested_lease + options.requested_lease / 33 + 400;
    options.quorum_validity + options.command_ttl + lease
}

/// The next owner of a pool. Three workers answer it; a fourth one of the former roster doesn't.
fn next_owner() -> Pool {
    let mut pool = Pool::new(options());
    let silent: WorkerId = "w99".into();
    pool.inherit(MAJORITY, [silent], &[]);
    register_workers(&mut pool, 3);
    drop(pool.schedule(MAJORITY, UNIX + MAJORITY));
    assert!(pool.has_quorum(MAJORITY));
    assert_eq!(pool.unconfirmed_workers().len(), 1);
    pool
}

/// Time from the majority until a job of this epoch starts, if it becomes known after `delay`. The three workers answer every 100 ms.
fn first_start(epoch: u64, delay: Ms) -> Option<Ms> {
    let mut pool = next_owner();
    for passed in (100..20_000).step_by(100) {
        let now = MAJORITY + passed;
        for index in 0..3 {
            let id: WorkerId = format!("w{index:02}").into();
            report(&mut pool, now, &id, vec![], vec![]);
        }
        if passed == delay {
            pool.adopt(now, UNIX + now, Arc::new(former_job(epoch)), None, false);
        }
        if !starts(pool.schedule(now, UNIX + now)).is_empty() {
            return Some(passed);
        }
    }
    None
}

/// Guards against a second run beside the first: a job's row reaches the new owner when no command of the former one can take effect any
/// more, but a silent worker may run the job under a lease that the former one gave.
#[test]
fn a_job_that_becomes_known_late_waits_for_the_leases_of_the_former_owner() {
    for epoch in [0, 1] {
        let first_start = |delay| first_start(epoch, delay);
        let starts: Vec<_> = [500, 2_000, 3_000, 6_000].map(first_start).to_vec();
        let waited = |start: &Option<Ms>| start.is_some_and(|at| at >= leases_end());
        assert!(
            starts.iter().all(waited),
            "{starts:?}, leases until {}",
            leases_end()
        );
    }
}

/// Guards against a wait without a reason: no former owner has started a job that was accepted for the present one.
#[test]
fn a_job_for_the_present_owner_does_not_wait_for_the_former_one() {
    assert_eq!(first_start(2, 3_000), Some(3_000));
}
