//! Errors of the command line and of configurations name what is wrong.

#![allow(clippy::unwrap_used, reason = "a test that can't go on panics")]

use clap::Parser as _;
use cli::Settings;
use config::raw;

/// Guards against an error that does not name the unknown option or command, or the missing argument.
#[test]
fn an_invalid_command_line_is_explained() {
    for (call, expected) in [
        (
            vec!["config", "apply", "x", "--now"],
            "unexpected argument '--now'",
        ),
        (vec!["config", "apply"], "<FILE>"),
        (vec!["paint"], "unrecognized subcommand 'paint'"),
        (vec!["report", "burn"], "--entries"),
        (vec!["--platform", "nowhere", "show", "racks"], "--platform"),
    ] {
        let all = std::iter::once("lentilyoke").chain(call);
        let error = Settings::try_parse_from(all).unwrap_err().to_string();
        assert!(error.contains(expected), "{error}");
    }
}

/// Guards against an error that does not name the unknown or missing field.
#[test]
fn a_malformed_configuration_is_explained() {
    let unknown = r#"{"name": "x", "regions": [], "worker": {"cores": 1}, "teams": [], "x": 1}"#;
    let error = serde_json::from_str::<raw::Cell>(unknown)
        .unwrap_err()
        .to_string();
    assert!(error.contains("unknown field `x`"), "{error}");
    let missing = r#"{"name": "x", "regions": [], "worker": {"cores": 1}}"#;
    let error = serde_json::from_str::<raw::Cell>(missing)
        .unwrap_err()
        .to_string();
    assert!(error.contains("missing field `teams`"), "{error}");
}

/// Guards against an error that does not name the invalid field and its allowed values.
#[test]
fn an_invalid_value_is_reported_with_its_field() {
    let text = include_str!("../../../deployments/kairouan/cell.json");
    let good: raw::Cell = serde_json::from_str(text).unwrap();
    let broken = |change: fn(&mut raw::Cell)| {
        let mut cell = good.clone();
        change(&mut cell);
        config::Cell::try_from(cell).unwrap_err().to_string()
    };
    for (change, expected) in [
        (
            (|c| c.teams[0].name = "Big Team".to_owned()) as fn(&mut raw::Cell),
            "team: a name must",
        ),
        (
            |c| c.teams[0].region = "atlantis".to_owned(),
            "there is no region \"atlantis\"",
        ),
        (
            |c| c.services[0].run_ms = 9_000,
            "run_ms must lie between 1 and 3000",
        ),
        (
            |c| c.policy.batch = "worst-fit".to_owned(),
            "best-fit, first-fit or least-loaded",
        ),
        (|c| c.worker.cores = -1.0, "cores must lie between 0"),
        (|c| c.regions.clear(), "at least one rack"),
    ] {
        let error = broken(change);
        assert!(error.contains(expected), "{error}");
    }
}
