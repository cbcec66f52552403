//! The stand-ins and the cases of the review: `review-standin-3 CASE RECORD` plays a case. The exit code is 1 if the rule was broken,
//! 0 if it held, 2 if the case couldn't run. With `TROUBLE=0` there is no disruption.

mod cluster;
mod crash_case;
mod executor;
mod http;
mod isolation_case;
mod json;
mod memory_case;
mod row_case;
mod store;

use std::net::TcpListener;
use std::path::Path;
use std::process::{Command, Stdio, exit};
use std::sync::Mutex;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cluster::Record;

pub fn unix_ms() -> i64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as i64)
}

/// A case has to end by itself in this time.
const LIMIT: Duration = Duration::from_secs(112);

static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Has this process ended if the case takes too long.
pub fn watch(process: u32) {
    CHILDREN.lock().unwrap().push(process);
}

/// Ends all processes that were started, and this one, when the time is over.
fn limit_time() {
    std::thread::spawn(|| {
        std::thread::sleep(LIMIT);
        for process in CHILDREN.lock().unwrap().iter() {
            drop(
                Command::new("kill")
                    .args(["-9", &process.to_string()])
                    .stderr(Stdio::null())
                    .status(),
            );
        }
        eprintln!("the case took too long");
        exit(2);
    });
}

/// Whether the case is played with its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let case: fn(Record) -> Result<bool, String> = match words[..] {
        ["executor", id, address, born] => {
            let listener = TcpListener::bind(address).expect("the address of the executor");
            let options = executor::Options {
                id: id.to_owned(),
                born: born.parse().unwrap_or(0),
                hold_max: 6_000,
                stop_grace: Duration::from_millis(200),
            };
            executor::run(listener, options);
        }
        ["rows", _] => row_case::run,
        ["crashes", _] => crash_case::run,
        ["isolation", _] => isolation_case::run,
        ["memory", _] => memory_case::run,
        _ => {
            eprintln!("usage: review-standin-3 CASE RECORD");
            exit(2);
        }
    };
    limit_time();
    let record = Record::create(Path::new(words[1]));
    let outcome = record.map_err(|error| error.to_string()).and_then(|record| {
        let outcome = case(record.clone());
        match &outcome {
            Ok(true) => record.line("result: the rule was broken"),
            Ok(false) => record.line("result: the rule held"),
            Err(error) => record.line(&format!("result: the case couldn't run: {error}")),
        }
        outcome
    });
    match outcome {
        Ok(broken) => {
            println!("{}", if broken { "broken" } else { "held" });
            exit(i32::from(broken));
        }
        Err(error) => {
            eprintln!("{error}");
            exit(2);
        }
    }
}
