//! The course of one job, from the log lines of any number of processes.

use std::fmt::Write as _;

use serde::Deserialize;
use serde_json::{Map, Value};
use snafu::Snafu;

/// Why nothing can be told.
#[derive(Debug, PartialEq, Snafu)]
pub enum Error {
    /// No line can be read.
    #[snafu(display("none of {lines} lines is a JSON line of the system"))]
    NotLines {
        /// Lines that were read.
        lines: usize,
    },
    /// No line names it.
    #[snafu(display(
        "no line names {id:?}; {lines} lines were read, {unread} of them are not JSON"
    ))]
    NotThere {
        /// What was asked for.
        id: String,
        /// Lines that were read.
        lines: usize,
        /// Lines that are not JSON.
        unread: usize,
    },
}

/// A log line, as far as it is used.
#[derive(Debug, Deserialize)]
struct Line {
    #[serde(default)]
    time: String,
    #[serde(default)]
    level: String,
    message: String,
    #[serde(default)]
    attributes: Map<String, Value>,
}

/// Tells what happened to a job, in the order of time, from lines of any number of processes. A line may have a prefix
/// before its JSON (the name of a process, say), which is told with it.
///
/// # Errors
/// If no line is one of the system's, or none names the job.
///
/// ```
/// let lines = ["h1 {\"time\":\"2026-01-01T00:00:01Z\",\"level\":\"INFO\",\"message\":\"submit\",
///     \"attributes\":{\"job\":\"ab\",\"outcome\":\"Accepted\",\"ms\":\"7\"}}".replace('\n', " ")];
/// let told = cli::explain::explain("ab", lines.iter().map(String::as_str)).unwrap();
/// assert!(told.contains("handed in: Accepted after 7 ms"));
/// ```
pub fn explain<'a>(id: &str, lines: impl Iterator<Item = &'a str>) -> Result<String, Error> {
    let mut total = 0;
    let mut unread = 0;
    let mut found: Vec<(String, Line)> = Vec::new();
    for text in lines.filter(|text| !text.trim().is_empty()) {
        total += 1;
        let at = text.find('{').unwrap_or(text.len());
        let Ok(line) = serde_json::from_str::<Line>(&text[at..]) else {
            unread += 1;
            continue;
        };
        if line.attributes.get("job").and_then(Value::as_str) == Some(id) {
            found.push((text[..at].trim().to_owned(), line));
        }
    }
    if total > 0 && total == unread {
        return Err(Error::NotLines { lines: total });
    }
    if found.is_empty() {
        return Err(Error::NotThere {
            id: id.to_owned(),
            lines: total,
            unread,
        });
    }
    found.sort_by(|a, b| a.1.time.cmp(&b.1.time));
    let mut told = String::new();
    for (prefix, line) in &found {
        let process = prefix.split_whitespace().last().unwrap_or("-");
        let _ = writeln!(
            told,
            "{} {process}: {}",
            short_time(&line.time),
            words(line)
        );
    }
    let has = |message: &str| found.iter().any(|(_, line)| line.message == message);
    if has("step") && !has("end") {
        told.push_str("Its tasks are not told one by one: it is not in the sample.\n");
    }
    let _ = writeln!(
        told,
        "{} lines; {unread} of {total} lines read are not JSON",
        found.len()
    );
    Ok(told)
}

/// The time of day, without date and beyond milliseconds.
fn short_time(time: &str) -> &str {
    time.get(11..23).unwrap_or(time)
}

/// A line in plain words.
fn words(line: &Line) -> String {
    let of = |name: &str| {
        line.attributes.get(name).map_or_else(String::new, |value| {
            value
                .as_str()
                .map_or_else(|| value.to_string(), str::to_owned)
        })
    };
    let task = || format!("task {}.{} run {}", of("step"), of("task"), of("run"));
    match line.message.as_str() {
        "submit" => format!(
            "handed in: {} after {} ms (owner's epoch {}, news of it {} ms old)",
            of("outcome"),
            of("ms"),
            of("epoch"),
            of("beat_age")
        ),
        "start" => format!(
            "{} ordered on {}: {} after {} ms (epoch {})",
            task(),
            of("worker"),
            of("outcome"),
            of("ms"),
            of("epoch")
        ),
        "stop" => format!(
            "{} stopped on {}: {} ({})",
            task(),
            of("worker"),
            of("outcome"),
            of("why")
        ),
        "end" => format!("{} ended on {}: {}", task(), of("worker"), of("how")),
        "run lost" => format!(
            "{} lost by {} without an end: {}, answered for at least {} ms since the order, {} runs there",
            task(),
            of("worker"),
            of("loss"),
            of("survived"),
            of("runs")
        ),
        "pace" => format!(
            "{} paced to {} percent on {}",
            task(),
            of("percent"),
            of("worker")
        ),
        "step" => format!(
            "step {}: {} tasks, its turn came {} ms after the job was accepted; advisor asked first after {} ms and answered \
             after {} ms ({} questions), started from {} to {} ms ({} orders), done after {} ms (a task: {} ms)",
            of("step"),
            of("tasks"),
            of("age"),
            of("asked"),
            of("advised"),
            of("questions"),
            of("first_start"),
            of("last_start"),
            of("starts"),
            of("done"),
            of("estimate")
        ),
        "job" => format!(
            "{} {} ms after it was accepted, of an objective of {} ms; stored {} ms later",
            of("state"),
            of("took"),
            of("objective"),
            of("stored")
        ),
        "advice" => format!(
            "step {}: the advisor was asked about {} workers and allowed {}",
            of("step"),
            of("asked"),
            of("allowed")
        ),
        other => {
            let rest: Vec<String> = line
                .attributes
                .keys()
                .filter(|name| *name != "job")
                .map(|name| format!("{name} {}", of(name)))
                .collect();
            format!("{} {other}: {}", line.level, rest.join(", "))
        }
    }
}
