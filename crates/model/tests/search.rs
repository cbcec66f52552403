//! Searches every specification, with all safeguards and without each of them.

use model::{Found, Spec, claims, configuration, gang, ownership, search, tasks};

fn holds<S: Spec>(spec: &S) {
    let found = search(spec);
    assert!(found.holds(), "{found:#?}");
}

fn fails<S: Spec>(spec: &S, expected: &str) {
    match search(spec) {
        Found::Bad { what, .. } => assert_eq!(what, expected),
        Found::Holds { states } => panic!("holds in {states} states: the safeguard shows nothing"),
    }
}

const TWO_PLACES: &str = "the key runs in two places";

fn owners(guards: ownership::Guards) -> ownership::Ownership {
    ownership::Ownership {
        guards,
        authority: 1,
        epochs: 2,
        restarts: 1,
    }
}

#[test]
fn a_key_never_runs_in_two_places() {
    holds(&owners(ownership::Guards::ALL));
}

#[test]
fn without_fencing_a_key_runs_in_two_places() {
    fails(
        &owners(ownership::Guards {
            fence: false,
            ..ownership::Guards::ALL
        }),
        TWO_PLACES,
    );
}

#[test]
fn without_a_last_moment_a_key_runs_in_two_places() {
    fails(
        &owners(ownership::Guards {
            not_after: false,
            ..ownership::Guards::ALL
        }),
        TWO_PLACES,
    );
}

#[test]
fn without_a_majority_a_key_runs_in_two_places() {
    fails(
        &owners(ownership::Guards {
            majority: false,
            ..ownership::Guards::ALL
        }),
        TWO_PLACES,
    );
}

#[test]
fn without_waiting_a_key_runs_in_two_places() {
    fails(
        &owners(ownership::Guards {
            wait: false,
            ..ownership::Guards::ALL
        }),
        TWO_PLACES,
    );
}

#[test]
fn without_confirming_restarts_a_key_runs_in_two_places() {
    fails(
        &owners(ownership::Guards {
            confirm: false,
            ..ownership::Guards::ALL
        }),
        TWO_PLACES,
    );
}

#[test]
fn without_naming_the_life_a_key_runs_in_two_places() {
    fails(
        &owners(ownership::Guards {
            life: false,
            ..ownership::Guards::ALL
        }),
        TWO_PLACES,
    );
}

#[test]
fn without_asking_what_runs_a_key_runs_in_two_places() {
    fails(
        &owners(ownership::Guards {
            occupied: false,
            ..ownership::Guards::ALL
        }),
        TWO_PLACES,
    );
}

fn claiming(guards: claims::Guards) -> claims::Claims {
    claims::Claims { guards, epochs: 2 }
}

#[test]
fn a_claimed_request_runs_at_most_once_and_not_run_is_true() {
    holds(&claiming(claims::Guards::ALL));
}

#[test]
fn without_claims_a_request_runs_twice() {
    fails(
        &claiming(claims::Guards {
            claim: false,
            ..claims::Guards::ALL
        }),
        "it ran twice",
    );
}

#[test]
fn without_memory_a_request_runs_twice() {
    fails(
        &claiming(claims::Guards {
            memory: false,
            ..claims::Guards::ALL
        }),
        "it ran twice",
    );
}

#[test]
fn without_the_ledger_not_run_is_untrue() {
    let untrue = "every ask was told that it did not run, and it ran";
    fails(
        &claiming(claims::Guards {
            ledger: false,
            ..claims::Guards::ALL
        }),
        untrue,
    );
}

#[test]
fn without_voiding_a_request_runs_twice() {
    fails(
        &claiming(claims::Guards {
            void: false,
            ..claims::Guards::ALL
        }),
        "it ran twice",
    );
}

/// The rack's row in a claim's transaction is no safeguard: it only spares callers a "may have
/// run". If this fails one day, the row has become one and the documents must say so.
#[test]
fn the_owner_check_of_claims_is_a_convenience() {
    holds(&claiming(claims::Guards {
        claim_checks_owner: false,
        ..claims::Guards::ALL
    }));
}

const TWO_ATTEMPTS: &str = "two attempts at the task run at once";

fn placing(guards: tasks::Guards) -> tasks::Tasks {
    tasks::Tasks {
        guards,
        homes: 2,
        attempts: 3,
        handovers: 2,
    }
}

