//! When the advisor is queried, and about which workers.

#[allow(dead_code, reason = "other test files use the rest")]
mod case;
#[allow(dead_code, reason = "other test files use the rest")]
mod simulation;

use case::{adopt, end, pool, register_workers, report, report_all, run};
use pool::{AdvisorPolicy, Command, Job, Options, Pool, RunOutcome, Start, StartAnswer};
use simulation::{UNIX, job};

/// A pool whose two workers are full, and which may have four advisor queries in flight.
fn full_pool() -> (Pool, Vec<Start>) {
    let mut pool = Pool::new(Options {
        max_queries: 4,
        ..Options::default()
    });
    register_workers(&mut pool, 2);
    adopt(
        &mut pool,
        1_000,
        job("00000000000000f1", &[(2, 4_000, 5_000)]),
    );
    let running = run(&mut pool, 1_001);
    assert_eq!(running.len(), 2);
    (pool, running)
}

/// A job of one task for which an advisor query takes half a second.
fn job_with_slow_advice(id: &str, millicores: u64) -> Job {
    let mut advised = job(id, &[(1, millicores, 500)]);
    advised.policy.advice = Some(AdvisorPolicy {
        base_ms: 490.0,
        per_worker_ms: 7.0,
        ticket_lifetime: 2_000,
    });
    advised
}

/// Steps of a queue with an advisor start only with a valid ticket. A ticket that the worker rejects is renewed, and the
/// answer itself is kept.
#[test]
fn advised_steps_need_a_ticket() {
    let mut pool = pool(3);
    let mut advised = job("00000000000000a1", &[(2, 3_000, 500)]);
    advised.policy.advice = Some(AdvisorPolicy {
        base_ms: 20.0,
        per_worker_ms: 1.0,
        ticket_lifetime: 2_000,
    });
    adopt(&mut pool, 1_000, advised);
    let commands = pool.schedule(1_001, UNIX);
    let [Command::Query(query)] = commands.as_slice() else {
        panic!("expected one advisor query, got {commands:?}");
    };
    assert!(
        pool.schedule(1_010, UNIX).is_empty(),
        "the query is sent only once"
    );
    let tickets = vec![(query.workers[0].clone(), "t1".to_owned())];
    pool.advisor_answered(1_050, query, Some((&tickets, 2_000)));
    let commands = pool.schedule(1_051, UNIX);
    let Some(Command::Start(start)) = commands.first() else {
        panic!("{commands:?}");
    };
    assert_eq!(
        (start.ticket.as_str(), &start.worker),
        ("t1", &query.workers[0])
    );
    pool.start_answered(1_060, start, StartAnswer::Ticket);
    for id in ["w00", "w01", "w02"] {
        report(&mut pool, 1_070, &id.into(), vec![], vec![]);
    }
    let again = pool.schedule(1_080, UNIX);
    let queried: Vec<_> = again
        .iter()
        .filter_map(|command| match command {
            Command::Query(query) => Some(query.workers.clone()),
            _ => None,
        })
        .collect();
    assert!(
        queried.is_empty() || queried[0].contains(&query.workers[0]),
        "{queried:?}"
    );
}

/// All workers are full, and an advisor query takes half a second. If it were sent only once capacity is free, the capacity
/// would stay idle for as long; with a ticket at hand, the step starts as soon as there is capacity.
#[test]
fn the_advisor_is_queried_before_there_is_capacity() {
    let (mut pool, running) = full_pool();
    adopt(
        &mut pool,
        1_010,
        job_with_slow_advice("00000000000000a3", 4_000),
    );
    let commands = pool.schedule(1_020, UNIX);
    let [Command::Query(query)] = commands.as_slice() else {
        panic!("{commands:?}");
    };
    assert_eq!(
        query.workers.len(),
        2,
        "all workers, since each adds little time"
    );
    let first = running[0].worker.clone();
    pool.advisor_answered(
        1_550,
        query,
        Some((&[(first.clone(), "t".to_owned())], 2_000)),
    );
    let done = vec![end(&running[0], 1, RunOutcome::Done)];
    report(&mut pool, 1_600, &first, vec![], done);
    let started = run(&mut pool, 1_601);
    assert_eq!(started.len(), 1);
    assert_eq!(
        (&started[0].worker, started[0].ticket.as_str()),
        (&first, "t")
    );
}

/// Queries ahead of need leave half of the advisor's time to steps for which there is free capacity.
#[test]
fn queries_ahead_of_need_leave_time_to_others() {
    let (mut pool, _) = full_pool();
    for index in 0..8 {
        let id = format!("00000000000000b{index}");
        adopt(&mut pool, 1_010, job_with_slow_advice(&id, 1_000));
    }
    assert_eq!(pool.schedule(1_020, UNIX).len(), 2);
}

