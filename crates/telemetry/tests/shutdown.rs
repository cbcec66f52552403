//! Tests of the phases of a shutdown.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use telemetry::{Phase, Shutdown};
use tokio::time::{Instant, sleep};

const LIMIT: Duration = Duration::from_millis(500);

/// Guards against a connection whose limit is later than the end of the process because it was made late.
#[tokio::test(start_paused = true)]
async fn all_waits_for_the_end_of_connections_end_at_the_same_time() {
    let shutdown = Shutdown::default();
    let stop = shutdown.clone();
    shutdown.spawn_connection(async move { stop.closing_for(LIMIT).await });
    let began = Instant::now();
    let late = async {
        sleep(LIMIT / 2).await;
        shutdown.closing_for(LIMIT).await;
        assert_eq!(began.elapsed(), LIMIT);
        sleep(LIMIT).await;
        shutdown.closing_for(LIMIT).await;
        assert_eq!(began.elapsed(), LIMIT * 2);
    };
    tokio::join!(shutdown.join(), late);
}

/// Guards against tasks that end before a connection that was accepted while connections were being closed.
#[tokio::test(start_paused = true)]
async fn tasks_go_on_until_late_connections_have_ended() {
    let shutdown = Shutdown::default();
    let served = Arc::new(AtomicBool::new(false));
    let (stop, serving) = (shutdown.clone(), Arc::clone(&served));
    shutdown.spawn_connection(async move {
        stop.closing().await;
        let late = stop.clone();
        stop.spawn_connection(async move {
            sleep(LIMIT).await;
            assert_eq!(late.phase(), Phase::Closing);
            serving.store(true, Ordering::Relaxed);
        });
    });
    // A program may close its connections more than once, also at the same time.
    tokio::join!(shutdown.close(), shutdown.join(), shutdown.close());
    assert!(served.load(Ordering::Relaxed));
    assert_eq!(shutdown.phase(), Phase::Ended);
}
