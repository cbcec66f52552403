//! When the advisor is asked, and about which workers.

#[allow(dead_code, reason = "other test files use the rest")]
mod case;
#[allow(dead_code, reason = "other test files use the rest")]
mod world;

use case::{adopt, end, pool, register_workers, report, report_all, run};
use pool::{AdvisorPolicy, Job, Options, Order, Pool, RunOutcome, Start, StartAnswer};
use world::{UNIX, job};

/// A pool whose two workers are full, and which may ask the advisor four questions at once.
fn full() -> (Pool, Vec<Start>) {
    let mut pool = Pool::new(Options {
        askers: 4,
        ..Options::default()
    });
    register_workers(&mut pool, 2);
    adopt(
        &mut pool,
        1_000,
        job("00000000000000f1", &[(2, 4_000, 5_000)]),
    );
    let full = run(&mut pool, 1_001);
    assert_eq!(full.len(), 2);
    (pool, full)
}

/// A job of one task, about which a question takes half a second.
fn slowly_advised(id: &str, millicores: u64) -> Job {
    let mut advised = job(id, &[(1, millicores, 500)]);
    advised.policy.advice = Some(AdvisorPolicy {
        base_ms: 490.0,
        per_worker_ms: 7.0,
        ticket_lifetime: 2_000,
    });
    advised
}

/// Steps of a queue with an advisor start only with a ticket that holds; an answer is kept, and only its ticket renewed.
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
    let orders = pool.plan(1_001, UNIX);
    let [Order::Ask(ask)] = orders.as_slice() else {
        panic!("a question is asked first: {orders:?}");
    };
    assert!(pool.plan(1_010, UNIX).is_empty(), "and only once");
    let rows = vec![(ask.workers[0].clone(), "t1".to_owned())];
    pool.advisor_answered(1_050, ask, Some((&rows, 2_000)));
    let orders = pool.plan(1_051, UNIX);
    let Some(Order::Start(start)) = orders.first() else {
        panic!("{orders:?}");
    };
    assert_eq!(
        (start.ticket.as_str(), &start.worker),
        ("t1", &ask.workers[0])
    );
    pool.start_answered(1_060, start, StartAnswer::Ticket);
    for id in ["w00", "w01", "w02"] {
        report(&mut pool, 1_070, &id.into(), vec![], vec![]);
    }
    let again = pool.plan(1_080, UNIX);
    let asked: Vec<_> = again
        .iter()
        .filter_map(|order| match order {
            Order::Ask(ask) => Some(ask.workers.clone()),
            _ => None,
        })
        .collect();
    assert!(
        asked.is_empty() || asked[0].contains(&ask.workers[0]),
        "{asked:?}"
    );
}

/// All workers are full, and a question takes half a second. Asked only when room was free, the room stood idle for as long;
/// with the answer and a ticket at hand, the step starts the moment there is room.
#[test]
fn the_advisor_is_asked_before_there_is_room() {
    let (mut pool, full) = full();
    adopt(&mut pool, 1_010, slowly_advised("00000000000000a3", 4_000));
    let orders = pool.plan(1_020, UNIX);
    let [Order::Ask(ask)] = orders.as_slice() else {
        panic!("{orders:?}");
    };
    assert_eq!(ask.workers.len(), 2, "all, since each adds little");
    let first = full[0].worker.clone();
    pool.advisor_answered(
        1_550,
        ask,
        Some((&[(first.clone(), "t".to_owned())], 2_000)),
    );
    let done = vec![end(&full[0], 1, RunOutcome::Done)];
    report(&mut pool, 1_600, &first, vec![], done);
    let started = run(&mut pool, 1_601);
    assert_eq!(started.len(), 1);
    assert_eq!(
        (&started[0].worker, started[0].ticket.as_str()),
        (&first, "t")
    );
}

/// Questions ahead of need leave half of the advisor's time to steps for which there is room.
#[test]
fn questions_ahead_leave_time_to_others() {
    let (mut pool, _) = full();
    for at in 0..8 {
        let id = format!("00000000000000b{at}");
        adopt(&mut pool, 1_010, slowly_advised(&id, 1_000));
    }
    assert_eq!(pool.plan(1_020, UNIX).len(), 2);
}