/// At most one task of the step may run on a worker, and the workers that the advisor allowed run one each. Queries about the
/// same workers again and again left the remaining task waiting for ten seconds; they have to name others.
#[test]
fn workers_at_the_limit_of_a_step_are_not_queried_again() {
    let mut pool = pool(4);
    let mut spread = job("00000000000000a2", &[(2, 100, 500)]);
    spread.steps[0].per_worker = 1;
    spread.policy.advice = Some(AdvisorPolicy {
        base_ms: 20.0,
        per_worker_ms: 1.0,
        ticket_lifetime: 2_000,
    });
    adopt(&mut pool, 1_000, spread);
    let commands = pool.schedule(1_001, UNIX);
    let [Command::Query(first)] = commands.as_slice() else {
        panic!("{commands:?}");
    };
    let tickets = vec![(first.workers[0].clone(), "t1".to_owned())];
    pool.advisor_answered(1_050, first, Some((&tickets, 50)));
    // The first ticket has expired when the start is due; the second one lets the worker run one task.
    pool.advisor_answered(1_051, first, Some((&tickets, 2_000)));
    let started = run(&mut pool, 1_060);
    assert_eq!(started.len(), 1);
    report_all(&mut pool, 3_300, &started);
    let commands = pool.schedule(3_400, UNIX);
    for command in &commands {
        if let Command::Query(query) = command {
            assert!(!query.workers.contains(&first.workers[0]), "{query:?}");
        }
    }
}

/// A queue of higher priority brings more short work than the advisor has time for, while most of the capacity is free. If
/// queries followed the ranks alone, a long-running task that lost its worker would wait for as long as that lasts.
#[test]
fn long_running_work_is_queried_while_other_work_keeps_the_advisor_busy() {
    assert!(
        is_queried_beside(0),
        "no query about the long-running job within 3 s"
    );
}

/// Guards against scheduling passes that consider the same steps without capacity again and again, and never one that has
/// capacity.
#[test]
fn steps_without_capacity_do_not_keep_long_running_work_from_the_advisor() {
    assert!(
        is_queried_beside(100),
        "no query about the long-running job within 3 s"
    );
}

/// Whether the advisor is queried about a long-running job within three seconds, beside so much short work that it takes all
/// of the advisor's time, and beside this many long-running tasks that are too large for any worker.
fn is_queried_beside(too_large: u32) -> bool {
    let mut pool = Pool::new(Options {
        max_queries: 4,
        ..Options::default()
    });
    register_workers(&mut pool, 8);
    for index in 0..too_large {
        let mut large = job_with_slow_advice(&format!("{index:016x}"), 1_000);
        large.steps[0].long_running = true;
        large.steps[0].size = resource::Size::new(1_000_000, 1, 0);
        large.policy.priority = 1;
        adopt(&mut pool, 1_000, large);
    }
    let mut long_running = job_with_slow_advice("00000000000000c0", 1_000);
    long_running.steps[0].long_running = true;
    long_running.policy.priority = 1;
    adopt(&mut pool, 1_000, long_running);
    let mut in_flight = Vec::new();
    for now in (1_010..4_010).step_by(100) {
        report_all(&mut pool, now, &[]);
        for index in 0..4 {
            let mut short = job_with_slow_advice(&format!("{now:015x}{index}"), 100);
            short.accepted = UNIX + now;
            adopt(&mut pool, now, short);
        }
        in_flight.retain(|(sent, query): &(u64, pool::AdvisorQuery)| {
            let due = now - sent >= 300;
            if due {
                pool.advisor_answered(now, query, Some((&[], 2_000)));
            }
            !due
        });
        for command in pool.schedule(now, UNIX + now) {
            if let Command::Query(query) = command {
                if &*query.stage.job == "00000000000000c0" {
                    return true;
                }
                in_flight.push((now, query));
            }
        }
    }
    false
}

/// Guards against concurrent queries that all name the workers with the most free capacity: the steps get tickets for the same
/// few workers, the first step takes their capacity, and the others have to query again.
#[test]
fn concurrent_queries_name_different_workers() {
    let mut pool = Pool::new(Options {
        max_queries: 20,
        ..Options::default()
    });
    register_workers(&mut pool, 60);
    for index in 0..3 {
        let mut advised = job(&format!("00000000000000d{index}"), &[(4, 2_000, 500)]);
        advised.policy.advice = Some(AdvisorPolicy {
            base_ms: 30.0,
            per_worker_ms: 0.5,
            ticket_lifetime: 2_000,
        });
        adopt(&mut pool, 1_010, advised);
    }
    let queried = pool
        .schedule(1_020, UNIX)
        .into_iter()
        .filter_map(|command| match command {
            Command::Query(query) => Some(query.workers),
            _ => None,
        });
    let queried: Vec<_> = queried.collect();
    assert_eq!(queried.len(), 3);
    let shared = queried[0]
        .iter()
        .filter(|id| queried[1].contains(id) && queried[2].contains(id))
        .count();
    assert!(
        shared <= queried[0].len() / 3,
        "{shared} workers are in all queries: {queried:?}"
    );
}
