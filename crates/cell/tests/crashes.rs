//! Which losses of workers count against the tasks that they ran, and what follows.

#![allow(clippy::unwrap_used, reason = "a test that can't go on panics")]

use std::collections::BTreeMap;
use std::time::Duration;

use cell::{Command, Digests, Dispatch, JobScheduler, Rack, SavedJob, Settings};
use config::{Builder, Cell};
use resource::Size;
use wire::{
    AttemptState, Band, Digest, Event, FencingToken, Inventory, Job, Mode, Phase, PlaceReply,
    PlaceRequest, Placement, Shape, Task, TaskId,
};
use worker::call::{Adopted, EndedTask, Report, RunningTask};

const NOW: Duration = Duration::from_secs(100);
const TEAM: &str = "planners";
const ROOM: Size = Size::new(16_000, 65_536, 0);

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn cell() -> Cell {
    Builder::new("test")
        .rack("north", "north-1", "r1")
        .team(TEAM, "north", 64.0, 1_000_000)
        .build()
        .unwrap()
}

fn job(shape: Shape, tasks: u32) -> Job {
    Job {
        id: "job".to_owned(),
        team: TEAM.to_owned(),
        shape,
        tasks,
        size: Size::new(1_000, 1_024, 0),
        urgent: false,
        run_ms: 1_000,
    }
}

fn scheduler_of(job: Job) -> JobScheduler {
    let mut scheduler = JobScheduler::new("r1".to_owned(), 1);
    scheduler.submit(job);
    scheduler
}

/// Runs a scheduling pass with enough capacity; returns the requests.
fn place(scheduler: &mut JobScheduler) -> Vec<PlaceRequest> {
    let mut digests = Digests::new(ROOM);
    digests.update(&Digest {
        rack: "r1".to_owned(),
        epoch: 1,
        free: vec![ROOM],
        lent: vec![Size::ZERO],
        yielding: vec![Size::ZERO],
    });
    let dispatches = scheduler.schedule(&cell(), &mut digests);
    let requests = dispatches.into_iter().flat_map(|dispatch| match dispatch {
        Dispatch::Start(request) => vec![request],
        Dispatch::Gang { requests, .. } => requests,
    });
    requests.collect()
}

/// Starts all waiting tasks and reports these states of each of their attempts.
fn run(scheduler: &mut JobScheduler, states: &[AttemptState]) -> usize {
    let tasks: Vec<Task> = place(scheduler).into_iter().flat_map(|r| r.tasks).collect();
    for task in &tasks {
        for &state in states {
            let task = task.id.clone();
            scheduler.apply_event(&Event { task, state });
        }
    }
    tasks.len()
}

fn phase(scheduler: &JobScheduler) -> Phase {
    scheduler.state(TEAM, "job").unwrap().phase
}

/// Guards against failing a job whose attempts end for other reasons than a crash, however often.
#[test]
fn a_job_whose_attempts_are_interrupted_is_not_failed() {
    for shape in [Shape::Batch, Shape::Service] {
        let mut scheduler = scheduler_of(job(shape, 1));
        for _ in 0..50 {
            assert_eq!(run(&mut scheduler, &[AttemptState::Interrupted]), 1);
            assert_ne!(phase(&scheduler), Phase::Failed);
        }
    }
}

/// Guards against adding up crashes between which the task ran stably.
#[test]
fn crashes_that_are_not_in_a_row_fail_no_job() {
    let mut scheduler = scheduler_of(job(Shape::Service, 1));
    for _ in 0..20 {
        run(&mut scheduler, &[AttemptState::Lost]);
        run(&mut scheduler, &[AttemptState::Lost]);
        let survived = [AttemptState::Stable, AttemptState::Interrupted];
        run(&mut scheduler, &survived);
        assert_ne!(phase(&scheduler), Phase::Failed);
    }
}

/// Guards against adding up the crashes of different tasks of one job.
#[test]
fn one_crash_of_each_task_fails_no_job() {
    let mut scheduler = scheduler_of(job(Shape::Batch, 12));
    assert_eq!(run(&mut scheduler, &[AttemptState::Lost]), 12);
    assert_eq!(run(&mut scheduler, &[AttemptState::Lost]), 12);
    assert_ne!(phase(&scheduler), Phase::Failed);
}

