//! Workers that restart under the same id: which runs were lost with the former incarnation.
//!
//! A start command that is sent around the restart may be carried out by either incarnation. Only a report of the new one that
//! was requested after the command was answered tells which.

#[allow(dead_code, reason = "other test files use the rest")]
mod case;
#[allow(dead_code, reason = "other test files use the rest")]
mod simulation;

use case::{adopt, describe, end, pool, run, starts};
use pool::{
    Command, Ms, Pool, RunEnd, RunOutcome, RunStatus, Start, StartAnswer, StopAnswer, WorkerReport,
};
use simulation::{UNIX, job};

/// A pool of two workers with a task that is started at time 1010; the answer is not processed yet.
fn start_task() -> (Pool, Start) {
    let mut pool = pool(2);
    adopt(
        &mut pool,
        1_000,
        job("00000000000000e1", &[(1, 1_000, 60_000)]),
    );
    let mut started = starts(pool.schedule(1_010, UNIX + 1_010));
    assert_eq!(started.len(), 1);
    (pool, started.remove(0))
}

/// The new incarnation of the task's worker reports these runs and ends, in answer to a poll that was sent at `requested_at`.
fn report(
    pool: &mut Pool,
    now: Ms,
    requested_at: Ms,
    start: &Start,
    running: Vec<RunStatus>,
    ended: Vec<RunEnd>,
) {
    let report = WorkerReport {
        clock: 10 + now - 1_000,
        incarnation: 2,
        lease: 6_000 + now,
        requested_at,
        running,
        ended,
    };
    pool.apply_report(now, UNIX + now, &start.worker, &report);
}

fn status(start: &Start) -> RunStatus {
    RunStatus {
        task: start.task.clone(),
        run: start.run,
        checkpoint: String::new(),
        percent: 5,
        load: 0,
    }
}

/// Guards against a second run beside the first: the new incarnation carries out the start command after it has listed its runs
/// for a poll, and the answer to the command overtakes that list.
#[test]
fn a_run_that_was_confirmed_after_a_poll_is_not_lost_by_its_answer() {
    let (mut pool, start) = start_task();
    pool.start_answered(1_015, &start, StartAnswer::Running);
    report(&mut pool, 1_020, 1_012, &start, vec![], vec![]);
    assert_eq!(run(&mut pool, 1_025).len(), 0, "it may be running");
    report(
        &mut pool,
        1_100,
        1_050,
        &start,
        vec![status(&start)],
        vec![],
    );
    let commands = pool.schedule(1_105, UNIX + 1_105);
    assert!(commands.is_empty(), "it is running: {commands:?}");
    assert_eq!(pool.take_lost_runs().len(), 0);
}

/// The same, and the new incarnation has completed the task by its next report.
#[test]
fn a_run_that_was_confirmed_after_a_poll_may_end_before_the_next() {
    let (mut pool, start) = start_task();
    pool.start_answered(1_015, &start, StartAnswer::Running);
    report(&mut pool, 1_020, 1_012, &start, vec![], vec![]);
    assert_eq!(run(&mut pool, 1_025).len(), 0, "it may be running");
    let done = end(&start, 1, RunOutcome::Done);
    report(&mut pool, 1_400, 1_050, &start, vec![], vec![done]);
    assert_eq!(run(&mut pool, 1_405).len(), 0, "it is done");
    assert_eq!(pool.take_lost_runs().len(), 0);
}

/// Guards against a task that waits for a run which was lost: the next report doesn't list it either.
#[test]
fn a_run_that_was_confirmed_after_a_poll_is_lost_if_the_next_report_lacks_it() {
    let (mut pool, start) = start_task();
    pool.start_answered(1_015, &start, StartAnswer::Running);
    report(&mut pool, 1_020, 1_012, &start, vec![], vec![]);
    report(&mut pool, 1_100, 1_050, &start, vec![], vec![]);
    assert_eq!(pool.take_lost_runs().len(), 1);
    let again = run(&mut pool, 1_105);
    assert_eq!(again.len(), 1, "it is started again");
    assert!(again[0].run > start.run);
}

/// Guards against a task that is started again late: its run was confirmed before the poll was sent, so the report decides.
#[test]
fn a_run_that_was_confirmed_before_a_poll_is_lost_with_its_answer() {
    let (mut pool, start) = start_task();
    pool.start_answered(1_015, &start, StartAnswer::Running);
    report(&mut pool, 1_100, 1_050, &start, vec![], vec![]);
    assert_eq!(pool.take_lost_runs().len(), 1);
    assert_eq!(run(&mut pool, 1_105).len(), 1, "it is started again");
}

/// Guards against blaming a task for a crash that it survived: its run is listed by the new incarnation, which carried out the
/// command.
#[test]
fn a_run_that_the_new_incarnation_lists_is_not_lost() {
    for answered in [false, true] {
        let (mut pool, start) = start_task();
        if answered {
            pool.start_answered(1_015, &start, StartAnswer::Running);
        }
        report(
            &mut pool,
            1_100,
            1_050,
            &start,
            vec![status(&start)],
            vec![],
        );
        let lost = pool.take_lost_runs();
        assert_eq!(lost.len(), 0, "answered: {answered}, {lost:?}");
        let commands = pool.schedule(1_105, UNIX + 1_105);
        assert!(commands.is_empty(), "answered: {answered}, {commands:?}");
    }
}

