//! Cost of a scheduling pass: a full pool with thousands of waiting tasks, of different numbers of customers.

use std::hint::black_box;
use std::sync::Arc;

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use pool::{
    AdvisorPolicy, Command, CustomerId, Entitlement, Job, Limit, Options, Policy, Pool,
    StartAnswer, Step, WorkerId, WorkerInfo, WorkerReport,
};
use resource::Size;

const WORKERS: usize = 350;
const STEPS: usize = 300;
const TASKS_PER_STEP: u32 = 20;
const UNIX: u64 = 1_700_000_000_000;

fn customer(index: usize) -> CustomerId {
    format!("customer-{index}").into()
}

/// A pool in which nothing is free, with waiting steps of the first `busy` of `customers` customers.
fn full_pool(customers: usize, busy: usize, at_limit: bool) -> Pool {
    let mut pool = Pool::new(Options::default());
    let ids: Vec<WorkerId> = (0..WORKERS)
        .map(|index| format!("w{index:03}").into())
        .collect();
    for (index, id) in ids.iter().enumerate() {
        let info = WorkerInfo {
            address: id.to_string(),
            service: "s".into(),
            rack: format!("r{}", index / 8),
            labels: vec!["a".into(), format!("r{}", index / 8)],
            capacity: Size::new(64_000, 128_000, 0),
            incarnation: 1,
            ..WorkerInfo::default()
        };
        pool.update_worker(1_000, id, info);
    }
    pool.set_stored_roster(&ids);
    let report = WorkerReport {
        clock: 50_000,
        incarnation: 1,
        lease: 55_000,
        requested_at: 1_000,
        ..WorkerReport::default()
    };
    for id in &ids {
        pool.apply_report(1_000, UNIX, id, &report);
    }
    let millicores = if at_limit { 1_000 } else { 0 };
    let limit = Limit::from(Size::new(millicores, 0, 0));
    let entitlement = Entitlement {
        weight: 10.0,
        limit,
    };
    pool.set_customers((0..customers).map(|index| (customer(index), entitlement)));
    let step = |count, millicores| Step {
        count,
        size: Size::new(millicores, 1_000, 0),
        estimate: 5_000,
        ..Step::default()
    };
    let filling = Job {
        id: "filling".into(),
        service: "s".into(),
        steps: vec![step(WORKERS as u32, 60_000)],
        ..Job::default()
    };
    pool.adopt(1_000, UNIX, Arc::new(filling), None, false);
    for _ in 0..WORKERS {
        for command in pool.schedule(1_001, UNIX) {
            if let Command::Start(start) = command {
                pool.start_answered(1_001, &start, StartAnswer::Running);
            }
        }
    }
    for index in 0..STEPS {
        let advice = index.is_multiple_of(2).then(AdvisorPolicy::default);
        let job = Job {
            id: format!("job-{index}").into(),
            service: "s".into(),
            customer: customer(index % busy),
            steps: vec![step(TASKS_PER_STEP, 8_000)],
            policy: Policy {
                advice,
                ..Policy::default()
            },
            ..Job::default()
        };
        pool.adopt(1_001, UNIX, Arc::new(job), None, false);
    }
    pool
}

fn passes(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("scheduling pass");
    for (customers, busy) in [(1, 1), (20, 20), (77, 77), (77, 1), (1_000, 20), (1_000, 1)] {
        for at_limit in [false, true] {
            let state = if at_limit { "at limit" } else { "pool full" };
            let id = BenchmarkId::new(format!("{customers} customers, {busy} busy"), state);
            group.bench_function(id, |bench| {
                let mut now = 1_002;
                let mut pool = full_pool(customers, busy, at_limit);
                bench.iter_batched(
                    || (),
                    |()| {
                        now += 1;
                        black_box(pool.schedule(1_002 + now % 50, UNIX))
                    },
                    BatchSize::SmallInput,
                );
            });
        }
    }
    group.finish();
}

criterion_group!(benches, passes);
criterion_main!(benches);
