//! Holds the specification's rules for owners against the code's own, on random histories.

use std::time::Duration;

use cell::fence::{AUTHORITY, Authority, Roster, Takeover};
use model::ownership::{Proof, RUN, WORKERS, authority, ready};
use proptest::prelude::*;

/// Ticks of the specification in one period of authority.
const TICKS: u8 = 2;

#[derive(Clone, Copy, Debug)]
enum Event {
    Acknowledge(usize),
    Tick,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![(0..WORKERS).prop_map(Event::Acknowledge), Just(Event::Tick)]
}

fn roster() -> Roster {
    (0..WORKERS).map(|w| format!("w{w}")).collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    /// Both agree at every moment whether an owner may act.
    #[test]
    fn authority_is_in_step(events in prop::collection::vec(event(), 0..40)) {
        let tick = AUTHORITY / u32::from(TICKS);
        let mut code = Authority::new(roster());
        let mut spec: Proof = [None; WORKERS];
        let mut now = Duration::from_secs(100);
        for event in events {
            match event {
                Event::Acknowledge(w) => {
                    code.acknowledge(&format!("w{w}"), now);
                    spec[w] = Some(TICKS);
                }
                Event::Tick => {
                    now += tick;
                    spec = spec.map(|left| left.map(|left| left.saturating_sub(1)));
                }
            }
            prop_assert_eq!(code.holds(now), authority(&spec, WORKERS / 2 + 1) > 0);
        }
    }

    /// The code never lets a new owner act before the specification does, and both do in the end.
    #[test]
    fn takeover_is_in_step(events in prop::collection::vec(event(), 0..40)) {
        let tick = AUTHORITY / u32::from(TICKS);
        let mut code = Takeover::new(vec![roster()]);
        let mut fenced: Proof = [None; WORKERS];
        let mut wait = None;
        let mut now = Duration::from_secs(100);
        for event in events {
            match event {
                Event::Acknowledge(w) => {
                    code.fence(&format!("w{w}"), now);
                    fenced[w] = Some(TICKS);
                    if fenced.iter().flatten().count() > WORKERS / 2 && wait.is_none() {
                        wait = Some(TICKS + RUN);
                    }
                }
                Event::Tick => {
                    now += tick;
                    wait = wait.map(|left: u8| left.saturating_sub(1));
                }
            }
            prop_assert!(!code.ready(now) || ready(&fenced, wait));
            let all = fenced.iter().all(Option::is_some);
            prop_assert_eq!(all, all && code.ready(now));
        }
        let fenced_enough = wait.is_some();
        prop_assert_eq!(code.ready(now + Takeover::WAIT), fenced_enough);
    }
}
