//! Jobs for the simulation.

use pool::{Job, Ms, Policy, Step};
use resource::Size;

use super::UNIX;

/// A job with these steps: number of tasks, millicores and duration in milliseconds of each task.
pub(crate) fn job(id: &str, steps: &[(u32, u64, Ms)]) -> Job {
    Job {
        id: id.into(),
        queue: "q".into(),
        service: "s".into(),
        steps: steps
            .iter()
            .enumerate()
            .map(|(index, &(count, cpu, estimate))| Step {
                count,
                size: Size::new(cpu, 100, 0),
                estimate,
                after: if index == 0 {
                    vec![]
                } else {
                    vec![index as u16 - 1]
                },
                ..Step::default()
            })
            .collect(),
        policy: Policy {
            attempts: 4,
            stretch: 2.0,
            objective: 500,
            ..Policy::default()
        },
        accepted: UNIX,
        ..Job::default()
    }
}

/// A job with tasks that run until the job is cancelled.
pub(crate) fn long_running_job(id: &str, tasks: u32) -> Job {
    let mut job = job(id, &[(tasks, 1_000, 3_600_000)]);
    job.steps[0].long_running = true;
    job
}
