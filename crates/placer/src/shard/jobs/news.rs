//! What became of tasks: told to the owners of their jobs, heard from the owners of racks, asked
//! after where it is not known.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cell::JobScheduler;
use futures::future::join_all;
use resource::id;
use wire::Event;

use super::Shard;
use crate::Node;

impl Shard {
    /// Takes note of what became of tasks of jobs at home here; `false` if they are not.
    pub(crate) fn hear(&self, events: &[Event]) -> bool {
        let heard = self.with_desk(|desk| events.iter().for_each(|event| desk.apply_event(event)));
        if heard.is_some() {
            self.jobs_now.notify_one();
        }
        heard.is_some()
    }

    /// Tells the owners of home racks what became of their tasks.
    pub(super) async fn tell_news(self: &Arc<Self>, node: &Arc<Node>) {
        let mut by_home: BTreeMap<id::Rack, Vec<Event>> = BTreeMap::new();
        if let Some(rack) = &self.state().rack {
            for (home, event) in rack.unconfirmed_events() {
                by_home.entry(home.clone()).or_default().push(event.clone());
            }
        }
        let told = by_home.into_iter().map(|(home, events)| async move {
            let heard = node.report_to(&home, events.clone()).await;
            heard.then_some((home, events))
        });
        for (home, events) in join_all(told).await.into_iter().flatten() {
            if let Some(rack) = &mut self.state().rack {
                rack.confirm_events(&home, &events);
            }
        }
    }

    /// Asks all placers what their racks hold, if some of it is not known.
    pub(super) async fn settle_doubts(self: &Arc<Self>, node: &Arc<Node>) {
        let now = node.now();
        if self.with_desk(|desk| desk.inventory_due(now)) != Some(true) {
            return;
        }
        let Some(from) = self.with_desk(JobScheduler::next_serial) else {
            return;
        };
        for inventory in node.inventories(&from).await {
            self.with_desk(|desk| desk.apply_inventory(&inventory));
        }
        self.jobs_now.notify_one();
    }

    /// Stops what still runs of jobs that are over, and the rest of broken gangs.
    pub(super) async fn stop_leftovers(self: &Arc<Self>, node: &Arc<Node>) {
        let broken = self
            .with_desk(JobScheduler::gangs_to_restart)
            .unwrap_or_default();
        for (gang, racks) in broken {
            self.undo_gang(node, &gang, &racks).await;
        }
        let leftovers: BTreeSet<_> = self
            .with_desk(|desk| desk.running_tasks_of_ended_jobs())
            .unwrap_or_default()
            .into_iter()
            .collect();
        for (rack, team, job) in leftovers {
            let Some(from) = self.with_desk(JobScheduler::next_serial) else {
                return;
            };
            node.stop_at(&rack, from, (team, job)).await;
        }
    }
}
