//! Cancelled jobs: all their runs stop, whenever the owner learns of the runs, of the job and of its cancellation.

#[allow(dead_code, reason = "other test files use the rest")]
mod simulation;

use pool::{Worker, WorkerId};
use rand::Rng as _;
use simulation::{Simulation, job, long_running_job};

/// The time that the tasks of a cancelled job have to stop once no fault is left: 3 s, and the worker's time to stop them.
const STOP_LIMIT: u64 = 3_400;

fn id(index: usize) -> WorkerId {
    format!("w{index:02}").into()
}

/// A worker that has runs, as far as the newest owner knows.
fn busy_worker(sim: &Simulation) -> WorkerId {
    let owner = sim.owners.last().expect("there is an owner");
    let mut workers = owner.pool.workers();
    let busy = workers.find(|worker| worker.free_capacity().millicores < 4_000);
    busy.expect("a task runs").id.clone()
}

/// Guards against a task that runs for ever after its job was cancelled. The former owner can't reach the worker and has listed
/// its runs; the job is cancelled while the pool changes hands, and the new owner reaches the worker.
#[test]
fn a_run_that_the_former_owner_could_not_reach_stops_with_its_job() {
    let mut sim = Simulation::new(1, 4);
    sim.start_owner();
    sim.run_for(500);
    sim.accept(long_running_job("00000000000000ca", 4));
    sim.run_for(300);
    let busy = busy_worker(&sim);
    sim.disconnect(&busy, 1);
    sim.run_for(Worker::UNAVAILABLE_AFTER + 100);
    sim.owners[0].stopped = true;
    sim.cancel("00000000000000ca");
    sim.start_owner();
    sim.run_for(STOP_LIMIT);
    assert_eq!(sim.runs_of_cancelled_jobs(), vec![]);
    assert_eq!(sim.violations, Vec::<String>::new());
}

/// Guards against any other order of cancellations, changes of owner and unreachable workers that leaves a run of a cancelled
/// job behind, or starts one.
#[test]
fn no_run_of_a_cancelled_job_is_left_when_all_faults_are_over() {
    for seed in 0..30 {
        let mut sim = Simulation::new(seed, 6);
        sim.conditions.lost_answer_rate = 0.05;
        sim.start_owner();
        sim.run_for(500);
        for round in 0..25_u32 {
            let name = format!("{round:016x}");
            let size = sim.rng.random_range(1..4);
            if sim.rng.random_bool(0.5) {
                sim.accept(long_running_job(&name, size));
            } else {
                sim.accept(job(&name, &[(size, 900, 900), (2, 900, 700)]));
            }
            let worker = id(sim.rng.random_range(0..6));
            let owner = sim.owners.len();
            let cancelled = format!("{:016x}", sim.rng.random_range(0..=round));
            match sim.rng.random_range(0..12) {
                0..=3 => sim.disconnect(&worker, owner as u64),
                4 => sim.crash(&worker, 300),
                5 => {
                    sim.owners[owner - 1].stopped = true;
                    sim.cancel(&cancelled);
                    sim.start_owner();
                }
                6 => {
                    sim.owners[owner - 1].paused_until = sim.now + 2_000;
                    sim.cancel(&cancelled);
                    sim.start_owner();
                }
                _ => sim.cancel(&cancelled),
            }
            let pause = sim.rng.random_range(5..800);
            sim.run_for(pause);
        }
        sim.conditions.lost_answer_rate = 0.0;
        sim.reconnect();
        // The last late commands are carried out after 12 s.
        sim.run_for(12_000 + STOP_LIMIT);
        assert_eq!(sim.runs_of_cancelled_jobs(), vec![], "seed {seed}");
        assert_eq!(sim.violations, Vec::<String>::new(), "seed {seed}");
    }
}
