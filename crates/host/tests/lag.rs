//! Detection of an owner whose machine has become slow.

use host::lag::TimerLag;

/// Records `count` timers of 50 ms after `from`, each of which fires `late` milliseconds late; returns the time after the last.
fn run_timers(lag: &mut TimerLag, from: u64, count: u64, late: u64) -> u64 {
    let mut now = from;
    for _ in 0..count {
        now += 50 + late;
        lag.record(now, late);
    }
    now
}

/// Guards against an owner that keeps its pool for five seconds though it schedules only once a second: short jobs that
/// callers submitted meanwhile were late, in a deployment with ninety other hosts.
#[test]
fn a_host_that_becomes_slow_is_detected_within_two_seconds() {
    let mut lag = TimerLag::default();
    let now = run_timers(&mut lag, 0, 100, 5);
    assert!(!lag.is_overloaded(now));
    let now = run_timers(&mut lag, now, 4, 400);
    assert!(lag.is_overloaded(now));
}

/// Guards against a handover after one long pause: a host that was frozen for a moment works as well afterwards as before.
#[test]
fn one_long_pause_is_no_overload() {
    let mut lag = TimerLag::default();
    let now = run_timers(&mut lag, 0, 100, 5);
    let now = run_timers(&mut lag, now, 1, 900);
    assert!(!lag.is_overloaded(now));
    let now = run_timers(&mut lag, now, 10, 5);
    assert!(!lag.is_overloaded(now));
}

/// The timers of a busy owner are some ten milliseconds late.
#[test]
fn a_busy_owner_is_not_overloaded() {
    let mut lag = TimerLag::default();
    let now = run_timers(&mut lag, 0, 200, 40);
    assert!(!lag.is_overloaded(now));
}
