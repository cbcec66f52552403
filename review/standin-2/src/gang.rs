//! A gang that doesn't fit beside what its tenant has running comes beside small jobs of the tenant.

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::Verdict;
use crate::deploy::{BATCH, Deployment, Plan, QUICK};
use crate::executor::Work;
use crate::record::{Record, What};

const EXECUTORS: usize = 8;
const EXECUTOR_CPU: u64 = 16_000;
/// What the tenant may have running.
const TENANT_CPU: u64 = 40_000;
/// A lasting job of the tenant, which takes a tenth of that.
const LASTING_TASKS: usize = 4;
const LASTING_CPU: u64 = 1_000;
/// A gang within the limit, but not within what the lasting job leaves.
const GANG_TASKS: usize = 19;
const GANG_CPU: u64 = 2_000;
const GANG_MS: u64 = 5_000;
const SMALL_TASKS: usize = 4;
const SMALL_CPU: u64 = 500;
const SMALL_MS: u64 = 800;
const EVERY: Duration = Duration::from_millis(500);
/// Traffic of small jobs before and after the gang is handed in.
const BEFORE: Duration = Duration::from_secs(6);
const AFTER: Duration = Duration::from_secs(15);
/// `finish_s` of the site, and the time for which a job may have nothing running after it.
const FINISH: Duration = Duration::from_secs(14);
const IDLE: Duration = Duration::from_secs(3);

pub async fn run(record: Record, trouble: bool, program: &Path, folder: &Path) -> Verdict {
    let plan = Plan {
        hosts: 3,
        executors: EXECUTORS,
        cpu: EXECUTOR_CPU,
        work_of: Rc::new(|_, spec| match spec {
            "lasting" => Work {
                ms: 1_000_000,
                cpu: LASTING_CPU,
                lasts: true,
                ..Work::default()
            },
            "gang" => Work {
                ms: GANG_MS,
                cpu: GANG_CPU,
                ..Work::default()
            },
            _ => Work {
                ms: SMALL_MS,
                cpu: SMALL_CPU,
                ..Work::default()
            },
        }),
        kind_of: |_| "a",
        tenant_cpu: Some(TENANT_CPU),
    };
    let deployment = match Deployment::start(record.clone(), plan, program).await {
        Ok(deployment) => deployment,
        Err(error) => return Verdict::NotRun(error.to_string()),
    };
    if !deployment.wait_until_ready().await {
        return Verdict::NotRun("the hosts don't get ready".to_owned());
    }
    sleep(Duration::from_secs(3)).await;
    let lasting = json!({ "spec": "lasting", "phases": [
        { "count": LASTING_TASKS, "cpu": LASTING_CPU, "memMb": 64, "estimateMs": 500, "longRunning": true },
    ] });
    let gang = json!({ "spec": "gang", "phases": [
        { "count": GANG_TASKS, "cpu": GANG_CPU, "memMb": 64, "estimateMs": GANG_MS, "gang": true },
    ] });
    let small = json!({ "spec": "small", "phases": [
        { "count": SMALL_TASKS, "cpu": SMALL_CPU, "memMb": 64, "estimateMs": SMALL_MS },
    ] });
    let lasting_id = deployment.new_id();
    if !deployment.submit(BATCH, &lasting_id, &lasting).await {
        return Verdict::NotRun("the lasting job isn't accepted".to_owned());
    }
    let mut ids = Vec::new();
    let mut gang_id = None;
    let (began, end) = (Instant::now(), Instant::now() + BEFORE + AFTER);
    while Instant::now() < end {
        if trouble && gang_id.is_none() && began.elapsed() >= BEFORE {
            let id = deployment.new_id();
            if !deployment.submit(BATCH, &id, &gang).await {
                return Verdict::NotRun("the gang isn't accepted".to_owned());
            }
            record.say(&format!(
                "{id}: accepted, a gang of {GANG_TASKS} tasks of {GANG_CPU}; the tenant's limit is {TENANT_CPU}"
            ));
            gang_id = Some(id);
        }
        let id = deployment.new_id();
        // Half of them in the queue of the gang, so that the gang is one of many there.
        let queue = if ids.len() % 2 == 0 { QUICK } else { BATCH };
        if deployment.submit(queue, &id, &small).await {
            ids.push((queue, id));
        }
        sleep(EVERY).await;
    }
    let used = || deployment.executors.iter().map(|it| it.used()).sum::<u64>();
    record.say(&format!(
        "end of traffic: {} small jobs accepted; the tenant uses {}",
        ids.len(),
        used()
    ));
    sleep(FINISH).await;
    let mut idle = ids.clone();
    let (until, mut most_used) = (Instant::now() + IDLE, 0);
    while Instant::now() < until {
        idle.retain(|(_, id)| deployment.executors.iter().all(|it| it.runs_of(id) == 0));
        most_used = most_used.max(used());
        sleep(Duration::from_millis(50)).await;
    }
    let capacity = EXECUTORS as u64 * EXECUTOR_CPU;
    record.say(&format!(
        "the tenant uses {most_used} of its {TENANT_CPU}, of {capacity} in all"
    ));
    if std::env::var("KEEP_LOGS").is_ok() {
        deployment.keep_logs(folder);
    }
    let (Some((queue, first)), true) = (ids.first(), ids.len() > 20) else {
        return Verdict::NotRun("too few small jobs were accepted".to_owned());
    };
    if deployment.state(*queue, first).await != "completed" {
        return Verdict::NotRun("the first small job isn't done".to_owned());
    }
    if most_used * 2 >= TENANT_CPU {
        return Verdict::NotRun("half of the tenant's limit is in use".to_owned());
    }
    let events = record.events();
    let mut found = Vec::new();
    for (queue, id) in &idle {
        let done = events
            .iter()
            .filter(|it| {
                it.task.starts_with(id.as_str())
                    && matches!(&it.what, What::End(how, _) if how == "done")
            })
            .count();
        let state = deployment.state(*queue, id).await;
        if done < SMALL_TASKS {
            found.push(format!(
                "{id}: accepted, shown as {state}; done are {done} of {SMALL_TASKS} tasks, and nothing of it has run for 3 s"
            ));
        }
    }
    if found.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken(found)
    }
}
