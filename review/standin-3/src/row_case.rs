//! A job that repeats often, and the owner's process is killed while it is in progress.

use std::time::{Duration, Instant};

use crate::cluster::{Cluster, Record, Shape};
use crate::{trouble, unix_ms};

const REPEATED: &str = "00000000000000aa";
const SMALL: [&str; 3] = ["00000000000000b1", "00000000000000b2", "00000000000000b3"];
/// The repeated job: one task each 3 ms, which works for 1.9 s.
const TIMES: usize = 3_400;
const PERIOD_MS: i64 = 3;
const WORK_MS: i64 = 1_900;
const STARTS_BEFORE_KILL: usize = 800;
/// `finish_s` of the deployments: jobs are judged this long after the last one was handed in.
const FINISH: Duration = Duration::from_secs(14);
/// A job with nothing running for this long, though it could, is lost by the rule.
const IDLE: Duration = Duration::from_secs(3);
/// How long jobs are watched after that.
const WATCH: Duration = Duration::from_secs(12);

fn phases(ms: i64) -> String {
    format!(r#""spec":"ms={ms}","phases":[{{"count":1,"cpu":50,"memMb":50,"estimateMs":{ms}}}]"#)
}

fn is_of(words: &[String], kind: &str, job: &str) -> bool {
    words.get(1).is_some_and(|it| it == kind) && words.get(3).is_some_and(|it| it.starts_with(job))
}

fn starts(cluster: &Cluster, job: &str) -> usize {
    cluster.count(|words| is_of(words, "start", job))
}

/// Number of tasks that are running now, by what the executors told.
fn running(cluster: &Cluster, job: &str) -> usize {
    starts(cluster, job).saturating_sub(cluster.count(|words| is_of(words, "end", job)))
}

/// Whether a job, of which nothing runs, is completed, as a host tells.
fn is_completed(cluster: &Cluster, job: &str) -> bool {
    let state = cluster.client_until("GET", job, "", Duration::from_secs(2));
    state.is_some_and(|(status, body)| status == 200 && body.contains("completed"))
}

pub fn run(record: Record) -> Result<bool, String> {
    let shape = Shape {
        hosts: 3,
        executors: 3,
        room: (16_000, 65_536),
        max_attempts: 4,
    };
    let mut cluster = Cluster::start(&shape, record.clone())?;
    let begins = unix_ms() + 300;
    let repeated = format!(
        r#"{{{},"startAtMs":{begins},"periodMs":{PERIOD_MS},"repeatCount":{TIMES}}}"#,
        phases(WORK_MS)
    );
    let answer = cluster.client_until("POST", REPEATED, &repeated, Duration::from_secs(5));
    if !matches!(answer, Some((200, _))) {
        return Err("the repeated job wasn't accepted".to_owned());
    }
    let until = Instant::now() + Duration::from_secs(15);
    while starts(&cluster, REPEATED) < STARTS_BEFORE_KILL {
        if Instant::now() > until {
            return Err("the repeated job doesn't start".to_owned());
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    let owner = cluster.owner().ok_or("no owner")?;
    if trouble() {
        cluster.kill_host(owner);
        std::thread::sleep(Duration::from_secs(1));
        cluster.start_host(owner)?;
    }
    // The last occurrence is due by then.
    let last_due = begins + PERIOD_MS * TIMES as i64;
    std::thread::sleep(Duration::from_millis((last_due - unix_ms()).max(0) as u64));
    let small = format!("{{{}}}", phases(200));
    for id in SMALL {
        let answer = cluster.client_until("POST", id, &small, Duration::from_secs(5));
        if !matches!(answer, Some((200, _))) {
            return Err("a small job wasn't accepted".to_owned());
        }
    }
    std::thread::sleep(FINISH);
    // From here on each job has to be completed, or something of it has to run. All tasks are due, and the room suffices for all of them.
    let mut idle_since = [REPEATED, SMALL[0], SMALL[1], SMALL[2]].map(|id| (id, Instant::now(), starts(&cluster, id)));
    let until = Instant::now() + WATCH;
    let mut broken = false;
    while Instant::now() < until && !broken {
        let mut all_completed = true;
        for (id, since, seen) in &mut idle_since {
            let started = starts(&cluster, id);
            if is_completed(&cluster, id) || running(&cluster, id) > 0 || started > *seen {
                (*since, *seen) = (Instant::now(), started);
                all_completed &= running(&cluster, id) == 0 && started == *seen && is_completed(&cluster, id);
                continue;
            }
            all_completed = false;
            if since.elapsed() > IDLE {
                record.line(&format!("LOST: job {id} isn't completed, and nothing of it has run for {:?}, with all room free: {started} starts so far", since.elapsed()));
                broken = true;
            }
        }
        if all_completed {
            break;
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    let refused = cluster.store.refused();
    for (key, size) in refused.iter().take(3) {
        record.line(&format!("the store refused a row of {size} bytes under the key {key}"));
    }
    record.line(&format!("rows refused since they were too large: {}", refused.len()));
    let unread = cluster.unread_ends();
    record.line(&format!("ends listed by executors and not taken note of: {unread:?}"));
    cluster.record_warnings();
    Ok(broken)
}
