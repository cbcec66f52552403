//! Compares rules with each other on the same input: packing, and finding bad workers.
//!
//! Pure decisions on made-up sizes and outcomes, with fixed seeds: it prints the same each time.

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
    /// What to compare.
    what: What,
    /// Number of seeds.
    #[arg(long, default_value_t = 20)]
    seeds: u64,
}

#[derive(Clone, Copy, Debug, ValueEnum)]
enum What {
    /// Work carried until the first refusal, and hosts needed.
    Packing,
    /// Failures until a broken worker is found, and sound workers that are taken for broken.
    Detection,
}

fn main() {
    let settings = Settings::parse();
    match settings.what {
        What::Packing => packing(settings.seeds),
        What::Detection => detection(settings.seeds),
    }
}

const HOST: Size = Size::new(16_000, 65_536, 2);
const HOSTS: usize = 50;

/// Sizes of a season's reports: mostly small, some large, a few with accelerators.
fn tasks(random: &mut ChaCha8Rng, n: usize) -> Vec<Size> {
    let mut task = |_| {
        let cores = [500, 1_000, 1_500, 2_000, 4_000, 6_000, 8_000];
        let weights = [10, 25, 25, 20, 12, 5, 3];
        let mut pick = random.random_range(0..100);
        let mut at = 0;
        while pick >= weights[at] {
            pick -= weights[at];
            at += 1;
        }
        let memory_per_core = [1_024, 2_048, 4_096, 6_144, 8_192][random.random_range(0..5)];
        let accelerators = u64::from(random.random_range(0..100) < 8);
        Size::new(cores[at], cores[at] * memory_per_core / 1_000, accelerators)
    };
    let mut tasks: Vec<Size> = (0..n).map(&mut task).collect();
    tasks.shuffle(random);
    tasks
}

fn packing(seeds: u64) {
    println!("packing: {HOSTS} hosts; mean of {seeds} seeds");
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
            filled += with_backlog(name, &order(&tasks[..BACKLOG], sorted));
            over += hosts_over_bound(name, &order(&tasks[..BACKLOG], sorted));
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

/// Tasks that wait together.
const BACKLOG: usize = 600;

/// The tasks of a backlog in the order in which they are placed.
fn order(tasks: &[Size], largest_first: bool) -> Vec<Size> {
    let mut tasks = tasks.to_vec();
    if largest_first {
        tasks.sort_by(|a, b| b.share(HOST).total_cmp(&a.share(HOST)));
    }
    tasks
}

/// Share of the scarcest resource in use when nothing of a backlog finds room any more.
fn with_backlog(name: &str, tasks: &[Size]) -> f64 {
    let mut index = Index::default();
    (0..HOSTS).for_each(|_| index.push(empty()));
    let mut used = Size::ZERO;
    for (nth, task) in tasks.iter().enumerate() {
        if let Some(at) = index.place(rule(name, nth), *task) {
            index.reserve(at, *task);
            used = used.plus(*task);
        }
    }
    used.share(HOST.times(HOSTS as u64))
}

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
        free: HOST,
        total: HOST,
        siblings: 0,
    }
}

/// Share of the scarcest resource in use when the first task finds no room.
fn until_refusal(name: &str, tasks: &[Size]) -> f64 {
    let mut index = Index::default();
    (0..HOSTS).for_each(|_| index.push(empty()));
    let mut used = Size::ZERO;
    for (nth, task) in tasks.iter().enumerate() {
        match index.place(rule(name, nth), *task) {
            Some(at) => index.reserve(at, *task),
            None => break,
        }
        used = used.plus(*task);
    }
    used.share(HOST.times(HOSTS as u64))
}

/// Hosts that all tasks need, one more being opened when none has room, over the lower bound that
/// the sum of their sizes gives.
fn hosts_over_bound(name: &str, tasks: &[Size]) -> f64 {
    let mut index = Index::default();
    for (nth, task) in tasks.iter().enumerate() {
        let at = index.place(rule(name, nth), *task).unwrap_or_else(|| {
            index.push(empty());
            index.len() - 1
        });
        index.reserve(at, *task);
    }
    let total: Size = tasks.iter().copied().sum();
    index.len() as f64 / total.share(HOST).ceil()
}

/// Finite moving average: the sum of the last log-likelihood ratios against a threshold, which
/// bounds the delay to the window (after "Finite Moving Average Stopping Time for Transient Change
/// Detection in GNSS Signal Integrity"). It is here to be compared with.
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

/// A rule's name, and how to make one.
type Candidate = (&'static str, fn() -> Box<dyn Detector>);

/// Outcomes of a worker before and after it breaks.
const BEFORE: usize = 2_000;
const AFTER: usize = 200;

fn detection(seeds: u64) {
    let seeds = seeds * 100;
    println!("detection: {seeds} workers; {BEFORE} sound outcomes, then broken");
    println!(
        "{:<26}{:>8}{:>14}{:>12}{:>12}{:>16}",
        "rule", "broken", "false alarms", "mean tasks", "p99 tasks", "missed in 10"
    );
    for (sound, broken) in [(0.02, 0.9), (0.05, 0.6), (0.02, 1.0)] {
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
        println!("fails {sound} when sound, {broken} when broken");
        for (name, make) in rules {
            let mut delays: Vec<usize> = Vec::new();
            let mut alarms = 0;
            for seed in 0..seeds {
                let mut random = ChaCha8Rng::seed_from_u64(seed);
                let mut rule = make();
                for _ in 0..BEFORE {
                    if rule.record(random.random::<f64>() < sound) {
                        alarms += 1;
                        rule.reset();
                    }
                }
                let found = (1..=AFTER).find(|_| rule.record(random.random::<f64>() < broken));
                delays.push(found.unwrap_or(AFTER + 1));
            }
            delays.sort_unstable();
            let n = delays.len();
            let mean = delays.iter().sum::<usize>() as f64 / n as f64;
            let missed = delays.iter().filter(|d| **d > 10).count() as f64 / n as f64;
            let per = f64::from(alarms) / (seeds as f64 * BEFORE as f64) * 1e6;
            println!(
                "{name:<26}{broken:>8}{per:>10.1} ppm{mean:>12.2}{:>12}{:>15.2}%",
                delays[n * 99 / 100],
                missed * 100.0
            );
        }
    }
}
