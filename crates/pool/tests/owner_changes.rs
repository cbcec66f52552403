//! Changes of owner on a simulated cell: no task runs twice, no worker's capacity is exceeded, and no job is lost.

#[allow(dead_code, reason = "other test files use the rest")]
mod simulation;

use pool::{State, WorkerId};
use rand::Rng as _;
use simulation::{Simulation, job};

fn id(index: usize) -> WorkerId {
    format!("w{index:02}").into()
}

/// A worker that has runs, as far as the first owner knows.
fn busy_worker(sim: &Simulation) -> WorkerId {
    let mut workers = sim.owners[0].pool.workers();
    let busy = workers.find(|worker| worker.free_capacity().millicores < 4_000);
    busy.expect("a task runs").id.clone()
}

/// A new owner's first poll of a worker renews no lease. Guards against an owner that takes all leases for expired, frees the
/// runs and starts them again: callers would see their work done twice, and workers would run more than their capacity.
#[test]
fn runs_continue_under_a_new_owner() {
    let mut sim = Simulation::new(1, 6);
    sim.start_owner();
    sim.run_for(500);
    for index in 0..6 {
        sim.accept(job(&format!("{index:016}"), &[(4, 1_000, 3_000)]));
    }
    sim.run_for(1_000);
    sim.owners[0].stopped = true;
    sim.start_owner();
    sim.run_for(5_000);
    assert_eq!(sim.violations, Vec::<String>::new());
    assert_eq!(sim.starts, 24, "nothing was started a second time");
    assert_eq!(sim.unfinished(), 0);
}

/// The former owner starts a job that it was notified of directly. The new owner learns of the job only after its takeover,
/// while it can't reach the worker that runs it: starting the job elsewhere would run it twice.
#[test]
fn a_job_known_only_to_the_former_owner_waits_for_its_worker() {
    let mut sim = Simulation::new(2, 5);
    sim.start_owner();
    sim.run_for(500);
    sim.accept(job("00000000000000aa", &[(1, 1_000, 4_000)]));
    sim.run_for(100);
    let job = sim
        .jobs
        .remove("00000000000000aa")
        .expect("it was accepted");
    for index in 0..5 {
        // The new owner can't reach the workers with runs.
        if sim.owners[0]
            .pool
            .worker(&id(index))
            .is_some_and(|worker| worker.free_capacity().millicores < 4_000)
        {
            sim.disconnect(&id(index), 2);
        }
    }
    sim.owners[0].paused_until = u64::MAX;
    sim.start_owner();
    sim.run_for(300);
    sim.publish(&job);
    sim.run_for(16_000);
    assert_eq!(sim.violations, Vec::<String>::new());
    assert_eq!(sim.stored("00000000000000aa"), Some(State::Completed));
}

/// A worker can't be reached when the owner is replaced, so jobs that the former owner may have known wait for that worker.
/// Jobs accepted later must not wait as well: that took up to nine seconds. Their rows name the new owner's epoch, so the
/// former owner, which is still running but cut off from most workers, must not start them.
#[test]
fn a_job_accepted_for_the_new_owner_waits_for_no_worker_of_the_former() {
    let mut sim = Simulation::new(9, 6);
    sim.start_owner();
    sim.run_for(500);
    sim.accept(job("00000000000000aa", &[(6, 1_000, 3_000)]));
    sim.run_for(100);
    sim.disconnect(&id(0), 2);
    for index in 1..6 {
        sim.disconnect(&id(index), 1);
    }
    sim.start_owner();
    sim.run_for(200);
    sim.accept(job("00000000000000bb", &[(3, 1_000, 500)]));
    sim.run_for(1_500);
    assert_eq!(sim.stored("00000000000000bb"), Some(State::Completed));
    assert!(
        !sim.owners[1].pool.unconfirmed_workers().is_empty(),
        "the former owner's worker has still not answered"
    );
    sim.run_for(16_000);
    assert_eq!(sim.violations, Vec::<String>::new());
    assert_eq!(sim.unfinished(), 0);
}

