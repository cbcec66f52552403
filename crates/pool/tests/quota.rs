//! Limits and shares of customers.

#[allow(dead_code, reason = "other test files use the rest")]
mod case;
#[allow(dead_code, reason = "other test files use the rest")]
mod simulation;

use case::{adopt, end, pool, report, report_all, run, starts};
use pool::{
    CustomerId, Entitlement, Job, Limit, Mechanism, Options, Pool, RunOutcome, Start, StartAnswer,
    Step, Switches, WaitReason, WorkerId,
};
use rand::Rng as _;
use resource::Size;
use simulation::{Simulation, UNIX, job};

const A: &str = "customer-a";
const B: &str = "customer-b";

fn job_of(customer: &str, id: &str, steps: &[(u32, u64, u64)]) -> Job {
    Job {
        customer: customer.into(),
        ..job(id, steps)
    }
}

/// Sets the processors that the customers may use, in millicores; 0 for no limit.
fn set_limits(pool: &mut Pool, limits: &[(&str, u64)]) {
    set_entitlements(
        pool,
        &limits
            .iter()
            .map(|&(name, millicores)| (name, 1_000.0, millicores))
            .collect::<Vec<_>>(),
    );
}

/// Sets the weights and limits of customers.
fn set_entitlements(pool: &mut Pool, customers: &[(&str, f64, u64)]) {
    let entitlement = |&(name, weight, millicores): &(&str, f64, u64)| {
        let limit = Limit::from(Size::new(millicores, 0, 0));
        (CustomerId::from(name), Entitlement { weight, limit })
    };
    pool.set_customers(customers.iter().map(entitlement));
}

fn of_job<'a>(started: &'a [Start], id: &str) -> Vec<&'a Start> {
    let of_job = |start: &&Start| &*start.task.stage.job == id;
    started.iter().filter(of_job).collect()
}

/// A customer's tasks fit on the workers but exceed its limit. Only as many start as the limit allows, on all workers together,
/// and the others as soon as a run has ended.
#[test]
fn a_limit_holds_over_all_workers() {
    let mut pool = pool(4);
    set_limits(&mut pool, &[(A, 5_000)]);
    adopt(
        &mut pool,
        1_000,
        job_of(A, "00000000000000a1", &[(10, 2_000, 9_000)]),
    );
    let started = run(&mut pool, 1_001);
    assert_eq!(started.len(), 2);
    assert_eq!(pool.used_by(A).millicores, 4_000);
    let done = vec![end(&started[0], 1, RunOutcome::Done)];
    report(&mut pool, 1_100, &started[0].worker, vec![], done);
    assert_eq!(run(&mut pool, 1_101).len(), 1);
}

/// Memory is limited too, whichever component a customer reaches first.
#[test]
fn each_component_is_limited() {
    let mut pool = pool(4);
    let limit = Limit::from(Size::new(0, 250, 0));
    let entitlement = Entitlement { weight: 1.0, limit };
    pool.set_customers([(CustomerId::from(A), entitlement)]);
    adopt(
        &mut pool,
        1_000,
        job_of(A, "00000000000000a1", &[(9, 100, 9_000)]),
    );
    assert_eq!(run(&mut pool, 1_001).len(), 2, "each task takes 100 MiB");
}

/// A customer at its limit has thousands of tasks waiting that rank first. Other customers' tasks start in the same pass.
#[test]
fn a_customer_at_its_limit_blocks_nobody() {
    let mut pool = pool(4);
    set_limits(&mut pool, &[(A, 1_000), (B, 0)]);
    for index in 0..200 {
        adopt(
            &mut pool,
            1_000,
            job_of(A, &format!("{index:016}"), &[(50, 500, 300)]),
        );
    }
    adopt(
        &mut pool,
        1_001,
        job_of(B, "00000000000000b1", &[(8, 1_000, 9_000)]),
    );
    let started = run(&mut pool, 1_002);
    assert_eq!(of_job(&started, "00000000000000b1").len(), 8);
    assert_eq!(started.len(), 10);
    let demand = pool.quota_demand();
    let waiting = demand
        .iter()
        .find(|it| &*it.customer == A)
        .expect("it waits");
    assert_eq!(waiting.waiting[WaitReason::Quota as usize], 9_998);
}

