//! Gangs: an unfinished one always has something running or waiting to start, whatever its workers report, and in whatever order.

#[allow(dead_code, reason = "other test files use the rest")]
mod case;
#[allow(dead_code, reason = "other test files use the rest")]
mod simulation;

use std::sync::Arc;

use case::{adopt, answer, end, pool, run, running, stops, store};
use pool::{Job, Pool, Progress, RunOutcome, Start, State, WorkerId};
use rand::Rng as _;
use simulation::{Simulation, UNIX, job};

const GANG: &str = "00000000000000g1";

/// A job that consists of one gang.
fn gang(id: &str, members: u32, cpu: u64, duration: u64) -> Job {
    let mut job = job(id, &[(members, cpu, duration)]);
    job.steps[0].gang = true;
    job
}

/// Workers that aren't `silent` report from `from` until `until`, each with its share of `runs`. Returns the tasks started meanwhile.
fn pass_time(
    pool: &mut Pool,
    from: u64,
    until: u64,
    silent: &[WorkerId],
    runs: &[Start],
) -> Vec<Start> {
    let mut started: Vec<Start> = Vec::new();
    for now in (from..until).step_by(100) {
        let ids: Vec<WorkerId> = pool.workers().map(|worker| worker.id.clone()).collect();
        for id in ids.iter().filter(|id| !silent.contains(id)) {
            let on_worker = runs.iter().chain(&started).filter(|it| it.worker == *id);
            let listed = on_worker.map(running).collect();
            case::report(pool, now, id, listed, vec![]);
        }
        started.extend(run(pool, now));
    }
    started
}

/// A gang of two whose first run is lost with its workers, which fall silent, and which runs a second time on two others. Returns both
/// runs and the time.
fn gang_in_its_second_run() -> (Pool, Vec<Start>, Vec<Start>, u64) {
    let mut pool = pool(6);
    adopt(&mut pool, 1_000, gang(GANG, 2, 3_000, 60_000));
    let first = run(&mut pool, 1_002);
    assert_eq!(first.len(), 2);
    let silent: Vec<WorkerId> = first.iter().map(|it| it.worker.clone()).collect();
    let second = pass_time(&mut pool, 1_100, 9_000, &silent, &[]);
    assert_eq!(second.len(), 2);
    (pool, first, second, 9_000)
}

/// Guards against a gang that nothing starts again: it ended done while its workers were unreachable, the list of one of them is
/// lost, and the end on the other is taken for that of one member alone, as the gang already runs elsewhere.
#[test]
fn one_end_completes_a_gang_that_runs_again_elsewhere() {
    let (mut pool, first, second, now) = gang_in_its_second_run();
    answer(
        &mut pool,
        now,
        &first[0].worker,
        vec![end(&first[0], 1, RunOutcome::Done)],
    );
    let commands = pool.schedule(now + 4, UNIX + now + 4);
    assert_eq!(stops(&commands), 2, "the second run is stopped");
    for stopped in &second {
        let stopped_end = end(stopped, 1, RunOutcome::Stopped);
        answer(&mut pool, now + 100, &stopped.worker, vec![stopped_end]);
    }
    assert_eq!(run(&mut pool, now + 104).len(), 0);
    let progress = store(&mut pool).expect("the job has changed");
    assert_eq!(progress.state, State::Completed);
}

/// Guards against the same loss if the second run is told to be over before the end of the first one is known.
#[test]
fn a_late_end_completes_a_gang_that_waits_for_its_next_start() {
    let (mut pool, first, second, now) = gang_in_its_second_run();
    let failed = end(&second[0], 1, RunOutcome::Failed);
    answer(&mut pool, now, &second[0].worker, vec![failed]);
    let done = end(&first[0], 1, RunOutcome::Done);
    answer(&mut pool, now + 2, &first[0].worker, vec![done]);
    let broken = end(&second[1], 1, RunOutcome::Broken);
    answer(&mut pool, now + 100, &second[1].worker, vec![broken]);
    assert_eq!(run(&mut pool, now + 104).len(), 0);
    let progress = store(&mut pool).expect("the job has changed");
    assert_eq!(progress.state, State::Completed);
}

/// Guards against a gang that an earlier owner has stored with one member done and the other not: no owner would start it again.
#[test]
fn a_gang_that_is_stored_half_done_is_completed_by_the_next_owner() {
    let stored = serde_json::json!({
        "state": "running",
        "open": [{ "number": 0, "steps": [{ "done": "1", "top": 2 }] }],
    });
    let stored: Progress = serde_json::from_value(stored).expect("it is progress");
    let mut pool = pool(4);
    let job = Arc::new(gang(GANG, 2, 3_000, 60_000));
    pool.adopt(1_000, UNIX + 1_000, job, Some(&stored), true);
    assert_eq!(run(&mut pool, 1_002).len(), 0);
    let progress = store(&mut pool).expect("the job has changed");
    assert_eq!(progress.state, State::Completed);
}

/// Guards against any other order of cuts, crashes, changes of owner and ends after which nothing of a gang runs or starts, though it
/// isn't done: once no fault is left, all of them end.
#[test]
fn every_gang_ends_when_all_faults_are_over() {
    for seed in 0..24 {
        let mut sim = Simulation::new(seed, 9);
        sim.conditions.failure_rate = 0.02;
        sim.start_owner();
        sim.run_for(500);
        for round in 0..5_u32 {
            for part in 0..2 {
                let members = sim.rng.random_range(2..4);
                let duration = sim.rng.random_range(300..3_000);
                let mut job = gang(&format!("{round:08x}{part:08x}"), members, 2_500, duration);
                job.policy.attempts = 20;
                sim.accept(job);
            }
            let pause = sim.rng.random_range(20..1_500);
            sim.run_for(pause);
            disturb_gangs(&mut sim);
            sim.reconnect();
            sim.conditions.lost_answer_rate = 0.0;
            sim.conditions.store_up = true;
            let pause = sim.rng.random_range(20..3_000);
            sim.run_for(pause);
        }
        // Late commands are carried out within 12 s, and a lease lasts 6 s.
        sim.run_for(25_000);
        assert_eq!(sim.unfinished(), 0, "seed {seed}: {}", sim.report());
        assert_eq!(sim.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Cuts some workers off that have members of gangs, and lets other faults follow before the cut ends.
fn disturb_gangs(sim: &mut Simulation) {
    let mut cut = sim.workers_with_gangs();
    cut.truncate(4);
    for id in &cut {
        sim.disconnect(id, sim.owners.len() as u64);
    }
    for _ in 0..4 {
        let pause = sim.rng.random_range(5..2_500);
        sim.run_for(pause);
        let busy = sim.workers_with_gangs();
        match sim.rng.random_range(0..8) {
            0 | 1 if !cut.is_empty() => {
                let index = sim.rng.random_range(0..cut.len());
                sim.crash(&cut[index], 700);
            }
            2 if !busy.is_empty() => {
                let index = sim.rng.random_range(0..busy.len());
                sim.crash(&busy[index], 700);
            }
            3 => {
                let newest = sim.owners.len() - 1;
                sim.owners[newest].stopped = true;
                sim.start_owner();
                for id in &cut {
                    sim.disconnect(id, sim.owners.len() as u64);
                }
            }
            4 => sim.conditions.store_up = !sim.conditions.store_up,
            5 => sim.conditions.lost_answer_rate = 0.1,
            _ => {}
        }
    }
}
