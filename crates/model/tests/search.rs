//! Searches every specification, with all safeguards and without each of them. A search that finds no violation
//! without a safeguard would show that the specification does not test that safeguard.

use model::{SearchResult, Spec, claims, configuration, gang, ownership, parts, search, tasks};

fn holds<S: Spec>(spec: &S) {
    let result = search(spec);
    assert!(result.holds(), "{result:#?}");
}

fn fails<S: Spec>(spec: &S, expected: &str) {
    match search(spec) {
        SearchResult::Violated { violation, .. } => assert_eq!(violation, expected),
        SearchResult::Holds { states } => {
            panic!("holds in {states} states: the missing safeguard has no effect")
        }
    }
}

const TWO_PLACES: &str = "the key runs in two places";

fn ownership_with(guards: ownership::Guards) -> ownership::Ownership {
    ownership::Ownership {
        guards,
        authority: 1,
        epochs: 2,
        restarts: 1,
    }
}

#[test]
fn a_key_never_runs_in_two_places() {
    holds(&ownership_with(ownership::Guards::ALL));
}

#[test]
fn without_fencing_a_key_runs_in_two_places() {
    fails(
        &ownership_with(ownership::Guards {
            fence: false,
            ..ownership::Guards::ALL
        }),
        TWO_PLACES,
    );
}

#[test]
fn without_a_time_limit_on_commands_a_key_runs_in_two_places() {
    fails(
        &ownership_with(ownership::Guards {
            not_after: false,
            ..ownership::Guards::ALL
        }),
        TWO_PLACES,
    );
}

#[test]
fn without_a_majority_a_key_runs_in_two_places() {
    fails(
        &ownership_with(ownership::Guards {
            majority: false,
            ..ownership::Guards::ALL
        }),
        TWO_PLACES,
    );
}

#[test]
fn without_a_takeover_delay_a_key_runs_in_two_places() {
    fails(
        &ownership_with(ownership::Guards {
            takeover_delay: false,
            ..ownership::Guards::ALL
        }),
        TWO_PLACES,
    );
}

#[test]
fn without_confirming_restarts_a_key_runs_in_two_places() {
    fails(
        &ownership_with(ownership::Guards {
            confirm: false,
            ..ownership::Guards::ALL
        }),
        TWO_PLACES,
    );
}

#[test]
fn without_naming_the_incarnation_a_key_runs_in_two_places() {
    fails(
        &ownership_with(ownership::Guards {
            incarnation: false,
            ..ownership::Guards::ALL
        }),
        TWO_PLACES,
    );
}

#[test]
fn without_keeping_clear_of_runs_a_key_runs_in_two_places() {
    fails(
        &ownership_with(ownership::Guards {
            keep_clear_of_runs: false,
            ..ownership::Guards::ALL
        }),
        TWO_PLACES,
    );
}

fn claims_with(guards: claims::Guards) -> claims::Claims {
    claims::Claims { guards, epochs: 2 }
}

#[test]
fn a_claimed_request_runs_at_most_once_and_not_run_is_true() {
    holds(&claims_with(claims::Guards::ALL));
}

#[test]
fn without_claims_a_request_runs_twice() {
    fails(
        &claims_with(claims::Guards {
            claim: false,
            ..claims::Guards::ALL
        }),
        "the request ran twice",
    );
}

#[test]
fn without_deduplication_a_request_runs_twice() {
    fails(
        &claims_with(claims::Guards {
            deduplicate: false,
            ..claims::Guards::ALL
        }),
        "the request ran twice",
    );
}

#[test]
fn without_tracking_lost_answers_not_run_is_untrue() {
    let untrue = "every submission was answered \"not run\", but the request ran";
    fails(
        &claims_with(claims::Guards {
            track_lost_answers: false,
            ..claims::Guards::ALL
        }),
        untrue,
    );
}

#[test]
fn without_voiding_a_request_runs_twice() {
    fails(
        &claims_with(claims::Guards {
            void_unanswered: false,
            ..claims::Guards::ALL
        }),
        "the request ran twice",
    );
}

/// The check of the rack's row in a claim's transaction is no safeguard: it only lets more answers
/// be "not run" instead of "may have run". If this test fails, the check has become a safeguard, and
/// the documentation must say so.
#[test]
fn the_owner_check_of_claims_is_not_a_safeguard() {
    holds(&claims_with(claims::Guards {
        claim_checks_owner: false,
        ..claims::Guards::ALL
    }));
}

const TWO_ATTEMPTS: &str = "two attempts at the task run at once";

fn tasks_with(guards: tasks::Guards) -> tasks::Tasks {
    tasks::Tasks {
        guards,
        home_epochs: 2,
        attempts: 3,
        handovers: 2,
    }
}

#[test]
fn two_attempts_at_a_task_never_run_at_once() {
    holds(&tasks_with(tasks::Guards::ALL));
}

#[test]
fn without_rejecting_older_commands_two_attempts_run_at_once() {
    fails(
        &tasks_with(tasks::Guards {
            reject_older: false,
            ..tasks::Guards::ALL
        }),
        TWO_ATTEMPTS,
    );
}

#[test]
fn without_the_rack_epoch_in_commands_two_attempts_run_at_once() {
    fails(
        &tasks_with(tasks::Guards {
            check_rack_epoch: false,
            ..tasks::Guards::ALL
        }),
        TWO_ATTEMPTS,
    );
}

#[test]
fn without_learning_home_owners_two_attempts_run_at_once() {
    fails(
        &tasks_with(tasks::Guards {
            learn_home_owners: false,
            ..tasks::Guards::ALL
        }),
        TWO_ATTEMPTS,
    );
}

