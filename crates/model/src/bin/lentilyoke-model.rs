//! Searches every specification with all safeguards and without each of them; prints the number of
//! states or a shortest trace to a violation.

use model::{SearchResult, Spec, claims, configuration, gang, ownership, parts, search, tasks};

fn main() {
    print_search(
        "ownership, all safeguards",
        &ownership_with(ownership::Guards::ALL),
    );
    for (name, guards) in ownership_without() {
        print_search(
            &format!("ownership without {name}"),
            &ownership_with(guards),
        );
    }
    print_search("claims, all safeguards", &claims_with(claims::Guards::ALL));
    let all = claims::Guards::ALL;
    print_search(
        "claims without claim",
        &claims_with(claims::Guards {
            claim: false,
            ..all
        }),
    );
    let guards = claims::Guards {
        claim_checks_owner: false,
        ..all
    };
    print_search("claims without claim_checks_owner", &claims_with(guards));
    print_search(
        "claims without deduplicate",
        &claims_with(claims::Guards {
            deduplicate: false,
            ..all
        }),
    );
    print_search(
        "claims without track_lost_answers",
        &claims_with(claims::Guards {
            track_lost_answers: false,
            ..all
        }),
    );
    print_search(
        "claims without void_unanswered",
        &claims_with(claims::Guards {
            void_unanswered: false,
            ..all
        }),
    );
    let all = tasks::Guards::ALL;
    print_search("tasks, all safeguards", &tasks_with(all));
    print_search(
        "tasks without reject_older",
        &tasks_with(tasks::Guards {
            reject_older: false,
            ..all
        }),
    );
    print_search(
        "tasks without check_rack_epoch",
        &tasks_with(tasks::Guards {
            check_rack_epoch: false,
            ..all
        }),
    );
    print_search(
        "tasks without learn_home_owners",
        &tasks_with(tasks::Guards {
            learn_home_owners: false,
            ..all
        }),
    );
    print_search(
        "tasks without query_all_racks",
        &tasks_with(tasks::Guards {
            query_all_racks: false,
            ..all
        }),
    );
    print_search(
        "tasks without verify_unanswered",
        &tasks_with(tasks::Guards {
            verify_unanswered: false,
            ..all
        }),
    );
    let all = configuration::Guards::ALL;
    let with = |guards| configuration::Configuration {
        guards,
        versions: 3,
        outages: 1,
        faults: 2,
    };
    print_search("configuration, all safeguards", &with(all));
    print_search(
        "configuration without compare_and_set",
        &with(configuration::Guards {
            compare_and_set: false,
            ..all
        }),
    );
    print_search(
        "configuration without monotonic",
        &with(configuration::Guards {
            monotonic: false,
            ..all
        }),
    );
    print_search(
        "configuration without wait_for_confirmation",
        &with(configuration::Guards {
            wait_for_confirmation: false,
            ..all
        }),
    );
    let guards = configuration::Guards {
        learn_before_serving: false,
        ..all
    };
    print_search("configuration without learn_before_serving", &with(guards));
    print_search(
        "configuration without learn_after_pause",
        &with(configuration::Guards {
            learn_after_pause: false,
            ..all
        }),
    );
    let guards = configuration::Guards {
        share_only_when_serving: false,
        ..all
    };
    print_search(
        "configuration without share_only_when_serving",
        &with(guards),
    );
    print_search("parts, all safeguards", &parts_with(parts::Guards::ALL));
    for (name, guards) in parts_without() {
        print_search(&format!("parts without {name}"), &parts_with(guards));
    }
    let all = gang::Guards::ALL;
    print_search("gang, all safeguards", &gang::Gang { guards: all });
    let guards = gang::Guards {
        hold_first: false,
        ..all
    };
    print_search("gang without hold_first", &gang::Gang { guards });
    print_search(
        "gang without undo",
        &gang::Gang {
            guards: gang::Guards { undo: false, ..all },
        },
    );
    print_search(
        "gang without serial",
        &gang::Gang {
            guards: gang::Guards {
                serial: false,
                ..all
            },
        },
    );
}

fn print_search<S: Spec>(name: &str, spec: &S) {
    let start = std::time::Instant::now();
    match search(spec) {
        SearchResult::Holds { states } => {
            println!("{name}: holds in {states} states ({:.1?})", start.elapsed());
        }
        SearchResult::Violated { violation, trace } => {
            println!("{name}: {violation}, after {} steps:", trace.len());
            for step in trace {
                println!("    {step}");
            }
        }
    }
}

fn ownership_with(guards: ownership::Guards) -> ownership::Ownership {
    ownership::Ownership {
        guards,
        authority: 1,
        epochs: 2,
        restarts: 1,
    }
}

fn ownership_without() -> Vec<(&'static str, ownership::Guards)> {
    let all = ownership::Guards::ALL;
    vec![
        (
            "fence",
            ownership::Guards {
                fence: false,
                ..all
            },
        ),
        (
            "not_after",
            ownership::Guards {
                not_after: false,
                ..all
            },
        ),
        (
            "majority",
            ownership::Guards {
                majority: false,
                ..all
            },
        ),
        (
            "takeover_delay",
            ownership::Guards {
                takeover_delay: false,
                ..all
            },
        ),
        (
            "confirm",
            ownership::Guards {
                confirm: false,
                ..all
            },
        ),
        (
            "incarnation",
            ownership::Guards {
                incarnation: false,
                ..all
            },
        ),
        (
            "keep_clear_of_runs",
            ownership::Guards {
                keep_clear_of_runs: false,
                ..all
            },
        ),
    ]
}

fn claims_with(guards: claims::Guards) -> claims::Claims {
    claims::Claims { guards, epochs: 2 }
}

fn tasks_with(guards: tasks::Guards) -> tasks::Tasks {
    tasks::Tasks {
        guards,
        home_epochs: 2,
        attempts: 3,
        handovers: 2,
    }
}

fn parts_with(guards: parts::Guards) -> parts::Parts {
    parts::Parts {
        guards,
        gives: 2,
        takeovers: 2,
    }
}

fn parts_without() -> Vec<(&'static str, parts::Guards)> {
    let all = parts::Guards::ALL;
    vec![
        (
            "lower_first",
            parts::Guards {
                lower_first: false,
                ..all
            },
        ),
        (
            "announce_stored",
            parts::Guards {
                announce_stored: false,
                ..all
            },
        ),
        (
            "totals",
            parts::Guards {
                totals: false,
                ..all
            },
        ),
        (
            "check_claim",
            parts::Guards {
                check_claim: false,
                ..all
            },
        ),
        (
            "compare_and_set",
            parts::Guards {
                compare_and_set: false,
                ..all
            },
        ),
        (
            "repeat_unanswered",
            parts::Guards {
                repeat_unanswered: false,
                ..all
            },
        ),
        (
            "keep_used",
            parts::Guards {
                keep_used: false,
                ..all
            },
        ),
        (
            "hear_workers",
            parts::Guards {
                hear_workers: false,
                ..all
            },
        ),
    ]
}