/// An owner is paused in the middle of its work, is replaced, and resumes with its old state. Its commands arrive after their
/// deadline or are fenced by a newer epoch.
#[test]
fn a_paused_owner_that_resumes_starts_nothing() {
    for seed in 0..20 {
        let mut sim = Simulation::new(seed, 6);
        sim.start_owner();
        sim.run_for(500);
        for index in 0..30 {
            sim.accept(job(
                &format!("{index:016}"),
                &[(3, 900, 700), (2, 900, 700)],
            ));
            let time = sim.rng.random_range(5..60);
            sim.run_for(time);
        }
        sim.owners[0].paused_until = sim.now + 4_000;
        sim.run_for(1_200);
        sim.disconnect(&id(0), 2);
        sim.start_owner();
        sim.run_for(25_000);
        assert_eq!(sim.violations, Vec::<String>::new(), "seed {seed}");
        assert_eq!(sim.unfinished(), 0, "seed {seed}: {}", sim.report());
    }
}

/// The former owner starts a job just before the new one fences the worker, and the new owner reads the job's row only after
/// the worker has reported the run, or even its end. It must adopt the run and not start the job again.
#[test]
fn a_job_that_becomes_known_after_its_runs_is_not_started_again() {
    for pause in [30, 400] {
        let mut sim = Simulation::new(9, 3);
        sim.start_owner();
        sim.run_for(500);
        let job = job("00000000000000dd", &[(2, 500, 200)]);
        sim.accept(job.clone());
        sim.run_for(30);
        assert_eq!(sim.starts, 2);
        sim.jobs.clear();
        sim.owners[0].stopped = true;
        sim.start_owner();
        sim.run_for(pause);
        sim.accept(job);
        sim.run_for(2_000);
        assert_eq!(sim.violations, Vec::<String>::new(), "after {pause} ms");
        assert_eq!(sim.starts, 2, "after {pause} ms");
        assert_eq!(sim.unfinished(), 0);
    }
}

/// A worker carries out commands and polls, but its answers are lost for some seconds, as if only the network path back were
/// cut. Guards against unanswered polls that renew a lease which the owner takes for expired: it would start the tasks
/// elsewhere, and they would run twice.
#[test]
fn a_worker_that_answers_nothing_keeps_no_lease_that_the_owner_does_not_know() {
    for mute in [4_000, 12_000, 20_000] {
        let mut sim = Simulation::new(10, 4);
        sim.start_owner();
        sim.run_for(500);
        for index in 0..4 {
            sim.accept(job(&format!("{index:016}"), &[(2, 1_000, 15_000)]));
        }
        sim.run_for(300);
        sim.mute = [id(0), id(1)].into();
        sim.run_for(mute);
        sim.mute.clear();
        sim.run_for(40_000);
        assert_eq!(sim.violations, Vec::<String>::new(), "mute for {mute} ms");
        assert_eq!(sim.unfinished(), 0, "mute for {mute} ms");
    }
}

/// The owner is cut off from all workers but one, and the new owner from just that one. The former owner must not renew that
/// worker's lease: the new one waits until it has expired, then starts the tasks elsewhere.
#[test]
fn an_owner_without_a_majority_renews_no_lease() {
    let mut sim = Simulation::new(11, 4);
    sim.start_owner();
    sim.run_for(500);
    for index in 0..4 {
        sim.accept(job(&format!("{index:016}"), &[(2, 1_000, 15_000)]));
    }
    sim.run_for(300);
    for index in 1..4 {
        sim.disconnect(&id(index), 1);
    }
    sim.disconnect(&id(0), 2);
    sim.start_owner();
    sim.run_for(50_000);
    assert_eq!(sim.violations, Vec::<String>::new());
    assert_eq!(sim.unfinished(), 0);
}

/// A worker with a long task becomes unreachable; later the owner is replaced. The new owner holds back only the tasks in the
/// stored list of runs that may be there: other jobs go on at once, and only the long task waits for the lease.
#[test]
fn a_worker_that_was_unreachable_before_holds_back_only_its_own_tasks() {
    let mut sim = Simulation::new(3, 6);
    sim.start_owner();
    sim.run_for(500);
    for index in 0..6 {
        sim.accept(job(&format!("{index:016}"), &[(1, 3_000, 30_000)]));
    }
    sim.run_for(200);
    for epoch in 1..3 {
        sim.disconnect(&id(0), epoch);
    }
    sim.run_for(2_500);
    for index in 1..6 {
        sim.crash(&id(index), 0);
    }
    sim.run_for(200);
    sim.owners[0].stopped = true;
    sim.accept(job("00000000000000bb", &[(2, 100, 300)]));
    sim.start_owner();
    sim.run_for(1_500);
    assert_eq!(sim.stored("00000000000000bb"), Some(State::Completed));
    sim.run_for(60_000);
    assert_eq!(sim.violations, Vec::<String>::new());
    assert_eq!(sim.unfinished(), 0);
}

