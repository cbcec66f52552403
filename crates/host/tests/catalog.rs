//! The configuration in force: lookup of keys, transfer between hosts, and replacement by newer versions only.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use host::catalog::CatalogInForce;
use host::packed::Packed;
use host::{Catalog, Customer, InvalidCatalog, KeyDigest, check_customers};
use pool::CustomerPolicy;
use resource::Size;

const CUSTOMERS: usize = 77;
const KEYS: usize = 1_000;

fn key(number: usize) -> String {
    format!("key-{number:06}")
}

/// A configuration in which the customers have the keys in turn.
fn catalog() -> Catalog {
    let customer = |number: usize| Customer {
        name: format!("customer-{number}"),
        policy: CustomerPolicy {
            weight: number as f64,
            limit: Size::new(1_000, 2_000, 3),
        },
        keys: (number..KEYS)
            .step_by(CUSTOMERS)
            .map(|number| KeyDigest::of(key(number).as_bytes()))
            .collect(),
    };
    Catalog {
        version: 7,
        customers: (0..CUSTOMERS).map(customer).collect(),
        ..Catalog::default()
    }
}

/// Guards against keys that are found for no customer or for another one.
#[test]
fn each_key_is_found_for_its_customer() {
    let catalog = catalog();
    assert_eq!(check_customers(&catalog.customers), Ok(()));
    for number in 0..KEYS {
        let found = catalog.customer_of(&KeyDigest::of(key(number).as_bytes()));
        let expected = format!("customer-{}", number % CUSTOMERS);
        assert_eq!(found.map(|customer| &customer.name), Some(&expected));
    }
    for number in KEYS..KEYS * 2 {
        let found = catalog.customer_of(&KeyDigest::of(key(number).as_bytes()));
        assert!(found.is_none());
    }
}

/// Guards against an index of a former configuration that is used for a changed copy.
#[test]
fn a_changed_copy_has_an_index_of_its_own() {
    let before = catalog();
    let digest = KeyDigest::of(key(3).as_bytes());
    assert!(before.customer_of(&digest).is_some());
    let mut after = before.clone();
    after.customers.remove(3);
    assert!(after.customer_of(&digest).is_none());
}

/// Guards against customers or digests that are lost, and keys that are readable, on the way between hosts.
#[test]
fn a_packed_configuration_keeps_customers_and_digests_but_no_keys() {
    let before = catalog();
    let after = Catalog::try_from(&Packed::try_from(&before).expect("packed")).expect("unpacked");
    assert_eq!(after, before);
    let found = after.customer_of(&KeyDigest::of(key(500).as_bytes()));
    assert_eq!(found, before.customers.get(500 % CUSTOMERS));
    let json = serde_json::to_string(&before).expect("encoded");
    assert!(!json.contains("key-000500"));
    assert!(!format!("{before:?}").contains("key-000500"));
}

/// Guards against an update that replaces a newer one which is made at the same time.
#[test]
fn of_concurrent_updates_the_newest_stays() {
    const ROUNDS: u64 = 20_000;
    const THREADS: u64 = 3;
    let in_force = Arc::new(CatalogInForce::default());
    let ready = Arc::new(AtomicU64::new(0));
    // Waits until all threads have done the step with this number.
    let step = |ready: &AtomicU64, number: u64| {
        ready.fetch_add(1, Ordering::AcqRel);
        let mut spins = 0;
        while ready.load(Ordering::Acquire) < number * THREADS {
            spins += 1;
            if spins % 64 == 0 {
                thread::yield_now();
            }
        }
    };
    let threads: Vec<_> = (0..THREADS)
        .map(|thread| {
            let (in_force, ready) = (Arc::clone(&in_force), Arc::clone(&ready));
            thread::spawn(move || {
                let mut errors = 0;
                for round in 0..ROUNDS {
                    // In each round another thread has the newest version.
                    let version = round * THREADS + (thread + round) % THREADS + 1;
                    let update = Catalog {
                        version,
                        ..Catalog::default()
                    };
                    step(&ready, 2 * round + 1);
                    let replaced = in_force.update(update);
                    errors += u64::from(replaced.is_some_and(|before| before >= version));
                    step(&ready, 2 * round + 2);
                    errors += u64::from(in_force.version() != (round + 1) * THREADS);
                }
                errors
            })
        })
        .collect();
    for thread in threads {
        assert_eq!(thread.join().expect("no panic"), 0);
    }
}

/// Guards against a configuration in which it isn't clear whose a key is, or what a customer may use.
#[test]
fn invalid_customers_are_told_apart() {
    let customer = |name: &str, key: &str, weight: f64| Customer {
        name: name.to_owned(),
        policy: CustomerPolicy {
            weight,
            ..CustomerPolicy::default()
        },
        keys: vec![KeyDigest::of(key.as_bytes())],
    };
    let check = |second: Customer| check_customers(&[customer("a", "key-1", 1.0), second]);
    assert_eq!(check(customer("b", "key-2", 0.0)), Ok(()));
    let name = |name: &str| name.to_owned();
    assert_eq!(
        check(customer("a", "key-2", 1.0)),
        Err(InvalidCatalog::Twice {
            customer: name("a")
        })
    );
    assert_eq!(
        check(customer("b", "key-1", 1.0)),
        Err(InvalidCatalog::SharedKey {
            customer: name("b"),
            other: name("a")
        })
    );
    for weight in [-1.0, f64::NAN, f64::INFINITY] {
        let error = Err(InvalidCatalog::Weight {
            customer: name("b"),
        });
        assert_eq!(check(customer("b", "key-2", weight)), error);
    }
    for invalid in ["", &"n".repeat(257)] {
        let error = Err(InvalidCatalog::Name { position: 1 });
        assert_eq!(check(customer(invalid, "key-2", 1.0)), error);
    }
}
