//! Task events: reports them to the owners of jobs, receives them from the owners of racks, and
//! asks for inventories where the state of tasks is unknown.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cell::JobScheduler;
use futures::future::join_all;
use resource::id;
use wire::Event;

use super::Shard;
use crate::Node;

impl Shard {
    /// Applies events of tasks of the jobs managed here; `false` if this placer does not manage
    /// them.
    pub(crate) fn receive_events(&self, events: &[Event]) -> bool {
        let accepted = self.with_scheduler(|scheduler| {
            events.iter().for_each(|event| scheduler.apply_event(event));
        });
        if accepted.is_some() {
            self.jobs_changed.notify_one();
        }
        accepted.is_some()
    }

    /// Reports task events to the owners of the jobs' home racks.
    pub(super) async fn report_events(self: &Arc<Self>, node: &Arc<Node>) {
        let mut by_home: BTreeMap<id::Rack, Vec<Event>> = BTreeMap::new();
        if let Some(rack) = &self.state().rack {
            for (home, event) in rack.unconfirmed_events() {
                by_home.entry(home.clone()).or_default().push(event.clone());
            }
        }
        let reports = by_home.into_iter().map(|(home, events)| async move {
            let accepted = node.report_to(&home, events.clone()).await;
            accepted.then_some((home, events))
        });
        for (home, events) in join_all(reports).await.into_iter().flatten() {
            if let Some(rack) = &mut self.state().rack {
                rack.confirm_events(&home, &events);
            }
        }
    }

    /// Asks all placers for the inventories of their racks if the content of some rack is unknown.
    pub(super) async fn reconcile_inventory(self: &Arc<Self>, node: &Arc<Node>) {
        let now = node.now();
        if self.with_scheduler(|scheduler| scheduler.inventory_due(now)) != Some(true) {
            return;
        }
        let Some(from) = self.with_scheduler(JobScheduler::next_serial) else {
            return;
        };
        for inventory in node.collect_inventories(&from).await {
            self.with_scheduler(|scheduler| scheduler.apply_inventory(&inventory));
        }
        self.jobs_changed.notify_one();
    }

    /// Stops the tasks of ended jobs and the remaining members of broken gangs.
    pub(super) async fn stop_leftovers(self: &Arc<Self>, node: &Arc<Node>) {
        let broken = self
            .with_scheduler(JobScheduler::gangs_to_restart)
            .unwrap_or_default();
        for (gang, racks) in broken {
            self.undo_gang(node, &gang, &racks).await;
        }
        let leftovers: BTreeSet<_> = self
            .with_scheduler(|scheduler| scheduler.running_tasks_of_ended_jobs())
            .unwrap_or_default()
            .into_iter()
            .collect();
        for (rack, team, job) in leftovers {
            let Some(from) = self.with_scheduler(JobScheduler::next_serial) else {
                return;
            };
            node.stop_at(&rack, from, (team, job)).await;
        }
    }
}
