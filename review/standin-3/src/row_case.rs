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
/// Number of tasks that fit on the three executors.
const ROOM: usize = 3 * 320;
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
    // From here on something of each job has to run until it is done. All tasks are due, and the room suffices for all of them at once.
    let jobs = [(REPEATED, TIMES), (SMALL[0], 1), (SMALL[1], 1), (SMALL[2], 1)];
    let until = Instant::now() + WATCH;
    let mut broken = false;
    while Instant::now() < until && !broken {
        let in_use = cluster.tasks("").running.len();
        let mut all_done = true;
        for (id, all) in jobs {
            let tasks = cluster.tasks(id);
            all_done &= tasks.done.len() == all;
            if tasks.have_waited(all, IDLE) && in_use < ROOM / 2 {
                let done = tasks.done.len();
                record.line(&format!("LOST: nothing of job {id} has run for more than {IDLE:?}; {done} of {all} tasks are done, {in_use} of {ROOM} that fit are running"));
                broken = true;
            }
        }
        if all_done {
            break;
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    for (id, _) in jobs {
        cluster.client_until("GET", id, "", Duration::from_secs(2));
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
