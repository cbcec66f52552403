//! Planned changes of owner in series: what inherited work has waited under one owner counts under the next.

#[allow(dead_code, reason = "other test files use the rest")]
mod simulation;

use pool::{Ms, Options, Pool, WorkerId};
use rand::Rng as _;
use simulation::{Simulation, job, long_running_job};

/// Time after which an owner that has a majority at once stops waiting for workers that don't answer, in milliseconds.
const WAIT: Ms = 9_200;

fn id(index: usize) -> WorkerId {
    format!("w{index:02}").into()
}

/// Six workers, each with a long-running task.
fn start_service(sim: &mut Simulation) {
    sim.start_owner();
    sim.run_for(500);
    sim.accept(long_running_job("00000000000000a1", 6));
    sim.run_for(500);
}

/// Starts the service and loses a worker of it for good; returns the number of starts once its tasks run again.
fn lose_worker(sim: &mut Simulation) -> usize {
    start_service(sim);
    let lost = id(2);
    let runs = sim.run_count(&lost);
    assert!(runs > 0);
    sim.crash(&lost, 1_000_000);
    sim.starts + runs
}

/// Guards against long-running tasks that stay down for as long as owners leave one after the other: their worker is lost, and each new
/// owner waits for its whole lease anew.
#[test]
fn planned_changes_of_owner_do_not_prolong_the_wait_for_a_lost_worker() {
    let mut sim = Simulation::new(1, 6);
    let expected_starts = lose_worker(&mut sim);
    let lost_at = sim.now;
    for _ in 0..4 {
        sim.hand_over();
        sim.run_for(3_000);
    }
    assert!(sim.now - lost_at > WAIT);
    assert_eq!(sim.starts, expected_starts);
    assert_eq!(sim.violations, Vec::<String>::new());
}

/// Guards against long-running tasks that stay down for longer than their lease: the owner has known for seconds that their worker
/// doesn't answer, and the next one counts the wait from its own beginning.
#[test]
fn the_lease_of_a_worker_that_fell_silent_is_handed_over() {
    let mut sim = Simulation::new(1, 6);
    let expected_starts = lose_worker(&mut sim);
    sim.run_for(3_000);
    sim.hand_over();
    sim.run_for(4_500);
    assert_eq!(sim.starts, expected_starts);
    assert_eq!(sim.violations, Vec::<String>::new());
}

/// Guards against a task that is started while it still runs: only the leaving owner reaches its worker, and must not renew leases there
/// after it has told the next owner when they lapse.
#[test]
fn a_worker_that_was_given_up_gets_no_lease() {
    let mut sim = Simulation::new(2, 6);
    start_service(&mut sim);
    // Neither the second nor the third owner reaches the worker at first.
    let cut = id(2);
    sim.disconnect(&cut, 2);
    sim.disconnect(&cut, 3);
    sim.hand_over();
    sim.run_for(3_000);
    sim.hand_over();
    // The leaving owner reaches it from now on, and is slow to learn that it was replaced.
    sim.reconnect();
    sim.disconnect(&cut, 3);
    let leaving = &sim.owners[1].pool;
    assert!(leaving.unconfirmed_workers().contains(&cut));
    sim.run_for(12_000);
    let leaving = &sim.owners[1].pool;
    assert!(leaving.worker(&cut).is_none_or(|it| !it.is_responsive()));
    assert_eq!(sim.violations, Vec::<String>::new());
}

/// Guards against a bound that nothing proves: an owner that has had no majority doesn't know when leases lapse.
#[test]
fn an_owner_without_a_majority_hands_no_bounds_over() {
    let mut pool = Pool::new(Options::default());
    pool.inherit(1_000, [id(0), id(1)], &[]);
    drop(pool.schedule(1_100, 0));
    assert!(!pool.has_quorum(1_100));
    assert_eq!(pool.release_silent_workers(1_100, 8), vec![]);
}

/// Guards against any order of planned and other changes of owner, cuts, crashes and late commands in which a task runs twice or a
/// worker gets more than it can take.
#[test]
fn handed_over_waits_start_nothing_twice() {
    for seed in 0..24 {
        let mut sim = Simulation::new(seed, 7);
        sim.conditions.lost_answer_rate = 0.04;
        sim.start_owner();
        sim.run_for(500);
        for round in 0..5_u32 {
            sim.accept(job(
                &format!("{round:016x}"),
                &[(4, 1_200, 8_000), (2, 900, 400)],
            ));
            let pause = sim.rng.random_range(300..1_500);
            sim.run_for(pause);
            // The next owners don't reach these workers, and the present one may still renew their leases.
            for _ in 0..2 {
                let worker = id(sim.rng.random_range(0..7));
                for ahead in 1..=3 {
                    let epoch = sim.owners.len() as u64 + ahead;
                    sim.disconnect(&worker, epoch);
                }
            }
            for _ in 0..3 {
                disturb(&mut sim);
                let pause = sim.rng.random_range(200..3_500);
                sim.run_for(pause);
            }
            if sim.rng.random_bool(0.5) {
                sim.reconnect();
            }
        }
        sim.conditions.lost_answer_rate = 0.0;
        sim.reconnect();
        sim.run_for(40_000);
        assert_eq!(sim.violations, Vec::<String>::new(), "seed {seed}");
        assert_eq!(sim.unfinished(), 0, "seed {seed}: {}", sim.report());
    }
}

/// A planned change of owner, or another fault.
fn disturb(sim: &mut Simulation) {
    let newest = sim.owners.len() - 1;
    match sim.rng.random_range(0..12) {
        0 => sim.start_owner(),
        1 => {
            let victim = id(sim.rng.random_range(0..7));
            sim.crash(&victim, 1_500);
        }
        2 => {
            sim.owners[newest].paused_until = sim.now + 2_500;
            sim.hand_over();
        }
        3 => sim.reconnect(),
        _ => sim.hand_over(),
    }
}
