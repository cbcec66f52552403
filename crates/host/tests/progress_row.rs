//! Rows of progress stay within the store's bound.

use host::progress_row::ProgressRow;
use pool::{OccurrenceProgress, Progress, State, StepProgress};

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
