//! Executors crash one after the other while many small jobs have just begun, and then nothing is disturbed any more.

use std::time::{Duration, Instant};

use crate::cluster::{Cluster, Record, Shape, executor_id};
use crate::trouble;

const JOBS: usize = 320;
const CLIENTS: usize = 8;
/// One in eight executors crashes at a time (`srv_crash`: a share of 0.14 for 4.5 s at most), and is back before the next one crashes.
const EXECUTORS: usize = 8;
const CRASHES: usize = 4;
const DOWN: Duration = Duration::from_millis(400);
const BETWEEN: Duration = Duration::from_millis(300);
/// `finish_s` of the deployments.
const FINISH: Duration = Duration::from_secs(14);
/// Number of tasks that fit on all executors.
const ROOM: usize = EXECUTORS * 320;
/// How long jobs are watched after that.
const WATCH: Duration = Duration::from_secs(6);
/// A job with nothing running for this long, though it could, is lost by the rule.
const IDLE: Duration = Duration::from_secs(3);

fn id(index: usize) -> String {
    format!("{:016x}", 0xf000 + index)
}

/// The executor that runs most tasks, of those that have not crashed yet.
fn busiest(cluster: &Cluster, crashed: &[usize]) -> usize {
    let running = cluster.tasks("").running;
    let left = (0..EXECUTORS).filter(|index| !crashed.contains(index));
    let load = |index: &usize| running.values().filter(|executor| **executor == executor_id(*index)).count();
    left.max_by_key(load).unwrap_or(0)
}

pub fn run(record: Record) -> Result<bool, String> {
    let shape = Shape {
        hosts: 3,
        executors: EXECUTORS,
        room: (16_000, 65_536),
        max_attempts: 4,
    };
    let cluster = Cluster::start(&shape, record.clone())?;
    std::thread::sleep(Duration::from_secs(8));
    let body = r#"{"spec":"ms=3000","phases":[{"count":1,"cpu":50,"memMb":50,"estimateMs":3000}]}"#;
    let accepted: Vec<String> = std::thread::scope(|scope| {
        let clients = (0..CLIENTS).map(|client| {
            let cluster = &cluster;
            scope.spawn(move || {
                let own = (0..JOBS).filter(move |index| index % CLIENTS == client);
                let accepted = own.filter(|index| matches!(cluster.client(index % 3, "POST", &id(*index), body), Some((200, _))));
                accepted.map(id).collect::<Vec<String>>()
            })
        });
        let clients: Vec<_> = clients.collect();
        clients
            .into_iter()
            .flat_map(|client| client.join().unwrap_or_default())
            .collect()
    });
    let handed_in = Instant::now();
    record.line(&format!("accepted: {} of {JOBS} jobs", accepted.len()));
    if accepted.len() < JOBS / 2 {
        return Err("too few jobs were accepted".to_owned());
    }
    if trouble() {
        let mut crashed = Vec::new();
        for _ in 0..CRASHES {
            let executor = busiest(&cluster, &crashed);
            crashed.push(executor);
            cluster.kill_executor(executor);
            std::thread::sleep(DOWN);
            cluster.start_executor(executor)?;
            std::thread::sleep(BETWEEN);
        }
    }
    std::thread::sleep(FINISH.saturating_sub(handed_in.elapsed()));
    let done = cluster.tasks("").done.len();
    record.line(&format!("{done} jobs are done {FINISH:?} after the last one was handed in"));
    // A job that has failed or is completed has nothing left to run.
    let is_open = |job: &&String| {
        let state = cluster.client_until("GET", job, "", Duration::from_secs(2));
        state.is_some_and(|(_, body)| body.contains("running") || body.contains("queued"))
    };
    let open: Vec<&String> = accepted.iter().filter(is_open).collect();
    let mut lost = 0;
    let until = Instant::now() + WATCH;
    while Instant::now() < until {
        let in_use = cluster.tasks("").running.len();
        let waiting = open.iter().filter(|job| cluster.tasks(job).have_waited(1, IDLE)).count();
        if waiting > lost && in_use < ROOM / 2 {
            record.line(&format!(
                "LOST: nothing of {waiting} jobs has run for more than {IDLE:?}; {in_use} of {ROOM} tasks that fit are running"
            ));
            lost = waiting;
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    cluster.record_warnings();
    Ok(lost > 0)
}
