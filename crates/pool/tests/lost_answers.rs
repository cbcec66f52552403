//! Start commands whose answers are lost.
//!
//! Covers quick jobs of many tasks on workers that leave some commands unanswered and carry them out seconds later, or not at
//! all. One unanswered command in a step holds up the whole job.

#[allow(dead_code, reason = "other test files use the rest")]
mod case;
#[allow(dead_code, reason = "other test files use the rest")]
mod simulation;

use case::{adopt, pool, starts};
use pool::{Ms, Pool, Start, StartAnswer};
use simulation::{Simulation, UNIX, job};

/// Runs a scheduling pass every 5 ms from `from` to `to`; returns the start commands with the times at which they were issued.
fn start_commands(pool: &mut Pool, from: Ms, to: Ms) -> Vec<(Ms, Start)> {
    let mut sent = Vec::new();
    for now in (from..to).step_by(5) {
        let issued = starts(pool.schedule(now, UNIX + now));
        sent.extend(issued.into_iter().map(|start| (now, start)));
    }
    sent
}

/// Guards against repeating a command only when its call has timed out after 450 ms. A round trip takes a tenth of that, and a
/// quick job has two seconds for all of its steps.
#[test]
fn a_command_is_repeated_when_its_answer_is_overdue() {
    let mut pool = pool(1);
    adopt(&mut pool, 1_000, job("00000000000000q1", &[(1, 100, 500)]));
    let first = start_commands(&mut pool, 1_000, 1_010);
    pool.start_answered(1_045, &first[0].1, StartAnswer::Running);
    adopt(&mut pool, 2_000, job("00000000000000q2", &[(1, 100, 500)]));
    let sent = start_commands(&mut pool, 2_000, 2_300);
    assert!(sent.len() > 1, "the command is repeated: {sent:?}");
    assert_eq!(sent[0].1.task, sent[1].1.task);
    assert_eq!(sent[0].1.run, sent[1].1.run, "the same run");
    let waited = sent[1].0 - sent[0].0;
    assert!((60..=200).contains(&waited), "after {waited} ms");
}

/// Guards against copies at a fixed interval: a worker that is down would receive one for each task every few milliseconds.
#[test]
fn copies_of_a_command_are_sent_at_growing_intervals() {
    let mut pool = pool(1);
    adopt(&mut pool, 1_000, job("00000000000000q1", &[(1, 100, 500)]));
    let times: Vec<Ms> = start_commands(&mut pool, 1_000, 2_400)
        .into_iter()
        .map(|(time, _)| time)
        .collect();
    let gaps: Vec<Ms> = times.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!((2..=4).contains(&gaps.len()), "{times:?}");
    assert!(gaps.windows(2).all(|pair| pair[1] > pair[0]), "{gaps:?}");
    assert!(
        times.iter().all(|time| *time < 2_000),
        "none after its deadline: {times:?}"
    );
}

/// Guards against running a task twice: a copy of the command is refused for lack of capacity while the first one may still be
/// carried out. The run must be stopped before the task starts elsewhere.
#[test]
fn a_refused_copy_does_not_free_the_task() {
    let mut pool = pool(2);
    adopt(&mut pool, 1_000, job("00000000000000q1", &[(1, 100, 500)]));
    let sent = start_commands(&mut pool, 1_000, 1_300);
    assert!(sent.len() > 1);
    pool.start_answered(1_300, &sent[0].1, StartAnswer::Room);
    assert_eq!(start_commands(&mut pool, 1_300, 1_500).len(), 0);
}

/// Guards against lost answers that delay quick jobs: of sixty jobs of ten tasks, one command in fifteen gets no answer and is
/// carried out late or not at all. A worker answers within 10 ms, so one lost command may cost a job about 100 ms.
#[test]
fn lost_answers_delay_quick_jobs_little() {
    let mut sim = Simulation::new(7, 20);
    sim.conditions.lost_answer_rate = 0.065;
    sim.start_owner();
    sim.run_for(200);
    for index in 0..60 {
        sim.accept(job(&format!("000000000000q{index:03}"), &[(10, 100, 600)]));
        sim.run_for(50);
    }
    sim.run_for(4_000);
    assert!(sim.violations.is_empty(), "{:?}", sim.violations);
    let late = sim.count_late(850);
    assert!(late <= 3, "{late} of 60 took over 850 ms");
}
