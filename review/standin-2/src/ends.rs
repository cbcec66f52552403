//! The owner of a pool is lost while each executor has more ended runs than one response lists.

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tokio::time::sleep;

use crate::Verdict;
use crate::deploy::{BATCH, Deployment, Plan};
use crate::executor::Work;
use crate::record::Record;

/// As many as the site has.
const HOSTS: usize = 8;
const EXECUTORS: usize = 4;
const TASKS: usize = 620;
/// Tasks of a tenth of a core: an executor of 64 cores holds 640. The variable `TASK_CPU` sets another size, as a control: with 200,
/// an executor holds 320, fewer than a response lists.
const TASK_CPU: u64 = 100;
const TASK_MS: u64 = 800;
/// More jobs than fit at once, so that each executor is full until the last of them.
const JOBS: usize = 20;
/// Time under load before the disruption.
const LOAD: Duration = Duration::from_millis(1_500);
/// `node_freeze` of the site: 3.5 s, one machine of eight.
const FREEZE: Duration = Duration::from_millis(3_500);

pub async fn run(record: Record, trouble: bool, program: &Path, folder: &Path) -> Verdict {
    let task_cpu: u64 = std::env::var("TASK_CPU")
        .ok()
        .and_then(|it| it.parse().ok())
        .unwrap_or(TASK_CPU);
    let plan = Plan {
        hosts: HOSTS,
        executors: EXECUTORS,
        cpu: 64_000,
        work_of: Rc::new(move |_, _| Work {
            ms: TASK_MS,
            cpu: task_cpu,
            ..Work::default()
        }),
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
    let job = |count: usize| json!({ "spec": "(text)", "phases": [{ "count": count, "cpu": task_cpu, "memMb": 64, "estimateMs": TASK_MS }] });
    let first = deployment.new_id();
    if !deployment.submit(BATCH, &first, &job(8)).await
        || !deployment
            .wait_completed(BATCH, std::slice::from_ref(&first), Duration::from_secs(10))
            .await
            .is_empty()
    {
        return Verdict::NotRun("a small job isn't done".to_owned());
    }
    let mut ids = Vec::new();
    for _ in 0..JOBS {
        let id = deployment.new_id();
        if !deployment.submit(BATCH, &id, &job(TASKS)).await {
            return Verdict::NotRun("a job isn't accepted".to_owned());
        }
        ids.push(id);
    }
    sleep(LOAD).await;
    let counts: Vec<usize> = deployment.executors.iter().map(|it| it.running()).collect();
    record.say(&format!("tasks at work on each executor: {counts:?}"));
    if trouble {
        let Some(owner) = deployment.owner() else {
            return Verdict::NotRun("no host owns the pool".to_owned());
        };
        let host = &deployment.hosts[owner];
        record.say(&format!("{} freezes", host.name));
        host.signal("STOP");
        sleep(FREEZE).await;
        host.signal("CONT");
        record.say(&format!("{} wakes again", host.name));
    }
    let left = deployment
        .wait_completed(BATCH, &ids, Duration::from_secs(30))
        .await;
    record.say(&format!("jobs that aren't shown as completed: {left:?}"));
    sleep(Duration::from_secs(2)).await;
    if std::env::var("KEEP_LOGS").is_ok() {
        deployment.keep_logs(folder);
    }
    let found = record.twice();
    if !found.is_empty() {
        return Verdict::Broken(found);
    }
    if left.is_empty() {
        Verdict::Held
    } else {
        Verdict::NotRun("the jobs didn't end, but no task ran twice".to_owned())
    }
}