/// At most one task of a step may run on a worker. The workers that the advisor allowed have one each, so a task that is
/// left needs others; asking about the same ones again and again left it waiting for ten seconds.
#[test]
fn workers_that_have_their_share_are_not_asked_about_again() {
    let mut pool = pool(4);
    let mut spread = job("00000000000000a2", &[(2, 100, 500)]);
    spread.steps[0].per_worker = 1;
    spread.policy.advice = Some(AdvisorPolicy {
        base_ms: 20.0,
        per_worker_ms: 1.0,
        ticket_lifetime: 2_000,
    });
    adopt(&mut pool, 1_000, spread);
    let orders = pool.plan(1_001, UNIX);
    let [Order::Ask(first)] = orders.as_slice() else {
        panic!("{orders:?}");
    };
    let rows = vec![(first.workers[0].clone(), "t1".to_owned())];
    pool.advisor_answered(1_050, first, Some((&rows, 50)));
    // The ticket has run out when the start is due, so the worker is asked about again, and runs one task.
    pool.advisor_answered(1_051, first, Some((&rows, 2_000)));
    let started = run(&mut pool, 1_060);
    assert_eq!(started.len(), 1);
    report_all(&mut pool, 3_300, &started);
    let orders = pool.plan(3_400, UNIX);
    for order in &orders {
        if let Order::Ask(ask) = order {
            assert!(!ask.workers.contains(&first.workers[0]), "{ask:?}");
        }
    }
}

/// More short work of a queue that goes first comes than the advisor has time for, while most of the room is free. A task that
/// lasts and had lost its worker was not asked about for as long as that went on.
#[test]
fn lasting_work_is_asked_about_while_other_work_keeps_the_advisor_busy() {
    assert!(is_asked_about_beside(0), "not for three seconds");
}

/// Guards against a plan that looks at the same steps without room again and again, in place of one that has room.
#[test]
fn steps_without_room_don_t_hide_lasting_work_from_the_advisor() {
    assert!(is_asked_about_beside(100), "not for three seconds");
}

/// Whether lasting work is asked about within three seconds, beside so much short work that it takes all of the advisor's time,
/// and beside this many lasting tasks that are too large for any worker.
fn is_asked_about_beside(too_large: u32) -> bool {
    let mut pool = Pool::new(Options {
        askers: 4,
        ..Options::default()
    });
    register_workers(&mut pool, 8);
    for at in 0..too_large {
        let mut large = slowly_advised(&format!("{at:016x}"), 1_000);
        large.steps[0].long_running = true;
        large.steps[0].size = resource::Size::new(1_000_000, 1, 0);
        large.policy.priority = 1;
        adopt(&mut pool, 1_000, large);
    }
    let mut lasting = slowly_advised("00000000000000c0", 1_000);
    lasting.steps[0].long_running = true;
    lasting.policy.priority = 1;
    adopt(&mut pool, 1_000, lasting);
    let mut under_way = Vec::new();
    for now in (1_010..4_010).step_by(100) {
        report_all(&mut pool, now, &[]);
        for at in 0..4 {
            let mut short = slowly_advised(&format!("{now:015x}{at}"), 100);
            short.accepted = UNIX + now;
            adopt(&mut pool, now, short);
        }
        under_way.retain(|(sent, ask): &(u64, pool::Ask)| {
            let over = now - sent >= 300;
            if over {
                pool.advisor_answered(now, ask, Some((&[], 2_000)));
            }
            !over
        });
        for order in pool.plan(now, UNIX + now) {
            if let Order::Ask(ask) = order {
                if &*ask.stage.job == "00000000000000c0" {
                    return true;
                }
                under_way.push((now, ask));
            }
        }
    }
    false
}

/// Guards against quick steps that are asked about at the same time and all name the workers with most room: they get room on the
/// same few workers, the first takes it, and the others have to ask again.
#[test]
fn steps_at_the_same_time_are_asked_about_different_workers() {
    let mut pool = Pool::new(Options {
        askers: 20,
        ..Options::default()
    });
    register_workers(&mut pool, 60);
    for at in 0..3 {
        let mut advised = job(&format!("00000000000000d{at}"), &[(4, 2_000, 500)]);
        advised.policy.advice = Some(AdvisorPolicy {
            base_ms: 30.0,
            per_worker_ms: 0.5,
            ticket_lifetime: 2_000,
        });
        adopt(&mut pool, 1_010, advised);
    }
    let asked = pool
        .plan(1_020, UNIX)
        .into_iter()
        .filter_map(|order| match order {
            Order::Ask(ask) => Some(ask.workers),
            _ => None,
        });
    let asked: Vec<_> = asked.collect();
    assert_eq!(asked.len(), 3);
    let shared = asked[0]
        .iter()
        .filter(|id| asked[1].contains(id) && asked[2].contains(id))
        .count();
    assert!(shared <= asked[0].len() / 3, "{shared} of {asked:?}");
}
