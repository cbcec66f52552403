//! Jobs are spread over pools by load, and found again by their ids.

use host::PoolMap;
use host::route::{Load, candidates, choose_pool};
use pool::{Job, Step};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashMap;

fn plan(sizes: &[u32]) -> PoolMap {
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

fn loads(taken: &[f64]) -> FxHashMap<u32, Load> {
    let load = |(pool, &taken): (usize, &f64)| {
        let load = Load {
            is_recent: true,
            load: taken,
            labels: vec!["a".to_owned()],
        };
        (pool as u32, load)
    };
    taken.iter().enumerate().map(load).collect()
}

/// The recorded shape: jobs of which one in ten is thirty times the others, each held for forty turns, in six pools. Loads
/// are told every ten turns, as beats tell them. Returns how far the fullest pool is above the mean.
fn spread(by_load: bool) -> f64 {
    let plan = plan(&[500; 6]);
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let mut held = [0.0_f64; 6];
    let mut ends: Vec<(u64, usize, f64)> = Vec::new();
    let mut told = loads(&held);
    let mut worst = 0.0_f64;
    for turn in 0..6_000_u64 {
        ends.retain(|&(end, pool, size)| {
            if end <= turn {
                held[pool] -= size;
            }
            end > turn
        });
        if turn % 10 == 0 {
            told = loads(&held);
        }
        let size = if random.random_bool(0.1) { 0.03 } else { 0.001 };
        let job = job(random.random());
        let pool = if by_load {
            choose_pool(&plan, &job, &told)
        } else {
            candidates(&plan, &job.id)[0]
        } as usize;
        held[pool] += size;
        ends.push((turn + 400, pool, size));
        if turn > 1_000 {
            let mean = held.iter().sum::<f64>() / 6.0;
            let most = held.iter().copied().fold(0.0, f64::max);
            worst = worst.max(most - mean);
        }
    }
    worst
}

/// By ids alone the fullest pool is a tenth of its room and more above the mean: its callers wait while others have room.
#[test]
fn two_candidates_spread_better_than_ids_alone() {
    let (by_id, by_load) = (spread(false), spread(true));
    assert!(by_id > 0.1, "{by_id}");
    assert!(by_load < by_id * 0.75, "{by_load} against {by_id}");
}

#[test]
fn a_job_is_found_again_among_two_candidates() {
    let plan = plan(&[500, 480, 510, 100]);
    let told = loads(&[0.9, 0.2, 0.5, 0.4]);
    let mut counts = [0_u32; 4];
    for id in 0..2_000 {
        let job = job(id);
        let pool = choose_pool(&plan, &job, &told);
        assert!(candidates(&plan, &job.id).contains(&pool));
        counts[candidates(&plan, &job.id)[0] as usize] += 1;
    }
    assert!(
        counts[3] < counts[0] / 3,
        "a smaller pool is the likelier one less often: {counts:?}"
    );
}

/// A job whose data lies in one rack runs several times slower elsewhere; one that needs a label can't run without.
#[test]
fn data_and_labels_go_before_load() {
    let plan = plan(&[500; 3]);
    let mut told = loads(&[0.1, 0.9, 0.1]);
    told.get_mut(&1)
        .expect("it is there")
        .labels
        .push("big".to_owned());
    for id in 0..50 {
        let near = Step {
            data_rack: "r1".to_owned(),
            ..Step::default()
        };
        assert_eq!(
            choose_pool(
                &plan,
                &Job {
                    steps: vec![near],
                    ..job(id)
                },
                &told
            ),
            1
        );
        let label = Step {
            label: "big".to_owned(),
            ..Step::default()
        };
        assert_eq!(
            choose_pool(
                &plan,
                &Job {
                    steps: vec![label],
                    ..job(id)
                },
                &told
            ),
            1
        );
    }
}

/// While an owner is being replaced, its pool's jobs wait; the other candidate takes new ones unless it is full.
#[test]
fn a_pool_without_an_owner_is_passed_over() {
    let plan = plan(&[500; 2]);
    for id in 0..50 {
        let first = candidates(&plan, &job(id).id)[0];
        let mut told = loads(&[0.9, 0.9]);
        told.get_mut(&first).expect("it is there").is_recent = false;
        assert_eq!(choose_pool(&plan, &job(id), &told), 1 - first);
        told.get_mut(&(1 - first)).expect("it is there").load = 1.9;
        assert_eq!(choose_pool(&plan, &job(id), &told), first);
    }
}
