//! Takes jobs, tells where they stand, withdraws them.

use std::sync::Arc;

use cell::{JobScheduler, SavedJob};
use platform::{Error, Transaction};
use wire::{Fault, Job, Kind, State};

use super::{SAVE_EVERY, Shard};
use crate::Node;

impl Shard {
    /// Takes a job, once its row is written.
    pub(crate) async fn submit(
        self: &Arc<Self>,
        node: &Arc<Node>,
        job: Job,
    ) -> Result<State, Fault> {
        let Some(applied) = node.applied() else {
            return Err(Fault::new(Kind::NoOwner, "no configuration yet"));
        };
        JobScheduler::admit(&job, &applied.cell)?;
        let known = self.with_desk(|desk| desk.find(&job));
        match known {
            None => return Err(not_at_home()),
            Some(Ok(Some(state))) => return Ok(state),
            Some(Err(fault)) => return Err(fault),
            Some(Ok(None)) => {}
        }
        self.record_job(node, &job).await?;
        let state = self
            .with_desk(|desk| desk.submit(job))
            .ok_or_else(not_at_home)?;
        self.jobs_now.notify_one();
        Ok(state)
    }

    /// Writes the row of a new job. The rack's row is checked as well: a deposed owner must not
    /// say that it took a job which the new owner has not seen.
    async fn record_job(self: &Arc<Self>, node: &Arc<Node>, job: &Job) -> Result<(), Fault> {
        let key = SavedJob::key(&job.team, &job.id);
        let value = serde_json::to_string(&SavedJob::new(job.clone()))
            .map_err(|e| Fault::new(Kind::BadInput, e.to_string()))?;
        let Some((version, _)) = self.state().record.clone() else {
            return Err(not_at_home());
        };
        let transaction = Transaction::default()
            .check(cell::Record::key(&self.name), version)
            .check(&key, 0)
            .put(&key, value.clone());
        match node.table.commit(transaction).await {
            Ok(_) => Ok(()),
            Err(Error::Conflict { rows }) if rows.iter().any(|row| row.key == key) => {
                let same = rows
                    .iter()
                    .any(|r| r.key == key && r.value.as_ref() == Some(&value));
                if same {
                    Ok(())
                } else {
                    Err(Fault::new(Kind::Conflict, "this id is taken"))
                }
            }
            Err(Error::Conflict { .. }) => Err(not_at_home()),
            Err(Error::Down { reason }) => Err(Fault::new(Kind::StoreDown, reason)),
            Err(Error::Lost { .. }) => self.find_row(node, job, &key, &value).await,
        }
    }

    /// The answer to a new job's row was lost: reads whether it stands there. If that can't be
    /// told, the job may be taken, and this owner goes on asking so that it won't lie idle.
    async fn find_row(
        self: &Arc<Self>,
        node: &Arc<Node>,
        job: &Job,
        key: &str,
        value: &str,
    ) -> Result<(), Fault> {
        match read_row(node, key).await {
            Ok(Some(found)) if found == value => Ok(()),
            Ok(_) => Err(Fault::new(Kind::StoreDown, "the row was not written")),
            Err(_) => {
                let (shard, node) = (Arc::clone(self), Arc::clone(node));
                let (job, key) = (job.clone(), key.to_owned());
                node.stop
                    .clone()
                    .spawn(async move { shard.find_later(&node, job, &key).await });
                let reason = "the table took it or not; ask again with the same id";
                Err(Fault::new(Kind::Lost, reason))
            }
        }
    }

    async fn find_later(&self, node: &Node, job: Job, key: &str) {
        while node.stop.sleep(SAVE_EVERY).await && self.state().desk.is_some() {
            match read_row(node, key).await {
                Ok(Some(_)) => {
                    self.with_desk(|desk| desk.submit(job));
                    self.jobs_now.notify_one();
                    return;
                }
                Ok(None) => return,
                Err(_) => {}
            }
        }
    }

    /// Where a job stands.
    pub(crate) fn watch(&self, team: &str, job: &str) -> Result<State, Fault> {
        let state = self
            .with_desk(|desk| desk.state(team, job))
            .ok_or_else(not_at_home)?;
        state.ok_or_else(|| Fault::new(Kind::UnknownJob, "there is no such job"))
    }

    /// Withdraws a job. Nothing more of it starts from now on; the answer is given once the row
    /// says so as well, since a later owner goes by the row.
    pub(crate) async fn cancel(
        self: &Arc<Self>,
        node: &Arc<Node>,
        team: &str,
        job: &str,
    ) -> Result<State, Fault> {
        let cancelled = self
            .with_desk(|desk| desk.cancel(team, job))
            .ok_or_else(not_at_home)?;
        let Some((state, _)) = cancelled else {
            return Err(Fault::new(Kind::UnknownJob, "there is no such job"));
        };
        self.jobs_now.notify_one();
        self.stop_leftovers(node).await;
        if self.save(node).await {
            return Ok(state);
        }
        let reason = "it is being stopped, but the table did not take the note; ask again";
        Err(Fault::new(Kind::StoreDown, reason))
    }
}

async fn read_row(node: &Node, key: &str) -> Result<Option<String>, Error> {
    let scan = node.table.scan(&[key], 0).await?;
    let row = scan.rows.into_iter().find(|row| row.key == key);
    Ok(row.and_then(|row| row.value))
}

fn not_at_home() -> Fault {
    Fault::new(
        Kind::NotOwner,
        "this placer does not look after the team's jobs",
    )
}
