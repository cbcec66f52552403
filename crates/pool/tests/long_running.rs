//! Long-running tasks, which are restarted however often they fail.

#[allow(dead_code, reason = "other test files use the rest")]
mod case;
#[allow(dead_code, reason = "other test files use the rest")]
mod simulation;

use case::{adopt, end, pool, report, run, store};
use pool::RunOutcome;
use simulation::long_running_job;

/// A task of a service fails at each start. Guards against a row that grows with each failure, until the store refuses it.
#[test]
fn the_row_of_a_failing_long_running_job_does_not_grow() {
    let mut pool = pool(2);
    adopt(&mut pool, 1_000, long_running_job("00000000000000a1", 2));
    let mut numbers = [0_u64; 2];
    let mut failures = 0;
    let mut row = String::new();
    for now in (1_010..200_000).step_by(100) {
        for start in run(&mut pool, now) {
            let number = &mut numbers[usize::from(&*start.worker == "w01")];
            *number += 1;
            failures += 1;
            let failed = vec![end(&start, *number, RunOutcome::Failed)];
            report(&mut pool, now + 10, &start.worker, vec![], failed);
        }
        for id in ["w00", "w01"] {
            report(&mut pool, now + 50, &id.into(), vec![], vec![]);
        }
        if let Some(progress) = store(&mut pool) {
            row = serde_json::to_string(&progress).expect("it can be encoded");
        }
    }
    assert!(failures > 500, "{failures} failures");
    assert!(row.len() < 300, "{} bytes", row.len());
}
