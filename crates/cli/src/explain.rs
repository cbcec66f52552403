//! The history of one job, from the log lines of any number of processes.

use std::fmt::Write as _;

use serde::Deserialize;
use serde_json::{Map, Value};
use snafu::Snafu;

/// Reason why a job can't be explained.
#[derive(Debug, PartialEq, Snafu)]
pub enum Error {
    /// No input line is a JSON log line.
    #[snafu(display("none of the {lines} input lines is a lentilyoke JSON log line"))]
    NoLogLines {
        /// Number of input lines.
        lines: usize,
    },
    /// No line belongs to the job.
    #[snafu(display(
        "no log line names job {id:?}; {lines} lines were read, {unparsed} of them are not JSON"
    ))]
    JobNotFound {
        /// Id of the job.
        id: String,
        /// Number of input lines.
        lines: usize,
        /// Number of input lines that are not JSON log lines.
        unparsed: usize,
    },
}

/// The parts of a log line that are used.
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

impl Line {
    /// Whether the line is about a job: it has its id, or the path of a call about it.
    fn names_job(&self, id: &str) -> bool {
        let text = |name| self.attributes.get(name).and_then(Value::as_str);
        let job_in_path = text("path").and_then(|path| path.rsplit('/').next());
        text("job") == Some(id) || job_in_path == Some(id)
    }
}

/// Describes what happened to a job, sorted by time, from log lines of any number of processes. A line may have a prefix
/// before its JSON, such as the name of a process, whose last word is printed with it.
///
/// # Errors
/// If no line is a JSON log line, or none belongs to the job.
///
/// ```
/// let lines = ["h1 {\"time\":\"2026-01-01T00:00:01Z\",\"level\":\"INFO\",\"message\":\"submit\",
///     \"attributes\":{\"job\":\"ab\",\"outcome\":\"Accepted\",\"ms\":\"7\"}}".replace('\n', " ")];
/// let report = cli::explain::explain("ab", lines.iter().map(String::as_str)).unwrap();
/// assert!(report.contains("submitted: Accepted after 7 ms"));
/// ```
pub fn explain<'a>(id: &str, lines: impl Iterator<Item = &'a str>) -> Result<String, Error> {
    let mut total = 0;
    let mut unparsed = 0;
    let mut matching: Vec<(String, Line)> = Vec::new();
    for text in lines.filter(|text| !text.trim().is_empty()) {
        total += 1;
        let json_start = text.find('{').unwrap_or(text.len());
        let Ok(line) = serde_json::from_str::<Line>(&text[json_start..]) else {
            unparsed += 1;
            continue;
        };
        if line.names_job(id) {
            matching.push((text[..json_start].trim().to_owned(), line));
        }
    }
    if total > 0 && total == unparsed {
        return Err(Error::NoLogLines { lines: total });
    }
    if matching.is_empty() {
        return Err(Error::JobNotFound {
            id: id.to_owned(),
            lines: total,
            unparsed,
        });
    }
    matching.sort_by(|a, b| a.1.time.cmp(&b.1.time));
    let mut report = String::new();
    for (prefix, line) in &matching {
        let process = prefix.split_whitespace().last().unwrap_or("-");
        let _ = writeln!(
            report,
            "{} {process}: {}",
            time_of_day(&line.time),
            describe(line)
        );
    }
    let has = |message: &str| matching.iter().any(|(_, line)| line.message == message);
    if has("step") && !has("end") {
        report.push_str("Individual tasks are not shown: the job is not in the log sample.\n");
    }
    let _ = writeln!(
        report,
        "{} lines of the job; {unparsed} of {total} input lines are not JSON",
        matching.len()
    );
    Ok(report)
}

/// Returns the time of day of a time stamp, in milliseconds and without the date.
fn time_of_day(time: &str) -> &str {
    time.get(11..23).unwrap_or(time)
}

