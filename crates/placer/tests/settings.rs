//! Settings of the program: error messages and conversion to options.

#![allow(clippy::unwrap_used, reason = "a test that can't go on panics")]

use clap::Parser as _;
use placer::Settings;

const GOOD: [&str; 9] = [
    "lentilyoke-placer",
    "--name",
    "p1",
    "--region",
    "north",
    "--data-centre",
    "north-1",
    "--platform",
    "127.0.0.1:7000",
];

fn error(more: &[&str]) -> String {
    let all = GOOD.iter().chain(more);
    Settings::try_parse_from(all).unwrap_err().to_string()
}

/// The error for a wrong setting names the setting or its allowed values.
#[test]
fn a_wrong_setting_is_named() {
    for (more, expected) in [
        (&["--beat-ms", "5"] as &[&str], "5 is not in 100..=10000"),
        (&["--pulse-ms", "5000"], "5000 is not in 100..=1000"),
        (&["--remember-s", "1"], "1 is not in 60..=86400"),
        (&["--listen", "here"], "--listen"),
        (
            &["--log", "loud"],
            "possible values: error, warn, info, debug, trace",
        ),
        (&["--speed", "fast"], "unexpected argument '--speed'"),
    ] {
        let error = error(more);
        assert!(error.contains(expected), "{error}");
    }
}

/// The error for a missing setting names it.
#[test]
fn a_missing_setting_is_named() {
    let error = Settings::try_parse_from(&GOOD[..7])
        .unwrap_err()
        .to_string();
    assert!(error.contains("--platform"), "{error}");
}

/// The placer's name contains the incarnation; the session timeout follows from the sync interval.
#[test]
fn options_follow_settings() {
    let settings = Settings::try_parse_from(GOOD.iter().chain(&["--beat-ms", "2000"])).unwrap();
    let options = settings.options("life", "127.0.0.1:1".parse().unwrap());
    assert_eq!(options.name, "p1.life");
    assert_eq!(options.session_timeout.as_millis(), 7_000);
}
