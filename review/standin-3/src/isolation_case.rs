//! Executors crash one after the other while many small jobs have just begun, and then nothing is disturbed any more.

use std::collections::HashMap;
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
/// A job with nothing running for this long, though it could, is lost by the rule.
const IDLE: Duration = Duration::from_secs(3);

fn id(index: usize) -> String {
    format!("{:016x}", 0xf000 + index)
}

/// The executor on which each job's task runs now, and the jobs with tasks that have ended `done`, by what the executors told.
fn state(cluster: &Cluster) -> (HashMap<String, String>, Vec<String>) {
    let (mut running, mut done) = (HashMap::new(), Vec::new());
    for words in cluster.events.lock().unwrap().iter() {
        let job = words
            .get(3)
            .map_or("", |task| task.split('.').next().unwrap_or(""))
            .to_owned();
        match words.get(1).map_or("", String::as_str) {
            "start" => drop(running.insert(job, words[2].clone())),
            "end" => {
                running.remove(&job);
                if words.iter().any(|word| word == "how=done") {
                    done.push(job);
                }
            }
            "up" => running.retain(|_, executor| *executor != words[2]),
            _ => {}
        }
    }
    (running, done)
}

/// The executor that runs most tasks, of those that have not crashed yet.
fn busiest(cluster: &Cluster, crashed: &[usize]) -> usize {
    let (running, _) = state(cluster);
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
    let (_, done) = state(&cluster);
    record.line(&format!(
        "{} jobs are done {FINISH:?} after the last one was handed in",
        done.len()
    ));
    // Jobs of which nothing runs now, and nothing runs until the time is over.
    let mut idle: HashMap<String, Instant> = HashMap::new();
    let mut lost = 0;
    let until = Instant::now() + Duration::from_secs(8);
    while Instant::now() < until {
        let (running, done) = state(&cluster);
        let waiting = |job: &&String| !running.contains_key(*job) && !done.contains(*job);
        let waiting: Vec<String> = accepted.iter().filter(waiting).cloned().collect();
        idle.retain(|job, _| waiting.contains(job));
        for job in waiting {
            idle.entry(job).or_insert_with(Instant::now);
        }
        let long = idle.values().filter(|since| since.elapsed() > IDLE).count();
        if long > lost {
            record.line(&format!(
                "nothing of {long} jobs has run for more than {IDLE:?}; {} of {} tasks that fit are running",
                running.len(),
                EXECUTORS * 320
            ));
            lost = long;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    let over: Vec<&String> = idle
        .iter()
        .filter(|(_, since)| since.elapsed() > IDLE)
        .map(|(job, _)| job)
        .collect();
    for job in over.iter().take(10) {
        cluster.client_until("GET", job, "", Duration::from_secs(2));
    }
    cluster.record_warnings();
    Ok(lost > 0)
}
