//! An owner whose machine turns slow.

use host::lag::TimerLag;

/// Timers of 50 ms, from a time on for so many; each is this late.
fn run(lag: &mut TimerLag, from: u64, count: u64, late: u64) -> u64 {
    let mut now = from;
    for _ in 0..count {
        now += 50 + late;
        lag.note(now, late);
    }
    now
}

/// Guards against an owner that keeps its pool for five seconds though it plans once a second: quick checks of that time were
/// late, on a site with ninety other hosts.
#[test]
fn a_host_that_turns_slow_is_found_within_a_second_or_two() {
    let mut lag = TimerLag::default();
    let now = run(&mut lag, 0, 100, 5);
    assert!(!lag.is_overloaded(now));
    let now = run(&mut lag, now, 4, 400);
    assert!(lag.is_overloaded(now));
}

/// Guards against a pool that changes hands for one long pause: a host that was frozen for a moment goes on as well as before.
#[test]
fn one_long_pause_is_no_overload() {
    let mut lag = TimerLag::default();
    let now = run(&mut lag, 0, 100, 5);
    let now = run(&mut lag, now, 1, 900);
    assert!(!lag.is_overloaded(now));
    let now = run(&mut lag, now, 10, 5);
    assert!(!lag.is_overloaded(now));
}

/// A busy owner's timers are late by some ten milliseconds.
#[test]
fn a_busy_owner_is_not_overloaded() {
    let mut lag = TimerLag::default();
    let now = run(&mut lag, 0, 200, 40);
    assert!(!lag.is_overloaded(now));
}
