//! Home racks: which rack owns the requests of a key or the jobs of a team.
//!
//! The home rack depends on the configured racks, never on the reachable ones: if it moved when a rack became
//! unreachable, two owners could run requests with the same key at once. Home racks are chosen by rendezvous
//! hashing, so a new rack takes over only its share of the keys and teams.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{Cell, Service, Team};

/// Separates the region from the rest of a key.
const REGION_SEPARATOR: char = ':';

/// The home rack of a key of a service: in the region that the key names (`region:rest`) if it has racks, or
/// else in the service's region.
///
/// ```
/// use config::{Builder, home};
///
/// let cell = Builder::new("small")
///     .rack("north", "north-1", "n1")
///     .rack("south", "south-1", "s1")
///     .service("checks", "north", 100)
///     .build()
///     .unwrap();
/// let checks = cell.service("checks").unwrap();
/// assert_eq!(home::key(&cell, checks, "parcel-7"), Some("n1"));
/// assert_eq!(home::key(&cell, checks, "south:parcel-7"), Some("s1"));
/// ```
#[must_use]
pub fn key<'a>(cell: &'a Cell, service: &'a Service, key: &str) -> Option<&'a str> {
    let named = key.split_once(REGION_SEPARATOR).map(|(region, _)| region);
    let region = named.filter(|name| cell.racks_in(name).next().is_some());
    rack_of(cell, region.unwrap_or(&service.region), key)
}

/// The home rack of a team; its owner manages all jobs of the team.
#[must_use]
pub fn team<'a>(cell: &'a Cell, name: &str, team: &Team) -> Option<&'a str> {
    rack_of(cell, &team.region, name)
}

fn rack_of<'a>(cell: &'a Cell, region: &str, key: &str) -> Option<&'a str> {
    let racks = cell.racks.iter().filter(|(_, r)| r.region == region);
    rendezvous(racks.map(|(name, _)| name), key).map(String::as_str)
}

/// Distributes items evenly among members: each item is assigned to the member with the highest hash for it
/// that has less than its even share of items. Plain rendezvous hashing leaves some members without items if there
/// are about as many items as members. The bound on the share moves a few more items when members join or leave.
///
/// ```
/// use config::home;
///
/// let items = ["r1", "r2", "r3"].map(String::from);
/// let members = ["p1", "p2", "p3"].map(String::from);
/// let owners = home::divide(&items, &members.iter().collect::<Vec<_>>());
/// let mut names: Vec<&String> = owners.values().copied().collect();
/// names.sort();
/// assert_eq!(names, ["p1", "p2", "p3"]);
/// ```
pub fn divide<'a, 'b, S>(
    items: impl IntoIterator<Item = &'a String>,
    members: &[&'b S],
) -> BTreeMap<&'a str, &'b S>
where
    S: AsRef<str> + Ord,
{
    let items: Vec<&String> = items.into_iter().collect();
    let share = items.len().div_ceil(members.len().max(1));
    let mut loads: BTreeMap<&S, usize> = BTreeMap::new();
    let mut owners = BTreeMap::new();
    for item in items {
        let below_share = members
            .iter()
            .copied()
            .filter(|m| loads.get(m).is_none_or(|n| *n < share));
        if let Some(member) = rendezvous(below_share, item) {
            *loads.entry(member).or_default() += 1;
            owners.insert(item.as_str(), member);
        }
    }
    owners
}

/// The member with the highest hash for this key; `None` if there are no members.
pub fn rendezvous<'a, S: AsRef<str>>(
    members: impl IntoIterator<Item = &'a S>,
    key: &str,
) -> Option<&'a S> {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    members
        .into_iter()
        .max_by_key(|m| xxh3_64_with_seed(m.as_ref().as_bytes(), seed))
}
