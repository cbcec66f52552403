//! Which calls may use a queue, and which jobs a caller may access.

use std::time::Duration;

use host::access::{Caller, Decision, Freshness, PresentedKey, Reason, Revocation};
use host::{Catalog, Customer, KeyDigest, Queue};
use pool::Job;
use proptest::prelude::{Just, Strategy, any, prop_assert, prop_assert_eq, prop_oneof, proptest};

const LENIENT: Revocation = Revocation {
    strict: false,
    deadline: Duration::from_millis(5_000),
};
const STRICT: Revocation = Revocation {
    strict: true,
    ..LENIENT
};

fn queue(open_to_all: bool) -> Queue {
    Queue {
        name: "q".to_owned(),
        open_to_all,
        ..Queue::default()
    }
}

fn catalog() -> Catalog {
    let customer = |name: &str, keys: &[&str]| Customer {
        name: name.to_owned(),
        keys: keys
            .iter()
            .map(|key| KeyDigest::of(key.as_bytes()))
            .collect(),
        ..Customer::default()
    };
    Catalog {
        customers: vec![
            customer("a", &["key-1", "key-2"]),
            customer("b", &["key-3"]),
        ],
        ..Catalog::default()
    }
}

fn key(text: &str) -> PresentedKey {
    PresentedKey::Digest(KeyDigest::of(text.as_bytes()))
}

fn freshness(confirmed_at: u64, now: u64, arrived_at: u64) -> Freshness {
    Freshness {
        confirmed_at,
        now,
        arrived_at,
    }
}

fn decide(open: bool, key: PresentedKey, freshness: Freshness, revocation: Revocation) -> Decision {
    Decision::on(&catalog(), &queue(open), key, freshness, revocation)
}

fn granted(customer: &str, open: bool) -> Decision {
    Decision::Granted(Caller {
        customer: customer.into(),
        queue: "q".to_owned(),
        queue_is_open: open,
    })
}

/// Guards against a key that was just added and is denied by a host whose configuration is older.
#[test]
fn a_call_is_denied_only_by_a_configuration_confirmed_after_its_arrival() {
    for (presented, reason) in [
        (PresentedKey::Absent, Reason::NoKey),
        (key("key-9"), Reason::UnknownKey),
    ] {
        let before = freshness(9_999, 10_500, 10_000);
        let decision = decide(false, presented, before, LENIENT);
        assert_eq!(decision, Decision::Unconfirmed(reason));
        assert_eq!(reason.required_at(before, LENIENT), 10_000);
        let after = freshness(10_000, 10_500, 10_000);
        let decision = decide(false, presented, after, LENIENT);
        assert_eq!(decision, Decision::Denied(reason));
    }
}

/// Guards against callers with good keys that are refused by a host that has lost touch, where that is not demanded.
#[test]
fn a_known_key_is_granted_access_whatever_the_age_without_strict_revocation() {
    let old = freshness(0, 1_000_000, 1_000_000);
    assert_eq!(
        decide(false, key("key-2"), old, LENIENT),
        granted("a", false)
    );
    assert_eq!(
        decide(false, key("key-3"), old, LENIENT),
        granted("b", false)
    );
}

/// Guards against a revoked key that a host without touch still grants access, where that is forbidden.
#[test]
fn strict_revocation_grants_access_up_to_the_deadline_only() {
    let in_time = freshness(10_000, 15_000, 14_999);
    assert_eq!(
        decide(false, key("key-1"), in_time, STRICT),
        granted("a", false)
    );
    let late = freshness(10_000, 15_001, 15_000);
    let decision = decide(false, key("key-1"), late, STRICT);
    assert_eq!(decision, Decision::Unconfirmed(Reason::MayBeRevoked));
    assert_eq!(Reason::MayBeRevoked.required_at(late, STRICT), 10_001);
}

