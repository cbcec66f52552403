//! Configuration: an accepted configuration is in force everywhere and never reverts.
//!
//! Two operators race. Two processes serve, and each can be paused or restarted while the table is
//! up or down. A process learns the configuration from the table or from the other process.

use crate::{Spec, Successors};

/// Number of processes.
pub const PROCESSES: usize = 2;
/// Number of operators.
pub const OPERATORS: usize = 2;

/// Safeguards. The protocol has all of them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Guards {
    /// The row is written by compare-and-set.
    pub compare_and_set: bool,
    /// A process applies only versions above the one that it has applied.
    pub monotonic: bool,
    /// "Accepted" is reported only once every running process has confirmed the version.
    pub wait_for_confirmation: bool,
    /// A restarted process does not serve before it has learnt a version from the table or a peer.
    pub learn_before_serving: bool,
    /// A process that was paused learns a version from the table or a peer before it serves again.
    pub learn_after_pause: bool,
    /// Only a process that serves shares its configuration with others.
    pub share_only_when_serving: bool,
}

impl Guards {
    /// All safeguards.
    pub const ALL: Self = Self {
        compare_and_set: true,
        monotonic: true,
        wait_for_confirmation: true,
        learn_before_serving: true,
        learn_after_pause: true,
        share_only_when_serving: true,
    };
}

/// The specification.
#[derive(Clone, Copy, Debug)]
pub struct Configuration {
    /// Which safeguards are in place.
    pub guards: Guards,
    /// Highest version.
    pub versions: u8,
    /// Maximum number of outages of the table.
    pub outages: u8,
    /// Maximum number of restarts and pauses of processes.
    pub faults: u8,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Process {
    applied: u8,
    /// Highest version applied in this incarnation.
    highest: u8,
    serving: bool,
    /// The process makes no progress and is regarded as crashed, without being aware of it.
    paused: bool,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Operator {
    Idle,
    /// Has read this version and is editing it.
    Editing(u8),
    /// Has written this version.
    Written(u8),
    /// Was told that the first version, which was edited from the second, is accepted.
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
    /// Whether a change was overwritten by an operator who had not read it.
    overwritten: bool,
    outages: u8,
    faults: u8,
    reverted: bool,
}

impl Configuration {
    fn operate(&self, state: &State, o: usize, successors: &mut Successors<State>) {
        match state.operators[o] {
            Operator::Idle if state.up => {
                let mut next = state.clone();
                next.operators[o] = Operator::Editing(state.row);
                next.bases[o] = state.row;
                successors.push(|| format!("operator {o} reads version {}", state.row), next);
            }
            Operator::Editing(base) if state.up && state.row < self.versions => {
                let mut next = state.clone();
                if self.guards.compare_and_set && base != state.row {
                    next.operators[o] = Operator::Refused;
                    successors.push(|| format!("operator {o} gets a conflict"), next);
                    return;
                }
                next.overwritten |= base != state.row;
                next.row += 1;
                next.operators[o] = Operator::Written(next.row);
                let row = next.row;
                successors.push(|| format!("operator {o} writes version {row}"), next);
            }
            Operator::Written(version) => {
                let live = state.processes.iter().filter(|p| !p.paused);
                let confirmed = live.clone().all(|p| p.applied >= version);
                if (!confirmed || !state.up) && self.guards.wait_for_confirmation {
                    return;
                }
                let mut next = state.clone();
                next.operators[o] = Operator::Accepted(version, state.bases[o]);
                next.accepted = next.accepted.max(version);
                successors.push(
                    || format!("version {version} is reported to operator {o} as accepted"),
                    next,
                );
            }
            _ => {}
        }
    }

    fn learn(&self, state: &State, p: usize, successors: &mut Successors<State>) {
        let process = state.processes[p];
        if process.paused {
            return;
        }
        let mut sources = Vec::new();
        if state.up {
            sources.push(("the table".to_owned(), state.row));
        }
        for (other, peer) in state.processes.iter().enumerate() {
            let shares = peer.serving || !self.guards.share_only_when_serving;
            if other != p && !peer.paused && peer.applied > 0 && shares {
                sources.push((format!("process {other}"), peer.applied));
            }
        }
        for (source, version) in sources {
            let newer = version > process.applied || !self.guards.monotonic;
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
            successors.push(
                || format!("process {p} learns {version} from {source}"),
                next,
            );
        }
    }

    fn faults(&self, state: &State, successors: &mut Successors<State>) {
        if state.up && state.outages < self.outages {
            let mut next = state.clone();
            next.up = false;
            next.outages += 1;
            successors.push(|| "the table goes down".to_owned(), next);
        }
        if !state.up {
            let mut next = state.clone();
            next.up = true;
            successors.push(|| "the table comes back".to_owned(), next);
        }
        for p in 0..PROCESSES {
            if state.processes[p].paused {
                let mut next = state.clone();
                next.processes[p].paused = false;
                next.processes[p].serving = !self.guards.learn_after_pause;
                successors.push(|| format!("process {p} resumes"), next);
                continue;
            }
            if state.faults == self.faults {
                continue;
            }
            let mut next = state.clone();
            next.faults += 1;
            let mut paused = next.clone();
            paused.processes[p].paused = true;
            successors.push(|| format!("process {p} is paused"), paused);
            let serving = !self.guards.learn_before_serving;
            // Without the safeguard it starts with the first version, which ships with the program.
            let applied = if serving { 1 } else { 0 };
            next.processes[p] = Process {
                applied,
                highest: 0,
                serving,
                paused: false,
            };
            successors.push(|| format!("process {p} restarts"), next);
        }
    }
}

impl Spec for Configuration {
    type State = State;

    fn initial(&self) -> State {
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
            faults: 0,
            reverted: false,
        }
    }

    fn successors(&self, state: &State, successors: &mut Successors<State>) {
        for o in 0..OPERATORS {
            self.operate(state, o, successors);
        }
        for p in 0..PROCESSES {
            self.learn(state, p, successors);
        }
        self.faults(state, successors);
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
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
