//! The report on service-level burn.
//!
//! A burn rate of 1 uses up the error budget exactly by the end of its period; the fast window
//! shows what happens now, the slow one whether it matters.

use std::collections::BTreeMap;
use std::path::Path;

use plotters::prelude::*;
use serde::Deserialize;

/// One minute of one service and team, as an entry tells it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
pub struct Minute {
    /// Minutes since 1970.
    pub minute: u64,
    /// The service.
    pub service: String,
    /// The team.
    pub team: String,
    /// Requests that came.
    pub all: u64,
    /// Those that were done within the objective.
    pub good: u64,
    /// The objective, such as 0.999.
    pub objective: f64,
}

/// Minutes of the fast window.
pub const FAST: u64 = 5;
/// Minutes of the slow window.
pub const SLOW: u64 = 60;
/// A fast burn rate that wants somebody to look at once.
pub const PAGE: f64 = 14.4;
/// A slow burn rate that wants somebody to look within the day.
pub const TICKET: f64 = 6.0;

/// How one service and team stand.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// The service.
    pub service: String,
    /// The team.
    pub team: String,
    /// The objective.
    pub objective: f64,
    /// Requests in all minutes that are known.
    pub all: u64,
    /// Those that were not done within the objective.
    pub bad: u64,
    /// Share of the error budget of these requests that is left; below 0 if it is used up.
    pub left: f64,
    /// Burn rate in the fast window.
    pub fast: f64,
    /// Burn rate in the slow window.
    pub slow: f64,
}

impl Row {
    /// What an operator is to do.
    #[must_use]
    pub fn advice(&self) -> &'static str {
        if self.fast >= PAGE && self.slow >= TICKET {
            "look now"
        } else if self.slow >= TICKET {
            "look today"
        } else if self.slow > 1.0 {
            "watch"
        } else {
            "fine"
        }
    }
}

/// Reckons burn rates from the minutes of all entries, as of minute `now`.
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
            left: 1.0 - self::rate((all, bad), objective),
            fast: rate(FAST),
            slow: rate(SLOW),
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

/// A table of burn rates.
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
            row.left * 100.0,
            row.fast,
            row.slow,
            row.advice(),
        );
    }
    text
}

/// Draws the fast burn rate of every service and team, minute by minute.
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
        for row in rows(&until(minutes, now), now) {
            let name = format!("{} / {}", row.service, row.team);
            lines.entry(name).or_default().push((now - first, row.fast));
        }
    }
    let top = lines
        .values()
        .flatten()
        .map(|(_, rate)| *rate)
        .fold(PAGE, f64::max)
        * 1.1;
    chart(&lines, last - first, top, to).map_err(|error| error.to_string())
}

fn until(minutes: &[Minute], now: u64) -> Vec<Minute> {
    minutes
        .iter()
        .filter(|m| m.minute <= now)
        .cloned()
        .collect()
}

/// Size of the picture, in pixels.
const PICTURE: (u32, u32) = (960, 480);

fn chart(
    lines: &BTreeMap<String, Vec<(u64, f64)>>,
    minutes: u64,
    top: f64,
    to: &Path,
) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(to, PICTURE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(
            "Burn rate of the error budget, last 5 minutes",
            ("sans-serif", 20),
        )
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0..minutes, 0.0..top)?;
    chart
        .configure_mesh()
        .x_desc("minute")
        .y_desc("burn rate")
        .draw()?;
    let page = [(0, PAGE), (minutes, PAGE)];
    chart
        .draw_series(LineSeries::new(page, RED.mix(0.4)))?
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