/// Guards against a second run beside a start command that is still in transit to the new incarnation: the owner stops the run
/// there first, also if it had given the command to the former incarnation up already.
#[test]
fn a_run_that_was_never_confirmed_is_stopped_before_the_task_starts_again() {
    for cancelled in [false, true] {
        let (mut pool, start) = start_task();
        if cancelled {
            pool.start_answered(1_015, &start, StartAnswer::Lost);
            pool.start_answered(1_016, &start, StartAnswer::Room);
        }
        report(&mut pool, 1_100, 1_050, &start, vec![], vec![]);
        let commands = pool.schedule(1_105, UNIX + 1_105);
        let [Command::Stop(stop)] = &commands[..] else {
            panic!("one stop command is expected: {commands:?}");
        };
        pool.stop_answered(1_110, stop, StopAnswer::Stopped(120));
        report(&mut pool, 1_200, 1_150, &start, vec![], vec![]);
        assert_eq!(run(&mut pool, 1_205).len(), 1, "it is started again");
    }
}

/// Guards against starts on a worker that has come back without the label that the step requires: until the directory describes the new
/// incarnation, its labels, service and capacity aren't known.
#[test]
fn a_worker_that_has_restarted_gets_nothing_until_it_is_described() {
    let mut pool = pool(1);
    let id = pool.workers().next().expect("there is one").id.clone();
    let restarted = WorkerReport {
        clock: 10,
        incarnation: 2,
        requested_at: 1_100,
        ..WorkerReport::default()
    };
    pool.apply_report(1_110, UNIX + 1_110, &id, &restarted);
    let mut labelled = job("00000000000000e2", &[(1, 1_000, 60_000)]);
    labelled.steps[0].label = "a".to_owned();
    adopt(&mut pool, 1_120, labelled);
    assert_eq!(run(&mut pool, 1_130).len(), 0, "its labels aren't known");
    describe(&mut pool, 1_200, &id, 2);
    assert_eq!(run(&mut pool, 1_210).len(), 1);
}

/// Guards against a second run beside the first: the new incarnation replied to the start, whose deadline is far ahead on its clock, so that
/// it has the longest lease there is, and was silent from then on.
#[test]
fn a_reply_of_another_clock_counts_with_the_longest_lease() {
    let (mut pool, start) = start_task();
    pool.record_start_lease(4_000, &start, 10);
    pool.start_answered(4_000, &start, StartAnswer::Running);
    drop(pool.schedule(10_500, UNIX + 10_500));
    assert_eq!(pool.take_lost_runs().len(), 0, "it may be running");
    drop(pool.schedule(10_700, UNIX + 10_700));
    assert_eq!(pool.take_lost_runs().len(), 1);
}

/// Guards against a lease that is forgotten with the report that tells of the restart: the new incarnation had replied to the start before.
#[test]
fn a_lease_of_a_new_incarnation_counts_after_its_first_report() {
    let (mut pool, start) = start_task();
    pool.record_start_lease(4_000, &start, 10);
    pool.start_answered(4_000, &start, StartAnswer::Running);
    let report = WorkerReport {
        clock: 100,
        incarnation: 2,
        lease: 200,
        requested_at: 4_010,
        running: vec![status(&start)],
        ..WorkerReport::default()
    };
    pool.apply_report(4_020, UNIX + 4_020, &start.worker, &report);
    drop(pool.schedule(10_500, UNIX + 10_500));
    assert_eq!(pool.take_lost_runs().len(), 0, "it may be running");
}

/// Guards against tasks that are down for as long as the clocks of two incarnations differ: the new one answers a poll that requested a lease
/// by the former clock. No worker grants more than its longest lease.
#[test]
fn a_lease_by_a_former_clock_holds_tasks_back_no_longer_than_the_longest_lease() {
    let (mut pool, start) = start_task();
    pool.start_answered(1_015, &start, StartAnswer::Running);
    let report = WorkerReport {
        clock: 10,
        incarnation: 2,
        lease: 3_600_000,
        requested_at: 1_020,
        running: vec![status(&start)],
        ..WorkerReport::default()
    };
    pool.apply_report(1_030, UNIX + 1_030, &start.worker, &report);
    drop(pool.schedule(7_500, UNIX + 7_500));
    assert_eq!(pool.take_lost_runs().len(), 0, "it may be running");
    drop(pool.schedule(7_700, UNIX + 7_700));
    assert_eq!(pool.take_lost_runs().len(), 1);
}

/// Guards against a second run beside a start command that is still in transit: the former incarnation has confirmed a stop, and its answer
/// arrives after the first report of the new one, which may still carry the start out.
#[test]
fn a_stop_that_the_former_incarnation_confirmed_ends_nothing_on_the_new_one() {
    let (mut pool, start) = start_task();
    // The clock of the new incarnation is a little ahead of that of the former one, and the start isn't late there yet.
    let report = |pool: &mut Pool, now: Ms| {
        let clock = now + 50_400;
        assert!(clock < start.start_deadline);
        let report = WorkerReport {
            clock,
            incarnation: 2,
            lease: clock + 5_000,
            requested_at: now - 5,
            ..WorkerReport::default()
        };
        pool.apply_report(now, UNIX + now, &start.worker, &report);
    };
    pool.start_answered(1_015, &start, StartAnswer::Lost);
    pool.start_answered(1_016, &start, StartAnswer::Room);
    let commands = pool.schedule(1_020, UNIX + 1_020);
    let [Command::Stop(stop)] = &commands[..] else {
        panic!("one stop command is expected: {commands:?}");
    };
    report(&mut pool, 1_100);
    pool.stop_answered(1_110, stop, StopAnswer::Stopped(51_025));
    report(&mut pool, 1_200);
    assert_eq!(run(&mut pool, 1_205).len(), 0, "it may still start there");
}
