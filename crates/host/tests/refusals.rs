//! Logs of refused calls are bounded.

use host::refusals::Refusals;

/// Guards against a flood of refused calls that fills the log.
#[test]
fn a_flood_of_refused_calls_writes_few_lines_and_counts_the_others() {
    const CALLS: u64 = 100_000;
    let refusals = Refusals::default();
    let (mut lines, mut unlogged) = (0, 0);
    let began = host::clock::now();
    for _ in 0..CALLS {
        refusals.record("unknown_key", "", |others| {
            lines += 1;
            unlogged += others;
        });
    }
    let seconds = (host::clock::now() - began) / 1_000 + 2;
    assert!((1..=5 * seconds).contains(&lines), "{lines} lines");
    assert!(lines + unlogged <= CALLS);
}
