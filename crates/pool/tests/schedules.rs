//! Owners that follow each other on a simulated cell: nothing runs twice, no room is exceeded, nothing is lost.

#[allow(dead_code, reason = "the other test file uses the rest")]
mod world;

use pool::{State, WorkerId};
use rand::Rng as _;
use world::{World, job};

fn id(at: usize) -> WorkerId {
    format!("w{at:02}").into()
}

/// A worker on which something runs, as the first owner knows it.
fn busy_worker(world: &World) -> WorkerId {
    let mut workers = world.owners[0].pool.workers();
    let busy = workers.find(|worker| worker.free_capacity().millicores < 4_000);
    busy.expect("something runs").id.clone()
}

/// A new owner's first listing renews no lease. It took the leases of all workers for long over, let go what ran, and
/// started it anew: callers would have seen their bookings made twice, workers more than they hold.
#[test]
fn what_runs_goes_on_under_a_new_owner() {
    let mut world = World::new(1, 6);
    world.take();
    world.pass(500);
    for at in 0..6 {
        world.accept(job(&format!("{at:016}"), &[(4, 1_000, 3_000)]));
    }
    world.pass(1_000);
    world.owners[0].over = true;
    world.take();
    world.pass(5_000);
    assert_eq!(world.broken, Vec::<String>::new());
    assert_eq!(world.starts, 24, "nothing was started a second time");
    assert_eq!(world.unfinished(), 0);
}

/// The former owner starts a job that it was told of directly; the new one learns of it only after its takeover, while
/// the worker that runs it can't be reached. Starting it elsewhere would run it twice.
#[test]
fn a_job_told_to_the_former_owner_only_waits_for_its_worker() {
    let mut world = World::new(2, 5);
    world.take();
    world.pass(500);
    world.accept(job("00000000000000aa", &[(1, 1_000, 4_000)]));
    world.pass(100);
    let job = world
        .jobs
        .remove("00000000000000aa")
        .expect("it was accepted");
    for at in 0..5 {
        // Only the former owner reaches the workers that it may have used.
        if world.owners[0]
            .pool
            .worker(&id(at))
            .is_some_and(|worker| worker.free_capacity().millicores < 4_000)
        {
            world.cut(&id(at), 2);
        }
    }
    world.owners[0].frozen = u64::MAX;
    world.take();
    world.pass(300);
    world.tell(&job);
    world.pass(16_000);
    assert_eq!(world.broken, Vec::<String>::new());
    assert_eq!(world.stored("00000000000000aa"), Some(State::Completed));
}

/// A worker is dark when the owner is lost, so what the former owner started there holds back all that it may have known.
/// Jobs that come after that waited too, up to nine seconds, and callers got nothing. Their rows name the new owner, whom the
/// former one, still alive and cut from most workers, must not forestall.
#[test]
fn a_job_accepted_for_the_new_owner_waits_for_no_worker_of_the_former() {
    let mut world = World::new(9, 6);
    world.take();
    world.pass(500);
    world.accept(job("00000000000000aa", &[(6, 1_000, 3_000)]));
    world.pass(100);
    world.cut(&id(0), 2);
    for at in 1..6 {
        world.cut(&id(at), 1);
    }
    world.take();
    world.pass(200);
    world.accept(job("00000000000000bb", &[(3, 1_000, 500)]));
    world.pass(1_500);
    assert_eq!(world.stored("00000000000000bb"), Some(State::Completed));
    assert!(
        !world.owners[1].pool.unconfirmed_workers().is_empty(),
        "the former owner's worker is still dark"
    );
    world.pass(16_000);
    assert_eq!(world.broken, Vec::<String>::new());
    assert_eq!(world.unfinished(), 0);
}

/// An owner is paused in the middle of its work, is replaced, and goes on with what it had in mind. Its orders come too
/// late or meet a newer epoch.
#[test]
fn a_paused_owner_that_goes_on_starts_nothing() {
    for seed in 0..20 {
        let mut world = World::new(seed, 6);
        world.take();
        world.pass(500);
        for at in 0..30 {
            world.accept(job(&format!("{at:016}"), &[(3, 900, 700), (2, 900, 700)]));
            let time = world.rng.random_range(5..60);
            world.pass(time);
        }
        world.owners[0].frozen = world.now + 4_000;
        world.pass(1_200);
        world.cut(&id(0), 2);
        world.take();
        world.pass(25_000);
        assert_eq!(world.broken, Vec::<String>::new(), "seed {seed}");
        assert_eq!(world.unfinished(), 0, "seed {seed}: {}", world.report());
    }
}

/// The former owner starts a job in the moment before the new one fences the worker; the new owner reads the job's row only
/// after the worker has listed the run, and even its end. It must take the run up, and not start the job once more.
#[test]
fn a_job_that_becomes_known_after_its_runs_is_not_started_again() {
    for pause in [30, 400] {
        let mut world = World::new(9, 3);
        world.take();
        world.pass(500);
        let job = job("00000000000000dd", &[(2, 500, 200)]);
        world.accept(job.clone());
        world.pass(30);
        assert_eq!(world.starts, 2);
        world.jobs.clear();
        world.owners[0].over = true;
        world.take();
        world.pass(pause);
        world.accept(job);
        world.pass(2_000);
        assert_eq!(world.broken, Vec::<String>::new(), "after {pause} ms");
        assert_eq!(world.starts, 2, "after {pause} ms");
        assert_eq!(world.unfinished(), 0);
    }
}

