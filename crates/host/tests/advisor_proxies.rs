//! Which host asks the advisor: short questions, and half of the hosts in another region.

use host::advisor_proxies::{AdvisorProxy, ExpectedAt};

/// Twenty hosts, ten of them far: the platform answers those in 45 ms.
struct Play {
    helpers: Vec<AdvisorProxy>,
    pending: Vec<(usize, ExpectedAt, u64)>,
}

fn away(at: usize) -> u64 {
    if at < 10 { 1 } else { 45 }
}

impl Play {
    fn new() -> Self {
        Self {
            helpers: vec![AdvisorProxy::default(); 20],
            pending: Vec::new(),
        }
    }

    /// A question that takes this long is asked; tells by whom, and how long its answer takes.
    fn ask(&mut self, now: u64, takes: u64) -> (usize, u64) {
        let helpers = &mut self.helpers;
        self.pending.retain(|&(at, due, back)| {
            if back <= now {
                helpers[at].complete(back, due);
            }
            back > now
        });
        let place = |at: &usize| helpers[*at].score(now, away(*at), takes);
        let best = (0..20).min_by_key(place).expect("there are some");
        let due = helpers[best].assign(now, takes);
        let back = due.0 + 2 * away(best);
        self.pending.push((best, due, back));
        (best, back - now)
    }
}

/// Guards against short questions that go to far hosts while near ones are free: half of all answers came 85 ms later.
#[test]
fn short_questions_stay_near_while_near_hosts_have_time() {
    let mut play = Play::new();
    let waited = (0..8_000).step_by(8).map(|now| play.ask(now, 37).1);
    let late = waited.filter(|&ms| ms > 60).count();
    assert!(late < 50, "{late} of 1000");
}

/// Guards against far hosts that never ask: near ones alone can't keep up.
#[test]
fn far_hosts_ask_when_near_ones_are_busy() {
    let mut play = Play::new();
    let waited = (0..8_000).step_by(8).map(|now| play.ask(now, 120).1);
    let longest = waited.max().expect("there are some");
    assert!(longest <= 120 + 120, "{longest}");
}

/// Guards against long questions that take the near hosts: a pool full of long work asked six hundred of them in ten seconds, and
/// quick work had to ask from afar.
#[test]
fn long_questions_leave_near_hosts_to_short_ones() {
    let mut play = Play::new();
    let mut late = 0;
    for now in (0..8_000).step_by(8) {
        if now % 80 == 0 {
            let (who, _) = play.ask(now, 600);
            assert!(who >= 10, "a near host asks at {now}");
        }
        late += usize::from(play.ask(now, 37).1 > 60);
    }
    assert!(late < 50, "{late} of 1000");
}

/// Guards against a host that is set aside for good because its way was full once.
#[test]
fn a_host_that_was_late_is_asked_again() {
    let mut late = AdvisorProxy::default();
    let due = late.assign(0, 40);
    late.complete(5_000, due);
    let sound = AdvisorProxy::default();
    assert!(late.score(6_000, 1, 40) > sound.score(6_000, 45, 40));
    for at in 1..12 {
        let now = 6_000 + at * 100;
        let due = late.assign(now, 40);
        late.complete(due.0 + 2, due);
    }
    assert!(late.score(8_000, 1, 40) < sound.score(8_000, 45, 40));
}
