//! Reads the platform's host list; greets and adopts the workers of a rack.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cell::fence::majority;
use cell::{Event, Record};
use futures::future::join_all;
use platform::HostStatus;
use resource::id;
use worker::call::{Adopt, Adopted};
use worker::{Error, Refusal};

use super::{GreetedWorker, ListedWorker, Shard};
use crate::Node;

/// Minimum interval between reads of the host list.
const LIST_INTERVAL: Duration = Duration::from_millis(1_000);
/// Delay before workers whose adoption failed are tried again.
const RETRY_DELAY: Duration = Duration::from_millis(400);

impl Shard {
    /// Reads the host list, unless it was read within the last [`LIST_INTERVAL`].
    pub(super) async fn refresh_list(&self, node: &Node) {
        let now = node.now();
        {
            let mut state = self.state();
            let fresh = now.saturating_sub(state.listed_at) < LIST_INTERVAL;
            if fresh && !state.listed.is_empty() {
                return;
            }
            state.listed_at = now;
        }
        let Ok(hosts) = node.hosts.hosts(std::slice::from_ref(&self.name)).await else {
            return;
        };
        let mut state = self.state();
        let listed = |host: platform::Host| {
            let leaving = host.status == HostStatus::Leaving;
            (
                host.name,
                ListedWorker {
                    address: host.address,
                    leaving,
                },
            )
        };
        state.listed = hosts.into_iter().map(listed).collect();
        let listed = state.listed.clone();
        if let Some(rack) = &mut state.rack {
            listed
                .iter()
                .for_each(|(name, host)| rack.set_listed_leaving(name, host.leaving));
        }
    }

    /// Asks the workers for their incarnations, before the rack is taken.
    pub(super) async fn greet(&self, node: &Node) {
        self.state().listed_at = cell::Now::ZERO;
        self.refresh_list(node).await;
        let listed = self.state().listed.clone();
        if listed.is_empty() {
            self.handle(&Event::Refused);
            return;
        }
        let calls = listed.iter().map(|(name, host)| async {
            let hello = node.workers.hello(&host.address).await.ok()?;
            Some((
                name.clone(),
                GreetedWorker {
                    incarnation: hello.incarnation,
                },
            ))
        });
        let greeted: BTreeMap<id::Worker, GreetedWorker> =
            join_all(calls).await.into_iter().flatten().collect();
        // Without a majority this placer could never become active. It would only depose an owner
        // on the other side of a network partition that can still act.
        if greeted.len() < majority(listed.len()) {
            self.handle(&Event::Refused);
            return;
        }
        self.state().greeted = greeted;
        self.handle(&Event::Greeted);
    }

    /// Adopts every listed worker that has not accepted the present epoch yet.
    pub(super) async fn adopt_all(self: &Arc<Self>, node: &Arc<Node>) {
        let (epoch, workers) = {
            let state = self.state();
            let Some(rack) = &state.rack else {
                return;
            };
            let not_adopted = |(name, _): &(&id::Worker, &ListedWorker)| {
                rack.host(name).is_none() || !state.takeover.has_fenced(name)
            };
            let workers: Vec<(id::Worker, ListedWorker)> = state
                .listed
                .iter()
                .filter(not_adopted)
                .map(|(name, host)| (name.clone(), host.clone()))
                .collect();
            (rack.epoch(), workers)
        };
        if workers.is_empty() {
            return;
        }
        let adopted = workers
            .iter()
            .map(|(name, host)| self.adopt(node, name, host, epoch));
        let any_failed = join_all(adopted).await.into_iter().any(|done| !done);
        if any_failed {
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Adopts one worker; `false` if that failed.
    async fn adopt(
        self: &Arc<Self>,
        node: &Arc<Node>,
        name: &str,
        listed: &ListedWorker,
        epoch: id::Epoch,
    ) -> bool {
        let greeted = self.state().greeted.get(name).copied();
        let greeted = match greeted {
            Some(greeted) => greeted,
            None => match self.greet_owned(node, &listed.address, epoch).await {
                Some(greeted) => greeted,
                None => return false,
            },
        };
        let sent = node.now();
        let message = Adopt {
            epoch,
            incarnation: greeted.incarnation,
        };
        let result = node.workers.adopt(&listed.address, message).await;
        let now = node.now();
        let mut state = self.state();
        state.greeted.remove(name);
        match result {
            Ok(adopted) => {
                state.worker_adopted(name, listed, epoch, greeted, &adopted, (sent, now));
                drop(state);
                self.dispatch(now);
                self.jobs_changed.notify_one();
                true
            }
            Err(Error::Refused {
                refusal: Refusal::Fenced { epoch: other },
            }) if other > epoch => {
                drop(state);
                node.sync_now.notify_one();
                false
            }
            Err(error) => {
                log::debug!(worker = name, epoch = epoch; "adoption failed: {error}");
                false
            }
        }
    }

    /// Asks a worker for its incarnation when the rack is already owned.
    ///
    /// A restart clears the epoch that a worker has accepted. If this placer was deposed and does
    /// not know it yet, it could adopt a restarted worker that the new owner had fenced. The rack's
    /// record must therefore still contain this epoch after the incarnation was read.
    async fn greet_owned(
        &self,
        node: &Node,
        address: &str,
        epoch: id::Epoch,
    ) -> Option<GreetedWorker> {
        let hello = node.workers.hello(address).await.ok()?;
        let key = Record::key(&self.name);
        let scan = node.table.scan(&[&key], 0).await.ok()?;
        let row = scan.rows.iter().find(|row| row.key == key)?;
        let record: Record = serde_json::from_str(row.value.as_ref()?).ok()?;
        let mine = record.epoch == epoch && record.owner.as_ref() == Some(&node.options.name);
        if !mine {
            node.sync_now.notify_one();
            return None;
        }
        Some(GreetedWorker {
            incarnation: hello.incarnation,
        })
    }
}

impl super::State {
    /// Records that a worker has accepted this epoch; `times` are those of the call and its answer.
    fn worker_adopted(
        &mut self,
        name: &str,
        listed: &ListedWorker,
        epoch: id::Epoch,
        greeted: GreetedWorker,
        adopted: &Adopted,
        times: (cell::Now, cell::Now),
    ) {
        let Some(rack) = self.rack.as_mut().filter(|rack| rack.epoch() == epoch) else {
            return;
        };
        let (address, (sent, now)) = (&listed.address, times);
        rack.adopt(name, address, greeted.incarnation, adopted, sent, now);
        rack.set_listed_leaving(name, listed.leaving);
        self.takeover.fence(name, now);
    }
}