/// Describes a log line in a sentence.
fn describe(line: &Line) -> String {
    let attribute = |name: &str| {
        line.attributes.get(name).map_or_else(String::new, |value| {
            value
                .as_str()
                .map_or_else(|| value.to_string(), str::to_owned)
        })
    };
    let task = || {
        format!(
            "task {}.{} run {}",
            attribute("step"),
            attribute("task"),
            attribute("run")
        )
    };
    match line.message.as_str() {
        "submit" if attribute("beat_age") == "-1" => format!(
            "submitted: {} after {} ms (no heartbeat of the owner received yet)",
            attribute("outcome"),
            attribute("ms")
        ),
        "submit" => format!(
            "submitted: {} after {} ms (owner's epoch {}, its latest heartbeat {} ms old)",
            attribute("outcome"),
            attribute("ms"),
            attribute("epoch"),
            attribute("beat_age")
        ),
        "cancel" => format!(
            "cancellation requested: {} after {} ms (evidence: {}, pool {})",
            attribute("outcome"),
            attribute("ms"),
            attribute("evidence"),
            attribute("pool")
        ),
        "no reply of the pool owner" => format!(
            "call to the pool owner ({}) without a reply after {} ms (its link ended: {})",
            attribute("call"),
            attribute("ms"),
            attribute("link_ended")
        ),
        "connection ended without a response to a call" => format!(
            "{} got no response: its connection ended after {} ms, the host was {}",
            attribute("method"),
            attribute("ms"),
            attribute("phase")
        ),
        "call answered before its outcome was known" => format!(
            "{} answered before its outcome was known, at its {}",
            attribute("method"),
            attribute("cause")
        ),
        "cancellation applied" => format!(
            "cancelled by the owner of pool {}, which learned of it by {}: {} runs to stop (epoch {})",
            attribute("pool"),
            attribute("source"),
            attribute("runs"),
            attribute("epoch")
        ),
        "run of a finished job has not stopped" => format!(
            "{} on {} still runs {} ms after the job was over (the owner is stopping it: {}; the worker answers: {})",
            task(),
            attribute("worker"),
            attribute("since"),
            attribute("stopping"),
            attribute("responsive")
        ),
        "insert abandoned without an answer of the store" => format!(
            "the caller left after {} ms, while {} inserts of the job into pool {} had no answer; the store may still carry them out",
            attribute("ms"),
            attribute("calls"),
            attribute("pool")
        ),
        "job added from its row" => format!(
            "the owner of pool {} learned of the job by {}, {} ms after a host had received it (epoch {})",
            attribute("pool"),
            attribute("source"),
            attribute("age"),
            attribute("epoch")
        ),
        "start" => format!(
            "{} start command to {}: {} after {} ms (epoch {})",
            task(),
            attribute("worker"),
            attribute("outcome"),
            attribute("ms"),
            attribute("epoch")
        ),
        "stop" => format!(
            "{} stop command to {}: {} (reason: {})",
            task(),
            attribute("worker"),
            attribute("outcome"),
            attribute("why")
        ),
        "end" => format!(
            "{} ended on {}: {}",
            task(),
            attribute("worker"),
            attribute("how")
        ),
        "run lost" => format!(
            "{} lost on {} without a reported end: {}; the worker was up for at least {} ms after the start command and had {} runs",
            task(),
            attribute("worker"),
            attribute("loss"),
            attribute("survived"),
            attribute("runs")
        ),
        "run stalled" => format!(
            "{} stopped on {}: no progress for {} ms at {} percent",
            task(),
            attribute("worker"),
            attribute("idle"),
            attribute("percent")
        ),
        "long-running tasks are down" => format!(
            "{} tasks of step {} wait to be started again, the first for {} ms; workers: {} full, {} unavailable, {} with too many of the step, \
             {} kept apart for crashes, {} suspected, {} denied by the advisor, {} without a ticket, {} usable",
            attribute("tasks"),
            attribute("step"),
            attribute("since"),
            attribute("full"),
            attribute("unavailable"),
            attribute("per_worker"),
            attribute("crashes"),
            attribute("suspected"),
            attribute("denied"),
            attribute("unadvised"),
            attribute("usable")
        ),
        "nothing of a step runs or can start" => format!(
            "nothing of step {} has run for {} ms: of its {} tasks {} are done and {} could start (gang: {}; held back by: {})",
            attribute("step"),
            attribute("since"),
            attribute("tasks"),
            attribute("done"),
            attribute("startable"),
            attribute("gang"),
            attribute("hold")
        ),
        "pace" => format!(
            "{} pace command: {} percent on {}",
            task(),
            attribute("percent"),
            attribute("worker")
        ),
        "step" => format!("{}{}", step_times(&attribute), step_waits(&attribute)),
        "job" => format!(
            "{} {} ms after the job was accepted (objective: {} ms); final state stored {} ms later",
            attribute("state"),
            attribute("took"),
            attribute("objective"),
            attribute("stored")
        ),
        "advice" => format!(
            "step {}: the advisor was queried for {} workers and allowed {}",
            attribute("step"),
            attribute("asked"),
            attribute("allowed")
        ),
        other => {
            let attributes: Vec<String> = line
                .attributes
                .keys()
                .filter(|name| *name != "job")
                .map(|name| format!("{name} {}", attribute(name)))
                .collect();
            format!("{} {other}: {}", line.level, attributes.join(", "))
        }
    }
}

/// Describes when a step progressed.
fn step_times(attribute: &impl Fn(&str) -> String) -> String {
    format!(
        "step {}: {} tasks, opened {} ms after the job was accepted; advisor first queried after {} ms and first answered \
         after {} ms ({} queries), started from {} to {} ms ({} start commands), done after {} ms (estimate per \
         task: {} ms)",
        attribute("step"),
        attribute("tasks"),
        attribute("age"),
        attribute("asked"),
        attribute("advised"),
        attribute("questions"),
        attribute("first_start"),
        attribute("last_start"),
        attribute("starts"),
        attribute("done"),
        attribute("estimate")
    )
}

/// Describes what the tasks of a step waited for. Logs of older versions don't tell.
fn step_waits(attribute: &impl Fn(&str) -> String) -> String {
    let customer = attribute("customer");
    let waits: Vec<String> = ["capacity", "quota", "share", "advice"]
        .iter()
        .map(|reason| (reason, attribute(&format!("waited_{reason}"))))
        .filter(|(_, waited)| !waited.is_empty() && waited != "0")
        .map(|(reason, waited)| format!("{waited} ms for {reason}"))
        .collect();
    let mut text = String::new();
    if !customer.is_empty() {
        let _ = write!(text, "; customer {customer}");
        if attribute("owed") == "false" {
            text.push_str(", which had sent more than it is owed");
        }
    }
    if !waits.is_empty() {
        let _ = write!(text, "; waited {}", waits.join(", "));
    }
    text
}
