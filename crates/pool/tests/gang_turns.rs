//! Gangs that wait for their customers' limits beside other work of the same customers.

#[allow(dead_code, reason = "other test files use the rest")]
mod case;
#[allow(dead_code, reason = "other test files use the rest")]
mod simulation;

use std::collections::BTreeMap;

use case::{adopt, end, register_workers, report, run};
use pool::{
    CustomerId, Entitlement, Job, Limit, Options, Pool, RunOutcome, RunStatus, Start, WorkerId,
};
use resource::Size;
use simulation::{job, long_running_job};

const CUSTOMER: &str = "customer-a";
const LASTING: &str = "00000000000000a1";
const LONG: &str = "00000000000000b1";
const GANG: &str = "00000000000000e1";
const GANG_PREFIX: &str = "00000000000000e";
const TICK: u64 = 20;
/// The longest time for which small tasks may wait for a gang while the customer uses less than half of its limit.
const MAX_HOLD: u64 = 3_000;

/// A run, and when it started and ends.
struct Running {
    start: Start,
    began: u64,
    ends: u64,
}

/// A pool of four workers with 16 cores, and one customer's work on them.
struct Cell {
    pool: Pool,
    now: u64,
    running: Vec<Running>,
    /// Number of the latest end on each worker.
    ends: BTreeMap<WorkerId, u64>,
    /// Times of all starts, by job.
    starts: Vec<(u64, String)>,
    /// True durations of jobs, if they differ from the estimates.
    durations: BTreeMap<String, u64>,
    small_jobs: u64,
    /// Time between the arrivals of two small jobs; `None` if none arrive.
    small_job_interval: Option<u64>,
}

impl Cell {
    fn new(limit: u64) -> Self {
        let mut pool = Pool::new(Options::default());
        register_workers(&mut pool, 4);
        let mut cell = Self {
            pool,
            now: 1_000,
            running: Vec::new(),
            ends: BTreeMap::new(),
            starts: Vec::new(),
            durations: BTreeMap::new(),
            small_jobs: 0,
            small_job_interval: None,
        };
        cell.set_limit(limit);
        cell
    }

    /// Sets the customer's limit, in millicores.
    fn set_limit(&mut self, millicores: u64) {
        let entitlement = Entitlement {
            weight: 1_000.0,
            limit: Limit::from(Size::new(millicores, 0, 0)),
        };
        let customer = CustomerId::from(CUSTOMER);
        self.pool.set_customers([(customer, entitlement)]);
    }

    fn submit(&mut self, job: Job) {
        let customer = CUSTOMER.into();
        adopt(&mut self.pool, self.now, Job { customer, ..job });
    }

    fn submit_gang(&mut self, id: &str, tasks: u32, millicores: u64) {
        let mut gang = job(id, &[(tasks, millicores, 1_000)]);
        gang.steps[0].gang = true;
        gang.policy.priority = 1;
        self.submit(gang);
    }

    /// Runs for this long: starts what the pool starts, and reports the state of all runs.
    fn run_for(&mut self, time: u64) {
        let until = self.now + time;
        while self.now < until {
            self.now += TICK;
            if self
                .small_job_interval
                .is_some_and(|it| self.now.is_multiple_of(it))
            {
                self.small_jobs += 1;
                let id = format!("{:016}", self.small_jobs);
                let mut small = job(&id, &[(1, 1_000, 100)]);
                // It ranks before the gangs, however long it waits.
                small.policy.objective = 60_000;
                self.submit(small);
            }
            for start in run(&mut self.pool, self.now) {
                self.record_start(start);
            }
            self.report();
        }
    }

    fn record_start(&mut self, start: Start) {
        let id = start.task.stage.job.to_string();
        let step = &start.job.steps[usize::from(start.task.stage.step)];
        let duration = self.durations.get(&id).copied();
        let ends = if step.long_running {
            u64::MAX
        } else {
            self.now + duration.unwrap_or(step.estimate)
        };
        self.starts.push((self.now, id));
        self.running.push(Running {
            start,
            began: self.now,
            ends,
        });
    }

