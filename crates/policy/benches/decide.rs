//! Cost of one decision, at the number of workers of today and of two years from now.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use policy::{Index, Room, Rule, choose};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use resource::Size;

const WORKERS: [usize; 3] = [50, 500, 5_100];

fn rooms(n: usize) -> Vec<Room> {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let whole = Size::new(16_000, 65_536, 2);
    let mut room = |_| {
        let free = Size::new(
            random.random_range(0..=16) * 1_000,
            random.random_range(0..=64) * 1_024,
            random.random_range(0..=2),
        );
        Room {
            free,
            whole,
            siblings: 0,
        }
    };
    (0..n).map(&mut room).collect()
}

fn decide(criterion: &mut Criterion) {
    let task = Size::new(1_500, 6_144, 0);
    let mut group = criterion.benchmark_group("place and take one task");
    for n in WORKERS {
        let rooms = rooms(n);
        let mut index = Index::default();
        rooms.iter().for_each(|room| index.push(*room));
        for (name, rule) in [("best-fit", Rule::BestFit), ("spread", Rule::Spread)] {
            group.bench_function(BenchmarkId::new(format!("index, {name}"), n), |bench| {
                bench.iter(|| {
                    let at = index.place(rule, task).expect("there is room");
                    let free = index.room(at).expect("it is there").free;
                    index.take(at, task);
                    index.set(at, free);
                });
            });
        }
        group.bench_function(BenchmarkId::new("every room, best-fit", n), |bench| {
            bench.iter(|| choose::place(Rule::BestFit, &rooms, task));
        });
    }
    group.finish();
}

criterion_group!(benches, decide);
criterion_main!(benches);