/// An order without an answer may still be carried out, so it counts against the limit until it is known that it wasn't.
#[test]
fn orders_without_an_answer_count() {
    let mut pool = pool(4);
    set_limits(&mut pool, &[(A, 2_000)]);
    adopt(
        &mut pool,
        1_000,
        job_of(A, "00000000000000a1", &[(4, 1_000, 9_000)]),
    );
    let started = starts(pool.schedule(1_001, UNIX));
    assert_eq!(started.len(), 2);
    for start in &started {
        pool.start_answered(1_400, start, StartAnswer::Lost);
    }
    let later = starts(pool.schedule(1_401, UNIX));
    assert!(
        later.iter().all(|start| start.run == 1),
        "only copies of the orders"
    );
    assert_eq!(pool.used_by(A).millicores, 2_000);
}

/// A limit falls below what the customer uses. Nothing is stopped, and nothing starts until the use is below the new limit.
#[test]
fn a_limit_that_falls_kills_nothing() {
    let mut pool = pool(4);
    set_limits(&mut pool, &[(A, 8_000)]);
    adopt(
        &mut pool,
        1_000,
        job_of(A, "00000000000000a1", &[(12, 1_000, 9_000)]),
    );
    let started = run(&mut pool, 1_001);
    assert_eq!(started.len(), 8);
    set_limits(&mut pool, &[(A, 7_000)]);
    assert!(pool.schedule(1_002, UNIX).is_empty());
    let worker: WorkerId = started[0].worker.clone();
    let own: Vec<&Start> = started.iter().filter(|it| it.worker == worker).collect();
    for (number, start) in own.iter().enumerate().take(2) {
        let done = vec![end(start, number as u64 + 1, RunOutcome::Done)];
        let rest = own[number + 1..]
            .iter()
            .map(|it| case::running(it))
            .collect();
        report(&mut pool, 1_100 + number as u64, &worker, rest, done);
        let expected = number;
        assert_eq!(run(&mut pool, 1_110 + number as u64).len(), expected);
    }
}

/// An owner that doesn't know the limits yet, since it has just started, must not start what they may forbid.
#[test]
fn nothing_of_a_customer_starts_until_its_limit_is_known() {
    let mut pool = pool(2);
    adopt(
        &mut pool,
        1_000,
        job_of(A, "00000000000000a1", &[(1, 1_000, 500)]),
    );
    adopt(
        &mut pool,
        1_000,
        job("00000000000000c1", &[(1, 1_000, 500)]),
    );
    let started = run(&mut pool, 1_001);
    assert_eq!(of_job(&started, "00000000000000c1").len(), started.len());
    set_limits(&mut pool, &[(A, 4_000)]);
    assert_eq!(run(&mut pool, 1_010).len(), 1);
}

/// Small tasks of a customer take whatever its limit leaves, so a wide gang of the same customer would never find enough of it.
/// Once it has waited for a while, the small tasks leave it what ends.
#[test]
fn a_gang_is_not_starved_by_small_tasks_of_its_customer() {
    let first_gang_start = |switches: Switches| {
        let mut pool = Pool::new(Options {
            switches,
            ..Options::default()
        });
        case::register_workers(&mut pool, 4);
        set_limits(&mut pool, &[(A, 4_000)]);
        let mut number = 0;
        let mut running: Vec<(u64, Start)> = Vec::new();
        let mut gang = job_of(A, "00000000000000e1", &[(3, 1_000, 1_000)]);
        gang.steps[0].gang = true;
        gang.policy.priority = 1;
        for tick in 0..400_u64 {
            let now = 1_000 + tick * 20;
            if tick == 10 {
                adopt(&mut pool, now, gang.clone());
            }
            let small = job_of(A, &format!("{tick:016}"), &[(1, 1_000, 100)]);
            adopt(&mut pool, now, small);
            for start in run(&mut pool, now) {
                if &*start.task.stage.job == "00000000000000e1" {
                    return Some(now);
                }
                // Each task runs for 90 ms, and the ends are spread over time.
                running.push((now + 90, start));
            }
            let ids: Vec<WorkerId> = pool.workers().map(|it| it.id.clone()).collect();
            for id in ids {
                let of_worker = running.iter().filter(|(_, it)| it.worker == id);
                let (over, on): (Vec<_>, Vec<_>) = of_worker.partition(|(at, _)| *at <= now);
                let on = on.iter().map(|(_, it)| case::running(it)).collect();
                let ended = over.iter().map(|(_, it)| {
                    number += 1;
                    end(it, number, RunOutcome::Done)
                });
                let ended = ended.collect();
                report(&mut pool, now + 1, &id, on, ended);
            }
            running.retain(|(at, _)| *at > now);
        }
        None
    };
    assert_eq!(
        first_gang_start(Switches::without([Mechanism::GangQuota])),
        None
    );
    let at = first_gang_start(Switches::default()).expect("the gang starts");
    assert!(at < 4_000, "started at {at} ms");
}

