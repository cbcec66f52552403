//! Where a host that starts gets what it needs first: the configuration and the pool map.
//!
//! A host near the store reads both there. A host in another region leaves that to an owner at first, which sends them compressed and
//! only once: if all hosts of a region start at the same time, their reads would saturate the line between the regions, which
//! owners need for the workers of that region. If no owner has answered in time, the host reads the store after all.

use std::time::Duration;

use tokio::time::{Instant, sleep};

/// Round-trip time to the store, in milliseconds, up to which a host is in the store's region.
pub const NEAR_STORE_RTT_MS: u64 = 12;
/// A host in another region waits this long for an owner: a few round trips, and one heartbeat of the owner that confirms the
/// configuration.
const OWNER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until what the host needs is `known` from an owner, or the host has to read it from the store: at once if the store is
/// near, otherwise when no owner has answered in time. `store_rtt` is the shortest round trip to the store so far.
pub async fn wait_for_owner(known: impl Fn() -> bool, store_rtt: impl Fn() -> u64) {
    let until = Instant::now() + OWNER_TIMEOUT;
    while !known() && store_rtt() > NEAR_STORE_RTT_MS && Instant::now() < until {
        sleep(CHECK_INTERVAL).await;
    }
}
