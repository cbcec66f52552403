//! Burn rates of the services' error budgets.
//!
//! A burn rate of 1 uses up the error budget exactly by the end of its period. The fast window shows
//! the current rate, the slow one whether the rate has lasted long enough to matter.

use std::collections::BTreeMap;
use std::path::Path;

use plotters::prelude::*;
use serde::Deserialize;

/// One minute of one service and team, as reported by an entry.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
pub struct Minute {
    /// Minutes since the Unix epoch.
    pub minute: u64,
    /// The service.
    pub service: String,
    /// The team.
    pub team: String,
    /// Number of requests.
    pub all: u64,
    /// Number of requests that were done within the objective.
    pub good: u64,
    /// The objective as a share of the requests, such as 0.999.
    pub objective: f64,
}

/// Length of the fast window, in minutes.
pub const FAST_WINDOW_MINUTES: u64 = 5;
/// Length of the slow window, in minutes.
pub const SLOW_WINDOW_MINUTES: u64 = 60;
/// Fast burn rate that needs attention at once.
pub const PAGE_BURN_RATE: f64 = 14.4;
/// Slow burn rate that needs attention within the day.
pub const TICKET_BURN_RATE: f64 = 6.0;

/// Burn rates of one service and team.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// The service.
    pub service: String,
    /// The team.
    pub team: String,
    /// The objective.
    pub objective: f64,
    /// Number of requests in all reported minutes.
    pub all: u64,
    /// Number of requests that were not done within the objective.
    pub bad: u64,
    /// Share of the error budget of these requests that remains; negative if it is overspent.
    pub budget_left: f64,
    /// Burn rate in the fast window.
    pub fast: f64,
    /// Burn rate in the slow window.
    pub slow: f64,
}

impl Row {
    /// Returns what an operator should do.
    #[must_use]
    pub fn advice(&self) -> &'static str {
        if self.fast >= PAGE_BURN_RATE && self.slow >= TICKET_BURN_RATE {
            "look now"
        } else if self.slow >= TICKET_BURN_RATE {
            "look today"
        } else if self.slow > 1.0 {
            "watch"
        } else {
            "fine"
        }
    }
}

/// Computes burn rates from the minutes reported by all entries, as of minute `now`.
///
/// ```
/// use cli::burn::{Minute, rows};
///
/// let minute = Minute {
///     minute: 100,
///     service: "checks".into(),
///     team: "officers".into(),
///     all: 1_000,
///     good: 998,
///     objective: 0.999,
/// };
/// let rows = rows(&[minute], 100);
/// assert!((rows[0].fast - 2.0).abs() < 1e-9);
/// assert_eq!(rows[0].advice(), "watch");
/// ```
#[must_use]
pub fn rows(minutes: &[Minute], now: u64) -> Vec<Row> {
    let mut groups: BTreeMap<(&str, &str), Vec<&Minute>> = BTreeMap::new();
    for minute in minutes {
        groups
            .entry((&minute.service, &minute.team))
            .or_default()
            .push(minute);
    }
    let row = |((service, team), minutes): ((&str, &str), Vec<&Minute>)| {
        let objective = minutes.last().map_or(0.0, |m| m.objective);
        let (all, bad) = sum(&minutes, 0);
        let rate = |window: u64| rate(sum(&minutes, (now + 1).saturating_sub(window)), objective);
        Row {
            service: service.to_owned(),
            team: team.to_owned(),
            objective,
            all,
            bad,
            budget_left: 1.0 - self::rate((all, bad), objective),
            fast: rate(FAST_WINDOW_MINUTES),
            slow: rate(SLOW_WINDOW_MINUTES),
        }
    };
    groups.into_iter().map(row).collect()
}

fn sum(minutes: &[&Minute], since: u64) -> (u64, u64) {
    let recent = minutes.iter().filter(|m| m.minute >= since);
    recent.fold((0, 0), |(all, bad), m| (all + m.all, bad + m.all - m.good))
}

fn rate((all, bad): (u64, u64), objective: f64) -> f64 {
    if all == 0 {
        return 0.0;
    }
    bad as f64 / all as f64 / (1.0 - objective)
}

/// Formats burn rates as a table.
#[must_use]
pub fn table(rows: &[Row]) -> String {
    let mut text = format!(
        "{:<18}{:<14}{:>10}{:>10}{:>8}{:>13}{:>10}{:>10}  advice\n",
        "service", "team", "objective", "requests", "bad", "budget left", "fast 5m", "slow 1h"
    );
    for row in rows {
        text += &format!(
            "{:<18}{:<14}{:>10}{:>10}{:>8}{:>12.1}%{:>10.2}{:>10.2}  {}\n",
            row.service,
            row.team,
            row.objective,
            row.all,
            row.bad,
            row.budget_left * 100.0,
            row.fast,
            row.slow,
            row.advice(),
        );
    }
    text
}

/// Draws the fast burn rate of every service and team for each minute as an SVG chart.
///
/// # Errors
/// If the file can't be written.
pub fn draw(minutes: &[Minute], to: &Path) -> Result<(), String> {
    let first = minutes.iter().map(|m| m.minute).min().unwrap_or(0);
    let last = minutes
        .iter()
        .map(|m| m.minute)
        .max()
        .unwrap_or(0)
        .max(first + 1);
    let mut lines: BTreeMap<String, Vec<(u64, f64)>> = BTreeMap::new();
    for now in first..=last {
        for row in rows(&up_to(minutes, now), now) {
            let name = format!("{} / {}", row.service, row.team);
            lines.entry(name).or_default().push((now - first, row.fast));
        }
    }
    let max_rate = lines
        .values()
        .flatten()
        .map(|(_, rate)| *rate)
        .fold(PAGE_BURN_RATE, f64::max)
        * 1.1;
    chart(&lines, last - first, max_rate, to).map_err(|error| error.to_string())
}

fn up_to(minutes: &[Minute], now: u64) -> Vec<Minute> {
    minutes
        .iter()
        .filter(|m| m.minute <= now)
        .cloned()
        .collect()
}

/// Width and height of the chart, in pixels.
const CHART_SIZE: (u32, u32) = (960, 480);

fn chart(
    lines: &BTreeMap<String, Vec<(u64, f64)>>,
    minutes: u64,
    max_rate: f64,
    to: &Path,
) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(to, CHART_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(
            "Burn rate of the error budget, last 5 minutes",
            ("sans-serif", 20),
        )
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0..minutes, 0.0..max_rate)?;
    chart
        .configure_mesh()
        .x_desc("minute")
        .y_desc("burn rate")
        .draw()?;
    let page_threshold = [(0, PAGE_BURN_RATE), (minutes, PAGE_BURN_RATE)];
    chart
        .draw_series(LineSeries::new(page_threshold, RED.mix(0.4)))?
        .label("look now")
        .legend(|(x, y)| PathElement::new([(x, y), (x + 16, y)], RED.mix(0.4)));
    for (nth, (name, points)) in lines.iter().enumerate() {
        let color = Palette99::pick(nth).to_rgba();
        chart
            .draw_series(LineSeries::new(
                points.iter().copied(),
                color.stroke_width(2),
            ))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
