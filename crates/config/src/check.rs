//! The check between what operators write and what the system acts on.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use resource::Size;
use snafu::{ResultExt, Snafu, ensure};

use crate::cell::{Cell, Pack, Policy, Rack, Service, Team};
use crate::raw;

/// Longest name of anything.
const MAX_NAME: usize = 64;
/// Longest run of a quick request.
///
/// A new owner of a rack waits this long for runs that it cannot see, so it bounds recovery.
pub const MAX_RUN: Duration = Duration::from_millis(3_000);
/// Longest queue of one rack.
const MAX_QUEUE: u32 = 65_536;

/// Why a configuration was not accepted; the message names the place.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[allow(missing_docs, reason = "the messages say what each field is")]
pub enum Error {
    #[snafu(display("{place}: a name must be 1 to {MAX_NAME} of a-z, 0-9 and '-', not {name:?}"))]
    Name { place: &'static str, name: String },
    #[snafu(display("{place}: {name:?} stands there twice"))]
    Twice { place: &'static str, name: String },
    #[snafu(display("{place} {name:?}: there is no region {region:?}"))]
    Region {
        place: &'static str,
        name: String,
        region: String,
    },
    #[snafu(display("{place} {name:?}: {source}"))]
    Size {
        place: &'static str,
        name: String,
        source: resource::Error,
    },
    #[snafu(display("{place}: {field} must lie between {low} and {high}, not {value}"))]
    Range {
        place: String,
        field: &'static str,
        low: f64,
        high: f64,
        value: f64,
    },
    #[snafu(display("policy: batch must be best-fit, first-fit or least-loaded, not {value:?}"))]
    Pack { value: String },
    #[snafu(display("a cell needs at least one rack"))]
    NoRack,
}

impl TryFrom<raw::Cell> for Cell {
    type Error = Error;

    fn try_from(raw: raw::Cell) -> Result<Self, Error> {
        name("cell", &raw.name)?;
        let racks = racks(&raw.regions)?;
        ensure!(!racks.is_empty(), NoRackSnafu);
        let regions: BTreeSet<&str> = raw.regions.iter().map(|r| r.name.as_str()).collect();
        let worker = Size::try_from(raw.worker).context(SizeSnafu {
            place: "worker",
            name: String::new(),
        })?;
        range(
            "cell",
            "workers_per_rack",
            1.0,
            64.0,
            f64::from(raw.workers_per_rack),
        )?;
        Ok(Self {
            name: raw.name.clone(),
            racks,
            worker,
            workers_per_rack: raw.workers_per_rack,
            teams: teams(&raw.teams, &regions)?,
            services: services(&raw.services, &regions)?,
            policy: policy(&raw.policy)?,
            raw,
        })
    }
}

fn racks(regions: &[raw::Region]) -> Result<BTreeMap<String, Rack>, Error> {
    let mut racks = BTreeMap::new();
    let mut centres = BTreeSet::new();
    for region in regions {
        name("region", &region.name)?;
        for centre in &region.data_centres {
            name("data centre", &centre.name)?;
            ensure!(
                centres.insert(centre.name.clone()),
                TwiceSnafu {
                    place: "data centre",
                    name: &centre.name
                }
            );
            for rack in &centre.racks {
                name("rack", rack)?;
                let place = Rack {
                    region: region.name.clone(),
                    data_centre: centre.name.clone(),
                };
                let twice = racks.insert(rack.clone(), place).is_some();
                ensure!(
                    !twice,
                    TwiceSnafu {
                        place: "rack",
                        name: rack
                    }
                );
            }
        }
    }
    Ok(racks)
}

fn teams(raw: &[raw::Team], regions: &BTreeSet<&str>) -> Result<BTreeMap<String, Team>, Error> {
    let mut teams = BTreeMap::new();
    for team in raw {
        name("team", &team.name)?;
        region("team", &team.name, &team.region, regions)?;
        let quota = Size::try_from(team.quota).context(SizeSnafu {
            place: "team",
            name: &team.name,
        })?;
        let place = format!("team {:?}", team.name);
        range(
            &place,
            "concurrency",
            1.0,
            100_000.0,
            f64::from(team.concurrency),
        )?;
        let checked = Team {
            region: team.region.clone(),
            quota,
            borrow: team.borrow,
            urgent: team.urgent,
            concurrency: team.concurrency,
        };
        let twice = teams.insert(team.name.clone(), checked).is_some();
        ensure!(
            !twice,
            TwiceSnafu {
                place: "team",
                name: &team.name
            }
        );
    }
    Ok(teams)
}

fn services(
    raw: &[raw::Service],
    regions: &BTreeSet<&str>,
) -> Result<BTreeMap<String, Service>, Error> {
    let mut services = BTreeMap::new();
    for service in raw {
        name("service", &service.name)?;
        region("service", &service.name, &service.region, regions)?;
        let place = format!("service {:?}", service.name);
        let longest = MAX_RUN.as_millis() as f64;
        range(&place, "run_ms", 1.0, longest, service.run_ms as f64)?;
        range(
            &place,
            "objective_ms",
            1.0,
            3_600_000.0,
            service.objective_ms as f64,
        )?;
        range(&place, "objective", 0.5, 0.999_999, service.objective)?;
        let checked = Service {
            region: service.region.clone(),
            run: Duration::from_millis(service.run_ms),
            rank: service.rank,
            latency: Duration::from_millis(service.objective_ms),
            objective: service.objective,
        };
        let twice = services.insert(service.name.clone(), checked).is_some();
        ensure!(
            !twice,
            TwiceSnafu {
                place: "service",
                name: &service.name
            }
        );
    }
    Ok(services)
}

fn policy(raw: &raw::Policy) -> Result<Policy, Error> {
    let batch = match raw.batch.as_str() {
        "best-fit" => Pack::BestFit,
        "first-fit" => Pack::FirstFit,
        "least-loaded" => Pack::LeastLoaded,
        other => return PackSnafu { value: other }.fail(),
    };
    range("policy", "margin", 0.0, 1.0, raw.margin)?;
    range(
        "policy",
        "queue",
        1.0,
        f64::from(MAX_QUEUE),
        f64::from(raw.queue),
    )?;
    range("policy", "retry_share", 0.0, 1.0, raw.retry_share)?;
    Ok(Policy {
        batch,
        margin: raw.margin,
        reclaim: raw.reclaim,
        queue: raw.queue as usize,
        retry_share: raw.retry_share,
    })
}

fn name(place: &'static str, name: &str) -> Result<(), Error> {
    let plain = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    let good = !name.is_empty() && name.len() <= MAX_NAME && name.chars().all(plain);
    ensure!(good, NameSnafu { place, name });
    Ok(())
}

fn region(
    place: &'static str,
    name: &str,
    region: &str,
    regions: &BTreeSet<&str>,
) -> Result<(), Error> {
    ensure!(
        regions.contains(region),
        RegionSnafu {
            place,
            name,
            region
        }
    );
    Ok(())
}

fn range(place: &str, field: &'static str, low: f64, high: f64, value: f64) -> Result<(), Error> {
    ensure!(
        (low..=high).contains(&value),
        RangeSnafu {
            place,
            field,
            low,
            high,
            value
        }
    );
    Ok(())
}
