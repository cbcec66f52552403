//! What is told of runs that are over without an end.

#[allow(dead_code, reason = "the other test files use the rest")]
mod case;
#[allow(dead_code, reason = "the other test files use the rest")]
mod simulation;

use case::{adopt, hold_all, pool, run};
use pool::{Listing, Loss, Pool};
use simulation::{UNIX, job};

fn restart(pool: &mut Pool, now: u64, id: &str) {
    let listing = Listing {
        clock: 10,
        born: 2,
        lease: 0,
        asked: now,
        ..Listing::default()
    };
    pool.apply_listing(now, UNIX + now, &id.into(), &listing);
}

/// Crashes of workers could not be told from leases that were not renewed, nor a run that had just begun from an old one.
#[test]
fn a_lost_run_says_how_it_was_lost_and_how_long_it_ran() {
    let mut pool = pool(2);
    adopt(
        &mut pool,
        1_000,
        job("00000000000000aa", &[(2, 3_000, 60_000)]),
    );
    let started = run(&mut pool, 1_000);
    assert_eq!(started.len(), 2);
    hold_all(&mut pool, 2_500, &started);
    restart(&mut pool, 3_000, &started[0].worker);
    let lost = pool.take_lost_runs();
    assert_eq!(lost.len(), 1);
    assert_eq!(lost[0].loss, Loss::Restarted);
    assert_eq!(lost[0].survived, 1_500);
    assert!(lost[0].confirmed);
    drop(pool.schedule(20_000, UNIX + 20_000));
    let lost = pool.take_lost_runs();
    assert_eq!(lost.len(), 1);
    assert_eq!(lost[0].loss, Loss::Lapsed);
    assert_eq!(lost[0].worker, started[1].worker);
    assert!(pool.take_lost_runs().is_empty());
}
