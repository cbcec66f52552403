//! A client hands in a job that repeats very often and whose times are all due.

use std::time::{Duration, Instant};

use crate::cluster::{Cluster, Record, Shape};
use crate::trouble;

const REPEATED: &str = "00000000000000d1";
/// Other jobs that are handed in around it, within 3 s: it is one of twenty (`poison`: a share of 0.05 for 3 s).
const OTHERS: usize = 19;
const BEFORE: usize = 10;
const PAUSE: Duration = Duration::from_millis(130);
/// Each second for some eleven days, without a time of the first one.
const TIMES: usize = 1_000_000;
/// `memoryMb` of the settings: a process that exceeds it is killed.
const MEMORY_MB: u64 = 260;
/// Delay after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Number of tasks of each other job, and of those that fit on the executors.
const TASKS: usize = 6;
const ROOM: usize = 6 * 12;
/// A job with nothing running for this long, though it could, is lost by the rule.
const IDLE: Duration = Duration::from_secs(3);
/// How long each job is asked for.
const ASK: Duration = Duration::from_secs(3);
/// The case is shown by this many lost jobs.
const ENOUGH: usize = 5;
/// How long jobs are asked for altogether.
const ASK_ALL: Duration = Duration::from_secs(60);
/// `finish_s` of the deployments.
const FINISH: Duration = Duration::from_secs(14);

fn job(count: usize, ms: i64) -> String {
    format!(r#"{{"spec":"ms={ms}","phases":[{{"count":{count},"cpu":1300,"memMb":2600,"estimateMs":{ms}}}]}}"#)
}

/// Kills and restarts hosts as the platform does, for this time; returns the number of kills.
fn run_platform(cluster: &mut Cluster, time: Duration) -> Result<usize, String> {
    let until = Instant::now() + time;
    let mut kills = 0;
    while Instant::now() < until {
        for index in 0..cluster.hosts.len() {
            let used = cluster.memory_mb(index);
            if used > MEMORY_MB {
                cluster
                    .record
                    .line(&format!("host {} uses {used} MB of memory", cluster.hosts[index].name));
                cluster.kill_host(index);
                kills += 1;
                std::thread::sleep(RESTART_DELAY);
                cluster.start_host(index)?;
            }
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    Ok(kills)
}

pub fn run(record: Record) -> Result<bool, String> {
    let shape = Shape {
        hosts: 3,
        executors: 6,
        room: (16_000, 65_536),
        max_attempts: 4,
    };
    let mut cluster = Cluster::start(&shape, record.clone())?;
    let clients = cluster.clients();
    let handing_in = std::thread::spawn(move || {
        let mut calls = Vec::new();
        for index in 0..OTHERS {
            if trouble() && index == BEFORE {
                let body = format!(
                    r#"{{"spec":"ms=100","phases":[{{"count":1,"cpu":1300,"memMb":2600,"estimateMs":100}}],"periodMs":1000,"repeatCount":{TIMES}}}"#
                );
                let clients = clients.clone();
                std::thread::spawn(move || clients.call(0, "POST", REPEATED, &body));
            }
            let id = format!("00000000000000{:02x}", 0x10 + index);
            let clients = clients.clone();
            calls.push(std::thread::spawn(move || {
                let answer = clients.call(index % 3, "POST", &id, &job(TASKS, 800));
                matches!(answer, Some((200, _))).then_some(id)
            }));
            std::thread::sleep(PAUSE);
        }
        let accepted = calls.into_iter().filter_map(|call| call.join().ok().flatten());
        accepted.collect::<Vec<String>>()
    });
    let mut kills = 0;
    while !handing_in.is_finished() {
        kills += run_platform(&mut cluster, Duration::from_millis(50))?;
    }
    let ids = handing_in.join().map_err(|_| "the clients failed".to_owned())?;
    kills += run_platform(&mut cluster, FINISH)?;
    let (mut lost, mut asked) = (0, 0);
    let asked_since = Instant::now();
    for id in &ids {
        if asked_since.elapsed() > ASK_ALL {
            break;
        }
        let until = Instant::now() + ASK;
        let mut last = None;
        let mut completed = false;
        while !completed && Instant::now() < until {
            kills += run_platform(&mut cluster, Duration::from_millis(60))?;
            asked += 1;
            if let Some((status @ (200 | 410), body)) = cluster.client(asked % cluster.hosts.len(), "GET", id, "") {
                last = Some(status);
                completed = body.contains("completed");
            }
        }
        let tasks = cluster.tasks(id);
        let in_use = cluster.tasks("").running.len();
        let waits = tasks.have_waited(TASKS, IDLE) && in_use < ROOM / 2;
        let why = match last {
            _ if completed => continue,
            None => "got no answer that tells its state",
            Some(410) => "isn't known",
            Some(_) if waits => "has had nothing running for more than 3 s",
            Some(_) => continue,
        };
        let done = tasks.done.len();
        record.line(&format!(
            "LOST: job {id} {why}; {done} of {TASKS} tasks are done, {in_use} of {ROOM} that fit are running"
        ));
        lost += 1;
        if lost >= ENOUGH {
            break;
        }
    }
    record.line(&format!("accepted: {} of {OTHERS} other jobs", ids.len()));
    record.line(&format!("processes killed since they used more than {MEMORY_MB} MB: {kills}"));
    cluster.record_warnings();
    Ok(lost > 0)
}
