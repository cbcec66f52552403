//! Jobs with a schedule while the owner of the pool is lost, the store is away or executors crash. Not a case: the rules held.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::Verdict;
use crate::deploy::{BATCH, Deployment, Plan};
use crate::executor::{Work, unix};
use crate::record::{Record, What};

const EXECUTORS: usize = 8;
const JOBS: usize = 24;
const TIMES: u64 = 16;
const PERIOD: u64 = 700;
const FIRST: usize = 3;
const SECOND: usize = 2;
/// `early_ms` of the site.
const EARLY: u64 = 250;

pub async fn run(record: Record, trouble: bool, program: &Path, folder: &Path) -> Verdict {
    let mode = std::env::var("MODE").unwrap_or_default();
    let seed: usize = std::env::var("SEED")
        .ok()
        .and_then(|it| it.parse().ok())
        .unwrap_or(0);
    let plan = Plan {
        hosts: 4,
        executors: EXECUTORS,
        cpu: 16_000,
        work_of: Rc::new(|task, _| {
            let index = task.bytes().last().unwrap_or(0) as u64 % 4;
            Work {
                ms: 100 + index * 300,
                cpu: 500,
                ..Work::default()
            }
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
    let mut due: BTreeMap<String, u64> = BTreeMap::new();
    for number in 0..JOBS {
        let id = deployment.new_id();
        let at = unix() + 1_000 + number as u64 * 90;
        let job = json!({ "spec": "(text)", "startAtMs": at, "periodMs": PERIOD, "repeatCount": TIMES, "phases": [
            { "count": FIRST, "cpu": 500, "memMb": 64, "estimateMs": 300, "antiAffinity": 1 },
            { "count": SECOND, "cpu": 500, "memMb": 64, "estimateMs": 300, "after": [0] },
        ] });
        if deployment.submit(BATCH, &id, &job).await {
            due.insert(id, at);
        }
    }
    let (began, began_unix) = (record.now(), unix());
    sleep(Duration::from_millis(2_500 + (seed as u64 * 173) % 700)).await;
    if trouble {
        for round in 0..2 {
            if let Some(owner) = deployment.owner() {
                let host = &deployment.hosts[owner];
                record.say(&format!("{mode} round {round}, owner {}", host.name));
                match mode.as_str() {
                    "kill" => host.signal("KILL"),
                    "term" => host.signal("TERM"),
                    "freeze" => {
                        host.signal("STOP");
                        sleep(Duration::from_millis(3_500)).await;
                        host.signal("CONT");
                    }
                    "busy" => {
                        deployment.store.set_busy(true);
                        sleep(Duration::from_millis(4_000)).await;
                        deployment.store.set_busy(false);
                    }
                    "busykill" => {
                        deployment.store.set_busy(true);
                        sleep(Duration::from_millis(1_500)).await;
                        host.signal("KILL");
                        sleep(Duration::from_millis(1_500)).await;
                        deployment.store.set_busy(false);
                    }
                    _ => {
                        let executor = &deployment.executors[(seed + round) % EXECUTORS];
                        drop(executor.crash(Duration::from_millis(1_000), "a").await);
                    }
                }
            }
            sleep(Duration::from_millis(3_300 + (seed as u64 * 331) % 900)).await;
        }
    }
    let until = Instant::now() + Duration::from_secs(16);
    let ids: Vec<String> = due.keys().cloned().collect();
    let left = deployment
        .wait_completed(BATCH, &ids, until.saturating_duration_since(Instant::now()))
        .await;
    if std::env::var("KEEP_LOGS").is_ok() {
        deployment.keep_logs(folder);
    }
    sleep(Duration::from_secs(1)).await;
    let mut found = record.twice();
    found.extend(
        left.iter()
            .map(|(id, state)| format!("{id}: shown as {state}")),
    );
    let events = record.events();
    let mut done: BTreeSet<&str> = BTreeSet::new();
    for event in &events {
        let mut parts = event.task.split('.');
        let (Some(id), Some(k), Some(step)) = (parts.next(), parts.next(), parts.next()) else {
            continue;
        };
        let Some(at) = due.get(id) else { continue };
        let at = at + k.parse::<u64>().unwrap_or(0) * PERIOD;
        match &event.what {
            What::Start => {
                let started = began_unix + event.at - began;
                if started + EARLY < at {
                    found.push(format!("{}: started {} ms early", event.task, at - started));
                }
                let before = (0..FIRST)
                    .filter(|index| done.contains(format!("{id}.{k}.0.{index}").as_str()))
                    .count();
                if step == "1" && before < FIRST {
                    found.push(format!(
                        "{}: started before its first step was done",
                        event.task
                    ));
                }
            }
            What::End(how, _) if how == "done" => drop(done.insert(&event.task)),
            _ => {}
        }
    }
    let all = due.len() * TIMES as usize * (FIRST + SECOND);
    record.say(&format!(
        "{} of {all} tasks done, {} ends in all",
        done.len(),
        events
            .iter()
            .filter(|it| matches!(it.what, What::End(..)))
            .count()
    ));
    if done.len() < all {
        found.push("some tasks were never done".to_owned());
    }
    if found.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken(found)
    }
}
