//! A job whose progress outgrows a row of the store runs beside small ones: a lasting job whose tasks fail as soon as they have
//! started, or a large job whose tasks save checkpoints.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::Verdict;
use crate::deploy::{BATCH, Deployment, Plan, QUICK};
use crate::executor::Work;
use crate::record::{Record, What};

const EXECUTORS: usize = 4;
const EXECUTOR_CPU: u64 = 16_000;
/// Steps and tasks of the lasting job: the most that the site has.
const LASTING_STEPS: usize = 2;
const LASTING_TASKS: usize = 48;
/// Lasting jobs that are handed in within three seconds; one of them can't be done. The others have this many tasks each.
const LASTING_JOBS: usize = 20;
const SOUND_TASKS: usize = 2;
/// A task of the one that can't be done fails this soon.
const FAILS_AFTER_MS: u64 = 20;
/// Tasks of the large job, and the same without trouble.
const LARGE: usize = 3_000;
const NOT_LARGE: usize = 600;
/// How long its tasks take; one in [`SHORT_EVERY`] is much shorter.
const LARGE_MS: u64 = 200_000;
const SHORT_MS: u64 = 4_000;
const SHORT_EVERY: usize = 500;
/// Small jobs have two steps of short tasks.
const FIRST_STEP: usize = 100;
const SECOND_STEP: usize = 20;
const SMALL_MS: u64 = 200;
const SMALL_EVERY: Duration = Duration::from_millis(500);
/// Traffic ends this long after the store has refused a row, or after the longest time.
const TRAFFIC_AFTER: Duration = Duration::from_secs(14);
const MAX_TRAFFIC: Duration = Duration::from_secs(75);
/// `finish_s` of the site, and the time for which a job may have nothing running after it.
const FINISH: Duration = Duration::from_secs(14);
const IDLE: Duration = Duration::from_secs(3);

/// The job whose progress outgrows a row.
#[derive(Clone, Copy, PartialEq)]
pub enum Growing {
    Lasting,
    Large,
}

impl Growing {
    /// Processors of a task, in thousandths. All tasks of the large job fit at once, in less than half of the capacity.
    const fn task_cpu(self) -> u64 {
        match self {
            Self::Lasting => 50,
            Self::Large => 10,
        }
    }
}

