//! Units move to where they are needed, and no pool gives what its tasks use.

use host::quota_parts::UNITS;
use host::quota_policy::{Decision, Standing, decide, units_for};
use pool::{Limit, QuotaDemand};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use resource::Size;

fn standing() -> impl Strategy<Value = Standing> {
    (0..=UNITS, 0..=UNITS, 0..=UNITS, 0..=UNITS).prop_map(|(own, used, first, wanted)| {
        let need = used.saturating_add(wanted).min(UNITS);
        Standing {
            own,
            used,
            first: first.min(wanted),
            need,
        }
    })
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Guards against a start beyond the limit: what is given is free, and what is needed is never exceeded.
    #[test]
    fn only_free_units_are_given(mine in standing(), theirs in standing(), asked in 0_u32..60, first: bool) {
        let Decision { give, withhold } = decide(&mine, &theirs, asked, first);
        prop_assert!(give <= mine.own.saturating_sub(mine.used));
        let lack = theirs.need.max(theirs.used).max(theirs.first).saturating_sub(theirs.own);
        prop_assert!(u64::from(give) + u64::from(withhold) <= u64::from(lack));
    }

    /// Guards against a share that is rounded up to more than the limit.
    #[test]
    fn units_are_the_least_whose_share_is_the_amount(limit in 1_u64..10_000_000, amount in 0_u64..10_000_000) {
        let limited = Limit::from(Size::new(limit, 0, 0));
        let units = units_for(limited, Size::new(amount, 0, 0));
        let share = |units| limited.share(units, UNITS).millicores.expect("it is limited");
        prop_assert!(share(units) >= amount.min(limit));
        prop_assert!(units == 0 || share(units - 1) < amount);
    }
}

const fn saturated(own: u32) -> Standing {
    Standing {
        own,
        used: own,
        first: 10_000,
        need: UNITS,
    }
}

/// Guards against a tenant whose work in one pool waits for units that another pool doesn't use.
#[test]
fn spare_units_are_given_at_once() {
    let idle = Standing {
        own: 600_000,
        used: 0,
        first: 0,
        need: 0,
    };
    let theirs = Standing {
        own: 0,
        used: 0,
        first: 20_000,
        need: 200_000,
    };
    assert_eq!(
        decide(&idle, &theirs, 5, false),
        Decision {
            give: 200_000,
            withhold: 0
        }
    );
}

/// Guards against a pool that starts more while another one uses more than its part of a limit that fell: all that is free goes to
/// that pool, though the giver has work waiting.
#[test]
fn a_pool_over_its_part_gets_all_that_is_free() {
    let mine = Standing {
        own: 500_000,
        used: 300_000,
        first: 10_000,
        need: UNITS,
    };
    let theirs = Standing {
        own: 500_000,
        used: 900_000,
        first: 10_000,
        need: UNITS,
    };
    assert_eq!(
        decide(&mine, &theirs, 5, false),
        Decision {
            give: 200_000,
            withhold: 200_000
        }
    );
}

/// Guards against a pool without units that waits for ever beside one that has more work than units.
#[test]
fn a_saturated_pool_holds_back_for_one_that_cannot_start() {
    let theirs = Standing {
        own: 0,
        used: 0,
        first: 20_000,
        need: 200_000,
    };
    let decision = decide(&saturated(600_000), &theirs, 5, false);
    assert_eq!(decision.give, 0);
    assert!(decision.withhold >= 20_000, "{decision:?}");
}

/// Guards against units that are moved back and forth between two pools with like needs.
#[test]
fn equal_parts_of_equal_needs_stay() {
    assert_eq!(
        decide(&saturated(500_000), &saturated(490_000), 1, true),
        Decision::default()
    );
    assert_eq!(
        decide(&saturated(490_000), &saturated(500_000), 1, false),
        Decision::default()
    );
}

/// Guards against two gangs in two pools whose parts stay too small for either: one of the two gets enough.
#[test]
fn two_gangs_that_do_not_fit_together_start_one_after_the_other() {
    let gang = |own| Standing {
        own,
        used: 0,
        first: 600_000,
        need: 600_000,
    };
    let first = decide(&gang(500_000), &gang(500_000), 1, true);
    assert_eq!(
        first,
        Decision {
            give: 100_000,
            withhold: 0
        }
    );
    assert_eq!(
        decide(&gang(500_000), &gang(500_000), 1, false),
        Decision::default()
    );
    // The gang runs in the other pool; when it has ended, this pool is next.
    let running = Standing {
        own: 600_000,
        used: 600_000,
        first: 600_000,
        need: UNITS,
    };
    let decision = decide(&running, &gang(400_000), 1, false);
    assert_eq!(
        decision,
        Decision {
            give: 0,
            withhold: 200_000
        }
    );
}

/// Guards against a component without a limit that takes units.
#[test]
fn components_without_a_limit_need_no_units() {
    let demand = QuotaDemand {
        customer: "acme".into(),
        used: Size::new(4_000, 0, 7),
        wanted: Size::new(0, 512, 1),
        largest: Size::new(0, 512, 1),
        ..QuotaDemand::default()
    };
    let standing = Standing::new(Limit::from(Size::new(8_000, 0, 0)), 9, &demand);
    let expected = Standing {
        own: 9,
        used: 500_000,
        first: 0,
        need: 500_000,
    };
    assert_eq!(standing, expected);
}
