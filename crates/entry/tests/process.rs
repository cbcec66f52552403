//! The program of an entry as its operators see it.

#![allow(clippy::unwrap_used, reason = "a test that can't go on panics")]

use std::io::{BufRead as _, BufReader, Read as _};
use std::process::{Command, Stdio};

/// Guards against a log whose last lines are lost: they tell how the entry ended, and which calls
/// got no response.
#[test]
fn the_log_is_complete_at_the_end_of_the_process() {
    let mut process = Command::new(env!("CARGO_BIN_EXE_lentilyoke-entry"))
        .args(["--name", "e1", "--region", "north", "--log", "info"])
        .args(["--listen", "127.0.0.1:0", "--metrics", "127.0.0.1:0"])
        .args(["--placers", "127.0.0.1:1", "--close-delay-ms", "0"])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut output = BufReader::new(process.stdout.take().unwrap());
    let mut started = String::new();
    while !started.contains("started") {
        let read = output.read_line(&mut started).unwrap();
        assert_ne!(read, 0, "the process ended: {started}");
    }
    let signal = Command::new("kill")
        .args(["-TERM", &process.id().to_string()])
        .status();
    assert!(signal.unwrap().success());
    let mut log = String::new();
    output.read_to_string(&mut log).unwrap();
    assert!(process.wait().unwrap().success());
    assert!(log.contains("\"message\":\"stopped\""), "{log:?}");
}
