//! Cost of one placement decision, for current cluster sizes and the size expected in two years.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use policy::{Capacity, Index, Rule, choose};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use resource::Size;

const WORKERS: [usize; 3] = [50, 500, 5_100];

fn capacities(n: usize) -> Vec<Capacity> {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let total = Size::new(16_000, 65_536, 2);
    let mut capacity = |_| {
        let free = Size::new(
            random.random_range(0..=16) * 1_000,
            random.random_range(0..=64) * 1_024,
            random.random_range(0..=2),
        );
        Capacity {
            free,
            total,
            siblings: 0,
        }
    };
    (0..n).map(&mut capacity).collect()
}

fn decide(criterion: &mut Criterion) {
    let task = Size::new(1_500, 6_144, 0);
    let mut group = criterion.benchmark_group("place and take one task");
    for n in WORKERS {
        let capacities = capacities(n);
        let mut index = Index::default();
        capacities.iter().for_each(|capacity| index.push(*capacity));
        for (name, rule) in [("best-fit", Rule::BestFit), ("spread", Rule::Spread)] {
            group.bench_function(BenchmarkId::new(format!("index, {name}"), n), |bench| {
                bench.iter(|| {
                    let at = index.place(rule, task).expect("a worker has capacity");
                    let free = index.capacity(at).expect("the index holds the worker").free;
                    index.reserve(at, task);
                    index.set(at, free);
                });
            });
        }
        group.bench_function(BenchmarkId::new("every room, best-fit", n), |bench| {
            bench.iter(|| choose::place(Rule::BestFit, &capacities, task));
        });
    }
    group.finish();
}

criterion_group!(benches, decide);
criterion_main!(benches);