/// A worker drains, gets no new tasks, and leaves; in the same second the owner is lost. The worker's runs have been stored
/// with the owner's row since it began to drain, so the new owner starts all other inherited jobs at once.
#[test]
fn a_draining_worker_does_not_delay_a_new_owner() {
    let mut sim = Simulation::new(6, 4);
    sim.start_owner();
    sim.run_for(500);
    for index in 0..4 {
        sim.accept(job(
            &format!("{index:016}"),
            &[(1, 3_000, 1_500), (1, 500, 200)],
        ));
    }
    sim.run_for(300);
    let mut info = sim.owners[0]
        .pool
        .worker("w00")
        .expect("the worker is known")
        .info
        .clone();
    info.draining = Some(2_000);
    let now = sim.now;
    sim.owners[0].pool.update_worker(now, &id(0), info);
    sim.run_for(100);
    for epoch in 1..3 {
        sim.disconnect(&id(0), epoch);
    }
    sim.owners[0].stopped = true;
    sim.start_owner();
    sim.run_for(3_000);
    assert_eq!(
        sim.unfinished(),
        1,
        "all but the job on the worker that left"
    );
    sim.run_for(12_000);
    assert_eq!(sim.violations, Vec::<String>::new());
    assert_eq!(sim.unfinished(), 0);
}

/// Commands without an answer are carried out up to 12 s later, while workers crash, owners change and the store is
/// unavailable. Callers must see each job end once, whatever the order of events.
#[test]
fn late_commands_crashes_and_changes_of_owner_together() {
    for seed in 100..130 {
        let mut sim = Simulation::new(seed, 8);
        sim.conditions.lost_answer_rate = 0.05;
        sim.conditions.failure_rate = 0.02;
        sim.start_owner();
        sim.run_for(500);
        for index in 0..60 {
            sim.accept(job(
                &format!("{index:016}"),
                &[(4, 800, 600), (2, 1_500, 900)],
            ));
            let time = sim.rng.random_range(20..200);
            sim.run_for(time);
            if sim.rng.random_bool(0.05) {
                let victim = id(sim.rng.random_range(0..8));
                let time = sim.rng.random_range(200..4_000);
                sim.crash(&victim, time);
            }
            if sim.rng.random_bool(0.04) {
                let last = sim.owners.len() - 1;
                let pause = sim.rng.random_range(0..3_000);
                sim.owners[last].paused_until = sim.now + pause;
                let epoch = sim.owners.len() as u64 + 1;
                if sim.rng.random_bool(0.5) {
                    let victim = id(sim.rng.random_range(0..8));
                    sim.disconnect(&victim, epoch);
                }
                sim.start_owner();
            }
            sim.conditions.store_up = sim.rng.random_bool(0.8);
        }
        sim.conditions.store_up = true;
        sim.conditions.lost_answer_rate = 0.0;
        sim.run_for(40_000);
        assert_eq!(sim.violations, Vec::<String>::new(), "seed {seed}");
        assert_eq!(sim.unfinished(), 0, "seed {seed}: {}", sim.report());
    }
}

/// A job ends while the store is unavailable. If its worker left and the owner were lost too, the new owner would not know of
/// the end, and the job would run again. So "completed" must not be reported before the end is stored: its caller would see
/// the work done twice.
#[test]
fn an_end_that_is_not_stored_is_not_reported() {
    let mut sim = Simulation::new(4, 3);
    sim.start_owner();
    sim.run_for(500);
    sim.accept(job("00000000000000cc", &[(1, 1_000, 300)]));
    sim.run_for(50);
    sim.conditions.store_up = false;
    sim.run_for(600);
    let pool = &sim.owners[0].pool;
    assert_eq!(pool.state("00000000000000cc"), Some(State::Running));
    sim.conditions.store_up = true;
    sim.run_for(100);
    let pool = &sim.owners[0].pool;
    assert_eq!(pool.state("00000000000000cc"), Some(State::Completed));
}