/// A worker does what it is told and answers nothing for some seconds, as when only the way back is cut. Holds that went
/// unanswered renewed its lease, which the owner took for lapsed: it started the tasks elsewhere, and they ran twice.
#[test]
fn a_worker_that_answers_nothing_keeps_no_lease_that_the_owner_does_not_know() {
    for mute in [4_000, 12_000, 20_000] {
        let mut world = World::new(10, 4);
        world.take();
        world.pass(500);
        for at in 0..4 {
            world.accept(job(&format!("{at:016}"), &[(2, 1_000, 15_000)]));
        }
        world.pass(300);
        world.mute = [id(0), id(1)].into();
        world.pass(mute);
        world.mute.clear();
        world.pass(40_000);
        assert_eq!(world.broken, Vec::<String>::new(), "mute for {mute} ms");
        assert_eq!(world.unfinished(), 0, "mute for {mute} ms");
    }
}

/// The owner is cut from all workers but one, and the new owner from just that one. The former owner must not keep that
/// worker's tasks alive: the new one waits for their leases, then starts them elsewhere.
#[test]
fn an_owner_without_a_majority_renews_no_lease() {
    let mut world = World::new(11, 4);
    world.take();
    world.pass(500);
    for at in 0..4 {
        world.accept(job(&format!("{at:016}"), &[(2, 1_000, 15_000)]));
    }
    world.pass(300);
    for at in 1..4 {
        world.cut(&id(at), 1);
    }
    world.cut(&id(0), 2);
    world.take();
    world.pass(50_000);
    assert_eq!(world.broken, Vec::<String>::new());
    assert_eq!(world.unfinished(), 0);
}

/// A worker goes dark with a long task; later the owner is replaced. The stored list of what may run there is all that
/// the new owner holds back: other jobs go on at once, and only the long task waits for the lease.
#[test]
fn a_worker_that_was_silent_before_holds_back_only_its_own_tasks() {
    let mut world = World::new(3, 6);
    world.take();
    world.pass(500);
    for at in 0..6 {
        world.accept(job(&format!("{at:016}"), &[(1, 3_000, 30_000)]));
    }
    world.pass(200);
    for epoch in 1..3 {
        world.cut(&id(0), epoch);
    }
    world.pass(2_500);
    for at in 1..6 {
        world.crash(&id(at), 0);
    }
    world.pass(200);
    world.owners[0].over = true;
    world.accept(job("00000000000000bb", &[(2, 100, 300)]));
    world.take();
    world.pass(1_500);
    assert_eq!(world.stored("00000000000000bb"), Some(State::Completed));
    world.pass(60_000);
    assert_eq!(world.broken, Vec::<String>::new());
    assert_eq!(world.unfinished(), 0);
}

/// A worker drains, gets nothing new, and is gone; in the same second the owner is lost. What the worker had is stored
/// with the owner's row since it began to leave, so the new owner starts all other inherited jobs at once.
#[test]
fn a_leaving_worker_does_not_hold_up_a_new_owner() {
    let mut world = World::new(6, 4);
    world.take();
    world.pass(500);
    for at in 0..4 {
        world.accept(job(
            &format!("{at:016}"),
            &[(1, 3_000, 1_500), (1, 500, 200)],
        ));
    }
    world.pass(300);
    let mut news = world.owners[0]
        .pool
        .worker("w00")
        .expect("it is there")
        .info
        .clone();
    news.draining = Some(2_000);
    let now = world.now;
    world.owners[0].pool.listed(now, &id(0), news);
    world.pass(100);
    for epoch in 1..3 {
        world.cut(&id(0), epoch);
    }
    world.owners[0].over = true;
    world.take();
    world.pass(3_000);
    assert_eq!(
        world.unfinished(),
        1,
        "all but the job on the worker that left"
    );
    world.pass(12_000);
    assert_eq!(world.broken, Vec::<String>::new());
    assert_eq!(world.unfinished(), 0);
}

/// Orders that get no answer are carried out up to 12 s later, while workers crash, owners change and the store is away.
/// Callers must see each job end once, whatever the order of events.
#[test]
fn late_orders_crashes_and_changes_of_owner_together() {
    for seed in 100..130 {
        let mut world = World::new(seed, 8);
        world.weather.late = 0.05;
        world.weather.fails = 0.02;
        world.take();
        world.pass(500);
        for at in 0..60 {
            world.accept(job(&format!("{at:016}"), &[(4, 800, 600), (2, 1_500, 900)]));
            let time = world.rng.random_range(20..200);
            world.pass(time);
            if world.rng.random_bool(0.05) {
                let victim = id(world.rng.random_range(0..8));
                let time = world.rng.random_range(200..4_000);
                world.crash(&victim, time);
            }
            if world.rng.random_bool(0.04) {
                let last = world.owners.len() - 1;
                let pause = world.rng.random_range(0..3_000);
                world.owners[last].frozen = world.now + pause;
                let epoch = world.owners.len() as u64 + 1;
                if world.rng.random_bool(0.5) {
                    let victim = id(world.rng.random_range(0..8));
                    world.cut(&victim, epoch);
                }
                world.take();
            }
            world.weather.store = world.rng.random_bool(0.8);
        }
        world.weather.store = true;
        world.weather.late = 0.0;
        world.pass(40_000);
        assert_eq!(world.broken, Vec::<String>::new(), "seed {seed}");
        assert_eq!(world.unfinished(), 0, "seed {seed}: {}", world.report());
    }
}

