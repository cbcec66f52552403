//! Gangs: either all members of a gang run, or those that were started are stopped again.
//!
//! Two racks each reserve capacity for one member (a hold). Holds expire at any time. Messages are
//! delayed without bound, duplicated and lost. No member starts before every rack has held its
//! member. In a quiescent state, when the gang's owner has finished and no message is in flight,
//! either all members run or none.

use std::collections::BTreeSet;

use crate::{Spec, Successors};

/// Number of racks, each with one member.
pub const RACKS: usize = 2;

/// Safeguards. The protocol has all of them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Guards {
    /// No member is started before every rack holds its member.
    pub hold_first: bool,
    /// After a failed start the members that were started are undone.
    pub undo: bool,
    /// A rack rejects messages whose serial is not above the last one that it received.
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
enum Request {
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
enum Phase {
    Holding {
        rack: usize,
    },
    Committing {
        rack: usize,
    },
    Undoing {
        rack: usize,
    },
    /// Waits for the reply to the request that it sent to this rack.
    AwaitingReply {
        rack: usize,
        request: Request,
        serial: u8,
    },
    Started,
    Aborted,
}

/// The whole system.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    phase: Phase,
    serial: u8,
    members: [Member; RACKS],
    /// Serial of the last message that each rack received.
    last_serial: [u8; RACKS],
    /// Whether each rack has ever held its member.
    held: [bool; RACKS],
    /// Messages in flight: rack, request, serial.
    in_flight: BTreeSet<(usize, Request, u8)>,
}

impl Gang {
    fn send(
        &self,
        state: &State,
        rack: usize,
        request: Request,
        successors: &mut Successors<State>,
    ) {
        let mut next = state.clone();
        next.serial += 1;
        next.in_flight.insert((rack, request, next.serial));
        next.phase = Phase::AwaitingReply {
            rack,
            request,
            serial: next.serial,
        };
        successors.push(
            || format!("the owner sends {request:?} to rack {rack}"),
            next,
        );
    }

    fn advance_owner(&self, state: &State, successors: &mut Successors<State>) {
        match state.phase {
            Phase::Holding { rack } => self.send(state, rack, Request::Hold, successors),
            Phase::Committing { rack } => self.send(state, rack, Request::Commit, successors),
            Phase::Undoing { rack } => self.send(state, rack, Request::Undo, successors),
            Phase::AwaitingReply { rack, request, .. } => {
                let mut next = state.clone();
                next.phase = self.after_failure(rack, request);
                successors.push(|| format!("no reply to {request:?} from rack {rack}"), next);
            }
            Phase::Started | Phase::Aborted => {}
        }
    }

    /// Returns the phase after a rack has refused a request or not replied to it.
    fn after_failure(&self, rack: usize, request: Request) -> Phase {
        match request {
            // An undo is repeated until it is acknowledged.
            Request::Undo => Phase::Undoing { rack },
            _ if self.guards.undo => Phase::Undoing { rack: 0 },
            _ => Phase::Aborted,
        }
    }

    fn after_success(&self, rack: usize, request: Request) -> Phase {
        let last = rack + 1 == RACKS;
        match request {
            Request::Hold if !self.guards.hold_first => Phase::Committing { rack },
            Request::Hold if last => Phase::Committing { rack: 0 },
            Request::Hold => Phase::Holding { rack: rack + 1 },
            Request::Commit if last => Phase::Started,
            Request::Commit if !self.guards.hold_first => Phase::Holding { rack: rack + 1 },
            Request::Commit => Phase::Committing { rack: rack + 1 },
            Request::Undo if last => Phase::Aborted,
            Request::Undo => Phase::Undoing { rack: rack + 1 },
        }
    }

    fn deliver(&self, state: &State, successors: &mut Successors<State>) {
        for message in &state.in_flight {
            let (rack, request, serial) = *message;
            let mut next = state.clone();
            next.in_flight.remove(message);
            successors.push(|| format!("lost: {request:?} to rack {rack}"), next.clone());
            if self.guards.serial && serial <= state.last_serial[rack] {
                continue;
            }
            next.last_serial[rack] = serial;
            let member = state.members[rack];
            let (after, accepted) = match (request, member) {
                (Request::Hold, Member::Free) => (Member::Held, true),
                (Request::Hold, other) => (other, true),
                (Request::Commit, Member::Held) => (Member::Running, true),
                (Request::Commit, other) => (other, false),
                (Request::Undo, _) => (Member::Free, true),
            };
            next.members[rack] = after;
            next.held[rack] |= after == Member::Held;
            successors.push(
                || format!("rack {rack} receives {request:?}, no reply"),
                next.clone(),
            );
            let mut again = next.clone();
            again.in_flight.insert(*message);
            successors.push(
                || format!("rack {rack} receives {request:?}, no reply, duplicate in flight"),
                again,
            );
            if state.phase
                == (Phase::AwaitingReply {
                    rack,
                    request,
                    serial,
                })
            {
                next.phase = match accepted {
                    true => self.after_success(rack, request),
                    false => self.after_failure(rack, request),
                };
            }
            let mut again = next.clone();
            again.in_flight.insert(*message);
            successors.push(
                || format!("rack {rack} replies to {request:?}: {accepted}, duplicate in flight"),
                again,
            );
            successors.push(
                || format!("rack {rack} replies to {request:?}: {accepted}"),
                next,
            );
        }
    }

    fn expire_holds(&self, state: &State, successors: &mut Successors<State>) {
        for rack in 0..RACKS {
            if state.members[rack] == Member::Held {
                let mut next = state.clone();
                next.members[rack] = Member::Free;
                successors.push(|| format!("the hold of rack {rack} expires"), next);
            }
        }
    }
}

/// Number of messages of the owner after which the search ends.
const MAX_MESSAGES: u8 = 9;

impl Spec for Gang {
    type State = State;

    fn initial(&self) -> State {
        State {
            phase: Phase::Holding { rack: 0 },
            serial: 0,
            members: [Member::Free; RACKS],
            last_serial: [0; RACKS],
            held: [false; RACKS],
            in_flight: BTreeSet::new(),
        }
    }

    fn successors(&self, state: &State, successors: &mut Successors<State>) {
        if state.serial < MAX_MESSAGES {
            self.advance_owner(state, successors);
        }
        self.deliver(state, successors);
        self.expire_holds(state, successors);
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        let quiescent =
            matches!(state.phase, Phase::Started | Phase::Aborted) && state.in_flight.is_empty();
        let running = state
            .members
            .iter()
            .filter(|m| **m == Member::Running)
            .count();
        if running > 0 && state.held.contains(&false) {
            return Some("a member runs although the gang was never complete");
        }
        let partial = running > 0 && running < RACKS;
        (quiescent && partial)
            .then_some("only some members of the gang run, and nothing will stop them")
    }
}
