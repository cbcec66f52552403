//! Accepting configurations: races, lost answers, processes that do not confirm.

#![allow(clippy::unwrap_used, reason = "a test that can't go on panics")]

use std::time::Duration;

use cli::apply::{Progress, Refused, await_force, in_force, write};
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

async fn renew(platform: &Platform, placer: &str, beat: u64, applied: u64, entry: u64) {
    let entries = [("e1".to_owned(), entry)].into();
    let session = Session {
        applied,
        entries,
        beat,
        ..Session::default()
    };
    let value = serde_json::to_string(&session).unwrap();
    platform
        .commit(Transaction::default().put(Session::key(placer), value))
        .await
        .unwrap();
}

/// Operators see: one of them "version 2", the other a conflict that says what to do. Both started
/// from version 1.
#[tokio::test(start_paused = true)]
async fn of_two_racing_operators_one_gets_a_conflict() {
    let platform = Platform::default();
    let first = write(&platform, cell(10), None, false).await.unwrap();
    let second = write(&platform, cell(20), Some(first), false)
        .await
        .unwrap();
    let third = write(&platform, cell(30), Some(first), false)
        .await
        .unwrap_err();
    assert!(matches!(third, Refused::Conflict { base, found } if base == first && found == second));
    assert!(third.to_string().contains("lentilyoke config diff"));
    assert_eq!(in_force(&platform).await.unwrap(), (second, Some(cell(20))));
}

/// Operators see: "not accepted" with the place that is wrong, and nothing changed.
#[tokio::test(start_paused = true)]
async fn a_broken_configuration_changes_nothing() {
    let platform = Platform::default();
    let version = write(&platform, cell(10), None, false).await.unwrap();
    let refused = write(&platform, cell(0), None, false).await.unwrap_err();
    assert!(
        refused
            .to_string()
            .contains("policy: queue must lie between 1 and 65536")
    );
    assert_eq!(in_force(&platform).await.unwrap().0, version);
}

/// Operators see: a refusal, since moving the homes of keys can run one of them in two places.
#[tokio::test(start_paused = true)]
async fn racks_are_not_changed_by_accident() {
    let platform = Platform::default();
    write(&platform, cell(10), None, false).await.unwrap();
    let mut more = cell(10);
    more.regions[0].data_centres[0].racks.push("n2".to_owned());
    let refused = write(&platform, more.clone(), None, false)
        .await
        .unwrap_err();
    assert!(matches!(refused, Refused::Homes));
    write(&platform, more, None, true).await.unwrap();
}

/// Operators see: the version that was written, although the answer was lost.
#[tokio::test(start_paused = true)]
async fn a_lost_answer_is_found_in_the_row() {
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

/// Operators see: "nothing was changed" while the table is down.
#[tokio::test(start_paused = true)]
async fn nothing_is_written_while_the_table_is_down() {
    let platform = Platform::default();
    platform.set(Faults {
        down: true,
        ..Faults::default()
    });
    let refused = write(&platform, cell(10), None, false).await.unwrap_err();
    assert!(matches!(refused, Refused::Platform { .. }));
}

/// Operators see: "accepted" only after the slowest process has confirmed. The placer applies the
/// version at once, its entry two seconds later.
#[tokio::test(start_paused = true)]
async fn accepted_is_said_once_every_process_has_confirmed() {
    let platform = std::sync::Arc::new(Platform::default());
    let version = write(&*platform, cell(10), None, false).await.unwrap();
    renew(&platform, "p1", 1, version, 0).await;
    let slow = std::sync::Arc::clone(&platform);
    let began = tokio::time::Instant::now();
    tokio::spawn(async move {
        for beat in 2..8 {
            tokio::time::sleep(Duration::from_secs(1)).await;
            let entry = if beat >= 4 { version } else { 0 };
            renew(&slow, "p1", beat, version, entry).await;
        }
    });
    let progress = await_force(&*platform, version, Duration::from_secs(10)).await;
    assert_eq!(
        progress,
        Progress::Accepted {
            version,
            processes: 2
        }
    );
    assert!(began.elapsed() >= Duration::from_secs(3));
}

/// Operators see: "pending, not in force in p1", for as long as p1 lives and has not confirmed.
#[tokio::test(start_paused = true)]
async fn a_process_that_lives_and_does_not_confirm_keeps_it_pending() {
    let platform = std::sync::Arc::new(Platform::default());
    let version = write(&*platform, cell(10), None, false).await.unwrap();
    let alive = std::sync::Arc::clone(&platform);
    tokio::spawn(async move {
        for beat in 1..60 {
            renew(&alive, "p1", beat, version - 1, version).await;
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
    });
    tokio::time::sleep(Duration::from_millis(10)).await;
    let progress = await_force(&*platform, version, Duration::from_secs(15)).await;
    let missing = vec!["p1".to_owned()];
    assert_eq!(progress, Progress::Pending { version, missing });
}

/// Operators see: "accepted", some seconds later. p1 is dead: its session does not change, so it
/// serves nobody; its entries have stopped by themselves.
#[tokio::test(start_paused = true)]
async fn a_dead_process_does_not_keep_it_pending_for_ever() {
    let platform = Platform::default();
    let version = write(&platform, cell(10), None, false).await.unwrap();
    renew(&platform, "p1", 1, version - 1, 0).await;
    let began = tokio::time::Instant::now();
    let progress = await_force(&platform, version, Duration::from_secs(20)).await;
    assert_eq!(
        progress,
        Progress::Accepted {
            version,
            processes: 0
        }
    );
    assert!(began.elapsed() >= Duration::from_secs(8));
}

/// Operators see: "pending". The table goes down right after the write: sessions stand still, and
/// that says nothing about whether the processes live.
#[tokio::test(start_paused = true)]
async fn an_outage_is_not_taken_for_death() {
    let platform = std::sync::Arc::new(Platform::default());
    let version = write(&*platform, cell(10), None, false).await.unwrap();
    renew(&platform, "p1", 1, version - 1, 0).await;
    let down = std::sync::Arc::clone(&platform);
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_secs(1)).await;
        down.set(Faults {
            down: true,
            ..Faults::default()
        });
    });
    let progress = await_force(&*platform, version, Duration::from_secs(20)).await;
    assert!(matches!(progress, Progress::Pending { .. }), "{progress:?}");
}

/// A table in which another operator writes right after each look at it.
struct Racing {
    table: Platform,
}

#[async_trait::async_trait]
impl platform::Table for Racing {
    async fn commit(&self, transaction: Transaction) -> Result<u64, platform::Error> {
        self.table.commit(transaction).await
    }

    async fn scan(&self, prefixes: &[&str], since: u64) -> Result<platform::Scan, platform::Error> {
        let scan = self.table.scan(prefixes, since).await;
        let value = serde_json::to_string(&cell(77)).unwrap();
        self.table
            .commit(Transaction::default().put(config::ROW, value))
            .await?;
        scan
    }
}

/// Operators see: a conflict, and the other's change stays. It was written between this operator's
/// look at the row and the write.
#[tokio::test(start_paused = true)]
async fn a_change_between_look_and_write_is_not_overwritten() {
    let racing = Racing {
        table: Platform::default(),
    };
    let refused = write(&racing, cell(10), None, false).await.unwrap_err();
    assert!(matches!(refused, Refused::Conflict { .. }), "{refused}");
    assert_eq!(in_force(&racing.table).await.unwrap().1, Some(cell(77)));
}
