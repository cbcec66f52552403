//! Choice of the host that queries the advisor, with half of the hosts in another region.

use host::advisor_proxies::{AdvisorProxy, ExpectedAt};

/// Simulates queries of one owner over twenty hosts, ten of them with a round trip of 45 ms to the platform.
struct Simulation {
    proxies: Vec<AdvisorProxy>,
    pending: Vec<(usize, ExpectedAt, u64)>,
}

/// Round trip between a host and the platform, in milliseconds.
fn round_trip(host: usize) -> u64 {
    if host < 10 { 1 } else { 45 }
}

impl Simulation {
    fn new() -> Self {
        Self {
            proxies: vec![AdvisorProxy::default(); 20],
            pending: Vec::new(),
        }
    }

    /// Makes a query that takes this long; returns the chosen host and the time until its answer.
    fn query(&mut self, now: u64, takes: u64) -> (usize, u64) {
        let proxies = &mut self.proxies;
        self.pending.retain(|&(host, due, back)| {
            if back <= now {
                proxies[host].complete(back, due);
            }
            back > now
        });
        let score = |host: &usize| proxies[*host].score(now, round_trip(*host), takes);
        let best = (0..20).min_by_key(score).expect("there are some");
        let due = proxies[best].assign(now, takes);
        let back = due.0 + 2 * round_trip(best);
        self.pending.push((best, due, back));
        (best, back - now)
    }
}

/// Guards against short queries that go to distant hosts while near ones are free: half of all answers came 85 ms later.
#[test]
fn short_queries_stay_near_while_near_hosts_are_free() {
    let mut simulation = Simulation::new();
    let waited = (0..8_000).step_by(8).map(|now| simulation.query(now, 37).1);
    let late = waited.filter(|&ms| ms > 60).count();
    assert!(late < 50, "{late} of 1000");
}

/// Guards against distant hosts that are never chosen: the near ones alone can't keep up.
#[test]
fn distant_hosts_are_chosen_when_near_ones_are_busy() {
    let mut simulation = Simulation::new();
    let waited = (0..8_000)
        .step_by(8)
        .map(|now| simulation.query(now, 120).1);
    let longest = waited.max().expect("there are some");
    assert!(longest <= 120 + 120, "{longest}");
}

/// Guards against long queries that occupy the near hosts: a pool full of long tasks made six hundred of them in ten seconds, and
/// queries for short tasks had to go to distant hosts.
#[test]
fn long_queries_leave_near_hosts_to_short_ones() {
    let mut simulation = Simulation::new();
    let mut late = 0;
    for now in (0..8_000).step_by(8) {
        if now % 80 == 0 {
            let (host, _) = simulation.query(now, 600);
            assert!(host >= 10, "a near host was chosen at {now} ms");
        }
        late += usize::from(simulation.query(now, 37).1 > 60);
    }
    assert!(late < 50, "{late} of 1000");
}

/// Guards against a host that is avoided for good after a single outage of its network.
#[test]
fn a_host_that_was_late_is_chosen_again() {
    let mut late = AdvisorProxy::default();
    let due = late.assign(0, 40);
    late.complete(5_000, due);
    let healthy = AdvisorProxy::default();
    assert!(late.score(6_000, 1, 40) > healthy.score(6_000, 45, 40));
    for at in 1..12 {
        let now = 6_000 + at * 100;
        let due = late.assign(now, 40);
        late.complete(due.0 + 2, due);
    }
    assert!(late.score(8_000, 1, 40) < healthy.score(8_000, 45, 40));
}
