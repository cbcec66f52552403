//! Configuration: what is accepted is in force everywhere and never reverts.
//!
//! Two operators race; two processes serve, one of them can restart while the table is down and
//! another can be cut off from the table. A process learns from the table or from the other one.

use crate::{Spec, Steps};

/// Number of processes.
pub const PROCESSES: usize = 2;
/// Number of operators.
pub const OPERATORS: usize = 2;

/// Safeguards; the protocol has them all.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Guards {
    /// The row is written by compare-and-set.
    pub compare: bool,
    /// A process applies only rising versions.
    pub rising: bool,
    /// "Accepted" is said once every live process has confirmed.
    pub confirm: bool,
    /// A process does not serve before it has learnt a version from somebody.
    pub learn_first: bool,
    /// A process that was paused learns the version from somebody before it serves again.
    pub fresh: bool,
    /// Only a process that may serve gives its configuration to others.
    pub give_fresh: bool,
}

impl Guards {
    /// All safeguards.
    pub const ALL: Self = Self {
        compare: true,
        rising: true,
        confirm: true,
        learn_first: true,
        fresh: true,
        give_fresh: true,
    };
}

/// The specification.
#[derive(Clone, Copy, Debug)]
pub struct Configuration {
    /// Which safeguards are in place.
    pub guards: Guards,
    /// Highest version.
    pub versions: u8,
    /// Outages of the table.
    pub outages: u8,
    /// Restarts and pauses of processes.
    pub mishaps: u8,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Process {
    applied: u8,
    /// The highest that it ever applied in this life.
    highest: u8,
    serving: bool,
    /// It takes no step, and is counted as dead; it does not know.
    paused: bool,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Operator {
    Idle,
    /// Has read this version and edits it.
    Editing(u8),
    /// Has written this version.
    Written(u8),
    /// Has said that this version, made from that one, is accepted.
    Accepted(u8, u8),
    Refused,
}

/// The whole system.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    row: u8,
    up: bool,
    processes: [Process; PROCESSES],
    operators: [Operator; OPERATORS],
    bases: [u8; OPERATORS],
    accepted: u8,
    /// A change that was written was overwritten by one that did not know it.
    overwritten: bool,
    outages: u8,
    mishaps: u8,
    reverted: bool,
}

impl Configuration {
    fn operate(&self, state: &State, o: usize, steps: &mut Steps<State>) {
        match state.operators[o] {
            Operator::Idle if state.up => {
                let mut next = state.clone();
                next.operators[o] = Operator::Editing(state.row);
                next.bases[o] = state.row;
                steps.push(|| format!("operator {o} reads version {}", state.row), next);
            }
            Operator::Editing(base) if state.up && state.row < self.versions => {
                let mut next = state.clone();
                if self.guards.compare && base != state.row {
                    next.operators[o] = Operator::Refused;
                    steps.push(|| format!("operator {o} gets a conflict"), next);
                    return;
                }
                next.overwritten |= base != state.row;
                next.row += 1;
                next.operators[o] = Operator::Written(next.row);
                let row = next.row;
                steps.push(|| format!("operator {o} writes version {row}"), next);
            }
            Operator::Written(version) => {
                let live = state.processes.iter().filter(|p| !p.paused);
                let confirmed = live.clone().all(|p| p.applied >= version);
                if (!confirmed || !state.up) && self.guards.confirm {
                    return;
                }
                let mut next = state.clone();
                next.operators[o] = Operator::Accepted(version, state.bases[o]);
                next.accepted = next.accepted.max(version);
                steps.push(|| format!("operator {o} is told: {version} accepted"), next);
            }
            _ => {}
        }
    }

    fn learn(&self, state: &State, p: usize, steps: &mut Steps<State>) {
        let process = state.processes[p];
        if process.paused {
            return;
        }
        let mut sources = Vec::new();
        if state.up {
            sources.push(("the table".to_owned(), state.row));
        }
        for (other, peer) in state.processes.iter().enumerate() {
            let gives = peer.serving || !self.guards.give_fresh;
            if other != p && !peer.paused && peer.applied > 0 && gives {
                sources.push((format!("process {other}"), peer.applied));
            }
        }
        for (source, version) in sources {
            let newer = version > process.applied || !self.guards.rising;
            if version == 0 || (!newer && process.serving) {
                continue;
            }
            let mut next = state.clone();
            let learner = &mut next.processes[p];
            if newer {
                learner.applied = version;
            }
            learner.serving = true;
            next.reverted |= learner.applied < learner.highest;
            learner.highest = learner.highest.max(learner.applied);
            steps.push(
                || format!("process {p} learns {version} from {source}"),
                next,
            );
        }
    }

    fn mishaps(&self, state: &State, steps: &mut Steps<State>) {
        if state.up && state.outages < self.outages {
            let mut next = state.clone();
            next.up = false;
            next.outages += 1;
            steps.push(|| "the table goes down".to_owned(), next);
        }
        if !state.up {
            let mut next = state.clone();
            next.up = true;
            steps.push(|| "the table comes back".to_owned(), next);
        }
        for p in 0..PROCESSES {
            if state.processes[p].paused {
                let mut next = state.clone();
                next.processes[p].paused = false;
                next.processes[p].serving = !self.guards.fresh;
                steps.push(|| format!("process {p} goes on"), next);
                continue;
            }
            if state.mishaps == self.mishaps {
                continue;
            }
            let mut next = state.clone();
            next.mishaps += 1;
            let mut paused = next.clone();
            paused.processes[p].paused = true;
            steps.push(|| format!("process {p} is paused"), paused);
            let serving = !self.guards.learn_first;
            // It starts with what its program was shipped with: the first version.
            let applied = if serving { 1 } else { 0 };
            next.processes[p] = Process {
                applied,
                highest: 0,
                serving,
                paused: false,
            };
            steps.push(|| format!("process {p} restarts"), next);
        }
    }
}

impl Spec for Configuration {
    type State = State;

    fn first(&self) -> State {
        let process = Process {
            applied: 1,
            highest: 1,
            serving: true,
            paused: false,
        };
        State {
            row: 1,
            up: true,
            processes: [process; PROCESSES],
            operators: [Operator::Idle; OPERATORS],
            bases: [0; OPERATORS],
            accepted: 1,
            overwritten: false,
            outages: 0,
            mishaps: 0,
            reverted: false,
        }
    }

    fn steps(&self, state: &State, steps: &mut Steps<State>) {
        for o in 0..OPERATORS {
            self.operate(state, o, steps);
        }
        for p in 0..PROCESSES {
            self.learn(state, p, steps);
        }
        self.mishaps(state, steps);
    }

    fn bad(&self, state: &State) -> Option<&'static str> {
        let serving = state.processes.iter().filter(|p| p.serving && !p.paused);
        if serving.clone().any(|p| p.applied < state.accepted) {
            return Some("a process serves under an older configuration than the accepted one");
        }
        if state.reverted {
            return Some("a process went back to an older configuration");
        }
        state
            .overwritten
            .then_some("an operator overwrote a change without knowing it")
    }
}