/// A customer's long reports could take its whole limit between two of its quick jobs, and the second one would wait for the end
/// of a report. The reports leave free what quick jobs have used lately, but only for a while, so that they are never starved.
#[test]
fn reports_leave_room_within_the_limit_for_quick_jobs() {
    let quick_starts = |switches: Switches| {
        let mut pool = Pool::new(Options {
            switches,
            ..Options::default()
        });
        case::register_workers(&mut pool, 4);
        set_limits(&mut pool, &[(A, 8_000)]);
        adopt(
            &mut pool,
            1_000,
            job_of(A, "00000000000000d1", &[(4, 1_000, 500)]),
        );
        let quick = run(&mut pool, 1_001);
        assert_eq!(quick.len(), 4);
        let ids: Vec<WorkerId> = pool.workers().map(|it| it.id.clone()).collect();
        for id in &ids {
            let own = quick.iter().filter(|it| it.worker == *id);
            let ended = own
                .zip(1..)
                .map(|(it, number)| end(it, number, RunOutcome::Done));
            report(&mut pool, 1_100, id, vec![], ended.collect());
        }
        let mut reports = job_of(A, "00000000000000e1", &[(20, 1_000, 60_000)]);
        reports.policy.priority = 2;
        adopt(&mut pool, 1_101, reports);
        let mut running = run(&mut pool, 1_102);
        adopt(
            &mut pool,
            1_103,
            job_of(A, "00000000000000d2", &[(3, 1_000, 500)]),
        );
        let quick = run(&mut pool, 1_104);
        running.extend(quick.clone());
        for now in (1_200..4_200).step_by(200) {
            report_all(&mut pool, now, &running);
            running.extend(run(&mut pool, now + 1));
        }
        assert_eq!(running.len(), 8, "in the end the limit is used");
        of_job(&quick, "00000000000000d2").len()
    };
    assert_eq!(quick_starts(Switches::default()), 3);
    let without = Switches::without([Mechanism::QuotaReserve]);
    assert_eq!(quick_starts(without), 0);
}

/// One customer sends seven times what it is owed, all of it small and quick. Another customer's job that comes later starts
/// first, because it is owed.
#[test]
fn a_customer_that_sends_more_than_it_is_owed_takes_nothing_from_others() {
    let mut pool = pool(2);
    set_entitlements(&mut pool, &[(A, 4.0, 0), (B, 4.0, 0)]);
    for index in 0..28 {
        adopt(
            &mut pool,
            1_000,
            job_of(A, &format!("{index:016}"), &[(1, 4_000, 500)]),
        );
    }
    let mut started = run(&mut pool, 1_002);
    assert_eq!(started.len(), 2);
    let job = job_of(B, "00000000000000b1", &[(1, 4_000, 9_000)]);
    adopt(&mut pool, 1_003, job);
    let mut before = 0;
    for round in 0..10_u64 {
        before += started.len();
        for start in std::mem::take(&mut started) {
            let done = vec![end(&start, round + 1, RunOutcome::Done)];
            report(&mut pool, 1_010 + round, &start.worker, vec![], done);
        }
        started = run(&mut pool, 1_011 + round);
        if !of_job(&started, "00000000000000b1").is_empty() {
            assert!(
                before <= 8,
                "{before} jobs of the other customer started earlier"
            );
            return;
        }
    }
    panic!("the job that is owed has not started");
}

/// The pool is full, and both customers wait with jobs that they are owed. What becomes free goes to the customer that uses less than
/// its share, though the other one's job is smaller and came first.
#[test]
fn in_a_full_pool_the_customer_below_its_share_goes_first() {
    let next_start = |switches: Switches| {
        let mut pool = Pool::new(Options {
            switches,
            ..Options::default()
        });
        case::register_workers(&mut pool, 2);
        set_entitlements(&mut pool, &[(A, 100.0, 0), (B, 100.0, 0)]);
        adopt(
            &mut pool,
            1_000,
            job_of(A, "00000000000000a1", &[(2, 4_000, 9_000)]),
        );
        let running = run(&mut pool, 1_001);
        assert_eq!(running.len(), 2);
        adopt(
            &mut pool,
            1_002,
            job_of(A, "00000000000000a2", &[(1, 4_000, 800)]),
        );
        adopt(
            &mut pool,
            1_003,
            job_of(B, "00000000000000b1", &[(1, 4_000, 900)]),
        );
        let done = vec![end(&running[0], 1, RunOutcome::Done)];
        report(&mut pool, 1_100, &running[0].worker, vec![], done);
        let started = run(&mut pool, 1_101);
        assert_eq!(started.len(), 1);
        started[0].task.stage.job.to_string()
    };
    assert_eq!(next_start(Switches::default()), "00000000000000b1");
    let without = Switches::without([Mechanism::ShareUse]);
    assert_eq!(next_start(without), "00000000000000a2");
}

