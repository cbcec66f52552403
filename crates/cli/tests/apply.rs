//! Applying configurations: races, lost answers, processes that do not confirm.

#![allow(clippy::unwrap_used, reason = "a test that can't go on panics")]

use std::time::Duration;

use cli::apply::{Rollout, WriteError, in_force, wait_until_in_force, write};
use config::{Builder, raw};
use placer::Session;
use platform::{Table as _, Transaction};
use standin::{Faults, Platform};

fn cell(queue: u32) -> raw::Cell {
    let policy = raw::Policy {
        queue,
        ..raw::Policy::default()
    };
    Builder::new("test")
        .rack("north", "north-1", "n1")
        .policy(policy)
        .into_raw()
}

async fn write_session(platform: &Platform, placer: &str, beat: u64, applied: u64, entry: u64) {
    let entries = [("e1".to_owned(), entry)].into();
    let session = Session {
        applied,
        entries,
        heartbeat: beat,
        ..Session::default()
    };
    let value = serde_json::to_string(&session).unwrap();
    platform
        .commit(Transaction::default().put(Session::key(placer), value))
        .await
        .unwrap();
}

/// Guards against lost updates: of two operators who both edit version 1, the second one to write gets
/// a conflict, whose message tells what to do.
#[tokio::test(start_paused = true)]
async fn the_slower_of_two_racing_operators_gets_a_conflict() {
    let platform = Platform::default();
    let version_1 = write(&platform, cell(10), None, false).await.unwrap();
    let version_2 = write(&platform, cell(20), Some(version_1), false)
        .await
        .unwrap();
    let conflict = write(&platform, cell(30), Some(version_1), false)
        .await
        .unwrap_err();
    assert!(
        matches!(conflict, WriteError::Conflict { base, found } if base == version_1 && found == version_2)
    );
    assert!(conflict.to_string().contains("lentilyoke config diff"));
    assert_eq!(
        in_force(&platform).await.unwrap(),
        (version_2, Some(cell(20)))
    );
}

/// Guards against writing an invalid configuration; the error names the field and its range.
#[tokio::test(start_paused = true)]
async fn an_invalid_configuration_changes_nothing() {
    let platform = Platform::default();
    let version = write(&platform, cell(10), None, false).await.unwrap();
    let error = write(&platform, cell(0), None, false).await.unwrap_err();
    assert!(
        error
            .to_string()
            .contains("policy: queue must lie between 1 and 65536")
    );
    assert_eq!(in_force(&platform).await.unwrap().0, version);
}

/// Guards against changing the set of racks by accident: keys whose home rack changes can run in two
/// places.
#[tokio::test(start_paused = true)]
async fn racks_change_only_with_move_homes() {
    let platform = Platform::default();
    write(&platform, cell(10), None, false).await.unwrap();
    let mut changed = cell(10);
    changed.regions[0].data_centres[0]
        .racks
        .push("n2".to_owned());
    let error = write(&platform, changed.clone(), None, false)
        .await
        .unwrap_err();
    assert!(matches!(error, WriteError::RacksChanged));
    write(&platform, changed, None, true).await.unwrap();
}

/// Guards against reporting a failure when the write took effect and only its answer was lost.
#[tokio::test(start_paused = true)]
async fn a_write_with_a_lost_answer_is_found_in_the_row() {
    let platform = Platform::default();
    platform.set(Faults {
        lose: 1,
        ..Faults::default()
    });
    let version = write(&platform, cell(10), None, false).await.unwrap();
    assert_eq!(
        in_force(&platform).await.unwrap(),
        (version, Some(cell(10)))
    );
}

/// Guards against reporting an unknown outcome when the table is down and nothing was written.
#[tokio::test(start_paused = true)]
async fn nothing_is_written_while_the_table_is_down() {
    let platform = Platform::default();
    platform.set(Faults {
        down: true,
        ..Faults::default()
    });
    let error = write(&platform, cell(10), None, false).await.unwrap_err();
    assert!(matches!(error, WriteError::Platform { .. }));
}

