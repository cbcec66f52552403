//! Compares rules for packing, and rules for detecting broken workers, on the same input.
//!
//! The task sizes and outcomes are synthetic and the seeds are fixed, so the output is reproducible.

use clap::{Parser, ValueEnum};
use policy::detect::{Consecutive, Cusum, Detector, log_likelihood_ratio};
use policy::{Capacity, Index, Rule};
use rand::seq::SliceRandom as _;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use resource::Size;

/// Compares rules on the same input.
#[derive(Debug, Parser)]
#[command(name = "lentilyoke-trial", version)]
struct Settings {
    /// Rules to compare.
    what: Comparison,
    /// Number of seeds.
    #[arg(long, default_value_t = 20)]
    seeds: u64,
}

#[derive(Clone, Copy, Debug, ValueEnum)]
enum Comparison {
    /// Utilization at the first refusal and with a backlog, and number of hosts needed.
    Packing,
    /// Tasks until a broken worker is detected, and false alarms on healthy workers.
    Detection,
}

fn main() {
    let settings = Settings::parse();
    match settings.what {
        Comparison::Packing => packing(settings.seeds),
        Comparison::Detection => detection(settings.seeds),
    }
}

const HOST_SIZE: Size = Size::new(16_000, 65_536, 2);
const HOST_COUNT: usize = 50;

/// Generates task sizes: mostly small, some large, a few with accelerators.
fn tasks(random: &mut ChaCha8Rng, n: usize) -> Vec<Size> {
    let mut task = |_| {
        let cores = [500, 1_000, 1_500, 2_000, 4_000, 6_000, 8_000];
        let weights = [10, 25, 25, 20, 12, 5, 3];
        let mut draw = random.random_range(0..100);
        let mut size_class = 0;
        while draw >= weights[size_class] {
            draw -= weights[size_class];
            size_class += 1;
        }
        let memory_per_core = [1_024, 2_048, 4_096, 6_144, 8_192][random.random_range(0..5)];
        let accelerators = u64::from(random.random_range(0..100) < 8);
        Size::new(
            cores[size_class],
            cores[size_class] * memory_per_core / 1_000,
            accelerators,
        )
    };
    let mut tasks: Vec<Size> = (0..n).map(&mut task).collect();
    tasks.shuffle(random);
    tasks
}

fn packing(seeds: u64) {
    println!("packing: {HOST_COUNT} hosts; mean of {seeds} seeds");
    println!(
        "{:<26}{:>16}{:>18}{:>20}",
        "rule", "until refusal", "with a backlog", "hosts over bound"
    );
    let rules = ["best-fit", "first-fit", "least-loaded", "random"];
    for (name, sorted) in rules
        .iter()
        .flat_map(|rule| [(*rule, false), (*rule, true)])
    {
        let (mut carried, mut filled, mut over) = (0.0, 0.0, 0.0);
        for seed in 0..seeds {
            let tasks = tasks(&mut ChaCha8Rng::seed_from_u64(seed), 2_000);
            carried += until_refusal(name, &tasks);
            filled += with_backlog(name, &sort_backlog(&tasks[..BACKLOG_TASKS], sorted));
            over += hosts_over_bound(name, &sort_backlog(&tasks[..BACKLOG_TASKS], sorted));
        }
        let n = seeds as f64;
        let name = if sorted {
            format!("{name}, largest first")
        } else {
            name.to_owned()
        };
        println!(
            "{name:<26}{:>15.1}%{:>17.1}%{:>20.3}",
            carried / n * 100.0,
            filled / n * 100.0,
            over / n
        );
    }
}

/// Number of tasks in a backlog.
const BACKLOG_TASKS: usize = 600;

/// Returns the tasks of a backlog in the order in which they are placed.
fn sort_backlog(tasks: &[Size], largest_first: bool) -> Vec<Size> {
    let mut tasks = tasks.to_vec();
    if largest_first {
        tasks.sort_by(|a, b| b.share(HOST_SIZE).total_cmp(&a.share(HOST_SIZE)));
    }
    tasks
}

/// Utilization of the scarcest resource when no task of a backlog fits any more.
fn with_backlog(name: &str, tasks: &[Size]) -> f64 {
    let mut index = Index::default();
    (0..HOST_COUNT).for_each(|_| index.push(empty()));
    let mut used = Size::ZERO;
    for (nth, task) in tasks.iter().enumerate() {
        if let Some(place) = index.place(rule(name, nth), *task) {
            index.reserve(place, *task);
            used = used.plus(*task);
        }
    }
    used.share(HOST_SIZE.times(HOST_COUNT as u64))
}