/// Owners are replaced while orders get no answers, are carried out late, and workers crash or can't be reached. The limit holds
/// on the workers at all times, and all jobs end.
#[test]
fn a_limit_holds_across_owners_crashes_and_late_orders() {
    for seed in 0..20 {
        let mut sim = Simulation::new(seed, 8);
        sim.conditions.lost_answer_rate = 0.05;
        sim.set_limit(A, Size::new(9_000, 0, 0));
        sim.set_limit(B, Size::new(6_000, 700, 0));
        sim.start_owner();
        sim.run_for(500);
        for index in 0..40_u64 {
            let customer = if index % 3 == 0 { B } else { A };
            sim.accept(job_of(
                customer,
                &format!("{index:016}"),
                &[(3, 900, 700), (2, 900, 400)],
            ));
            let time = sim.rng.random_range(5..80);
            sim.run_for(time);
            match sim.rng.random_range(0..14) {
                0 => {
                    if let Some(owner) = sim.owners.last_mut() {
                        owner.stopped = true;
                    }
                    sim.start_owner();
                }
                1 => {
                    let now = sim.now;
                    if let Some(owner) = sim.owners.last_mut() {
                        owner.paused_until = now + 3_000;
                    }
                    sim.start_owner();
                }
                2 => {
                    let worker = format!("w{:02}", sim.rng.random_range(0..8));
                    let epoch = sim.owners.len() as u64 + sim.rng.random_range(0..2);
                    sim.disconnect(&worker.as_str().into(), epoch);
                }
                3 => {
                    let worker = format!("w{:02}", sim.rng.random_range(0..8));
                    sim.crash(&worker.as_str().into(), 500);
                }
                _ => {}
            }
        }
        sim.conditions.lost_answer_rate = 0.0;
        sim.start_owner();
        sim.run_for(40_000);
        assert_eq!(sim.violations, Vec::<String>::new(), "seed {seed}");
        assert_eq!(sim.unfinished(), 0, "seed {seed}: {}", sim.report());
        let last = &sim.owners[sim.owners.len() - 1].pool;
        assert_eq!(last.used_by(A), Size::ZERO, "seed {seed}");
        assert_eq!(last.used_by(B), Size::ZERO, "seed {seed}");
    }
}

/// A best-effort task counts in full against its customer's limit, although it reserves no processors on its worker.
#[test]
fn best_effort_tasks_count_in_full() {
    let mut pool = pool(2);
    set_limits(&mut pool, &[(A, 3_000)]);
    let mut filling = job_of(A, "00000000000000a1", &[(6, 1_000, 9_000)]);
    filling.steps[0] = Step {
        best_effort: true,
        ..filling.steps[0].clone()
    };
    adopt(&mut pool, 1_000, filling);
    assert_eq!(run(&mut pool, 1_001).len(), 3);
}

/// A customer sends without end. Once as many of its jobs wait as it is owed in a minute, the owner says when more can be accepted;
/// other customers' jobs are still accepted.
#[test]
fn the_backlog_of_a_customer_is_bounded() {
    let mut pool = pool(1);
    set_entitlements(&mut pool, &[(A, 10.0, 1_000), (B, 10.0, 0)]);
    for index in 0..599 {
        adopt(
            &mut pool,
            1_000,
            job_of(A, &format!("{index:016}"), &[(1, 9_000, 500)]),
        );
    }
    adopt(
        &mut pool,
        1_000,
        job_of(B, "00000000000000b1", &[(1, 9_000, 500)]),
    );
    assert_eq!(pool.full_backlogs(), Vec::new());
    for index in 600..620 {
        adopt(
            &mut pool,
            1_000,
            job_of(A, &format!("{index:016}"), &[(1, 9_000, 500)]),
        );
    }
    assert_eq!(pool.full_backlogs(), vec![(CustomerId::from(A), 2_000)]);
}