/// A part of the store is down when an owner takes over, so it can't read some of the jobs for seconds. Their runs and ends are
/// left alone. Known jobs don't wait for them, even if a worker has reported an end of an unknown job before theirs.
#[test]
fn known_jobs_do_not_wait_for_unknown_ones() {
    let mut sim = Simulation::new(11, 4);
    sim.start_owner();
    sim.run_for(500);
    for index in 0..4 {
        sim.accept(job(
            &format!("{index:016}"),
            &[(2, 1_000, 500), (2, 1_000, 500)],
        ));
        sim.accept(job(
            &format!("{:016}", index + 10),
            &[(2, 1_000, 700), (2, 1_000, 500)],
        ));
    }
    sim.run_for(300);
    sim.conditions.store_up = false;
    let hidden: Vec<_> = (0..4)
        .map(|index| {
            let id = format!("{index:016}");
            sim.jobs.remove(&id).expect("it was accepted")
        })
        .collect();
    sim.owners[0].stopped = true;
    sim.start_owner();
    let now = sim.now;
    sim.owners[1].pool.set_jobs_incomplete(now, true);
    sim.conditions.store_up = true;
    sim.run_for(5_000);
    for index in 10..14 {
        assert_eq!(sim.stored(&format!("{index:016}")), Some(State::Completed));
    }
    assert_eq!(
        sim.starts,
        8 + 8 + 8,
        "all tasks of the known jobs, and the first steps of the others"
    );
    for job in &hidden {
        sim.publish(job);
    }
    let now = sim.now;
    sim.owners[1].pool.set_jobs_incomplete(now, false);
    sim.run_for(5_000);
    assert_eq!(sim.violations, Vec::<String>::new());
    assert_eq!(sim.unfinished(), 0);
    assert_eq!(sim.starts, 32, "nothing was started a second time");
}

/// Guards against tasks that run twice after the owner is lost while the store takes no writes: the stored list still has an
/// unreachable worker with runs that were lost and started elsewhere since.
#[test]
fn runs_elsewhere_override_an_outdated_list_of_unreachable_workers() {
    let mut sim = Simulation::new(12, 5);
    sim.start_owner();
    sim.run_for(500);
    sim.accept(job("00000000000000ee", &[(2, 1_000, 9_000)]));
    sim.run_for(200);
    let lost = busy_worker(&sim);
    sim.crash(&lost, 2_500);
    sim.run_for(2_000);
    sim.conditions.store_up = false;
    sim.run_for(2_000);
    assert_eq!(sim.starts, 4, "both run elsewhere");
    sim.owners[0].stopped = true;
    sim.start_owner();
    sim.conditions.store_up = true;
    sim.run_for(20_000);
    assert_eq!(sim.violations, Vec::<String>::new());
    assert_eq!(sim.starts, 4);
    assert_eq!(sim.unfinished(), 0);
}

/// Guards against a job that never ends: its owner stores that all tasks are done, is still waiting for a run on a worker that
/// is lost, and is then lost itself.
#[test]
fn a_job_whose_tasks_are_all_done_is_completed_by_the_next_owner() {
    let mut sim = Simulation::new(13, 4);
    sim.start_owner();
    sim.run_for(500);
    sim.accept(job("00000000000000ee", &[(1, 1_000, 3_000)]));
    sim.run_for(200);
    let lost = busy_worker(&sim);
    for epoch in 1..10 {
        sim.disconnect(&lost, epoch);
    }
    sim.run_for(2_500);
    sim.conditions.store_up = false;
    sim.run_for(9_500);
    sim.owners[0].stopped = true;
    sim.start_owner();
    sim.conditions.store_up = true;
    sim.run_for(300);
    assert_eq!(sim.starts, 2, "the task was started elsewhere, and is done");
    sim.owners[1].stopped = true;
    sim.start_owner();
    sim.run_for(20_000);
    assert_eq!(sim.violations, Vec::<String>::new());
    assert_eq!(sim.stored("00000000000000ee"), Some(State::Completed));
}
