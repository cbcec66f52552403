//! Rows of progress stay within the store's bound.

use host::progress_row::ProgressRow;
use pool::{
    MAX_OPEN_OCCURRENCES, OccurrenceProgress, Progress, State, StepProgress, UnresolvedStart,
};
use proptest::prelude::*;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

/// The limit of a row on the users' platform, whose rows are encoded as base64 within 64 KiB.
const MAX_BYTES: usize = 65_536 / 4 * 3;

fn progress(tasks: u32) -> Progress {
    let checkpoints = (0..tasks).map(|index| (index, format!("checkpoint-{index:05}")));
    let step = StepProgress {
        done: "0".repeat(tasks as usize / 4),
        checkpoints: checkpoints.collect(),
        highest_run: 3,
        ..StepProgress::default()
    };
    Progress {
        state: State::Running,
        open: vec![OccurrenceProgress {
            number: 0,
            steps: vec![step.clone(), step],
        }],
        ..Progress::default()
    }
}

/// A job of thousands of tasks saves a checkpoint for each. Guards against a row that the store refuses, which keeps all workers of
/// the pool from forgetting their ends.
#[test]
fn checkpoints_beyond_the_bound_of_a_row_are_left_out() {
    let progress = progress(3_000);
    for max_bytes in [65_536, 20_000, 2_000] {
        let row = ProgressRow::encode(&progress, max_bytes).expect("it can be encoded");
        assert!(row.value.len() <= max_bytes, "{} bytes", row.value.len());
        let unused = max_bytes - row.value.len();
        assert!(unused < 100, "{unused} of {max_bytes} bytes are unused");
        let stored: Progress = serde_json::from_slice(&row.value).expect("it can be decoded");
        let kept = stored.open[0].steps.iter().map(|it| it.checkpoints.len());
        assert_eq!(kept.sum::<usize>() + row.left_out, 6_000);
        let marks = |progress: &Progress| progress.open[0].steps[1].done.clone();
        assert_eq!(marks(&stored), marks(&progress));
    }
}

/// Guards against a loss of checkpoints that fit.
#[test]
fn a_row_within_the_bound_is_complete() {
    let progress = progress(20);
    let complete = serde_json::to_vec(&progress).expect("it can be encoded");
    let row = ProgressRow::encode(&progress, complete.len()).expect("it can be encoded");
    assert_eq!((row.value, row.left_out), (complete, 0));
}

/// Shapes of the largest progress: number of occurrences in progress, of their steps, and of the tasks of each step.
const LARGEST: [(usize, usize, u32); 5] = [
    (1, 1, 10_000),
    (1, 100, 100),
    (MAX_OPEN_OCCURRENCES, 1, 1),
    (MAX_OPEN_OCCURRENCES, 3, 3),
    (100, 2, 50),
];

/// How much each task has to be stored of.
#[derive(Clone, Copy, Debug)]
struct Content {
    /// Whether some tasks are done.
    done: bool,
    /// Maximum number of failed runs of a task.
    failed: u32,
    /// Maximum number of crash records of a task.
    crashed: u32,
    /// Length of the checkpoints.
    checkpoint: usize,
    /// Whether every other occurrence between those in progress is finished.
    gaps: bool,
}

fn content() -> impl Strategy<Value = Content> {
    (
        any::<bool>(),
        0..4_u32,
        0..4_u32,
        0..64_usize,
        any::<bool>(),
    )
        .prop_map(|(done, failed, crashed, checkpoint, gaps)| Content {
            done,
            failed,
            crashed,
            checkpoint,
            gaps,
        })
}

fn random_step(rng: &mut ChaCha8Rng, tasks: u32, content: Content) -> StepProgress {
    let mut step = StepProgress {
        highest_run: 99,
        ..StepProgress::default()
    };
    for index in 0..tasks {
        let mut runs = |most: u32| -> Vec<u32> {
            let count = rng.random_range(0..=most);
            (0..count).map(|_| rng.random_range(1..99)).collect()
        };
        let (failed, crashed) = (runs(content.failed), runs(content.crashed));
        if !failed.is_empty() {
            step.failed.push((index, failed));
        }
        for &run in &crashed {
            step.unresolved.push(UnresolvedStart {
                task: index,
                run,
                worker: format!("i-{:010x}", rng.random::<u32>()).into(),
                incarnation: 1_796_657_561_089 + rng.random_range(0..1_000_000),
            });
        }
        if !crashed.is_empty() {
            step.unconfirmed.push((index, crashed.clone()));
            step.crashed.push((index, crashed));
        }
        let checkpoint = (0..content.checkpoint).map(|_| rng.random_range('a'..='z'));
        if content.checkpoint > 0 {
            step.checkpoints.push((index, checkpoint.collect()));
        }
    }
    if content.done {
        let digits = (0..tasks.div_ceil(4)).map(|_| rng.random_range(0..16_u32));
        step.done = digits.filter_map(|it| char::from_digit(it, 16)).collect();
    }
    step
}

