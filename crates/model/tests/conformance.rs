//! Compares the specification's rules for owners with those of `cell::fence` on random histories.

use std::time::Duration;

use cell::fence::{AUTHORITY_VALIDITY, Authority, Roster, Takeover};
use model::ownership::{Acks, RUN_TICKS, WORKERS, authority, ready};
use proptest::prelude::*;

/// Ticks of the specification in one [`AUTHORITY_VALIDITY`] period.
const AUTHORITY_TICKS: u8 = 2;

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

    /// Both always agree on whether an owner may act.
    #[test]
    fn authority_matches_the_specification(events in prop::collection::vec(event(), 0..40)) {
        let tick = AUTHORITY_VALIDITY / u32::from(AUTHORITY_TICKS);
        let mut code = Authority::new(roster());
        let mut spec: Acks = [None; WORKERS];
        let mut now = Duration::from_secs(100);
        for event in events {
            match event {
                Event::Acknowledge(w) => {
                    code.acknowledge(&format!("w{w}"), now);
                    spec[w] = Some(AUTHORITY_TICKS);
                }
                Event::Tick => {
                    now += tick;
                    spec = spec.map(|left| left.map(|left| left.saturating_sub(1)));
                }
            }
            prop_assert_eq!(code.is_valid(now), authority(&spec, WORKERS / 2 + 1) > 0);
        }
    }

    /// The code never lets a new owner act before the specification does, and both do eventually.
    #[test]
    fn takeover_is_never_earlier_than_in_the_specification(events in prop::collection::vec(event(), 0..40)) {
        let tick = AUTHORITY_VALIDITY / u32::from(AUTHORITY_TICKS);
        let mut code = Takeover::new(vec![roster()]);
        let mut fenced: Acks = [None; WORKERS];
        let mut takeover_delay = None;
        let mut now = Duration::from_secs(100);
        for event in events {
            match event {
                Event::Acknowledge(w) => {
                    code.fence(&format!("w{w}"), now);
                    fenced[w] = Some(AUTHORITY_TICKS);
                    if fenced.iter().flatten().count() > WORKERS / 2 && takeover_delay.is_none() {
                        takeover_delay = Some(AUTHORITY_TICKS + RUN_TICKS);
                    }
                }
                Event::Tick => {
                    now += tick;
                    takeover_delay = takeover_delay.map(|left: u8| left.saturating_sub(1));
                }
            }
            prop_assert!(!code.ready(now) || ready(&fenced, takeover_delay));
            let all = fenced.iter().all(Option::is_some);
            prop_assert_eq!(all, all && code.ready(now));
        }
        let majority_fenced = takeover_delay.is_some();
        prop_assert_eq!(code.ready(now + Takeover::MAX_DELAY), majority_fenced);
    }
}