/// Returns the rule of this name; the random one is seeded with a hash of the task's number `nth`.
fn rule(name: &str, nth: usize) -> Rule {
    match name {
        "best-fit" => Rule::BestFit,
        "first-fit" => Rule::FirstFit,
        "least-loaded" => Rule::LeastLoaded,
        _ => Rule::Random {
            seed: (nth as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 7,
        },
    }
}

fn empty() -> Capacity {
    Capacity {
        free: HOST_SIZE,
        total: HOST_SIZE,
        siblings: 0,
    }
}

/// Utilization of the scarcest resource when the first task does not fit.
fn until_refusal(name: &str, tasks: &[Size]) -> f64 {
    let mut index = Index::default();
    (0..HOST_COUNT).for_each(|_| index.push(empty()));
    let mut used = Size::ZERO;
    for (nth, task) in tasks.iter().enumerate() {
        match index.place(rule(name, nth), *task) {
            Some(place) => index.reserve(place, *task),
            None => break,
        }
        used = used.plus(*task);
    }
    used.share(HOST_SIZE.times(HOST_COUNT as u64))
}

/// Ratio of the hosts that all tasks need, if a host is added whenever none has capacity, to the
/// lower bound given by the sum of their sizes.
fn hosts_over_bound(name: &str, tasks: &[Size]) -> f64 {
    let mut index = Index::default();
    for (nth, task) in tasks.iter().enumerate() {
        let place = index.place(rule(name, nth), *task).unwrap_or_else(|| {
            index.push(empty());
            index.len() - 1
        });
        index.reserve(place, *task);
    }
    let total: Size = tasks.iter().copied().sum();
    index.len() as f64 / total.share(HOST_SIZE).ceil()
}

/// Finite moving average: compares the sum of the last log-likelihood ratios with a threshold. The
/// window bounds the detection delay (after "Finite Moving Average Stopping Time for Transient Change
/// Detection in GNSS Signal Integrity"). Only this comparison uses it.
#[derive(Clone, Debug)]
struct MovingAverage {
    threshold: f64,
    ratios: Vec<f64>,
    next: usize,
}

impl MovingAverage {
    fn new(window: usize, threshold: f64) -> Self {
        Self {
            threshold,
            ratios: vec![0.0; window],
            next: 0,
        }
    }
}

impl Detector for MovingAverage {
    fn record(&mut self, failed: bool) -> bool {
        self.ratios[self.next] = log_likelihood_ratio(failed);
        self.next = (self.next + 1) % self.ratios.len();
        self.ratios.iter().sum::<f64>() >= self.threshold
    }

    fn reset(&mut self) {
        self.ratios.fill(0.0);
    }
}

/// Name and constructor of a detector.
type Candidate = (&'static str, fn() -> Box<dyn Detector>);

/// Number of outcomes of a worker before it breaks.
const HEALTHY_OUTCOMES: usize = 2_000;
/// Maximum number of outcomes after it has broken.
const BROKEN_OUTCOMES: usize = 200;

fn detection(seeds: u64) {
    let seeds = seeds * 100;
    println!("detection: {seeds} workers; {HEALTHY_OUTCOMES} sound outcomes, then broken");
    println!(
        "{:<26}{:>8}{:>14}{:>12}{:>12}{:>16}",
        "rule", "broken", "false alarms", "mean tasks", "p99 tasks", "missed in 10"
    );
    for (healthy, broken) in [(0.02, 0.9), (0.05, 0.6), (0.02, 1.0)] {
        let rules: [Candidate; 9] = [
            ("3 in a row", || Box::new(Consecutive::new(3))),
            ("4 in a row", || Box::new(Consecutive::new(4))),
            ("5 in a row", || Box::new(Consecutive::new(5))),
            ("CUSUM, 12", || Box::new(Cusum::new(12.0))),
            ("CUSUM, 10", || Box::new(Cusum::new(10.0))),
            ("CUSUM, 9", || Box::new(Cusum::new(9.0))),
            ("moving average of 6, 9", || {
                Box::new(MovingAverage::new(6, 9.0))
            }),
            ("moving average of 10, 10", || {
                Box::new(MovingAverage::new(10, 10.0))
            }),
            ("moving average of 8, 9", || {
                Box::new(MovingAverage::new(8, 9.0))
            }),
        ];
        println!("fails {healthy} when sound, {broken} when broken");
        for (name, new_rule) in rules {
            let mut delays: Vec<usize> = Vec::new();
            let mut false_alarms = 0;
            for seed in 0..seeds {
                let mut random = ChaCha8Rng::seed_from_u64(seed);
                let mut rule = new_rule();
                for _ in 0..HEALTHY_OUTCOMES {
                    if rule.record(random.random::<f64>() < healthy) {
                        false_alarms += 1;
                        rule.reset();
                    }
                }
                let detected =
                    (1..=BROKEN_OUTCOMES).find(|_| rule.record(random.random::<f64>() < broken));
                delays.push(detected.unwrap_or(BROKEN_OUTCOMES + 1));
            }
            delays.sort_unstable();
            let n = delays.len();
            let mean = delays.iter().sum::<usize>() as f64 / n as f64;
            let missed = delays.iter().filter(|d| **d > 10).count() as f64 / n as f64;
            let false_alarms_ppm =
                f64::from(false_alarms) / (seeds as f64 * HEALTHY_OUTCOMES as f64) * 1e6;
            println!(
                "{name:<26}{broken:>8}{false_alarms_ppm:>10.1} ppm{mean:>12.2}{:>12}{:>15.2}%",
                delays[n * 99 / 100],
                missed * 100.0
            );
        }
    }
}
