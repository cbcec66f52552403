//! Where a host that starts gets the configuration and the pool map from.

use std::time::Duration;

use host::first_source::wait_for_owner;
use tokio::time::Instant;

/// Reads of the store over the line between the regions that `hosts` far hosts make at their start, if owners answer each of them
/// after `answer`.
async fn reads_over_the_line(hosts: u32, answer: Duration) -> u32 {
    let mut reads = 0;
    for _ in 0..hosts {
        let began = Instant::now();
        let known = || began.elapsed() >= answer;
        wait_for_owner(known, || 44).await;
        reads += u32::from(!known());
    }
    reads
}

/// Guards against a line between regions that is saturated by the reads of all far hosts when they start at once, so that owners lose
/// their workers in that region.
#[tokio::test(start_paused = true)]
async fn far_hosts_leave_the_line_to_owners_that_answer() {
    for hosts in [74, 294] {
        assert_eq!(
            reads_over_the_line(hosts, Duration::from_millis(450)).await,
            0
        );
    }
}

/// Guards against a host that waits for owners that are gone: the first one of a deployment, or one that starts while no pool has an
/// owner.
#[tokio::test(start_paused = true)]
async fn a_far_host_reads_the_store_if_no_owner_answers() {
    let began = Instant::now();
    assert_eq!(reads_over_the_line(1, Duration::from_secs(60)).await, 1);
    assert!(began.elapsed() <= Duration::from_millis(1_100));
}

/// A host near the store doesn't wait, nor does one that learns only from its first call that the store is near.
#[tokio::test(start_paused = true)]
async fn a_near_host_reads_the_store_at_once() {
    let began = Instant::now();
    wait_for_owner(|| false, || 5).await;
    assert!(began.elapsed().is_zero());
    let answered_after = Duration::from_millis(30);
    let store_rtt = || {
        if began.elapsed() < answered_after {
            u64::MAX
        } else {
            6
        }
    };
    wait_for_owner(|| false, store_rtt).await;
    assert!(began.elapsed() <= answered_after + Duration::from_millis(20));
}
