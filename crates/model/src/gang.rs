//! Gangs: all of a gang run, or what was started is stopped again.
//!
//! Two racks hold room for one member each. Holds lapse at any time; messages are delayed without
//! bound and duplicated. No member starts before every rack has held its member; and at rest, when
//! the gang's owner has nothing left to do and nothing is under way, all members run or none.

use std::collections::BTreeSet;

use crate::{Spec, Steps};

/// Number of racks, each with one member.
pub const RACKS: usize = 2;

/// Safeguards; the protocol has them all.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Guards {
    /// Nothing is started before every rack holds its member.
    pub hold_first: bool,
    /// A failed start undoes the members that were started.
    pub undo: bool,
    /// A rack turns away messages older than the last that it has heard.
    pub serial: bool,
}

impl Guards {
    /// All safeguards.
    pub const ALL: Self = Self {
        hold_first: true,
        undo: true,
        serial: true,
    };
}

/// The specification.
#[derive(Clone, Copy, Debug)]
pub struct Gang {
    /// Which safeguards are in place.
    pub guards: Guards,
}

#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Word {
    Hold,
    Commit,
    Undo,
}

#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Member {
    Free,
    Held,
    Running,
}

/// What the gang's owner does next.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Plan {
    Holding {
        rack: usize,
    },
    Committing {
        rack: usize,
    },
    Undoing {
        rack: usize,
    },
    /// It waits for the answer to the word that it sent to this rack.
    Asked {
        rack: usize,
        word: Word,
        serial: u8,
    },
    Started,
    GaveUp,
}

/// The whole system.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    plan: Plan,
    serial: u8,
    members: [Member; RACKS],
    heard: [u8; RACKS],
    /// Every rack has held its member.
    held: [bool; RACKS],
    /// Messages under way: rack, word, serial.
    mail: BTreeSet<(usize, Word, u8)>,
}

impl Gang {
    fn send(&self, state: &State, rack: usize, word: Word, steps: &mut Steps<State>) {
        let mut next = state.clone();
        next.serial += 1;
        next.mail.insert((rack, word, next.serial));
        next.plan = Plan::Asked {
            rack,
            word,
            serial: next.serial,
        };
        steps.push(|| format!("the owner sends {word:?} to rack {rack}"), next);
    }

    fn owner(&self, state: &State, steps: &mut Steps<State>) {
        match state.plan {
            Plan::Holding { rack } => self.send(state, rack, Word::Hold, steps),
            Plan::Committing { rack } => self.send(state, rack, Word::Commit, steps),
            Plan::Undoing { rack } => self.send(state, rack, Word::Undo, steps),
            Plan::Asked { rack, word, .. } => {
                let mut next = state.clone();
                next.plan = self.after_failure(rack, word);
                steps.push(|| format!("no answer to {word:?} from rack {rack}"), next);
            }
            Plan::Started | Plan::GaveUp => {}
        }
    }

    /// A rack refuses, or does not answer.
    fn after_failure(&self, rack: usize, word: Word) -> Plan {
        match word {
            // An undo is sent until it is answered.
            Word::Undo => Plan::Undoing { rack },
            _ if self.guards.undo => Plan::Undoing { rack: 0 },
            _ => Plan::GaveUp,
        }
    }

    fn after_success(&self, rack: usize, word: Word) -> Plan {
        let last = rack + 1 == RACKS;
        match word {
            Word::Hold if !self.guards.hold_first => Plan::Committing { rack },
            Word::Hold if last => Plan::Committing { rack: 0 },
            Word::Hold => Plan::Holding { rack: rack + 1 },
            Word::Commit if last => Plan::Started,
            Word::Commit if !self.guards.hold_first => Plan::Holding { rack: rack + 1 },
            Word::Commit => Plan::Committing { rack: rack + 1 },
            Word::Undo if last => Plan::GaveUp,
            Word::Undo => Plan::Undoing { rack: rack + 1 },
        }
    }

    fn deliver(&self, state: &State, steps: &mut Steps<State>) {
        for message in &state.mail {
            let (rack, word, serial) = *message;
            let mut next = state.clone();
            next.mail.remove(message);
            steps.push(|| format!("lost: {word:?} to rack {rack}"), next.clone());
            if self.guards.serial && serial <= state.heard[rack] {
                continue;
            }
            next.heard[rack] = serial;
            let member = state.members[rack];
            let (after, done) = match (word, member) {
                (Word::Hold, Member::Free) => (Member::Held, true),
                (Word::Hold, other) => (other, true),
                (Word::Commit, Member::Held) => (Member::Running, true),
                (Word::Commit, other) => (other, false),
                (Word::Undo, _) => (Member::Free, true),
            };
            next.members[rack] = after;
            next.held[rack] |= after == Member::Held;
            steps.push(
                || format!("rack {rack} hears {word:?}, no answer"),
                next.clone(),
            );
            let mut again = next.clone();
            again.mail.insert(*message);
            steps.push(
                || format!("rack {rack} hears {word:?}, no answer, and will again"),
                again,
            );
            if state.plan == (Plan::Asked { rack, word, serial }) {
                next.plan = match done {
                    true => self.after_success(rack, word),
                    false => self.after_failure(rack, word),
                };
            }
            let mut again = next.clone();
            again.mail.insert(*message);
            steps.push(
                || format!("rack {rack} answers {word:?}: {done}, and will again"),
                again,
            );
            steps.push(|| format!("rack {rack} answers {word:?}: {done}"), next);
        }
    }

    fn lapse(&self, state: &State, steps: &mut Steps<State>) {
        for rack in 0..RACKS {
            if state.members[rack] == Member::Held {
                let mut next = state.clone();
                next.members[rack] = Member::Free;
                steps.push(|| format!("the hold of rack {rack} lapses"), next);
            }
        }
    }
}

/// Messages after which the search stops.
const SERIALS: u8 = 9;

impl Spec for Gang {
    type State = State;

    fn first(&self) -> State {
        State {
            plan: Plan::Holding { rack: 0 },
            serial: 0,
            members: [Member::Free; RACKS],
            heard: [0; RACKS],
            held: [false; RACKS],
            mail: BTreeSet::new(),
        }
    }

    fn steps(&self, state: &State, steps: &mut Steps<State>) {
        if state.serial < SERIALS {
            self.owner(state, steps);
        }
        self.deliver(state, steps);
        self.lapse(state, steps);
    }

    fn bad(&self, state: &State) -> Option<&'static str> {
        let at_rest = matches!(state.plan, Plan::Started | Plan::GaveUp) && state.mail.is_empty();
        let running = state
            .members
            .iter()
            .filter(|m| **m == Member::Running)
            .count();
        if running > 0 && state.held.contains(&false) {
            return Some("a member runs although the gang was never complete");
        }
        let part = running > 0 && running < RACKS;
        (at_rest && part).then_some("a part of the gang runs, and nobody will stop it")
    }
}
