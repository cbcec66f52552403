//! Sends heartbeats to the workers of a rack and executes the commands that result from them.

use std::sync::Arc;

use cell::{Command, Outcome};
use futures::future::join_all;
use resource::id;
use worker::{Error, Refusal};

use super::Shard;
use crate::Node;

/// Sends heartbeats until the placer ends.
pub(super) async fn run(node: Arc<Node>, shard: Arc<Shard>) {
    while shard.wait_while_watching(&node).await
        && node.shutdown.sleep(node.options.heartbeat_interval).await
    {
        let workers: Vec<id::Worker> = match &shard.state().rack {
            Some(rack) => rack.hosts().map(|(name, _)| name.clone()).collect(),
            None => continue,
        };
        join_all(
            workers
                .iter()
                .map(|worker| shard.send_heartbeat(&node, worker)),
        )
        .await;
        let now = node.now();
        let commands = shard.state().rack.as_mut().map(|rack| rack.tick(now));
        shard.execute_commands(&node, commands.unwrap_or_default());
        shard.dispatch(now);
        shard.jobs_changed.notify_one();
    }
}

impl Shard {
    async fn send_heartbeat(self: &Arc<Self>, node: &Arc<Node>, worker: &str) {
        let sent = node.now();
        let next = self
            .state()
            .rack
            .as_mut()
            .and_then(|rack| rack.next_heartbeat(worker, sent));
        let Some((address, heartbeat)) = next else {
            return;
        };
        match node.workers.heartbeat(&address, heartbeat.clone()).await {
            Ok(report) => {
                let now = node.now();
                let mut state = self.state();
                let Some(rack) = &mut state.rack else {
                    return;
                };
                let commands = rack.heartbeat_answered(worker, &heartbeat, &report, sent, now);
                drop(state);
                self.execute_commands(node, commands);
            }
            Err(Error::Refused {
                refusal: Refusal::Fenced { epoch },
            }) if epoch > heartbeat.epoch => {
                node.sync_now.notify_one();
            }
            // The worker has restarted, so it must be adopted again.
            Err(Error::Refused { .. }) => self.worker_restarted(worker, heartbeat.epoch),
            Err(error) => log::debug!(worker = worker; "heartbeat failed: {error}"),
        }
    }

    fn worker_restarted(&self, worker: &str, epoch: id::Epoch) {
        let mut state = self.state();
        let Some(rack) = state.rack.as_mut().filter(|rack| rack.epoch() == epoch) else {
            return;
        };
        log::warn!(worker = worker; "worker restarted");
        rack.remove_worker(worker);
    }

    /// Sends commands to the workers, each in a task of its own.
    pub(super) fn execute_commands(self: &Arc<Self>, node: &Arc<Node>, commands: Vec<Command>) {
        for command in commands {
            let (node, shard) = (Arc::clone(node), Arc::clone(self));
            node.shutdown
                .clone()
                .spawn(async move { shard.execute_command(&node, command).await });
        }
    }

    async fn execute_command(self: Arc<Self>, node: &Arc<Node>, command: Command) {
        match command {
            Command::Start { address, start } => {
                let id = start.task.id.clone();
                let result = node.workers.start(&address, start).await;
                let outcome = outcome(result.map(|()| 0));
                let now = node.now();
                if let Some(rack) = &mut self.state().rack {
                    rack.start_outcome(&id, outcome, now);
                }
            }
            Command::Stop { address, stop } => {
                let id = stop.task.clone();
                let result = node.workers.stop(&address, stop).await;
                let saved = |stopped: Option<worker::call::Stopped>| {
                    stopped.map_or(0, |stopped| stopped.saved_ms)
                };
                let outcome = outcome(result.map(saved));
                let now = node.now();
                let more = match &mut self.state().rack {
                    Some(rack) => rack.stop_outcome(&id, outcome, now),
                    None => Vec::new(),
                };
                self.execute_commands(node, more);
            }
            Command::Throttle { address, throttle } => {
                drop(node.workers.throttle(&address, throttle).await);
            }
        }
        self.jobs_changed.notify_one();
    }
}

fn outcome(result: Result<u64, Error>) -> Outcome {
    match result {
        Ok(saved_ms) => Outcome::Done { saved_ms },
        Err(error) if error.had_no_effect() => Outcome::Refused,
        Err(_) => Outcome::Unknown,
    }
}
