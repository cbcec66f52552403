//! An owner whose directory lacks workers that the former owner still has.

#[allow(dead_code, reason = "other test files use the rest")]
mod simulation;

use pool::WorkerId;
use simulation::{Simulation, job};

fn id(index: usize) -> WorkerId {
    format!("w{index:02}").into()
}

/// Guards against two owners that both act: a region with the owner and most workers is cut off from the store and from the next owner. The
/// directory drops the workers that can't write their rows, and the few that are left are a majority of it.
#[test]
fn workers_that_the_directory_drops_still_count_for_the_majority() {
    let mut sim = Simulation::new(7, 5);
    sim.start_owner();
    sim.run_for(500);
    for index in 0..5 {
        sim.accept(job(&format!("{index:016x}"), &[(2, 1_000, 60_000)]));
    }
    sim.run_for(1_000);
    let first = sim.owners[0].epoch;
    for index in 3..5 {
        sim.disconnect(&id(index), first);
    }
    for index in 0..3 {
        sim.disconnect(&id(index), first + 1);
    }
    sim.run_for(1_500);
    sim.start_owner();
    // Rows that aren't renewed are removed after three heartbeats of 1.5 s.
    sim.run_for(3_000);
    for index in 0..3 {
        sim.owners[1].pool.deregister_worker(&id(index));
    }
    sim.run_for(20_000);
    assert_eq!(sim.violations, Vec::<String>::new());
}
