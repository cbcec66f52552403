//! Validation of the configuration that operators write.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use resource::Size;
use snafu::{ResultExt, Snafu, ensure};

use crate::cell::{Cell, PackingRule, Policy, Rack, Service, Team};
use crate::raw;

/// Maximum length of any name, in bytes.
const MAX_NAME_LEN: usize = 64;
/// Maximum duration of one run of a quick request.
///
/// A new owner that can't reach all workers of its rack waits at least this long, until the runs that the
/// previous owner started on them have ended. A larger value lengthens the recovery after the loss of an owner.
pub const MAX_RUN: Duration = Duration::from_millis(3_000);
/// Maximum configurable length of the queue of one rack.
const MAX_QUEUE: u32 = 65_536;

/// Why a configuration was rejected; the message names the location.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[allow(missing_docs, reason = "the messages describe each field")]
pub enum Error {
    #[snafu(display(
        "{place}: a name must be 1 to {MAX_NAME_LEN} of a-z, 0-9 and '-', not {name:?}"
    ))]
    Name { place: &'static str, name: String },
    #[snafu(display("{place}: {name:?} is defined twice"))]
    Duplicate { place: &'static str, name: String },
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
    PackingRule { value: String },
    #[snafu(display("a cell needs at least one rack"))]
    NoRack,
}

impl TryFrom<raw::Cell> for Cell {
    type Error = Error;

    fn try_from(raw: raw::Cell) -> Result<Self, Error> {
        check_name("cell", &raw.name)?;
        let racks = racks(&raw.regions)?;
        ensure!(!racks.is_empty(), NoRackSnafu);
        let regions: BTreeSet<&str> = raw.regions.iter().map(|r| r.name.as_str()).collect();
        let worker = Size::try_from(raw.worker).context(SizeSnafu {
            place: "worker",
            name: String::new(),
        })?;
        check_range(
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
        check_name("region", &region.name)?;
        for centre in &region.data_centres {
            check_name("data centre", &centre.name)?;
            ensure!(
                centres.insert(centre.name.clone()),
                DuplicateSnafu {
                    place: "data centre",
                    name: &centre.name
                }
            );
            for rack in &centre.racks {
                check_name("rack", rack)?;
                let location = Rack {
                    region: region.name.clone(),
                    data_centre: centre.name.clone(),
                };
                let duplicate = racks.insert(rack.clone(), location).is_some();
                ensure!(
                    !duplicate,
                    DuplicateSnafu {
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
        check_name("team", &team.name)?;
        check_region("team", &team.name, &team.region, regions)?;
        let quota = Size::try_from(team.quota).context(SizeSnafu {
            place: "team",
            name: &team.name,
        })?;
        let place = format!("team {:?}", team.name);
        check_range(
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
        let duplicate = teams.insert(team.name.clone(), checked).is_some();
        ensure!(
            !duplicate,
            DuplicateSnafu {
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
        check_name("service", &service.name)?;
        check_region("service", &service.name, &service.region, regions)?;
        let place = format!("service {:?}", service.name);
        let max_run_ms = MAX_RUN.as_millis() as f64;
        check_range(&place, "run_ms", 1.0, max_run_ms, service.run_ms as f64)?;
        check_range(
            &place,
            "objective_ms",
            1.0,
            3_600_000.0,
            service.objective_ms as f64,
        )?;
        check_range(&place, "objective", 0.5, 0.999_999, service.objective)?;
        let checked = Service {
            region: service.region.clone(),
            max_run: Duration::from_millis(service.run_ms),
            rank: service.rank,
            target_latency: Duration::from_millis(service.objective_ms),
            objective: service.objective,
        };
        let duplicate = services.insert(service.name.clone(), checked).is_some();
        ensure!(
            !duplicate,
            DuplicateSnafu {
                place: "service",
                name: &service.name
            }
        );
    }
    Ok(services)
}

fn policy(raw: &raw::Policy) -> Result<Policy, Error> {
    let batch = match raw.batch.as_str() {
        "best-fit" => PackingRule::BestFit,
        "first-fit" => PackingRule::FirstFit,
        "least-loaded" => PackingRule::LeastLoaded,
        other => return PackingRuleSnafu { value: other }.fail(),
    };
    check_range("policy", "margin", 0.0, 1.0, raw.margin)?;
    check_range(
        "policy",
        "queue",
        1.0,
        f64::from(MAX_QUEUE),
        f64::from(raw.queue),
    )?;
    check_range("policy", "retry_share", 0.0, 1.0, raw.retry_share)?;
    Ok(Policy {
        batch,
        margin: raw.margin,
        reclaim: raw.reclaim,
        queue: raw.queue as usize,
        retry_share: raw.retry_share,
    })
}

fn check_name(place: &'static str, name: &str) -> Result<(), Error> {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    let valid = !name.is_empty() && name.len() <= MAX_NAME_LEN && name.chars().all(allowed);
    ensure!(valid, NameSnafu { place, name });
    Ok(())
}

fn check_region(
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

fn check_range(
    place: &str,
    field: &'static str,
    low: f64,
    high: f64,
    value: f64,
) -> Result<(), Error> {
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
