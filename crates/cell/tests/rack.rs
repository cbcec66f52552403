//! A rack's owner on its own: which orders it takes, what it holds, when it may act.

#![allow(clippy::unwrap_used, reason = "a test that can't go on panics")]

use std::time::Duration;

use cell::{Command, Next, Outcome, Rack, RunOutcome, Settings};
use resource::Size;
use wire::{Band, Fate, Mode, Order, Placement, Seniority, Shape, Task, TaskId};
use worker::call::{Adopted, Report};

const EPOCH: u64 = 7;
const NOW: Duration = Duration::from_secs(100);

fn rack() -> Rack {
    rack_of(EPOCH)
}

fn rack_of(epoch: u64) -> Rack {
    let roster = ["w0", "w1"].map(String::from).into();
    let mut rack = Rack::new("r1", epoch, roster, Settings::default());
    for worker in ["w0", "w1"] {
        let size = Size::new(16_000, 65_536, 1);
        let adopted = Adopted {
            size,
            slots: 8,
            report: Report::default(),
        };
        rack.adopt(worker, worker, 1, &adopted, NOW, NOW);
    }
    rack.activate();
    rack
}

fn task(index: u32, cores: u64, band: Band) -> Task {
    Task {
        id: TaskId {
            team: "t".to_owned(),
            job: "j".to_owned(),
            index,
            attempt: 1,
        },
        shape: Shape::Batch,
        band,
        size: Size::new(cores * 1_000, 1_024, 0),
        run_ms: 1_000,
        home: "home".to_owned(),
        saved_ms: 0,
    }
}

fn order(epoch: u64, serial: u64, tasks: Vec<Task>) -> Order {
    let from = Seniority {
        home: "home".to_owned(),
        epoch: 3,
        serial,
    };
    Order {
        rack: "r1".to_owned(),
        epoch,
        from,
        mode: Mode::Start,
        tasks,
    }
}

fn place(rack: &mut Rack, order: &Order) -> Vec<Placement> {
    rack.place(order, NOW).0.placements
}

/// The owner of the job sees "not owner" and plans anew. An order that was meant for an earlier
/// owner of the rack comes late: that one was given up on, and the task may run elsewhere.
#[test]
fn an_order_that_was_meant_for_an_earlier_owner_is_turned_away() {
    let mut rack = rack();
    let late = order(EPOCH - 1, 5, vec![task(0, 1, Band::Normal)]);
    assert_eq!(place(&mut rack, &late), [Placement::NotOwner]);
    let meant = order(EPOCH, 6, vec![task(0, 1, Band::Normal)]);
    assert_eq!(place(&mut rack, &meant), [Placement::Placed]);
}

/// The owner of the job sees "not owner". It gave up on an order and asked what the rack holds; the
/// order comes after that.
#[test]
fn an_order_that_is_older_than_the_last_message_is_turned_away() {
    let mut rack = rack();
    let asked = Seniority {
        home: "home".to_owned(),
        epoch: 3,
        serial: 6,
    };
    assert!(rack.accept_message(&asked));
    let late = order(EPOCH, 5, vec![task(0, 1, Band::Normal)]);
    assert_eq!(place(&mut rack, &late), [Placement::NotOwner]);
}

/// A deposed owner of a job sees "not owner". The rack's new owner has heard nothing of the job's
/// new owner, but has read its epoch.
#[test]
fn an_order_from_an_owner_that_the_table_has_replaced_is_turned_away() {
    let mut rack = rack();
    rack.reject_older_owners("home", 4);
    let old = order(EPOCH, 5, vec![task(0, 1, Band::Normal)]);
    assert_eq!(place(&mut rack, &old), [Placement::NotOwner]);
}

/// Workers see no more than they can hold, whatever is asked for at once.
#[test]
fn no_worker_is_promised_more_than_it_has() {
    let mut rack = rack();
    let tasks: Vec<Task> = (0..20).map(|n| task(n, 5, Band::Normal)).collect();
    let placed = place(&mut rack, &order(EPOCH, 1, tasks));
    assert_eq!(
        placed.iter().filter(|p| **p == Placement::Placed).count(),
        6
    );
    for (_, used, _) in rack.status("active", NOW).workers {
        assert!(used.fits(Size::new(16_000, 65_536, 1)));
    }
}

/// Workers see the urgent task's start only after the tasks that make room have ended.
#[test]
fn urgent_work_starts_after_the_others_have_ended() {
    let mut rack = rack();
    let tasks: Vec<Task> = (0..4).map(|n| task(n, 8, Band::Normal)).collect();
    let (_, starts) = rack.place(&order(EPOCH, 1, tasks), NOW);
    for command in starts {
        let Command::Start { start, .. } = command else {
            panic!("{command:?}")
        };
        rack.start_outcome(&start.task.id, Outcome::Done { saved_ms: 0 }, NOW);
    }
    let (reply, stops) = rack.place(&order(EPOCH, 2, vec![task(9, 8, Band::Urgent)]), NOW);
    assert_eq!(reply.placements, [Placement::Placed]);
    let [Command::Stop { stop, .. }] = stops.as_slice() else {
        panic!("{stops:?}")
    };
    assert!(stop.checkpoint);
    let more = rack.stop_outcome(&stop.task, Outcome::Done { saved_ms: 50 }, NOW);
    let [Command::Start { start, .. }] = more.as_slice() else {
        panic!("{more:?}")
    };
    assert_eq!(start.task.id.index, 9);
    let preempted = rack
        .unconfirmed_events()
        .iter()
        .rfind(|(_, event)| event.task == stop.task)
        .unwrap();
    assert_eq!(preempted.1.fate, Fate::Preempted { saved_ms: 50 });
}

/// Callers see "not run, come back": without fresh answers from a majority the owner starts
/// nothing.
#[test]
fn an_owner_without_proof_starts_nothing() {
    let mut rack = rack();
    let later = NOW + cell::fence::AUTHORITY_VALIDITY;
    assert!(rack.enqueue(0, "k", later + NOW, later).is_err());
    let placed = rack.place(&order(EPOCH, 1, vec![task(0, 1, Band::Normal)]), later);
    assert_eq!(placed.0.placements, [Placement::NotOwner]);
}

/// Callers see: one run for the key at a time. A placer loses the rack and takes it again; then the
/// answer to a run of its former time comes, for a key that another run works on now.
#[test]
fn the_end_of_a_run_of_a_former_time_frees_nothing() {
    let expires = NOW + Duration::from_secs(1);
    let start = |rack: &mut Rack| {
        rack.enqueue(0, "seat", expires, NOW).unwrap();
        let Next::Start(go) = rack.start_next(NOW) else {
            panic!("nothing starts")
        };
        go
    };
    let mut former = rack();
    let old = start(&mut former);
    let mut rack = rack_of(EPOCH + 2);
    let new = start(&mut rack);
    assert_ne!(old.attempt, new.attempt);
    rack.enqueue(0, "seat", expires, NOW).unwrap();
    rack.finish(
        &old,
        RunOutcome::Known { failed: false },
        Duration::ZERO,
        NOW,
    );
    assert_eq!(rack.start_next(NOW), Next::Idle);
    rack.finish(
        &new,
        RunOutcome::Known { failed: false },
        Duration::ZERO,
        NOW,
    );
    assert!(matches!(rack.start_next(NOW), Next::Start(_)));
}
