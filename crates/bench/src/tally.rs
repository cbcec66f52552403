//! What callers got.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use wire::Class;

use crate::Outcome;

/// Counts and waiting times of one stream.
#[derive(Clone, Debug)]
pub struct Line {
    /// Answers by what was concluded.
    pub outcomes: BTreeMap<&'static str, u64>,
    /// Time from when a request was due to its answer "done", in microseconds.
    pub done: Histogram<u64>,
    /// Time to any other answer, in microseconds.
    pub other: Histogram<u64>,
}

/// Counts and waiting times of all streams.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// By name of the stream.
    pub lines: BTreeMap<String, Line>,
}

/// Digits that the histograms keep.
const DIGITS: u8 = 3;

impl Default for Line {
    fn default() -> Self {
        #[allow(clippy::unwrap_used, reason = "three digits are always accepted")]
        let empty = Histogram::new(DIGITS).unwrap();
        Self {
            outcomes: BTreeMap::new(),
            done: empty.clone(),
            other: empty,
        }
    }
}

impl Tally {
    /// Takes note of an answer that came this long after it was due.
    pub fn count(&mut self, stream: &str, outcome: Outcome, took: Duration) {
        let line = self.lines.entry(stream.to_owned()).or_default();
        *line.outcomes.entry(word(outcome)).or_default() += 1;
        let times = match outcome {
            Outcome::Class(Class::Done) => &mut line.done,
            _ => &mut line.other,
        };
        // Resizes itself, so it takes every duration there is.
        _ = times.record(took.as_micros() as u64);
    }

    /// A table of all streams.
    #[must_use]
    pub fn table(&self) -> String {
        let mut text = format!(
            "{:<26}{:>8}{:>8}{:>9}{:>8}{:>9}{:>9}{:>9}{:>9}{:>11}\n",
            "stream",
            "done",
            "not-run",
            "may-have",
            "refused",
            "no-answ.",
            "p50 ms",
            "p99 ms",
            "p99.9 ms",
            "refusal p99"
        );
        for (name, line) in &self.lines {
            let count = |word| line.outcomes.get(word).copied().unwrap_or(0);
            let ms = |times: &Histogram<u64>, q| times.value_at_quantile(q) as f64 / 1_000.0;
            text += &format!(
                "{name:<26}{:>8}{:>8}{:>9}{:>8}{:>9}{:>9.1}{:>9.1}{:>9.1}{:>11.1}\n",
                count("done"),
                count("not-run"),
                count("may-have-run"),
                count("refused"),
                count("no-answer"),
                ms(&line.done, 0.5),
                ms(&line.done, 0.99),
                ms(&line.done, 0.999),
                ms(&line.other, 0.99),
            );
        }
        text
    }
}

const fn word(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Class(class) => class.as_str(),
        Outcome::NotAsked | Outcome::NoAnswer => "no-answer",
    }
}
