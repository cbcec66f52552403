//! Compares rules with each other on the same input: packing, and finding bad workers.
//!
//! Pure decisions on made-up sizes and outcomes, with fixed seeds: it prints the same each time.

use clap::{Parser, ValueEnum};
use policy::detect::{Consecutive, Cusum, MovingAverage, Rule as Detector};
use policy::{Index, Room, Rule};
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
        "{:<14}{:>22}{:>24}",
        "rule", "carried until refusal", "hosts over lower bound"
    );
    for name in ["best-fit", "first-fit", "least-loaded", "random"] {
        let (mut carried, mut over) = (0.0, 0.0);
        for seed in 0..seeds {
            let tasks = tasks(&mut ChaCha8Rng::seed_from_u64(seed), 2_000);
            carried += until_refusal(name, &tasks);
            over += hosts_over_bound(name, &tasks[..400]);
        }
        let n = seeds as f64;
        println!("{name:<14}{:>21.1}%{:>24.3}", carried / n * 100.0, over / n);
    }
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

fn empty() -> Room {
    Room {
        free: HOST,
        whole: HOST,
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
            Some(at) => index.take(at, *task),
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
        index.take(at, *task);
    }
    let total: Size = tasks.iter().copied().sum();
    index.len() as f64 / total.share(HOST).ceil()
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
        let rules: [Candidate; 6] = [
            ("3 in a row", || Box::new(Consecutive::new(3))),
            ("4 in a row", || Box::new(Consecutive::new(4))),
            ("5 in a row", || Box::new(Consecutive::new(5))),
            ("CUSUM, 9", || Box::new(Cusum::new(9.0))),
            ("moving average of 6, 9", || {
                Box::new(MovingAverage::new(6, 9.0))
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
                    if rule.failed(random.random::<f64>() < sound) {
                        alarms += 1;
                        rule.reset();
                    }
                }
                let found = (1..=AFTER).find(|_| rule.failed(random.random::<f64>() < broken));
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
