//! Prints bounds, numbers of states and the shortest bad trace without each safeguard.

use model::{Found, Spec, claims, configuration, gang, ownership, search, tasks};

fn main() {
    show(
        "ownership, all safeguards",
        &ownership_with(ownership::Guards::ALL),
    );
    for (name, guards) in ownership_without() {
        show(
            &format!("ownership without {name}"),
            &ownership_with(guards),
        );
    }
    show("claims, all safeguards", &claims_with(claims::Guards::ALL));
    let all = claims::Guards::ALL;
    show(
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
    show("claims without claim_checks_owner", &claims_with(guards));
    show(
        "claims without memory",
        &claims_with(claims::Guards {
            memory: false,
            ..all
        }),
    );
    show(
        "claims without ledger",
        &claims_with(claims::Guards {
            ledger: false,
            ..all
        }),
    );
    show(
        "claims without void",
        &claims_with(claims::Guards { void: false, ..all }),
    );
    let all = tasks::Guards::ALL;
    show("tasks, all safeguards", &tasks_with(all));
    show(
        "tasks without seniority",
        &tasks_with(tasks::Guards {
            seniority: false,
            ..all
        }),
    );
    show(
        "tasks without addressed",
        &tasks_with(tasks::Guards {
            addressed: false,
            ..all
        }),
    );
    show(
        "tasks without outrank",
        &tasks_with(tasks::Guards {
            outrank: false,
            ..all
        }),
    );
    show(
        "tasks without count_all",
        &tasks_with(tasks::Guards {
            count_all: false,
            ..all
        }),
    );
    show(
        "tasks without doubt",
        &tasks_with(tasks::Guards {
            doubt: false,
            ..all
        }),
    );
    let all = configuration::Guards::ALL;
    let with = |guards| configuration::Configuration {
        guards,
        versions: 3,
        outages: 1,
        mishaps: 2,
    };
    show("configuration, all safeguards", &with(all));
    show(
        "configuration without compare",
        &with(configuration::Guards {
            compare: false,
            ..all
        }),
    );
    show(
        "configuration without rising",
        &with(configuration::Guards {
            rising: false,
            ..all
        }),
    );
    show(
        "configuration without confirm",
        &with(configuration::Guards {
            confirm: false,
            ..all
        }),
    );
    let guards = configuration::Guards {
        learn_first: false,
        ..all
    };
    show("configuration without learn_first", &with(guards));
    show(
        "configuration without fresh",
        &with(configuration::Guards {
            fresh: false,
            ..all
        }),
    );
    let guards = configuration::Guards {
        give_fresh: false,
        ..all
    };
    show("configuration without give_fresh", &with(guards));
    let all = gang::Guards::ALL;
    show("gang, all safeguards", &gang::Gang { guards: all });
    let guards = gang::Guards {
        hold_first: false,
        ..all
    };
    show("gang without hold_first", &gang::Gang { guards });
    show(
        "gang without undo",
        &gang::Gang {
            guards: gang::Guards { undo: false, ..all },
        },
    );
    show(
        "gang without serial",
        &gang::Gang {
            guards: gang::Guards {
                serial: false,
                ..all
            },
        },
    );
}

fn show<S: Spec>(name: &str, spec: &S) {
    let start = std::time::Instant::now();
    match search(spec) {
        Found::Holds { states } => {
            println!("{name}: holds in {states} states ({:.1?})", start.elapsed());
        }
        Found::Bad { what, trace } => {
            println!("{name}: {what}, after {} steps:", trace.len());
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
        ("wait", ownership::Guards { wait: false, ..all }),
        (
            "confirm",
            ownership::Guards {
                confirm: false,
                ..all
            },
        ),
        ("life", ownership::Guards { life: false, ..all }),
        (
            "occupied",
            ownership::Guards {
                occupied: false,
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
        homes: 2,
        attempts: 3,
        handovers: 2,
    }
}