/// Guards against endless restarts of services and gangs whose tasks crash their workers.
#[test]
fn a_service_and_a_gang_whose_workers_crash_are_given_up() {
    for shape in [Shape::Service, Shape::Gang] {
        let mut scheduler = scheduler_of(job(shape, 2));
        for _ in 0..3 {
            assert_ne!(phase(&scheduler), Phase::Failed);
            assert_eq!(run(&mut scheduler, &[AttemptState::Lost]), 2);
        }
        assert_eq!(phase(&scheduler), Phase::Failed);
        assert_eq!(run(&mut scheduler, &[AttemptState::Lost]), 0);
    }
}

/// Guards against a new owner of the home rack that starts a task again as often as the former one.
#[test]
fn a_new_owner_knows_the_crashes() {
    let mut former = scheduler_of(job(Shape::Batch, 2));
    run(&mut former, &[AttemptState::Lost]);
    run(&mut former, &[AttemptState::Lost]);
    let row = serde_json::to_string(&former.take_unsaved()[0]).unwrap();
    let saved: SavedJob = serde_json::from_str(&row).unwrap();
    assert_eq!(saved.crashes, BTreeMap::from([(0, 2), (1, 2)]));

    let mut next = JobScheduler::new("r1".to_owned(), 2);
    next.recover([saved], &cell(), NOW);
    next.apply_inventory(&Inventory {
        rack: "r1".to_owned(),
        complete: true,
        holdings: Vec::new(),
        unconfirmed: Vec::new(),
    });
    let requests = place(&mut next);
    assert_eq!(requests[0].crashes, [2, 2]);
    let task = requests[0].tasks[0].id.clone();
    let state = AttemptState::Lost;
    next.apply_event(&Event { task, state });
    assert_eq!(phase(&next), Phase::Failed);
}

/// Guards against rows that a new build can't read: those of earlier builds have no crashes.
#[test]
fn a_row_without_crashes_is_read() {
    let saved = SavedJob::new(job(Shape::Batch, 1));
    let row = serde_json::to_string(&saved).unwrap();
    assert!(!row.contains("crashes"), "{row}");
    assert_eq!(serde_json::from_str::<SavedJob>(&row).unwrap(), saved);
}

/// A rack of two workers with its owner.
struct Owned {
    rack: Rack,
    now: Duration,
    serial: u64,
    incarnations: BTreeMap<String, u64>,
}

impl Owned {
    fn new() -> Self {
        let names = ["w0", "w1"].map(String::from);
        let mut owned = Self {
            rack: Rack::new("r1", 1, ["w0".to_owned()].into(), Settings::default()),
            now: NOW,
            serial: 0,
            incarnations: names.into_iter().map(|name| (name, 0)).collect(),
        };
        owned.adopt("w0");
        owned.adopt("w1");
        owned.rack.activate();
        owned
    }

    fn adopt(&mut self, worker: &str) {
        let adopted = Adopted {
            size: ROOM,
            slots: 8,
            report: Report::default(),
        };
        let incarnation = self.incarnations[worker];
        self.rack
            .adopt(worker, worker, incarnation, &adopted, self.now, self.now);
    }

    fn restart(&mut self, worker: &str) {
        self.rack.remove_worker(worker);
        *self.incarnations.get_mut(worker).unwrap() += 1;
        self.adopt(worker);
    }

    /// Lets time pass, with an answer of each of these workers every 0.5 s that lists what it runs.
    fn pass(&mut self, time: Duration, workers: &[&str], running: &[(&str, &Task)]) {
        let end = self.now + time;
        while self.now < end {
            self.now = end.min(self.now + ms(500));
            for &worker in workers {
                let (_, heartbeat) = self.rack.next_heartbeat(worker, self.now).unwrap();
                let on_worker = running.iter().filter(|(host, _)| *host == worker);
                let tasks = on_worker.map(|(_, task)| RunningTask {
                    task: (*task).clone(),
                    usage: Size::ZERO,
                });
                let report = Report {
                    clock: self.now.as_millis() as u64,
                    tasks: tasks.collect(),
                    ..Report::default()
                };
                self.rack
                    .heartbeat_answered(worker, &heartbeat, &report, self.now, self.now);
            }
            self.rack.tick(self.now);
        }
    }

    /// Starts a task whose earlier attempts may have crashed this many workers; returns the worker.
    fn start(&mut self, task: &Task, crashes: u32) -> Option<String> {
        self.serial += 1;
        let request = PlaceRequest {
            rack: "r1".to_owned(),
            epoch: 1,
            from: FencingToken {
                home: "home".to_owned(),
                epoch: 1,
                serial: self.serial,
            },
            mode: Mode::Start,
            tasks: vec![task.clone()],
            crashes: vec![crashes],
        };
        let (reply, commands) = self.rack.place(&request, self.now);
        match commands.as_slice() {
            [Command::Start { address, .. }] => {
                assert_eq!(reply.placements, [Placement::Placed]);
                Some(address.clone())
            }
            [] => {
                assert_eq!(reply.placements, [Placement::Full]);
                None
            }
            other => panic!("{other:?}"),
        }
    }

