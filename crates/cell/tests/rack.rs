//! One rack owner: which place requests it accepts, what it holds, when it may act.

#![allow(clippy::unwrap_used, reason = "a test that can't go on panics")]

use std::time::Duration;

use cell::{Command, Next, Outcome, Rack, RunOutcome, Settings};
use resource::Size;
use wire::{AttemptState, Band, FencingToken, Mode, PlaceRequest, Placement, Shape, Task, TaskId};
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

fn request(epoch: u64, serial: u64, tasks: Vec<Task>) -> PlaceRequest {
    let from = FencingToken {
        home: "home".to_owned(),
        epoch: 3,
        serial,
    };
    PlaceRequest {
        rack: "r1".to_owned(),
        epoch,
        from,
        mode: Mode::Start,
        tasks,
        crashes: Vec::new(),
    }
}

fn place(rack: &mut Rack, request: &PlaceRequest) -> Vec<Placement> {
    rack.place(request, NOW).0.placements
}

/// A place request is late and was meant for an earlier owner of the rack. The owner of the job
/// gave up on it, so the task may run elsewhere; the answer is "not owner", and the job is
/// scheduled again.
#[test]
fn a_request_that_was_meant_for_an_earlier_owner_is_rejected() {
    let mut rack = rack();
    let late = request(EPOCH - 1, 5, vec![task(0, 1, Band::Normal)]);
    assert_eq!(place(&mut rack, &late), [Placement::NotOwner]);
    let current = request(EPOCH, 6, vec![task(0, 1, Band::Normal)]);
    assert_eq!(place(&mut rack, &current), [Placement::Placed]);
}

/// The owner of the job gave up on a request and asked what the rack holds; the request arrives
/// after that and must have no effect. The answer is "not owner".
#[test]
fn a_request_that_is_older_than_the_last_message_is_rejected() {
    let mut rack = rack();
    let asked = FencingToken {
        home: "home".to_owned(),
        epoch: 3,
        serial: 6,
    };
    assert!(rack.accept_message(&asked));
    let late = request(EPOCH, 5, vec![task(0, 1, Band::Normal)]);
    assert_eq!(place(&mut rack, &late), [Placement::NotOwner]);
}

/// The job's earlier owner sends a place request. The rack's new owner has received no message from
/// the job's new owner yet, but has read its epoch; the answer is "not owner".
#[test]
fn a_request_from_an_owner_that_the_table_has_replaced_is_rejected() {
    let mut rack = rack();
    rack.reject_older_owners("home", 4);
    let old = request(EPOCH, 5, vec![task(0, 1, Band::Normal)]);
    assert_eq!(place(&mut rack, &old), [Placement::NotOwner]);
}

/// A request with more tasks than fit must not overcommit a worker.
#[test]
fn no_worker_is_overcommitted() {
    let mut rack = rack();
    let tasks: Vec<Task> = (0..20).map(|n| task(n, 5, Band::Normal)).collect();
    let placed = place(&mut rack, &request(EPOCH, 1, tasks));
    assert_eq!(
        placed.iter().filter(|p| **p == Placement::Placed).count(),
        6
    );
    for (_, used, _) in rack.status("active", NOW).workers {
        assert!(used.fits(Size::new(16_000, 65_536, 1)));
    }
}

/// The urgent task is started only after the preempted tasks have ended.
#[test]
fn urgent_work_starts_after_the_preempted_tasks_have_ended() {
    let mut rack = rack();
    let tasks: Vec<Task> = (0..4).map(|n| task(n, 8, Band::Normal)).collect();
    let (_, starts) = rack.place(&request(EPOCH, 1, tasks), NOW);
    for command in starts {
        let Command::Start { start, .. } = command else {
            panic!("{command:?}")
        };
        rack.start_outcome(&start.task.id, Outcome::Done { saved_ms: 0 }, NOW);
    }
    let (reply, stops) = rack.place(&request(EPOCH, 2, vec![task(9, 8, Band::Urgent)]), NOW);
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
    assert_eq!(preempted.1.state, AttemptState::Preempted { saved_ms: 50 });
}

/// Without recent acknowledgements from a majority of the workers the owner starts nothing; callers
/// are told that the request was not run.
#[test]
fn an_owner_without_proof_starts_nothing() {
    let mut rack = rack();
    let later = NOW + cell::fence::AUTHORITY_VALIDITY;
    assert!(rack.enqueue(0, "k", later + NOW, later).is_err());
    let placed = rack.place(&request(EPOCH, 1, vec![task(0, 1, Band::Normal)]), later);
    assert_eq!(placed.0.placements, [Placement::NotOwner]);
}

/// A key has at most one run at a time. A placer loses the rack and takes it again; then the result
/// of a run from its first ownership arrives, while another run uses the key.
#[test]
fn the_end_of_a_run_of_an_earlier_ownership_frees_no_key() {
    let expires = NOW + Duration::from_secs(1);
    let start = |rack: &mut Rack| {
        rack.enqueue(0, "seat", expires, NOW).unwrap();
        let Next::Start(run) = rack.start_next(NOW) else {
            panic!("nothing starts")
        };
        run
    };
    let mut earlier = rack();
    let old = start(&mut earlier);
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