    fn report(&mut self) {
        let ids: Vec<WorkerId> = self.pool.workers().map(|it| it.id.clone()).collect();
        let now = self.now;
        for id in ids {
            let own = self.running.iter().filter(|it| it.start.worker == id);
            let (over, on): (Vec<_>, Vec<_>) = own.partition(|it| it.ends <= now);
            let number = self.ends.entry(id.clone()).or_default();
            let ended = over.iter().map(|it| {
                *number += 1;
                end(&it.start, *number, RunOutcome::Done)
            });
            let ended = ended.collect();
            let status = |it: &&Running| RunStatus {
                percent: ((now - it.began) * 100 / (it.ends - it.began)) as u32,
                ..case::running(&it.start)
            };
            let on = on.iter().map(status).collect();
            report(&mut self.pool, now + 1, &id, on, ended);
        }
        self.running.retain(|it| it.ends > now);
    }

    fn first_start(&self, id: &str) -> Option<u64> {
        let mut starts = self.starts.iter();
        starts.find(|(_, job)| job == id).map(|(at, _)| *at)
    }

    /// The longest time without the start of a small task, from `since` until now.
    fn longest_hold(&self, since: u64) -> u64 {
        let is_small = |id: &str| id != LASTING && id != LONG && !id.starts_with(GANG_PREFIX);
        let small = self.starts.iter();
        let small = small.filter(|(at, id)| *at >= since && is_small(id));
        let mut times: Vec<u64> = small.map(|(at, _)| *at).collect();
        times.push(self.now);
        let holds = times.iter().scan(since, |last, &at| {
            let hold = at - *last;
            *last = at;
            Some(hold)
        });
        holds.max().unwrap_or(0)
    }
}

/// A gang fits its customer's limit, but not beside a long-running job of the customer. Guards against a reservation that keeps all
/// other work of the customer from starting, for good, while most of the limit is free.
#[test]
fn a_gang_that_cannot_start_beside_a_long_running_job_holds_nothing_back() {
    let mut cell = Cell::new(10_000);
    cell.submit(long_running_job(LASTING, 2));
    cell.run_for(200);
    assert_eq!(cell.pool.used_by(CUSTOMER).millicores, 2_000);
    cell.submit_gang(GANG, 9, 1_000);
    cell.small_job_interval = Some(TICK);
    let since = cell.now;
    cell.run_for(20_000);
    assert_eq!(cell.first_start(GANG), None, "there is no room for it");
    let hold = cell.longest_hold(since);
    assert!(hold <= 200, "no small task started for {hold} ms");
}

/// Guards against a gang that stays behind small tasks after the long-running job that it couldn't start beside is gone.
#[test]
fn a_gang_starts_among_small_tasks_once_the_long_running_job_is_cancelled() {
    let mut cell = Cell::new(10_000);
    cell.submit(long_running_job(LASTING, 2));
    cell.submit_gang(GANG, 9, 1_000);
    cell.small_job_interval = Some(TICK);
    cell.run_for(8_000);
    assert_eq!(cell.first_start(GANG), None, "there is no room for it");
    cell.pool.cancel(simulation::UNIX + cell.now, LASTING);
    // The workers end the runs that are stopped.
    for run in &mut cell.running {
        if &*run.start.task.stage.job == LASTING {
            run.ends = cell.now + 200;
        }
    }
    let cancelled = cell.now;
    cell.run_for(4_000);
    let started = cell.first_start(GANG).expect("the gang starts");
    assert!(started < cancelled + 3_000, "{} ms", started - cancelled);
}

/// Guards against a gang behind one long task that holds back, until that task ends, what could run and end before.
#[test]
fn tasks_that_end_before_a_gang_can_start_are_not_held_back() {
    let mut cell = Cell::new(10_000);
    cell.submit(job(LONG, &[(2, 1_000, 30_000)]));
    cell.run_for(200);
    cell.submit_gang(GANG, 9, 1_000);
    cell.small_job_interval = Some(TICK);
    let since = cell.now;
    cell.run_for(36_000);
    let started = cell.first_start(GANG).expect("the gang starts");
    assert!(started < 35_000, "started at {started} ms");
    let hold = cell.longest_hold(since);
    assert!(hold <= MAX_HOLD, "no small task started for {hold} ms");
}

