//! An executor crashes and starts again under its id, as one of another kind.

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tokio::time::sleep;

use crate::Verdict;
use crate::deploy::{BATCH, Deployment, Plan};
use crate::executor::Work;
use crate::record::{Record, What};

const EXECUTORS: usize = 24;
const EXECUTOR_CPU: u64 = 16_000;
/// Jobs that need an executor of kind `b`: more than the one executor of that kind can run at once.
const JOBS: usize = 10;
const TASKS: usize = 16;
const TASK_CPU: u64 = 1_000;
const TASK_MS: u64 = 1_500;
/// How long the executor is down: `srv_crash` of the site, 4.5 s at most.
const DOWN: Duration = Duration::from_millis(2_000);

pub async fn run(record: Record, trouble: bool, program: &Path, folder: &Path) -> Verdict {
    let plan = Plan {
        hosts: 3,
        executors: EXECUTORS,
        cpu: EXECUTOR_CPU,
        work_of: Rc::new(|_, _| Work {
            ms: TASK_MS,
            cpu: TASK_CPU,
            ..Work::default()
        }),
        kind_of: |number| if number == 0 { "b" } else { "a" },
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
    let job = json!({ "spec": "(text)", "phases": [
        { "count": TASKS, "cpu": TASK_CPU, "memMb": 512, "estimateMs": TASK_MS, "constraints": "b" },
    ] });
    for _ in 0..JOBS {
        let id = deployment.new_id();
        if !deployment.submit(BATCH, &id, &job).await {
            return Verdict::NotRun("a job isn't accepted".to_owned());
        }
    }
    sleep(Duration::from_secs(4)).await;
    let executor = &deployment.executors[0];
    if executor.running() == 0 {
        return Verdict::NotRun("no task runs on the executor of kind b".to_owned());
    }
    let mut back_at = u64::MAX;
    if trouble {
        record.say(&format!(
            "e0 of kind b crashes with {} tasks",
            executor.running()
        ));
        if let Err(error) = executor.crash(DOWN, "a").await {
            return Verdict::NotRun(error.to_string());
        }
        back_at = record.now();
        record.say("e0 is back under the same id, and is of kind a");
    }
    sleep(Duration::from_secs(6)).await;
    if std::env::var("KEEP_LOGS").is_ok() {
        deployment.keep_logs(folder);
    }
    let started = record
        .events()
        .into_iter()
        .filter(|it| it.what == What::Start);
    let wrong = started.filter(|it| it.executor != 0 || it.at >= back_at);
    let found: Vec<String> = wrong
        .map(|it| {
            format!(
                "{}: run {} started at e{} of kind a at {} ms, and needs kind b",
                it.task, it.run, it.executor, it.at
            )
        })
        .collect();
    if found.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken(found)
    }
}