/// Guards against reporting "accepted" too early: the placer applies the version at once, its entry
/// three seconds later.
#[tokio::test(start_paused = true)]
async fn accepted_is_reported_once_every_process_has_confirmed() {
    let platform = std::sync::Arc::new(Platform::default());
    let version = write(&*platform, cell(10), None, false).await.unwrap();
    write_session(&platform, "p1", 1, version, 0).await;
    let renewing = std::sync::Arc::clone(&platform);
    let start = tokio::time::Instant::now();
    tokio::spawn(async move {
        for beat in 2..8 {
            tokio::time::sleep(Duration::from_secs(1)).await;
            let entry = if beat >= 4 { version } else { 0 };
            write_session(&renewing, "p1", beat, version, entry).await;
        }
    });
    let rollout = wait_until_in_force(&*platform, version, Duration::from_secs(10)).await;
    assert_eq!(
        rollout,
        Rollout::Accepted {
            version,
            processes: 2
        }
    );
    assert!(start.elapsed() >= Duration::from_secs(3));
}

/// Guards against reporting "accepted" while p1 is running and has not confirmed.
#[tokio::test(start_paused = true)]
async fn a_running_process_that_does_not_confirm_keeps_it_pending() {
    let platform = std::sync::Arc::new(Platform::default());
    let version = write(&*platform, cell(10), None, false).await.unwrap();
    let running = std::sync::Arc::clone(&platform);
    tokio::spawn(async move {
        for beat in 1..60 {
            write_session(&running, "p1", beat, version - 1, version).await;
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
    });
    tokio::time::sleep(Duration::from_millis(10)).await;
    let rollout = wait_until_in_force(&*platform, version, Duration::from_secs(15)).await;
    let unconfirmed = vec!["p1".to_owned()];
    assert_eq!(
        rollout,
        Rollout::Pending {
            version,
            unconfirmed
        }
    );
}

/// Guards against waiting for a crashed process. The session of p1 does not change, so p1 serves
/// nobody, and its entries have stopped by themselves.
#[tokio::test(start_paused = true)]
async fn a_crashed_process_does_not_keep_it_pending() {
    let platform = Platform::default();
    let version = write(&platform, cell(10), None, false).await.unwrap();
    write_session(&platform, "p1", 1, version - 1, 0).await;
    let start = tokio::time::Instant::now();
    let rollout = wait_until_in_force(&platform, version, Duration::from_secs(20)).await;
    assert_eq!(
        rollout,
        Rollout::Accepted {
            version,
            processes: 0
        }
    );
    assert!(start.elapsed() >= Duration::from_secs(8));
}

/// Guards against taking an outage for a crash. The table goes down right after the write, so no
/// session changes, which does not show that the processes have crashed.
#[tokio::test(start_paused = true)]
async fn an_outage_is_not_taken_for_a_crash() {
    let platform = std::sync::Arc::new(Platform::default());
    let version = write(&*platform, cell(10), None, false).await.unwrap();
    write_session(&platform, "p1", 1, version - 1, 0).await;
    let down = std::sync::Arc::clone(&platform);
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_secs(1)).await;
        down.set(Faults {
            down: true,
            ..Faults::default()
        });
    });
    let rollout = wait_until_in_force(&*platform, version, Duration::from_secs(20)).await;
    assert!(matches!(rollout, Rollout::Pending { .. }), "{rollout:?}");
}

/// A table in which another operator writes right after each scan.
struct RacingTable {
    inner: Platform,
}

#[async_trait::async_trait]
impl platform::Table for RacingTable {
    async fn commit(&self, transaction: Transaction) -> Result<u64, platform::Error> {
        self.inner.commit(transaction).await
    }

    async fn scan(&self, prefixes: &[&str], since: u64) -> Result<platform::Scan, platform::Error> {
        let scan = self.inner.scan(prefixes, since).await;
        let value = serde_json::to_string(&cell(77)).unwrap();
        self.inner
            .commit(Transaction::default().put(config::ROW, value))
            .await?;
        scan
    }
}

/// Guards against overwriting a change that another operator writes between this operator's read and
/// write of the row.
#[tokio::test(start_paused = true)]
async fn a_change_between_read_and_write_is_not_overwritten() {
    let racing = RacingTable {
        inner: Platform::default(),
    };
    let error = write(&racing, cell(10), None, false).await.unwrap_err();
    assert!(matches!(error, WriteError::Conflict { .. }), "{error}");
    assert_eq!(in_force(&racing.inner).await.unwrap().1, Some(cell(77)));
}