#[test]
fn without_querying_all_racks_two_attempts_run_at_once() {
    fails(
        &tasks_with(tasks::Guards {
            query_all_racks: false,
            ..tasks::Guards::ALL
        }),
        TWO_ATTEMPTS,
    );
}

#[test]
fn treating_a_missing_answer_as_not_started_runs_two_attempts_at_once() {
    fails(
        &tasks_with(tasks::Guards {
            verify_unanswered: false,
            ..tasks::Guards::ALL
        }),
        TWO_ATTEMPTS,
    );
}

const OLDER_CONFIGURATION: &str =
    "a process serves under an older configuration than the accepted one";

fn configuration_with(guards: configuration::Guards) -> configuration::Configuration {
    configuration::Configuration {
        guards,
        versions: 3,
        outages: 1,
        faults: 2,
    }
}

#[test]
fn an_accepted_configuration_is_in_force_and_never_reverts() {
    holds(&configuration_with(configuration::Guards::ALL));
}

#[test]
fn without_compare_and_set_operators_overwrite_each_other() {
    let guards = configuration::Guards {
        compare_and_set: false,
        ..configuration::Guards::ALL
    };
    fails(
        &configuration_with(guards),
        "an operator overwrote a change without knowing it",
    );
}

#[test]
fn without_monotonic_versions_a_configuration_reverts() {
    let guards = configuration::Guards {
        monotonic: false,
        ..configuration::Guards::ALL
    };
    fails(
        &configuration_with(guards),
        "a process went back to an older configuration",
    );
}

#[test]
fn without_confirmation_accepted_is_reported_too_early() {
    let guards = configuration::Guards {
        wait_for_confirmation: false,
        ..configuration::Guards::ALL
    };
    fails(&configuration_with(guards), OLDER_CONFIGURATION);
}

#[test]
fn serving_before_learning_is_serving_an_older_configuration() {
    let guards = configuration::Guards {
        learn_before_serving: false,
        ..configuration::Guards::ALL
    };
    fails(&configuration_with(guards), OLDER_CONFIGURATION);
}

#[test]
fn serving_right_after_a_pause_is_serving_an_older_configuration() {
    let guards = configuration::Guards {
        learn_after_pause: false,
        ..configuration::Guards::ALL
    };
    fails(&configuration_with(guards), OLDER_CONFIGURATION);
}

#[test]
fn learning_from_a_paused_process_is_learning_an_older_configuration() {
    let guards = configuration::Guards {
        share_only_when_serving: false,
        ..configuration::Guards::ALL
    };
    fails(&configuration_with(guards), OLDER_CONFIGURATION);
}

#[test]
fn either_all_members_of_a_gang_run_or_none() {
    holds(&gang::Gang {
        guards: gang::Guards::ALL,
    });
}

#[test]
fn without_holding_first_a_partial_gang_runs() {
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
fn without_undoing_a_partial_gang_runs() {
    let guards = gang::Guards {
        undo: false,
        ..gang::Guards::ALL
    };
    fails(
        &gang::Gang { guards },
        "only some members of the gang run, and nothing will stop them",
    );
}

#[test]
fn without_serials_a_late_commit_runs_a_partial_gang() {
    let guards = gang::Guards {
        serial: false,
        ..gang::Guards::ALL
    };
    fails(
        &gang::Gang { guards },
        "only some members of the gang run, and nothing will stop them",
    );
}

fn parts_with(guards: parts::Guards) -> parts::Parts {
    parts::Parts {
        guards,
        gives: 2,
        takeovers: 2,
    }
}

const TOO_MANY_UNITS: &str = "the parts exceed the limit";
const TOO_MANY_TASKS: &str = "more tasks run than the limit allows";

#[test]
fn the_parts_of_a_limit_never_exceed_it_and_none_is_lost() {
    holds(&parts_with(parts::Guards::ALL));
}

#[test]
fn a_giver_that_lowers_its_part_late_exceeds_the_limit() {
    fails(
        &parts_with(parts::Guards {
            lower_first: false,
            ..parts::Guards::ALL
        }),
        TOO_MANY_TASKS,
    );
}

#[test]
fn units_told_before_they_are_stored_are_used_twice() {
    fails(
        &parts_with(parts::Guards {
            announce_stored: false,
            ..parts::Guards::ALL
        }),
        TOO_MANY_UNITS,
    );
}

#[test]
fn increments_in_repeated_messages_are_counted_twice() {
    fails(
        &parts_with(parts::Guards {
            totals: false,
            ..parts::Guards::ALL
        }),
        TOO_MANY_UNITS,
    );
}

#[test]
fn without_the_claim_as_a_condition_parts_exceed_the_limit() {
    fails(
        &parts_with(parts::Guards {
            check_claim: false,
            ..parts::Guards::ALL
        }),
        TOO_MANY_TASKS,
    );
}

#[test]
fn without_a_version_as_a_condition_units_are_used_twice() {
    fails(
        &parts_with(parts::Guards {
            compare_and_set: false,
            ..parts::Guards::ALL
        }),
        TOO_MANY_UNITS,
    );
}

#[test]
fn a_write_that_is_not_repeated_lets_parts_exceed_the_limit() {
    fails(
        &parts_with(parts::Guards {
            repeat_unanswered: false,
            ..parts::Guards::ALL
        }),
        TOO_MANY_TASKS,
    );
}

#[test]
fn units_given_while_tasks_use_them_exceed_the_limit() {
    fails(
        &parts_with(parts::Guards {
            keep_used: false,
            ..parts::Guards::ALL
        }),
        TOO_MANY_TASKS,
    );
}

#[test]
fn units_given_before_all_workers_are_heard_exceed_the_limit() {
    fails(
        &parts_with(parts::Guards {
            hear_workers: false,
            ..parts::Guards::ALL
        }),
        TOO_MANY_TASKS,
    );
}
