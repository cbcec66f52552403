//! Jobs are distributed over pools by load, and found again by their ids.

use host::PoolMap;
use host::route::{Load, candidates, choose_pool};
use pool::{Job, Step};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashMap;

fn pool_map(sizes: &[u32]) -> PoolMap {
    let racks = sizes.iter().enumerate();
    PoolMap {
        version: 1,
        sizes: sizes.to_vec(),
        racks: racks
            .map(|(pool, _)| (format!("r{pool}"), pool as u32))
            .collect(),
    }
}

fn job(id: u64) -> Job {
    Job {
        id: format!("{id:016x}").into(),
        ..Job::default()
    }
}

fn loads(values: &[f64]) -> FxHashMap<u32, Load> {
    let load = |(pool, &value): (usize, &f64)| {
        let load = Load {
            is_recent: true,
            load: value,
            labels: vec!["a".to_owned()],
        };
        (pool as u32, load)
    };
    values.iter().enumerate().map(load).collect()
}

/// Largest distance of the most loaded of six pools from their mean load. One job in ten is thirty times as large as the others,
/// as in recorded traffic; each occupies its pool for 400 steps. Loads are updated every ten steps, as heartbeats do.
fn max_imbalance(by_load: bool) -> f64 {
    let map = pool_map(&[500; 6]);
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let mut used = [0.0_f64; 6];
    let mut ends: Vec<(u64, usize, f64)> = Vec::new();
    let mut reported = loads(&used);
    let mut worst = 0.0_f64;
    for step in 0..6_000_u64 {
        ends.retain(|&(end, pool, size)| {
            if end <= step {
                used[pool] -= size;
            }
            end > step
        });
        if step % 10 == 0 {
            reported = loads(&used);
        }
        let size = if random.random_bool(0.1) { 0.03 } else { 0.001 };
        let job = job(random.random());
        let pool = if by_load {
            choose_pool(&map, &job, &reported)
        } else {
            candidates(&map, &job.id)[0]
        } as usize;
        used[pool] += size;
        ends.push((step + 400, pool, size));
        if step > 1_000 {
            let mean = used.iter().sum::<f64>() / 6.0;
            let highest = used.iter().copied().fold(0.0, f64::max);
            worst = worst.max(highest - mean);
        }
    }
    worst
}

/// Guards against a choice by id alone: the load of one pool was a tenth of its capacity and more above the mean, and its jobs
/// waited while other pools had free capacity.
#[test]
fn two_candidates_balance_better_than_ids_alone() {
    let (by_id, by_load) = (max_imbalance(false), max_imbalance(true));
    assert!(by_id > 0.1, "{by_id}");
    assert!(by_load < by_id * 0.75, "{by_load} against {by_id}");
}

/// Guards against a job outside of its two candidate pools: a host that looks for it by its id queries only those owners.
#[test]
fn a_job_is_found_again_among_two_candidates() {
    let map = pool_map(&[500, 480, 510, 100]);
    let reported = loads(&[0.9, 0.2, 0.5, 0.4]);
    let mut counts = [0_u32; 4];
    for id in 0..2_000 {
        let job = job(id);
        let pool = choose_pool(&map, &job, &reported);
        assert!(candidates(&map, &job.id).contains(&pool));
        counts[candidates(&map, &job.id)[0] as usize] += 1;
    }
    assert!(
        counts[3] < counts[0] / 3,
        "a smaller pool is less often the first candidate: {counts:?}"
    );
}

/// A job whose data lies in one rack runs several times slower elsewhere; one that needs a label can't run without it.
#[test]
fn data_and_labels_take_precedence_over_load() {
    let map = pool_map(&[500; 3]);
    let mut reported = loads(&[0.1, 0.9, 0.1]);
    reported
        .get_mut(&1)
        .expect("it has a load")
        .labels
        .push("big".to_owned());
    for id in 0..50 {
        let near = Step {
            data_rack: "r1".to_owned(),
            ..Step::default()
        };
        assert_eq!(
            choose_pool(
                &map,
                &Job {
                    steps: vec![near],
                    ..job(id)
                },
                &reported
            ),
            1
        );
        let label = Step {
            label: "big".to_owned(),
            ..Step::default()
        };
        assert_eq!(
            choose_pool(
                &map,
                &Job {
                    steps: vec![label],
                    ..job(id)
                },
                &reported
            ),
            1
        );
    }
}

/// While an owner is being replaced, the jobs of its pool wait; new ones go to the other candidate unless that is overloaded.
#[test]
fn a_pool_without_an_owner_is_avoided() {
    let map = pool_map(&[500; 2]);
    for id in 0..50 {
        let first = candidates(&map, &job(id).id)[0];
        let mut reported = loads(&[0.9, 0.9]);
        reported.get_mut(&first).expect("it has a load").is_recent = false;
        assert_eq!(choose_pool(&map, &job(id), &reported), 1 - first);
        reported.get_mut(&(1 - first)).expect("it has a load").load = 1.9;
        assert_eq!(choose_pool(&map, &job(id), &reported), first);
    }
}