#[test]
fn two_attempts_at_a_task_never_run_at_once() {
    holds(&placing(tasks::Guards::ALL));
}

#[test]
fn without_seniority_two_attempts_run_at_once() {
    fails(
        &placing(tasks::Guards {
            seniority: false,
            ..tasks::Guards::ALL
        }),
        TWO_ATTEMPTS,
    );
}

#[test]
fn without_addressed_orders_two_attempts_run_at_once() {
    fails(
        &placing(tasks::Guards {
            addressed: false,
            ..tasks::Guards::ALL
        }),
        TWO_ATTEMPTS,
    );
}

#[test]
fn without_learning_home_owners_two_attempts_run_at_once() {
    fails(
        &placing(tasks::Guards {
            outrank: false,
            ..tasks::Guards::ALL
        }),
        TWO_ATTEMPTS,
    );
}

#[test]
fn without_asking_all_racks_two_attempts_run_at_once() {
    fails(
        &placing(tasks::Guards {
            count_all: false,
            ..tasks::Guards::ALL
        }),
        TWO_ATTEMPTS,
    );
}

#[test]
fn taking_silence_for_not_placed_runs_two_attempts_at_once() {
    fails(
        &placing(tasks::Guards {
            doubt: false,
            ..tasks::Guards::ALL
        }),
        TWO_ATTEMPTS,
    );
}

const OLDER: &str = "a process serves under an older configuration than the accepted one";

fn configuring(guards: configuration::Guards) -> configuration::Configuration {
    configuration::Configuration {
        guards,
        versions: 3,
        outages: 1,
        mishaps: 2,
    }
}

#[test]
fn an_accepted_configuration_is_in_force_and_never_reverts() {
    holds(&configuring(configuration::Guards::ALL));
}

#[test]
fn without_compare_and_set_operators_overwrite_each_other() {
    let guards = configuration::Guards {
        compare: false,
        ..configuration::Guards::ALL
    };
    fails(
        &configuring(guards),
        "an operator overwrote a change without knowing it",
    );
}

#[test]
fn without_rising_versions_a_configuration_reverts() {
    let guards = configuration::Guards {
        rising: false,
        ..configuration::Guards::ALL
    };
    fails(
        &configuring(guards),
        "a process went back to an older configuration",
    );
}

#[test]
fn without_confirmation_accepted_is_said_too_early() {
    let guards = configuration::Guards {
        confirm: false,
        ..configuration::Guards::ALL
    };
    fails(&configuring(guards), OLDER);
}

#[test]
fn serving_before_learning_is_serving_an_older_configuration() {
    let guards = configuration::Guards {
        learn_first: false,
        ..configuration::Guards::ALL
    };
    fails(&configuring(guards), OLDER);
}

#[test]
fn serving_right_after_a_pause_is_serving_an_older_configuration() {
    let guards = configuration::Guards {
        fresh: false,
        ..configuration::Guards::ALL
    };
    fails(&configuring(guards), OLDER);
}

#[test]
fn learning_from_a_paused_process_is_learning_an_older_configuration() {
    let guards = configuration::Guards {
        give_fresh: false,
        ..configuration::Guards::ALL
    };
    fails(&configuring(guards), OLDER);
}

#[test]
fn all_of_a_gang_runs_or_none() {
    holds(&gang::Gang {
        guards: gang::Guards::ALL,
    });
}

#[test]
fn without_holding_first_a_part_of_a_gang_runs() {
    let guards = gang::Guards {
        hold_first: false,
        ..gang::Guards::ALL
    };
    fails(
        &gang::Gang { guards },
        "a member runs although the gang was never complete",
    );
}

#[test]
fn without_undoing_a_part_of_a_gang_runs() {
    let guards = gang::Guards {
        undo: false,
        ..gang::Guards::ALL
    };
    fails(
        &gang::Gang { guards },
        "a part of the gang runs, and nobody will stop it",
    );
}

#[test]
fn without_serials_a_late_commit_runs_a_part_of_a_gang() {
    let guards = gang::Guards {
        serial: false,
        ..gang::Guards::ALL
    };
    fails(
        &gang::Gang { guards },
        "a part of the gang runs, and nobody will stop it",
    );
}
