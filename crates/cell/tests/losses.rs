//! Tasks whose attempts are lost.

#![allow(clippy::unwrap_used, reason = "a test that can't go on panics")]

use cell::{Digests, Dispatch, JobScheduler};
use config::Builder;
use resource::Size;
use wire::{AttemptState, Digest, Event, Job, Phase, Shape};

/// Maximum number of starts of a task that crashes its worker each time: three, plus two as a
/// tolerance.
const STARTS_MOST: usize = 5;

/// Guards against endless restarts of a task that crashes its workers, which come about because a
/// lost attempt doesn't count as a failed one.
#[test]
fn a_batch_task_whose_workers_crash_is_given_up() {
    let cell = Builder::new("test")
        .rack("north", "north-1", "r1")
        .team("planners", "north", 64.0, 1_000_000)
        .build()
        .unwrap();
    let mut scheduler = JobScheduler::new("r1".to_owned(), 1);
    scheduler.submit(Job {
        id: "crasher".to_owned(),
        team: "planners".to_owned(),
        shape: Shape::Batch,
        tasks: 1,
        size: Size::new(1_000, 1_024, 0),
        urgent: false,
        run_ms: 1_000,
    });
    let mut starts = 0;
    for _ in 0..20 {
        let mut digests = Digests::new(Size::new(16_000, 65_536, 0));
        digests.update(&Digest {
            rack: "r1".to_owned(),
            epoch: 1,
            free: vec![Size::new(16_000, 65_536, 0)],
            lent: vec![Size::ZERO],
            yielding: vec![Size::ZERO],
        });
        for plan in scheduler.schedule(&cell, &mut digests) {
            let Dispatch::Start(request) = plan else {
                continue;
            };
            for task in request.tasks {
                starts += 1;
                scheduler.apply_event(&Event {
                    task: task.id,
                    state: AttemptState::Lost,
                });
            }
        }
    }
    let state = scheduler.state("planners", "crasher").unwrap();
    assert_eq!(state.phase, Phase::Failed, "after {starts} starts");
    assert!(starts <= STARTS_MOST, "{starts} starts");
}
