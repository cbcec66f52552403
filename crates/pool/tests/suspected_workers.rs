//! Workers that are suspected of failing what they start, and what they may be given.

#[allow(dead_code, reason = "other test files use the rest")]
mod case;
#[allow(dead_code, reason = "other test files use the rest")]
mod simulation;

use case::{adopt, end, pool, report, running, starts};
use pool::{Job, Ms, Pool, RunEnd, RunOutcome, Start, StartAnswer, WorkerCounts, WorkerId};
use simulation::{UNIX, job};

/// Time between two scheduling passes.
const PASS: Ms = 100;
/// A long-running task may be down for this long while there is capacity for it.
const MAX_DOWN: Ms = 6_000;

/// A pool with one worker, which reports all its runs before each scheduling pass.
struct Cell {
    pool: Pool,
    now: Ms,
    running: Vec<Start>,
    ends: Vec<RunEnd>,
    end_count: u64,
}

impl Cell {
    fn new() -> Self {
        Self {
            pool: pool(1),
            now: 1_000,
            running: Vec::new(),
            ends: Vec::new(),
            end_count: 0,
        }
    }

    fn accept(&mut self, job: Job) {
        adopt(&mut self.pool, self.now, job);
    }

    /// Runs one scheduling pass; returns what it has started.
    fn pass(&mut self) -> Vec<Start> {
        self.now += PASS;
        let id: WorkerId = "w00".into();
        let status = self.running.iter().map(running).collect();
        let ended = std::mem::take(&mut self.ends);
        report(&mut self.pool, self.now, &id, status, ended);
        let started = starts(self.pool.schedule(self.now, UNIX + self.now));
        for start in &started {
            self.pool
                .start_answered(self.now, start, StartAnswer::Running);
        }
        self.running.extend(started.iter().cloned());
        started
    }

    /// Runs passes for this long; returns what they have started.
    fn run_for(&mut self, time: Ms) -> Vec<Start> {
        let passes = time / PASS;
        (0..passes).flat_map(|_| self.pass()).collect()
    }

    /// The run ends, as its worker reports at the next pass.
    fn end(&mut self, start: &Start, outcome: RunOutcome) {
        self.running.retain(|it| it.task != start.task);
        self.end_count += 1;
        self.ends.push(end(start, self.end_count, outcome));
    }

    /// Fails short tasks until the only worker is suspected.
    fn fail_tasks(&mut self) {
        for index in 0..3 {
            self.accept(short_job(&format!("00000000000000f{index}")));
            let started = self.pass();
            assert_eq!(started.len(), 1, "{started:?}");
            self.end(&started[0], RunOutcome::Failed);
        }
        drop(self.pass());
        assert_eq!(self.pool.take_worker_suspicions().len(), 1);
    }

    fn is_running(&self, index: u32, job: &str) -> bool {
        let mut running = self.running.iter().map(|start| &start.task);
        running.any(|task| task.index == index && &*task.stage.job == job)
    }
}

/// A job of one short task, which fails with its first attempt.
fn short_job(id: &str) -> Job {
    let mut short = job(id, &[(1, 500, 400)]);
    short.policy.attempts = 1;
    short
}

/// A job of long-running tasks, of which four fit on a worker.
fn service(id: &str, tasks: u32) -> Job {
    let mut service = job(id, &[(tasks, 800, 0)]);
    service.steps[0].long_running = true;
    service
}

/// Guards against long-running tasks that stay down beside free capacity: their only worker is suspected, and runs another one, which
/// never ends.
#[test]
fn a_long_running_task_returns_to_a_suspected_worker_that_runs_another_one() {
    let mut cell = Cell::new();
    cell.accept(service("00000000000000s1", 2));
    assert_eq!(cell.run_for(2_000).len(), 2);
    cell.fail_tasks();
    let failed = cell.running[1].clone();
    cell.end(&failed, RunOutcome::Failed);
    drop(cell.run_for(MAX_DOWN));
    assert!(cell.is_running(failed.task.index, "00000000000000s1"));
}

/// Guards against a suspicion that long-running tasks can't end: three of them wait for the suspected worker.
#[test]
fn a_suspected_worker_that_runs_long_running_tasks_well_gets_more_of_them() {
    let mut cell = Cell::new();
    cell.accept(service("00000000000000s1", 1));
    assert_eq!(cell.run_for(2_000).len(), 1);
    cell.fail_tasks();
    cell.accept(service("00000000000000s2", 3));
    assert_eq!(cell.run_for(MAX_DOWN).len(), 3);
}

/// Guards against a faulty worker that uses up the attempts of many short jobs because it runs a long-running task well.
#[test]
fn a_suspected_worker_gets_one_short_task_at_a_time_beside_a_long_running_one() {
    let mut cell = Cell::new();
    cell.accept(service("00000000000000s1", 1));
    drop(cell.run_for(2_000));
    cell.fail_tasks();
    for index in 0..20 {
        cell.accept(short_job(&format!("00000000000000a{index:02}")));
    }
    let mut failures = 0;
    for _ in 0..100 {
        let started = cell.pass();
        assert!(started.len() <= 1, "{started:?}");
        for start in &started {
            failures += 1;
            cell.end(start, RunOutcome::Failed);
        }
    }
    assert!((1..=5).contains(&failures), "{failures} tasks in 10 s");
}

/// Guards against a long-running task that is started again and again on a worker that fails it at once.
#[test]
fn a_long_running_task_that_fails_its_test_pauses_the_worker() {
    let mut cell = Cell::new();
    cell.fail_tasks();
    cell.accept(service("00000000000000s1", 1));
    let mut failures = 0;
    for _ in 0..100 {
        for start in cell.pass() {
            failures += 1;
            cell.end(&start, RunOutcome::Failed);
        }
    }
    assert!((1..=5).contains(&failures), "{failures} tasks in 10 s");
}

/// Guards against a gang that waits for ever: a worker of it is suspected and gets no other work that could show that it is sound.
#[test]
fn a_gang_gets_a_worker_that_was_suspected_long_ago() {
    let mut cell = Cell::new();
    cell.fail_tasks();
    let mut gang = job("00000000000000g1", &[(4, 800, 5_000)]);
    gang.steps[0].gang = true;
    cell.accept(gang);
    assert_eq!(cell.run_for(12_000).len(), 4);
}

/// Guards against a long-running task that is down for a reason that the log doesn't tell.
#[test]
fn a_long_running_task_that_is_down_is_reported_with_the_reason() {
    let mut cell = Cell::new();
    cell.accept(service("00000000000000s1", 2));
    drop(cell.run_for(2_000));
    cell.accept(job("00000000000000a1", &[(1, 2_400, 60_000)]));
    drop(cell.pass());
    assert_eq!(cell.pool.down_steps(cell.now, 8).len(), 0);
    let failed = cell.running[1].clone();
    cell.end(&failed, RunOutcome::Failed);
    cell.accept(job("00000000000000a2", &[(1, 800, 60_000)]));
    drop(cell.run_for(4_000));
    let down = cell.pool.down_steps(cell.now, 8);
    assert_eq!(down.len(), 1);
    assert_eq!(
        (down[0].tasks, &*down[0].stage.job),
        (1, "00000000000000s1")
    );
    assert!((2_000..4_000).contains(&down[0].since), "{}", down[0].since);
    assert_eq!(
        down[0].workers,
        WorkerCounts {
            full: 1,
            ..WorkerCounts::default()
        }
    );
}