fn random_progress(seed: u64, shape: (usize, usize, u32), content: Content) -> Progress {
    let (occurrences, steps, tasks) = shape;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let number = |index: usize| 4_000_000_000 + 2 * index as u32;
    let open = (0..occurrences).map(|index| OccurrenceProgress {
        number: number(index),
        steps: (0..steps)
            .map(|_| random_step(&mut rng, tasks, content))
            .collect(),
    });
    let open = open.collect();
    let gaps = (0..occurrences).filter(|_| content.gaps);
    Progress {
        state: State::Running,
        over_ranges: gaps.map(|it| (number(it) + 1, number(it) + 1)).collect(),
        open,
        ..Progress::default()
    }
}

/// What says which tasks must not start again.
fn essential(progress: &Progress) -> Progress {
    let mut essential = progress.clone();
    for step in essential.open.iter_mut().flat_map(|it| &mut it.steps) {
        step.checkpoints.clear();
        step.crashed.clear();
        step.unconfirmed.clear();
        step.unresolved.clear();
    }
    essential
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    /// Guards against a row that the store refuses, whatever the progress of a job consists of: the ends in it would never be
    /// acknowledged.
    #[test]
    fn the_largest_progress_fits_a_row(seed in any::<u64>(), shape in 0..LARGEST.len(), content in content()) {
        let progress = random_progress(seed, LARGEST[shape], content);
        let row = ProgressRow::encode(&progress, MAX_BYTES).expect("it can be encoded");
        prop_assert!(row.value.len() <= MAX_BYTES, "{} bytes", row.value.len());
        let stored = ProgressRow::decode(&row.value).expect("it can be decoded");
        prop_assert_eq!(essential(&stored), essential(&progress));
    }
}

/// Guards against crash records, of starts by a new owner, that make a row too large.
#[test]
fn crash_records_beyond_the_bound_of_a_row_are_compressed() {
    let content = Content {
        done: false,
        failed: 0,
        crashed: 1,
        checkpoint: 0,
        gaps: true,
    };
    let progress = random_progress(1, (MAX_OPEN_OCCURRENCES, 1, 1), content);
    let complete = serde_json::to_vec(&progress).expect("it can be encoded");
    assert!(complete.len() > MAX_BYTES);
    let row = ProgressRow::encode(&progress, MAX_BYTES).expect("it can be encoded");
    assert_eq!((row.left_out, row.crashes_left_out), (0, 0));
    let stored = ProgressRow::decode(&row.value).expect("it can be decoded");
    assert_eq!(stored, progress);
}

/// Guards against a bound that is kept but for the last byte.
#[test]
fn a_row_at_its_bound_is_plain_and_one_byte_over_it_is_not() {
    let content = Content {
        done: true,
        failed: 3,
        crashed: 3,
        checkpoint: 0,
        gaps: true,
    };
    let progress = random_progress(1, (10, 1, 10), content);
    let complete = serde_json::to_vec(&progress).expect("it can be encoded");
    let row = ProgressRow::encode(&progress, complete.len()).expect("it can be encoded");
    assert_eq!(row.value, complete);
    let row = ProgressRow::encode(&progress, complete.len() - 1).expect("it can be encoded");
    assert!(row.value.len() < complete.len());
    let stored = ProgressRow::decode(&row.value).expect("it can be decoded");
    assert_eq!(stored, progress);
}

/// Guards against a panic, or a job that counts as one that was never started, without a trace in the log.
#[test]
fn a_row_that_holds_no_progress_is_an_error() {
    for value in [&b""[..], b"{", b"x", b"\x78\x9c\x01"] {
        assert!(ProgressRow::decode(value).is_err(), "{value:?}");
    }
}
