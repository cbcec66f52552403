//! Accepts jobs, reports their state and cancels them.

use std::sync::Arc;

use cell::{JobScheduler, SavedJob, Stage};
use platform::{Error, Transaction};
use tokio::sync::oneshot;
use wire::{Fault, Job, Kind, Phase, State};

use super::{SAVE_INTERVAL, Shard};
use crate::Node;

impl Shard {
    /// Accepts a job once its row is written.
    pub(crate) async fn submit(
        self: &Arc<Self>,
        node: &Arc<Node>,
        job: Job,
    ) -> Result<State, Fault> {
        let (shard, owner) = (Arc::clone(self), Arc::clone(node));
        self.complete(node, async move { shard.accept(&owner, job).await })
            .await
    }

    /// Cancels a job. Nothing more of it starts from now on. The answer is sent once the row shows
    /// it too, since a later owner relies on the row.
    pub(crate) async fn cancel(
        self: &Arc<Self>,
        node: &Arc<Node>,
        team: &str,
        job: &str,
    ) -> Result<State, Fault> {
        let (shard, owner) = (Arc::clone(self), Arc::clone(node));
        let (team, job) = (team.to_owned(), job.to_owned());
        self.complete(node, async move {
            shard.cancel_and_save(&owner, &team, &job).await
        })
        .await
    }

    async fn accept(self: &Arc<Self>, node: &Arc<Node>, job: Job) -> Result<State, Fault> {
        let Some(applied) = node.active_config() else {
            return Err(Fault::new(Kind::NoOwner, "no configuration yet"));
        };
        JobScheduler::admit(&job, &applied.cell)?;
        let known = self.with_scheduler(|scheduler| scheduler.find(&job));
        match known {
            None => return Err(not_home_owner()),
            Some(Ok(Some(state))) => return Ok(state),
            Some(Err(fault)) => return Err(fault),
            Some(Ok(None)) => {}
        }
        self.write_job_row(node, &job).await?;
        let queued = queued(&job);
        let state = self.with_scheduler(|scheduler| scheduler.submit(job));
        self.jobs_changed.notify_one();
        // Without a scheduler the rack has another owner meanwhile, which reads the row.
        Ok(state.unwrap_or(queued))
    }

    /// Runs a call about a job in a task of its own: if the connection to the entry breaks, the
    /// handler is dropped, and a job that is stored would not be scheduled. The rack isn't released
    /// until the call has ended.
    async fn complete(
        &self,
        node: &Node,
        call: impl Future<Output = Result<State, Fault>> + Send + 'static,
    ) -> Result<State, Fault> {
        if self.stage() == Stage::Releasing {
            return Err(not_home_owner());
        }
        let (done, result) = oneshot::channel();
        let call = async move { drop(done.send(call.await)) };
        node.shutdown.spawn(self.job_calls.track_future(call));
        let unknown = || Err(Fault::new(Kind::Lost, "its outcome is not known"));
        tokio::select! {
            biased;
            result = result => result.unwrap_or_else(|_| unknown()),
            () = node.shutdown.closing() => unknown(),
        }
    }

    /// Writes the row of a new job. The transaction also checks the rack's record: a deposed owner
    /// must not accept a job that the new owner has not read.
    async fn write_job_row(self: &Arc<Self>, node: &Arc<Node>, job: &Job) -> Result<(), Fault> {
        let key = SavedJob::key(&job.team, &job.id);
        let value = serde_json::to_string(&SavedJob::new(job.clone()))
            .map_err(|e| Fault::new(Kind::BadInput, e.to_string()))?;
        let Some((version, _)) = self.state().record.clone() else {
            return Err(not_home_owner());
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
            Err(Error::Conflict { .. }) => Err(not_home_owner()),
            Err(Error::Down { reason }) => Err(Fault::new(Kind::StoreDown, reason)),
            Err(Error::Lost { .. }) => self.confirm_row(node, job, &key, &value).await,
        }
    }

    /// Reads whether a new job's row was written when the answer of the table was lost. If that
    /// fails as well, the job may have been accepted, so this owner keeps reading in the
    /// background: otherwise the job might never be scheduled.
    async fn confirm_row(
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
                node.shutdown
                    .clone()
                    .spawn(async move { shard.confirm_row_later(&node, job, &key).await });
                let reason = "the table took it or not; ask again with the same id";
                Err(Fault::new(Kind::Lost, reason))
            }
        }
    }

    async fn confirm_row_later(&self, node: &Node, job: Job, key: &str) {
        while node.shutdown.sleep(SAVE_INTERVAL).await && self.state().scheduler.is_some() {
            match read_row(node, key).await {
                Ok(Some(_)) => {
                    self.with_scheduler(|scheduler| scheduler.submit(job));
                    self.jobs_changed.notify_one();
                    return;
                }
                Ok(None) => return,
                Err(_) => {}
            }
        }
    }

    /// The state of a job.
    pub(crate) fn watch(&self, team: &str, job: &str) -> Result<State, Fault> {
        let state = self
            .with_scheduler(|scheduler| scheduler.state(team, job))
            .ok_or_else(not_home_owner)?;
        state.ok_or_else(|| Fault::new(Kind::UnknownJob, "there is no such job"))
    }

    async fn cancel_and_save(
        self: &Arc<Self>,
        node: &Arc<Node>,
        team: &str,
        job: &str,
    ) -> Result<State, Fault> {
        let cancelled = self
            .with_scheduler(|scheduler| scheduler.cancel(team, job))
            .ok_or_else(not_home_owner)?;
        let Some((state, _)) = cancelled else {
            return Err(Fault::new(Kind::UnknownJob, "there is no such job"));
        };
        self.jobs_changed.notify_one();
        self.stop_leftovers(node).await;
        if self.save(node).await {
            return Ok(state);
        }
        let reason = "it is being stopped, but the table did not take the note; ask again";
        Err(Fault::new(Kind::Lost, reason))
    }
}

/// The state of a job of which nothing has run.
fn queued(job: &Job) -> State {
    State {
        id: job.id.clone(),
        phase: Phase::Queued,
        waiting: job.tasks,
        running: 0,
        finished: 0,
        restarts: 0,
    }
}

async fn read_row(node: &Node, key: &str) -> Result<Option<String>, Error> {
    let scan = node.table.scan(&[key], 0).await?;
    let row = scan.rows.into_iter().find(|row| row.key == key);
    Ok(row.and_then(|row| row.value))
}

fn not_home_owner() -> Fault {
    Fault::new(
        Kind::NotOwner,
        "this placer does not look after the team's jobs",
    )
}
