//! Units move to where they are needed, and no pool gives what its tasks use.

use host::quota_parts::UNITS;
use host::quota_policy::{Decision, Standing, decide, units_for};
use pool::{Limit, QuotaDemand};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use resource::Size;

fn standing() -> impl Strategy<Value = Standing> {
    let units = || 0..=UNITS;
    (units(), units(), units(), units(), units()).prop_map(|(own, used, kept, first, wanted)| {
        let need = used.saturating_add(wanted).min(UNITS);
        Standing {
            own,
            used,
            kept: kept.min(used),
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
        kept: 0,
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
        kept: 0,
        first: 0,
        need: 0,
    };
    let theirs = Standing {
        own: 0,
        used: 0,
        kept: 0,
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
        kept: 0,
        first: 10_000,
        need: UNITS,
    };
    let theirs = Standing {
        own: 500_000,
        used: 900_000,
        kept: 0,
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
        kept: 0,
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
        kept: 0,
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
        kept: 0,
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

/// Exchanges units between two pools until nothing moves any more.
fn settle(a: &mut Standing, b: &mut Standing) {
    for _ in 0..20 {
        let given = decide(a, b, 1, false).give;
        a.own -= given;
        b.own += given;
        let given = decide(b, a, 1, true).give;
        b.own -= given;
        a.own += given;
    }
}

/// A gang in one pool doesn't fit within the limit beside the customer's long-running tasks in another. Guards against units that are
/// given to the gang's pool, or held back for it, until nothing else can start in the other.
#[test]
fn a_gang_that_cannot_start_beside_long_running_tasks_of_another_pool_takes_no_precedence() {
    let limit = Limit::from(Size::new(40_000, 0, 0));
    let busy = QuotaDemand {
        used: Size::new(4_000, 0, 0),
        lasting: Size::new(4_000, 0, 0),
        wanted: Size::new(4_000, 0, 0),
        largest: Size::new(500, 0, 0),
        ..QuotaDemand::default()
    };
    let gang = |millicores| QuotaDemand {
        wanted: Size::new(millicores, 0, 0),
        largest: Size::new(millicores, 0, 0),
        ..QuotaDemand::default()
    };
    let mut a = Standing::new(limit, UNITS, &busy);
    let mut b = Standing::new(limit, 0, &gang(38_000));
    settle(&mut a, &mut b);
    let least = units_for(limit, Size::new(4_500, 0, 0));
    assert!(a.own >= least, "no task can start: {a:?}");
    let decision = decide(&a, &b, 1, false);
    assert!(a.own - decision.withhold >= least, "{decision:?}");

    // The same beside long-running tasks of its own pool.
    let own = QuotaDemand {
        largest: Size::new(38_000, 0, 0),
        wanted: Size::new(38_000, 0, 0),
        ..busy.clone()
    };
    let small = QuotaDemand {
        wanted: Size::new(4_000, 0, 0),
        largest: Size::new(500, 0, 0),
        ..QuotaDemand::default()
    };
    let mut a = Standing::new(limit, UNITS, &own);
    let mut b = Standing::new(limit, 0, &small);
    settle(&mut a, &mut b);
    assert!(b.own >= b.first, "no task can start: {b:?}");

    // One that fits beside them gets its units.
    let mut a = Standing::new(limit, UNITS, &busy);
    let mut b = Standing::new(limit, 0, &gang(35_000));
    settle(&mut a, &mut b);
    assert!(b.own >= b.first, "the gang can't start: {b:?}");
    assert!(a.own >= least, "no task can start: {a:?}");
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
        kept: 0,
        first: 0,
        need: 500_000,
    };
    assert_eq!(standing, expected);
}
