//! Gangs in the simulation: their members work only together, end done together, and break when one of them is lost.

use std::collections::BTreeMap;

use pool::{Ms, RunOutcome, StageKey, TaskKey, WorkerId};

use super::{Run, Simulation};

/// Time that a member waits for the others.
const GANG_TIMEOUT: Ms = 1_500;

/// A run of a gang, by its step and number.
pub(super) type Gangs = BTreeMap<(StageKey, u32), Gang>;

/// State of a run of a gang.
#[derive(Clone, Copy, Debug)]
pub(super) enum Gang {
    /// Some members haven't started yet.
    Waiting { since: Ms },
    /// All members are at work.
    Working { until: Ms },
    /// It has ended; members that are still there end in this way.
    Over(RunOutcome),
}

/// Number of members of a gang that are present, number of its members, and duration of their work.
#[derive(Clone, Copy, Debug, Default)]
struct Presence {
    present: u32,
    size: u32,
    duration: Ms,
    fails: bool,
}

impl Simulation {
    /// Advances the gangs whose members are present on any worker.
    pub(super) fn update_gangs(&mut self) {
        let mut presence: BTreeMap<(StageKey, u32), Presence> = BTreeMap::new();
        for worker in self.workers.values() {
            for (key, run) in worker.runs.iter().filter(|(_, run)| run.gang_size > 0) {
                let entry = presence.entry((key.stage.clone(), run.number)).or_default();
                entry.present += 1;
                entry.size = run.gang_size;
                entry.duration = run.duration;
                entry.fails |= run.fails;
            }
        }
        for (id, found) in presence {
            let now = self.now;
            let gang = self.gangs.entry(id).or_insert(Gang::Waiting { since: now });
            let complete = found.present == found.size;
            *gang = match *gang {
                Gang::Waiting { .. } if complete => Gang::Working {
                    until: now + found.duration,
                },
                Gang::Waiting { since } if now > since + GANG_TIMEOUT => {
                    Gang::Over(RunOutcome::Alone)
                }
                Gang::Working { .. } if !complete => Gang::Over(RunOutcome::Broken),
                Gang::Working { until } if now >= until && found.fails => {
                    Gang::Over(RunOutcome::Failed)
                }
                Gang::Working { until } if now >= until => Gang::Over(RunOutcome::Done),
                unchanged => unchanged,
            };
        }
    }

    /// How a member of a gang ends now, if it does.
    pub(super) fn gang_outcome(gangs: &Gangs, key: &TaskKey, run: &Run) -> Option<RunOutcome> {
        match gangs.get(&(key.stage.clone(), run.number))? {
            Gang::Over(RunOutcome::Failed) if !run.fails => Some(RunOutcome::Broken),
            Gang::Over(outcome) => Some(*outcome),
            _ => None,
        }
    }

    /// Workers that have members of gangs, in the order of their ids.
    pub(crate) fn workers_with_gangs(&self) -> Vec<WorkerId> {
        let busy = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.runs.values().any(|run| run.gang_size > 0));
        busy.map(|(id, _)| id.clone()).collect()
    }
}