/// As above, with a task that takes ten times its estimate. Guards against a reservation that relies on the estimate.
#[test]
fn a_gang_behind_a_task_that_outlasts_its_estimate_holds_others_back_for_a_bounded_time() {
    let mut cell = Cell::new(10_000);
    cell.durations.insert(LONG.to_owned(), 30_000);
    cell.submit(job(LONG, &[(2, 1_000, 3_000)]));
    cell.run_for(200);
    cell.submit_gang(GANG, 9, 1_000);
    cell.small_job_interval = Some(TICK);
    let since = cell.now;
    cell.run_for(45_000);
    let started = cell.first_start(GANG).expect("the gang starts");
    assert!(started < 45_000, "started at {started} ms");
    let hold = cell.longest_hold(since);
    assert!(hold <= MAX_HOLD, "no small task started for {hold} ms");
}

/// A gang fits its customer's limit, but no set of workers has room for it. Guards against small tasks that wait for it.
#[test]
fn a_gang_without_a_set_of_workers_holds_others_back_for_a_bounded_time() {
    let mut cell = Cell::new(16_000);
    // Each worker has four cores.
    cell.submit_gang(GANG, 5, 3_000);
    cell.small_job_interval = Some(TICK);
    let since = cell.now;
    cell.run_for(40_000);
    assert_eq!(cell.first_start(GANG), None, "no set of workers has room");
    let hold = cell.longest_hold(since);
    assert!(hold <= MAX_HOLD, "no small task started for {hold} ms");
}

/// Several gangs of a customer wait, each as wide as its limit. Guards against small tasks that wait until all gangs have started,
/// one after the other.
#[test]
fn small_tasks_start_between_the_gangs_of_their_customer() {
    let mut cell = Cell::new(4_000);
    cell.small_job_interval = Some(2 * TICK);
    cell.run_for(200);
    let since = cell.now;
    let gangs: Vec<String> = (0..8)
        .map(|index| format!("{GANG_PREFIX}{index}"))
        .collect();
    for id in &gangs {
        cell.submit_gang(id, 4, 1_000);
    }
    cell.run_for(30_000);
    for id in &gangs {
        assert!(cell.first_start(id).is_some(), "{id} has not started");
    }
    let hold = cell.longest_hold(since);
    assert!(hold <= MAX_HOLD, "no small task started for {hold} ms");
}

/// The limit falls below a gang that holds others back. Guards against a reservation that is kept for a gang that can't start.
#[test]
fn a_gang_above_a_limit_that_has_fallen_holds_nothing_back() {
    let mut cell = Cell::new(4_000);
    cell.small_job_interval = Some(TICK);
    cell.run_for(200);
    cell.submit_gang(GANG, 4, 1_000);
    cell.run_for(1_060);
    cell.set_limit(3_000);
    let since = cell.now;
    cell.run_for(10_000);
    assert_eq!(cell.first_start(GANG), None, "it exceeds the limit");
    let hold = cell.longest_hold(since);
    assert!(hold <= 300, "no small task started for {hold} ms");
}

/// A long-running task ends while a gang has its turn. Guards against a service that is down for as long as the turn lasts.
#[test]
fn a_long_running_task_is_restarted_while_a_gang_waits() {
    let mut cell = Cell::new(10_000);
    cell.submit(long_running_job(LASTING, 1));
    cell.submit(job(LONG, &[(8, 1_000, 6_000)]));
    cell.run_for(200);
    cell.submit_gang(GANG, 9, 1_000);
    cell.run_for(4_000);
    let failed = cell.now;
    for run in &mut cell.running {
        if &*run.start.task.stage.job == LASTING {
            run.ends = failed + TICK;
        }
    }
    cell.run_for(1_000);
    let restarted = cell.starts.iter();
    let mut restarted = restarted.filter(|(at, id)| id == LASTING && *at > failed);
    assert!(restarted.next().is_some(), "it is down");
}

/// A customer has tasks of some seconds without pause. Guards against a wide gang that never starts since each of its turns ends
/// before the tasks do.
#[test]
fn a_gang_starts_among_tasks_of_several_seconds() {
    for estimate in [800, 3_000, 10_000] {
        let mut cell = Cell::new(4_000);
        for index in 0..100 {
            cell.submit(job(&format!("{index:016}"), &[(1, 1_000, estimate)]));
            cell.durations
                .insert(format!("{index:016}"), estimate - 50 * (index % 7));
        }
        cell.run_for(200);
        cell.submit_gang(GANG, 4, 1_000);
        cell.run_for(5 * estimate + 5_000);
        let started = cell.first_start(GANG);
        assert!(started.is_some(), "not among tasks of {estimate} ms");
    }
}
