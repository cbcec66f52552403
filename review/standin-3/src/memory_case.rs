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
/// How long each job is asked for.
const ASK: Duration = Duration::from_secs(3);
/// The case is shown by this many lost jobs.
const ENOUGH: usize = 5;
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
    let mut ids = Vec::new();
    let mut kills = 0;
    for index in 0..OTHERS {
        if trouble() && index == BEFORE {
            let body = format!(
                r#"{{"spec":"ms=100","phases":[{{"count":1,"cpu":1300,"memMb":2600,"estimateMs":100}}],"periodMs":1000,"repeatCount":{TIMES}}}"#
            );
            cluster.client(0, "POST", REPEATED, &body);
        }
        let id = format!("00000000000000{:02x}", 0x10 + index);
        let host = index % cluster.hosts.len();
        if matches!(cluster.client(host, "POST", &id, &job(6, 800)), Some((200, _))) {
            ids.push(id);
        }
        kills += run_platform(&mut cluster, PAUSE)?;
    }
    kills += run_platform(&mut cluster, FINISH)?;
    let (mut lost, mut asked) = (0, 0);
    for id in &ids {
        let until = Instant::now() + ASK;
        let mut completed = false;
        while !completed && Instant::now() < until {
            kills += run_platform(&mut cluster, Duration::from_millis(60))?;
            asked += 1;
            let state = cluster.client(asked % cluster.hosts.len(), "GET", id, "");
            completed = state.is_some_and(|(status, body)| status == 200 && body.contains("completed"));
        }
        if !completed {
            record.line(&format!("LOST: job {id} isn't completed or gets no answer"));
            lost += 1;
        }
        if lost >= ENOUGH {
            break;
        }
    }
    record.line(&format!("accepted: {} of {OTHERS} other jobs", ids.len()));
    record.line(&format!("processes killed since they used more than {MEMORY_MB} MB: {kills}"));
    cluster.record_warnings();
    Ok(lost > 0)
}
