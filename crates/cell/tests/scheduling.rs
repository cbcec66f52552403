//! Which waiting tasks are placed where, and in which order.

#![allow(clippy::unwrap_used, reason = "a test that can't go on panics")]

use std::time::Duration;

use cell::{Digests, Dispatch, JobScheduler};
use config::{Builder, Cell};
use resource::Size;
use wire::{Band, Digest, Job, Shape, Task};

const TEAM: &str = "planners";

fn cell(quota_cores: f64) -> Cell {
    Builder::new("test")
        .rack("north", "north-1", "r1")
        .team(TEAM, "north", quota_cores, 1_000_000)
        .team("others", "north", 64.0, 1_000_000)
        .build()
        .unwrap()
}

fn job(id: &str, shape: Shape, tasks: u32, cores: u64) -> Job {
    Job {
        id: id.to_owned(),
        team: TEAM.to_owned(),
        shape,
        tasks,
        size: Size::new(cores * 1_000, 1_024, 0),
        urgent: false,
        run_ms: 1_000,
    }
}

fn capacity(cores: &[u64]) -> Digests {
    let mut digests = Digests::new(Size::new(16_000, 65_536, 0));
    let free = cores
        .iter()
        .map(|c| Size::new(c * 1_000, 65_536, 0))
        .collect();
    let yielding = vec![Size::ZERO; cores.len()];
    digests.update(&Digest {
        rack: "r1".to_owned(),
        epoch: 1,
        free,
        lent: yielding.clone(),
        yielding,
    });
    digests
}

fn placed(dispatches: &[Dispatch]) -> Vec<Task> {
    let tasks = dispatches.iter().flat_map(|dispatch| match dispatch {
        Dispatch::Start(request) => request.tasks.clone(),
        Dispatch::Gang { requests, .. } => requests.iter().flat_map(|o| o.tasks.clone()).collect(),
    });
    tasks.collect()
}

fn names(dispatches: &[Dispatch]) -> Vec<String> {
    placed(dispatches)
        .into_iter()
        .map(|task| task.id.job)
        .collect()
}

/// Guards against small tasks taking the capacity that large tasks need: large tasks go first, and
/// small ones fill the gaps.
#[test]
fn large_tasks_go_before_small_ones() {
    let mut scheduler = JobScheduler::new("r1".to_owned(), 1);
    scheduler.submit(job("small", Shape::Batch, 8, 2));
    scheduler.submit(job("large", Shape::Batch, 2, 12));
    let dispatches = scheduler.schedule(&cell(64.0), &mut capacity(&[16, 16]));
    let names = names(&dispatches);
    assert_eq!(names.iter().filter(|name| *name == "large").count(), 2);
    assert_eq!(names.iter().filter(|name| *name == "small").count(), 4);
}

/// Guards against starvation: an old small job runs, however many large ones are submitted after
/// it.
#[test]
fn a_job_that_has_waited_long_goes_first() {
    let mut scheduler = JobScheduler::new("r1".to_owned(), 1);
    scheduler.submit(job("old", Shape::Batch, 1, 2));
    for n in 0..100 {
        scheduler.submit(job(&format!("large{n}"), Shape::Batch, 1, 16));
    }
    let dispatches = scheduler.schedule(&cell(64.0), &mut capacity(&[16]));
    assert_eq!(names(&dispatches)[0], "old");
}

/// Urgent work goes before all other waiting work.
#[test]
fn urgent_work_goes_first() {
    let mut scheduler = JobScheduler::new("r1".to_owned(), 1);
    scheduler.submit(job("large", Shape::Batch, 1, 16));
    let urgent = Job {
        urgent: true,
        ..job("urgent", Shape::Batch, 1, 1)
    };
    scheduler.submit(urgent);
    let dispatches = scheduler.schedule(&cell(64.0), &mut capacity(&[16]));
    assert_eq!(names(&dispatches), ["urgent"]);
    assert_eq!(placed(&dispatches)[0].band, Band::Urgent);
}

/// Work beyond the quota runs on idle capacity and is marked as borrowed.
#[test]
fn work_beyond_the_quota_borrows() {
    let mut scheduler = JobScheduler::new("r1".to_owned(), 1);
    scheduler.submit(job("report", Shape::Batch, 4, 4));
    let dispatches = scheduler.schedule(&cell(8.0), &mut capacity(&[16]));
    let bands: Vec<Band> = placed(&dispatches).iter().map(|task| task.band).collect();
    assert_eq!(
        bands,
        [Band::Normal, Band::Normal, Band::Borrowed, Band::Borrowed]
    );
}

/// No member of a gang starts before there is capacity for the whole gang.
#[test]
fn a_gang_waits_for_capacity_for_all_its_members() {
    let mut scheduler = JobScheduler::new("r1".to_owned(), 1);
    scheduler.submit(job("model", Shape::Gang, 3, 8));
    assert_eq!(scheduler.schedule(&cell(64.0), &mut capacity(&[16, 7])), []);
    assert_eq!(
        placed(&scheduler.schedule(&cell(64.0), &mut capacity(&[16, 8]))).len(),
        3
    );
}

/// Guards against starting a task twice: a task that was sent to a rack is not sent again before
/// the rack has answered.
#[test]
fn a_task_that_was_placed_is_not_placed_again() {
    let mut scheduler = JobScheduler::new("r1".to_owned(), 1);
    scheduler.submit(job("report", Shape::Batch, 2, 2));
    let mut digests = capacity(&[16]);
    assert_eq!(
        placed(&scheduler.schedule(&cell(64.0), &mut digests)).len(),
        2
    );
    assert_eq!(scheduler.schedule(&cell(64.0), &mut digests), []);
    assert!(!scheduler.inventory_due(Duration::from_secs(100)));
}
