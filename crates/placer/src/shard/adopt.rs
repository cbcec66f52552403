//! Reads the host list, greets and adopts workers.

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

use super::{Greeted, Listed, Shard};
use crate::Node;

/// How often the host list is read.
const LIST_EVERY: Duration = Duration::from_millis(1_000);
/// How long a worker that was not reached is left alone.
const RETRY: Duration = Duration::from_millis(400);

impl Shard {
    /// Reads the host list, unless it was read a moment ago.
    pub(super) async fn refresh_list(&self, node: &Node) {
        let now = node.now();
        {
            let mut state = self.state();
            let fresh = now.saturating_sub(state.listed_at) < LIST_EVERY;
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
                Listed {
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

    /// Asks the workers for their present lives, before the rack is taken.
    pub(super) async fn greet(&self, node: &Node) {
        self.state().listed_at = cell::Now::ZERO;
        self.refresh_list(node).await;
        let listed = self.state().listed.clone();
        if listed.is_empty() {
            self.handle(&Event::Refused);
            return;
        }
        let asked = listed.iter().map(|(name, host)| async {
            let hello = node.workers.hello(&host.address).await.ok()?;
            Some((
                name.clone(),
                Greeted {
                    incarnation: hello.incarnation,
                },
            ))
        });
        let greeted: BTreeMap<id::Worker, Greeted> =
            join_all(asked).await.into_iter().flatten().collect();
        // Without a majority this placer could never act, and would only keep an owner on the
        // other side of a cut link from going on.
        if greeted.len() < majority(listed.len()) {
            self.handle(&Event::Refused);
            return;
        }
        self.state().greeted = greeted;
        self.handle(&Event::Greeted);
    }

    /// Adopts every listed worker that does not obey the present epoch yet.
    pub(super) async fn adopt_all(self: &Arc<Self>, node: &Arc<Node>) {
        let (epoch, open) = {
            let state = self.state();
            let Some(rack) = &state.rack else {
                return;
            };
            let missing = |(name, _): &(&id::Worker, &Listed)| {
                rack.host(name).is_none() || !state.takeover.has_fenced(name)
            };
            let open: Vec<(id::Worker, Listed)> = state
                .listed
                .iter()
                .filter(missing)
                .map(|(name, host)| (name.clone(), host.clone()))
                .collect();
            (rack.epoch(), open)
        };
        if open.is_empty() {
            return;
        }
        let adopted = open
            .iter()
            .map(|(name, host)| self.adopt(node, name, host, epoch));
        let any = join_all(adopted).await.into_iter().any(|done| !done);
        if any {
            tokio::time::sleep(RETRY).await;
        }
    }

    /// Adopts one worker; `false` if it was not reached.
    async fn adopt(
        self: &Arc<Self>,
        node: &Arc<Node>,
        name: &str,
        listed: &Listed,
        epoch: id::Epoch,
    ) -> bool {
        let greeted = self.state().greeted.get(name).copied();
        let greeted = match greeted {
            Some(greeted) => greeted,
            None => match self.greet_late(node, &listed.address, epoch).await {
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
                state.adopted(name, listed, epoch, greeted, &adopted, (sent, now));
                drop(state);
                self.dispatch(now);
                self.jobs_now.notify_one();
                true
            }
            Err(Error::Refused {
                refusal: Refusal::Fenced { epoch: other },
            }) if other > epoch => {
                drop(state);
                node.beat_now.notify_one();
                false
            }
            Err(error) => {
                log::debug!(worker = name, epoch = epoch; "not adopted: {error}");
                false
            }
        }
    }

    /// Asks a worker for its present life when the rack is owned already.
    ///
    /// A restart has wiped the worker's slot. If this placer was deposed meanwhile without knowing
    /// it, its adoption would succeed at a worker that the new owner had fenced. So the row must
    /// still name this epoch after the life was seen.
    async fn greet_late(&self, node: &Node, address: &str, epoch: id::Epoch) -> Option<Greeted> {
        let hello = node.workers.hello(address).await.ok()?;
        let key = Record::key(&self.name);
        let scan = node.table.scan(&[&key], 0).await.ok()?;
        let row = scan.rows.iter().find(|row| row.key == key)?;
        let record: Record = serde_json::from_str(row.value.as_ref()?).ok()?;
        let mine = record.epoch == epoch && record.owner.as_ref() == Some(&node.options.name);
        if !mine {
            node.beat_now.notify_one();
            return None;
        }
        Some(Greeted {
            incarnation: hello.incarnation,
        })
    }
}

impl super::State {
    /// Takes note of a worker that obeys this epoch; `asked` is when it was asked and answered.
    fn adopted(
        &mut self,
        name: &str,
        listed: &Listed,
        epoch: id::Epoch,
        greeted: Greeted,
        adopted: &Adopted,
        asked: (cell::Now, cell::Now),
    ) {
        let Some(rack) = self.rack.as_mut().filter(|rack| rack.epoch() == epoch) else {
            return;
        };
        let (address, (sent, now)) = (&listed.address, asked);
        rack.adopt(name, address, greeted.incarnation, adopted, sent, now);
        rack.set_listed_leaving(name, listed.leaving);
        self.takeover.fence(name, now);
    }
}