    /// The last reported state of an attempt.
    fn state(&self, task: &Task) -> Option<AttemptState> {
        let mut events = self.rack.unconfirmed_events().iter();
        let last = events.rfind(|(_, event)| event.task == task.id)?;
        Some(last.1.state)
    }
}

fn task(job: &str, attempt: u64) -> Task {
    Task {
        id: TaskId {
            team: TEAM.to_owned(),
            job: job.to_owned(),
            index: 0,
            attempt,
        },
        shape: Shape::Batch,
        band: Band::Normal,
        size: Size::new(1_000, 1_024, 0),
        run_ms: 60_000,
        home: "home".to_owned(),
        saved_ms: 0,
    }
}

/// Guards against crashes that nobody counts: a worker restarts shortly after a start, whether or
/// not the start was confirmed.
#[test]
fn a_restart_shortly_after_a_start_is_reported_as_a_crash() {
    let mut owned = Owned::new();
    let task = task("crasher", 1);
    let worker = owned.start(&task, 0).unwrap();
    owned.now += ms(500);
    owned.restart(&worker);
    assert_eq!(owned.state(&task), Some(AttemptState::Lost));
}

/// Guards against blaming a task for a restart of its worker long after the start.
#[test]
fn a_restart_long_after_a_start_is_no_crash() {
    let mut owned = Owned::new();
    let task = task("long", 1);
    let worker = owned.start(&task, 1).unwrap();
    owned.pass(ms(3_000), &["w0", "w1"], &[(&worker, &task)]);
    assert_eq!(owned.state(&task), Some(AttemptState::Stable));
    owned.restart(&worker);
    assert_eq!(owned.state(&task), Some(AttemptState::Interrupted));
}

/// Guards against blaming a task for a worker that can't be reached until its lease has lapsed, on
/// either side of the line.
#[test]
fn a_lapsed_lease_is_no_crash() {
    let mut owned = Owned::new();
    let task = task("cut-off", 1);
    let worker = owned.start(&task, 0).unwrap();
    let other = if worker == "w0" { "w1" } else { "w0" };
    owned.pass(ms(30_000), &[other], &[]);
    assert_eq!(owned.state(&task), Some(AttemptState::Interrupted));

    let mut owned = Owned::new();
    let worker = owned.start(&task, 0).unwrap();
    owned.pass(ms(1_000), &["w0", "w1"], &[(&worker, &task)]);
    let (_, heartbeat) = owned.rack.next_heartbeat(&worker, owned.now).unwrap();
    let report = Report {
        clock: owned.now.as_millis() as u64,
        ended: vec![EndedTask {
            task: task.id.clone(),
            home: task.home.clone(),
            state: AttemptState::Lost,
        }],
        ..Report::default()
    };
    let now = owned.now;
    owned
        .rack
        .heartbeat_answered(&worker, &heartbeat, &report, now, now);
    assert_eq!(owned.state(&task), Some(AttemptState::Interrupted));
}

/// Guards against blaming a task for the end of a worker that was about to leave.
#[test]
fn the_end_of_a_leaving_worker_is_no_crash() {
    let mut owned = Owned::new();
    let task = task("late", 1);
    let worker = owned.start(&task, 0).unwrap();
    owned.rack.set_listed_leaving(&worker, true);
    owned.restart(&worker);
    assert_eq!(owned.state(&task), Some(AttemptState::Interrupted));
}

/// Guards against blaming tasks for a worker that also restarts when nothing was started there.
#[test]
fn restarts_of_a_worker_that_restarts_on_its_own_are_no_crashes() {
    let mut owned = Owned::new();
    owned.restart("w0");
    owned.rack.set_listed_leaving("w1", true);
    for attempt in 1..5 {
        owned.pass(ms(5_000), &["w0", "w1"], &[]);
        let task = task("innocent", attempt);
        assert_eq!(owned.start(&task, 0).unwrap(), "w0");
        owned.restart("w0");
        assert_eq!(owned.state(&task), Some(AttemptState::Interrupted));
    }
}