/// A job ends while the store is away. Its worker leaves, then the owner is lost too: nothing tells the new owner of the
/// end, and the job runs again. A caller that had been told "completed" would see its booking made twice.
#[test]
fn an_end_that_is_not_stored_is_not_told() {
    let mut world = World::new(4, 3);
    world.take();
    world.pass(500);
    world.accept(job("00000000000000cc", &[(1, 1_000, 300)]));
    world.pass(50);
    world.weather.store = false;
    world.pass(600);
    let pool = &world.owners[0].pool;
    assert_eq!(pool.state("00000000000000cc"), Some(State::Running));
    world.weather.store = true;
    world.pass(100);
    let pool = &world.owners[0].pool;
    assert_eq!(pool.state("00000000000000cc"), Some(State::Completed));
}

/// A part of the store is down when an owner takes the pool, so it can't read some of the jobs for seconds. What they have
/// running or ended is left alone and goes on; jobs that are known don't wait, also where a worker lists an end of an unknown
/// one first.
#[test]
fn jobs_that_are_known_do_not_wait_for_those_that_are_not() {
    let mut world = World::new(11, 4);
    world.take();
    world.pass(500);
    for at in 0..4 {
        world.accept(job(
            &format!("{at:016}"),
            &[(2, 1_000, 500), (2, 1_000, 500)],
        ));
        world.accept(job(
            &format!("{:016}", at + 10),
            &[(2, 1_000, 700), (2, 1_000, 500)],
        ));
    }
    world.pass(300);
    world.weather.store = false;
    let hidden: Vec<_> = (0..4)
        .map(|at| {
            let id = format!("{at:016}");
            world.jobs.remove(&id).expect("it was accepted")
        })
        .collect();
    world.owners[0].over = true;
    world.take();
    let now = world.now;
    world.owners[1].pool.set_jobs_incomplete(now, true);
    world.weather.store = true;
    world.pass(5_000);
    for at in 10..14 {
        assert_eq!(world.stored(&format!("{at:016}")), Some(State::Completed));
    }
    assert_eq!(
        world.starts,
        8 + 8 + 8,
        "each task of the known ones, and the first steps of the others"
    );
    for job in &hidden {
        world.tell(job);
    }
    let now = world.now;
    world.owners[1].pool.set_jobs_incomplete(now, false);
    world.pass(5_000);
    assert_eq!(world.broken, Vec::<String>::new());
    assert_eq!(world.unfinished(), 0);
    assert_eq!(world.starts, 32, "nothing was started a second time");
}

/// Guards against tasks that run twice after the owner is lost while the store takes no writes: the stored roster still names
/// a silent worker for runs that were lost and started elsewhere since.
#[test]
fn runs_elsewhere_outweigh_an_old_list_of_silent_workers() {
    let mut world = World::new(12, 5);
    world.take();
    world.pass(500);
    world.accept(job("00000000000000ee", &[(2, 1_000, 9_000)]));
    world.pass(200);
    let lost = busy_worker(&world);
    world.crash(&lost, 2_500);
    world.pass(2_000);
    world.weather.store = false;
    world.pass(2_000);
    assert_eq!(world.starts, 4, "both run elsewhere");
    world.owners[0].over = true;
    world.take();
    world.weather.store = true;
    world.pass(20_000);
    assert_eq!(world.broken, Vec::<String>::new());
    assert_eq!(world.starts, 4);
    assert_eq!(world.unfinished(), 0);
}

/// Guards against a job that is never over: its owner stores that all tasks are done, still waits for a run on a worker that is
/// gone, and is lost.
#[test]
fn a_job_whose_tasks_are_all_done_is_completed_by_the_next_owner() {
    let mut world = World::new(13, 4);
    world.take();
    world.pass(500);
    world.accept(job("00000000000000ee", &[(1, 1_000, 3_000)]));
    world.pass(200);
    let lost = busy_worker(&world);
    for epoch in 1..10 {
        world.cut(&lost, epoch);
    }
    world.pass(2_500);
    world.weather.store = false;
    world.pass(9_500);
    world.owners[0].over = true;
    world.take();
    world.weather.store = true;
    world.pass(300);
    assert_eq!(world.starts, 2, "it was started elsewhere, and is done");
    world.owners[1].over = true;
    world.take();
    world.pass(20_000);
    assert_eq!(world.broken, Vec::<String>::new());
    assert_eq!(world.stored("00000000000000ee"), Some(State::Completed));
}
