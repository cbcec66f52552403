//! Compares ways to divide customers' limits among pools, in a simulation without network: parts that stand still, parts that follow
//! demand (`host::quota_parts`), and one ledger for each customer. Prints a table; its figures depend on nothing but the seeds.
//!
//! `cargo run --release -p lentilyoke_host --example quota_ways`

mod by_demand;
mod fixed;
mod ledger;
mod network;
mod world;

use world::{Outcome, Scenario, Way};

/// Seeds over which the figures are averaged.
const SEEDS: [u64; 8] = [1, 2, 3, 4, 5, 6, 7, 8];

fn main() {
    println!(
        "| way | scenario | share of wanted work | worst customer | longest wait for a first part, s | the same below half of the limit, s | messages/s | writes/s | over the limit |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for scenario in Scenario::ALL {
        print_way("parts by capacity", scenario, fixed::Fixed::new);
        print_way("parts by demand", scenario, by_demand::ByDemand::new);
        print_way("ledger", scenario, ledger::Ledger::new);
    }
}

fn print_way<W: Way>(name: &str, scenario: Scenario, way: impl Fn(&world::World) -> W) {
    let outcomes: Vec<Outcome> = SEEDS
        .iter()
        .map(|seed| world::run(scenario, *seed, &way))
        .collect();
    let mean = |value: fn(&Outcome) -> f64| {
        outcomes.iter().map(value).sum::<f64>() / outcomes.len() as f64
    };
    let largest = |value: fn(&Outcome) -> f64| outcomes.iter().map(value).fold(0.0, f64::max);
    println!(
        "| {name} | {} | {:.3} | {:.3} | {:.2} | {:.2} | {:.0} | {:.0} | {} |",
        scenario.name(),
        mean(|it| it.share),
        mean(|it| it.worst_share),
        largest(|it| it.longest_wait),
        largest(|it| it.longest_wait_below_half),
        mean(|it| it.messages),
        mean(|it| it.writes),
        largest(|it| it.excess),
    );
}
