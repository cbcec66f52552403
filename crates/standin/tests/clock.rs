//! The time at which fake workers handle calls that wait for one another.

#![allow(clippy::unwrap_used, reason = "a test that can't go on panics")]

use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use resource::Size;
use standin::Racks;
use wire::{Band, Shape, Task, TaskId};
use worker::call::{Adopt, Start};

fn start(not_after: u64) -> Start {
    Start {
        epoch: 1,
        incarnation: 1,
        not_after,
        lease_ms: 5_000,
        task: Task {
            id: TaskId {
                team: "t".into(),
                job: "j".into(),
                index: 0,
                attempt: 1,
            },
            shape: Shape::Batch,
            band: Band::Normal,
            size: Size::new(100, 100, 0),
            run_ms: 60_000,
            home: "r".into(),
            saved_ms: 0,
        },
    }
}

/// Guards against a worker whose time runs backwards: a call that waits for another one must not be handled at the time at which
/// it began to wait. A task that the other call started would begin in the future, and the time that it has worked would be
/// negative.
#[test]
fn a_call_that_waits_for_another_is_handled_later() {
    let racks = Racks::default();
    let began = Instant::now();
    let now = || began.elapsed().as_millis() as u64;
    racks.add("w", Size::new(1_000, 1_000, 0), 1);
    let adopt = Adopt {
        epoch: 1,
        incarnation: 1,
    };
    racks.with("w", |machine| machine.adopt(&adopt, now()).unwrap());
    let (locked, until_locked) = mpsc::channel();
    let holder = {
        let racks = racks.clone();
        thread::spawn(move || {
            racks.with("w", |machine| {
                locked.send(()).unwrap();
                // Long enough for the other call to begin.
                thread::sleep(Duration::from_millis(100));
                let now = began.elapsed().as_millis() as u64;
                machine.start(&start(now), now).unwrap();
            });
        })
    };
    until_locked.recv().unwrap();
    assert_eq!(racks.running_attempts().len(), 1);
    holder.join().unwrap();
}