/// Guards against callers of an open queue that are refused because of their key.
#[test]
fn an_open_queue_is_open_with_and_without_keys() {
    let old = freshness(0, 1_000_000, 1_000_000);
    assert_eq!(
        decide(true, PresentedKey::Absent, old, STRICT),
        granted("", true)
    );
    assert_eq!(decide(true, key("key-9"), old, STRICT), granted("", true));
    assert_eq!(decide(true, key("key-1"), old, STRICT), granted("", true));
    assert_eq!(decide(true, key("key-1"), old, LENIENT), granted("a", true));
    let unreadable = decide(true, PresentedKey::Unreadable, old, LENIENT);
    assert_eq!(unreadable, Decision::Unreadable);
}

/// Guards against a caller that learns of, or changes, a job of another customer, and against one that loses its own.
#[test]
fn a_job_is_accessible_to_its_customer_and_by_its_open_queue() {
    let caller = |customer: &str, open| Caller {
        customer: customer.into(),
        queue: "q".to_owned(),
        queue_is_open: open,
    };
    assert!(caller("a", false).may_access("a", "other queue"));
    assert!(caller("a", false).may_access("", "q"));
    assert!(!caller("a", false).may_access("b", "q"));
    assert!(
        caller("", true).may_access("b", "q"),
        "the queue was opened"
    );
    assert!(!caller("", true).may_access("b", "other queue"));
    assert!(!caller("a", true).may_access("b", "other queue"));
}

/// Guards against an id that is taken over by a customer other than the one that used it first.
#[test]
fn a_repeated_submission_accesses_only_jobs_that_may_be_the_same() {
    let caller = |customer: &str, queue: &str| {
        Caller::of_job(&Job {
            customer: customer.into(),
            queue: queue.to_owned(),
            ..Job::default()
        })
    };
    assert!(caller("a", "q").may_access("a", "q"));
    assert!(caller("a", "q").may_access("", "q"));
    assert!(!caller("a", "q").may_access("b", "q"));
    assert!(
        caller("", "q").may_access("a", "q"),
        "the key was removed, the queue is open"
    );
    assert!(!caller("", "q").may_access("a", "other queue"));
}

fn presented() -> impl Strategy<Value = (PresentedKey, Option<&'static str>)> {
    prop_oneof![
        Just((PresentedKey::Absent, None)),
        Just((key("key-1"), Some("a"))),
        Just((key("key-3"), Some("b"))),
        "[a-z]{1,9}".prop_map(|text| (key(&text), None)),
    ]
}

proptest! {
    /// Guards against any combination of ages and settings in which a call passes without a valid key, or is denied by an old
    /// configuration.
    #[test]
    fn closed_queues_need_a_valid_key_and_denials_a_proof(
        (presented, customer) in presented(),
        confirmed_at in 0..30_000u64,
        arrived_at in 0..30_000u64,
        waited in 0..3_000u64,
        strict in any::<bool>(),
    ) {
        let now = arrived_at + waited;
        let freshness = freshness(confirmed_at, now, arrived_at);
        let revocation = if strict { STRICT } else { LENIENT };
        let age = now.saturating_sub(confirmed_at);
        match decide(false, presented, freshness, revocation) {
            Decision::Granted(caller) => {
                prop_assert_eq!(Some(&*caller.customer), customer);
                prop_assert!(!strict || age <= 5_000);
            }
            Decision::Denied(_) => {
                prop_assert_eq!(customer, None);
                prop_assert!(confirmed_at >= arrived_at);
            }
            Decision::Unconfirmed(reason) => {
                // The proof that is waited for settles the decision.
                let proved = Freshness {
                    confirmed_at: reason.required_at(freshness, revocation),
                    ..freshness
                };
                prop_assert!(proved.confirmed_at > confirmed_at);
                let settled = decide(false, presented, proved, revocation);
                prop_assert!(!matches!(settled, Decision::Unconfirmed(_)));
            }
            Decision::Unreadable => prop_assert!(false, "the key is readable"),
        }
    }
}