pub async fn run(
    growing: Growing,
    record: Record,
    trouble: bool,
    program: &Path,
    folder: &Path,
) -> Verdict {
    let task_cpu = growing.task_cpu();
    let work_of = move |task: &str, spec: &str| {
        let index = task
            .rsplit('.')
            .next()
            .and_then(|it| it.parse::<usize>().ok());
        let is_short = index.is_some_and(|index| index % SHORT_EVERY == 0);
        let work = Work {
            cpu: task_cpu,
            ..Work::default()
        };
        match spec {
            "lasting" if trouble => Work {
                ms: FAILS_AFTER_MS,
                fails: true,
                ..work
            },
            "lasting" => Work {
                ms: LARGE_MS,
                lasts: true,
                ..work
            },
            "sound" => Work {
                ms: LARGE_MS,
                lasts: true,
                ..work
            },
            "large" if is_short => Work {
                ms: SHORT_MS,
                checkpoints: true,
                ..work
            },
            "large" => Work {
                ms: LARGE_MS,
                checkpoints: true,
                ..work
            },
            _ => Work {
                ms: SMALL_MS,
                ..work
            },
        }
    };
    let plan = Plan {
        hosts: 3,
        executors: EXECUTORS,
        cpu: EXECUTOR_CPU,
        work_of: Rc::new(work_of),
        kind_of: |_| "a",
        tenant_cpu: None,
    };
    let deployment = match Deployment::start(record.clone(), plan, program).await {
        Ok(deployment) => deployment,
        Err(error) => return Verdict::NotRun(error.to_string()),
    };
    if !deployment.wait_until_ready().await {
        return Verdict::NotRun("the hosts don't get ready".to_owned());
    }
    sleep(Duration::from_secs(3)).await;
    let small = json!({ "spec": "small", "phases": [
        { "count": FIRST_STEP, "cpu": task_cpu, "memMb": 16, "estimateMs": SMALL_MS },
        { "count": SECOND_STEP, "cpu": task_cpu, "memMb": 16, "estimateMs": SMALL_MS, "after": [0] },
    ] });
    let first = deployment.new_id();
    if !deployment.submit(QUICK, &first, &small).await
        || !deployment
            .wait_completed(QUICK, std::slice::from_ref(&first), Duration::from_secs(6))
            .await
            .is_empty()
    {
        return Verdict::NotRun("a small job isn't done".to_owned());
    }
    if growing == Growing::Lasting {
        let sound = json!({ "spec": "sound", "phases": [
            { "count": SOUND_TASKS, "cpu": task_cpu, "memMb": 16, "estimateMs": 500, "longRunning": true },
        ] });
        for _ in 1..LASTING_JOBS {
            let id = deployment.new_id();
            if !deployment.submit(BATCH, &id, &sound).await {
                return Verdict::NotRun("a lasting job isn't accepted".to_owned());
            }
            sleep(Duration::from_millis(100)).await;
        }
        record.say(&format!(
            "{} sound lasting jobs are accepted",
            LASTING_JOBS - 1
        ));
    }
    let large_id = deployment.new_id();
    let job = match growing {
        Growing::Lasting => {
            let step = json!({ "count": LASTING_TASKS, "cpu": task_cpu, "memMb": 16, "estimateMs": 500, "longRunning": true });
            json!({ "spec": "lasting", "phases": vec![step; LASTING_STEPS] })
        }
        Growing::Large => {
            let count = if trouble { LARGE } else { NOT_LARGE };
            json!({ "spec": "large", "phases": [
                { "count": count, "cpu": task_cpu, "memMb": 16, "estimateMs": LARGE_MS, "checkpoints": true },
            ] })
        }
    };
    if !deployment.submit(BATCH, &large_id, &job).await {
        return Verdict::NotRun("the job isn't accepted".to_owned());
    }
    record.say(&format!("accepted {large_id}: {job}"));
    let (mut ids, mut end) = (Vec::new(), Instant::now() + MAX_TRAFFIC);
    let mut refused = false;
    while Instant::now() < end {
        let id = deployment.new_id();
        if deployment.submit(QUICK, &id, &small).await {
            ids.push(id);
        }
        if deployment.store.too_large() > 0 && !refused {
            refused = true;
            end = end.min(Instant::now() + TRAFFIC_AFTER);
            record.say("the store has refused a row of more than rowBytes");
        }
        sleep(SMALL_EVERY).await;
    }
    let unseen = || {
        deployment
            .executors
            .iter()
            .map(|it| it.unseen())
            .collect::<Vec<_>>()
    };
    record.say(&format!(
        "end of traffic: {} small jobs accepted; ends not taken note of: {:?}",
        ids.len(),
        unseen()
    ));
    record.say(&format!(
        "transactions refused for a value of more than rowBytes: {}",
        deployment.store.too_large()
    ));
    sleep(FINISH).await;
    // Jobs of which nothing runs, with free capacity, at each moment of the time.
    let mut idle: BTreeSet<String> = ids.iter().cloned().collect();
    let (until, mut most_used) = (Instant::now() + IDLE, 0);
    while Instant::now() < until {
        idle.retain(|id| deployment.executors.iter().all(|it| it.runs_of(id) == 0));
        most_used = most_used.max(deployment.executors.iter().map(|it| it.used()).sum());
        sleep(Duration::from_millis(50)).await;
    }
    let capacity = EXECUTORS as u64 * EXECUTOR_CPU;
    record.say(&format!(
        "in use: {most_used} of {capacity} thousandths of a core; ends not taken note of: {:?}",
        unseen()
    ));
    if std::env::var("KEEP_LOGS").is_ok() {
        deployment.keep_logs(folder);
    }
    if ids.is_empty() {
        return Verdict::NotRun("no small job was accepted".to_owned());
    }
    if most_used * 2 >= capacity {
        return Verdict::NotRun("half of the capacity is in use".to_owned());
    }
    let mut done: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    for event in record.events() {
        if let What::End(how, _) = &event.what
            && how == "done"
        {
            let (job, task) = event.task.split_once('.').unwrap_or(("", ""));
            done.entry(job.to_owned())
                .or_default()
                .insert(task.to_owned());
        }
    }
    let (mut found, mut unanswered) = (Vec::new(), 0);
    for id in &ids {
        let state = deployment.state(QUICK, id).await;
        if state == "completed" {
            continue;
        }
        let of_step = |step: &str| {
            let done = done.get(id);
            done.map_or(0, |it| {
                it.iter().filter(|task| task.starts_with(step)).count()
            })
        };
        let (first, second) = (of_step("0.0."), of_step("0.1."));
        unanswered += usize::from(second == SECOND_STEP);
        let its_turn = first < FIRST_STEP || second < SECOND_STEP;
        if its_turn && idle.contains(id) {
            found.push(format!(
                "{id}: accepted, shown as {state}; done are {first} of {FIRST_STEP} and {second} of {SECOND_STEP} tasks, and nothing of it has run for 3 s"
            ));
        }
    }
    record.say(&format!(
        "jobs of which all tasks have ended done and that aren't shown as completed: {unanswered}"
    ));
    let failed = record
        .events()
        .iter()
        .filter(|it| matches!(&it.what, What::End(how, _) if how == "failed"))
        .count();
    record.say(&format!("runs that ended failed: {failed}"));
    if !found.is_empty() {
        return Verdict::Broken(found);
    }
    if unanswered > 0 {
        return Verdict::NotRun("jobs aren't shown as completed, but none waits".to_owned());
    }
    Verdict::Held
}
