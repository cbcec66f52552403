//! The executors crash and start again one after the other, while jobs of short tasks run on them.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::Verdict;
use crate::deploy::{BATCH, Deployment, Plan};
use crate::executor::Work;
use crate::record::{Record, What};

const EXECUTORS: usize = 8;
const EXECUTOR_CPU: u64 = 16_000;
const TASKS: usize = 20;
const TASK_CPU: u64 = 500;
const TASK_MS: u64 = 1_800;
/// A new job this often: some three fifths of the capacity are in use.
const EVERY: Duration = Duration::from_millis(240);
/// Work before the first crash: by then all executors have been up for a while.
const BEFORE: Duration = Duration::from_secs(6);
/// Each executor crashes this long after the one before, and is down for a second: one of eight, where the site has 14% for 4.5 s.
const GAP: Duration = Duration::from_millis(1_500);
const DOWN: Duration = Duration::from_millis(1_000);
/// Rounds over all executors.
const ROUNDS: usize = 1;

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
        kind_of: |_| "a",
        tenant_cpu: None,
    };
    let deployment = match Deployment::start(record.clone(), plan, program).await {
        Ok(deployment) => Rc::new(deployment),
        Err(error) => return Verdict::NotRun(error.to_string()),
    };
    if !deployment.wait_until_ready().await {
        return Verdict::NotRun("the hosts don't get ready".to_owned());
    }
    sleep(Duration::from_secs(3)).await;
    let job = json!({ "spec": "(text)", "phases": [
        { "count": TASKS, "cpu": TASK_CPU, "memMb": 256, "estimateMs": TASK_MS },
    ] });
    let errors: Rc<RefCell<Vec<String>>> = Rc::default();
    let crashes = {
        let (deployment, record, errors) =
            (Rc::clone(&deployment), record.clone(), Rc::clone(&errors));
        async move {
            sleep(BEFORE).await;
            for round in 0..ROUNDS * EXECUTORS {
                if trouble {
                    let executor = Rc::clone(&deployment.executors[round % EXECUTORS]);
                    record.line(&format!(
                        "e{} crashes with {} tasks",
                        executor.number,
                        executor.running()
                    ));
                    let errors = Rc::clone(&errors);
                    tokio::task::spawn_local(async move {
                        if let Err(error) = executor.crash(DOWN, "a").await {
                            errors.borrow_mut().push(error.to_string());
                        }
                    });
                }
                sleep(GAP).await;
            }
        }
    };
    let traffic = async {
        let mut ids = Vec::new();
        let until = Instant::now() + BEFORE + GAP * (ROUNDS * EXECUTORS) as u32;
        while Instant::now() < until {
            let id = deployment.new_id();
            if deployment.submit(BATCH, &id, &job).await {
                ids.push(id);
            }
            sleep(EVERY).await;
        }
        ids
    };
    let ((), ids) = tokio::join!(crashes, traffic);
    if let Some(error) = errors.borrow().first() {
        return Verdict::NotRun(error.clone());
    }
    record.say(&format!("end of traffic: {} jobs accepted", ids.len()));
    let mut shown: BTreeMap<String, usize> = BTreeMap::new();
    let mut failed = Vec::new();
    for (id, state) in deployment
        .wait_completed(BATCH, &ids, Duration::from_secs(14))
        .await
    {
        *shown.entry(state.clone()).or_default() += 1;
        if state == "failed" {
            failed.push(id);
        }
    }
    record.say(&format!("shown as anything but completed: {shown:?}"));
    if std::env::var("KEEP_LOGS").is_ok() {
        deployment.keep_logs(folder);
    }
    let events = record.events();
    let with_failures: BTreeSet<&str> = events
        .iter()
        .filter(|it| matches!(&it.what, What::End(how, _) if how == "failed"))
        .filter_map(|it| it.task.split('.').next())
        .collect();
    let found: Vec<String> = failed
        .iter()
        .filter(|id| !with_failures.contains(id.as_str()))
        .map(|id| {
            let of_job = |it: &&crate::record::Event| it.task.starts_with(id.as_str());
            let lost = events.iter().filter(of_job).filter(|it| matches!(&it.what, What::End(how, _) if how == "lost")).count();
            format!("{id}: accepted, never cancelled, shown as failed; no run of it ended failed, {lost} runs were lost with their executors")
        })
        .collect();
    if found.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken(found)
    }
}