/// Guards against a worker that restarts every few seconds and takes one task after the other.
#[test]
fn a_worker_that_has_just_restarted_gets_no_tasks() {
    let mut owned = Owned::new();
    owned.rack.set_listed_leaving("w1", true);
    owned.restart("w0");
    assert_eq!(owned.rack.digest(owned.now).free, []);
    owned.pass(ms(3_500), &["w0", "w1"], &[]);
    assert_eq!(owned.start(&task("job", 1), 0), None);
    owned.pass(ms(500), &["w0", "w1"], &[]);
    assert_eq!(owned.start(&task("job", 1), 0).unwrap(), "w0");
}

/// Guards against blaming the neighbours of a task that crashes its workers: tasks of different
/// jobs that may have crashed a worker are not started on the same one.
#[test]
fn suspects_of_different_jobs_start_on_different_workers() {
    let mut owned = Owned::new();
    let (one, two, three) = (task("one", 1), task("two", 1), task("three", 1));
    let first = owned.start(&one, 1).unwrap();
    let second = owned.start(&two, 1).unwrap();
    assert_ne!(first, second);
    assert_eq!(owned.start(&three, 1), None, "beside another suspect");
    let running = [(first.as_str(), &one), (second.as_str(), &two)];
    owned.pass(ms(2_500), &["w0", "w1"], &running);
    assert!(owned.start(&three, 1).is_some(), "both others are stable");
}

/// Guards against blaming a task that was started beside one that has crashed two workers.
#[test]
fn nothing_starts_beside_a_task_that_has_crashed_two_workers() {
    let mut owned = Owned::new();
    let (suspect, other) = (task("suspect", 1), task("other", 1));
    assert_eq!(owned.start(&suspect, 2), None, "its last try waits");
    owned.pass(ms(20_000), &["w0", "w1"], &[]);
    let first = owned.start(&suspect, 2).unwrap();
    assert_ne!(owned.start(&other, 0).unwrap(), first);
    let sibling = Task {
        id: TaskId {
            index: 1,
            ..suspect.id.clone()
        },
        ..suspect
    };
    assert!(owned.start(&sibling, 0).is_some(), "of the same job");
}

/// Guards against taking restarts that go from worker to worker for crashes of one task: its last
/// try waits until the rack is quiet.
#[test]
fn the_last_try_waits_for_a_quiet_rack() {
    let mut owned = Owned::new();
    let (suspect, other) = (task("suspect", 1), task("other", 1));
    assert_eq!(owned.start(&suspect, 2), None);
    owned.pass(ms(10_000), &["w0", "w1"], &[]);
    let worker = owned.start(&other, 0).unwrap();
    owned.restart(&worker);
    owned.pass(ms(15_000), &["w0", "w1"], &[]);
    assert_eq!(
        owned.start(&suspect, 2),
        None,
        "a worker restarted 15 s ago"
    );
    owned.pass(ms(5_000), &["w0", "w1"], &[]);
    assert!(owned.start(&suspect, 2).is_some());
}

/// Guards against a last try that waits for ever for a worker that has restarted and is gone.
#[test]
fn the_last_try_does_not_wait_for_a_worker_that_is_gone() {
    let mut owned = Owned::new();
    let (suspect, other) = (task("suspect", 1), task("other", 1));
    owned.rack.set_listed_leaving("w0", true);
    assert_eq!(owned.start(&other, 0).unwrap(), "w1");
    owned.rack.remove_worker("w1");
    owned.rack.set_listed_leaving("w0", false);
    assert_eq!(owned.start(&suspect, 2), None);
    owned.pass(ms(20_000), &["w0"], &[]);
    assert_eq!(owned.start(&suspect, 2).unwrap(), "w0");
}

/// Guards against a task that a rack turns down and that keeps other jobs from the capacity.
#[test]
fn a_task_that_is_turned_down_goes_last_in_the_next_pass() {
    let whole = |id: &str| Job {
        id: id.to_owned(),
        size: ROOM,
        ..job(Shape::Batch, 1)
    };
    let mut scheduler = scheduler_of(whole("job"));
    run(&mut scheduler, &[AttemptState::Lost]);
    scheduler.submit(whole("other"));
    let first = place(&mut scheduler);
    assert_eq!(first[0].tasks[0].id.job, "job");
    let full = PlaceReply {
        placements: vec![Placement::Full],
        digest: None,
    };
    scheduler.place_request_answered(&first[0], &full);
    let second = place(&mut scheduler);
    assert_eq!(second[0].tasks[0].id.job, "other");
    scheduler.place_request_answered(&second[0], &full);
    assert_eq!(place(&mut scheduler)[0].tasks[0].id.job, "job");
}
