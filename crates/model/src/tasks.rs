//! Tasks: two attempts at one task never run at once, whoever looks after the job.
//!
//! The job's home rack changes its owner; two racks can take the task, and change their owners as
//! well. Orders are delayed without bound and duplicated; each names the rack's epoch that it is
//! meant for. A rack's owner knows what it holds; a new one learns it from the workers, and who
//! owns the home rack from the table.

use std::collections::BTreeSet;

use crate::{Spec, Steps};

/// Number of racks that can take the task.
pub const RACKS: usize = 2;

/// Safeguards; the protocol has them all.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Guards {
    /// A rack's owner turns away orders that are older than the last message it has heard.
    pub seniority: bool,
    /// An order names the rack's epoch, and a later owner of the rack turns it away.
    pub addressed: bool,
    /// A new owner of a rack learns from the table who owns the home racks.
    pub outrank: bool,
    /// A new owner of the home rack asks all racks before it starts the task anew.
    pub count_all: bool,
    /// An order that was not answered is asked after before the task is started anew.
    pub doubt: bool,
}

impl Guards {
    /// All safeguards.
    pub const ALL: Self = Self {
        seniority: true,
        addressed: true,
        outrank: true,
        count_all: true,
        doubt: true,
    };
}

/// The specification.
#[derive(Clone, Copy, Debug)]
pub struct Tasks {
    /// Which safeguards are in place.
    pub guards: Guards,
    /// Highest epoch of the home rack.
    pub homes: u8,
    /// Attempts.
    pub attempts: u8,
    /// Changes of owner of the racks.
    pub handovers: u8,
}

/// What the home rack's owner believes.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Belief {
    /// An earlier owner may have placed it; racks that were asked, as bits.
    Unknown { asked: u8 },
    /// It waits.
    Waiting,
    /// It was ordered from a rack.
    Ordered {
        rack: usize,
        attempt: u8,
        serial: u8,
    },
}

/// The owner of the home rack.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Desk {
    epoch: u8,
    serial: u8,
    belief: Belief,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Rack {
    epoch: u8,
    /// The last message that its owner has heard: epoch and serial.
    heard: (u8, u8),
    /// Attempts that run on its workers.
    running: BTreeSet<u8>,
    /// Attempts that its workers have seen.
    seen: BTreeSet<u8>,
}

/// An order under way.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Order {
    rack: usize,
    to: u8,
    epoch: u8,
    serial: u8,
    attempt: u8,
}

/// The whole system.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    home: u8,
    /// Owners of the home rack, the deposed ones included: they may still act.
    desks: Vec<Desk>,
    racks: Vec<Rack>,
    /// Orders under way.
    mail: BTreeSet<Order>,
    attempts: u8,
    handovers: u8,
}

impl Tasks {
    fn depose(&self, state: &State, steps: &mut Steps<State>) {
        if state.home < self.homes {
            let mut next = state.clone();
            next.home += 1;
            let belief = Belief::Unknown { asked: 0 };
            next.desks.push(Desk {
                epoch: next.home,
                serial: 0,
                belief,
            });
            let home = next.home;
            steps.push(|| format!("the home rack has owner {home}"), next);
        }
        if state.handovers == self.handovers {
            return;
        }
        for r in 0..RACKS {
            let mut next = state.clone();
            next.handovers += 1;
            let rack = &mut next.racks[r];
            rack.epoch += 1;
            rack.heard = if self.guards.outrank {
                (state.home, 0)
            } else {
                (0, 0)
            };
            let epoch = rack.epoch;
            steps.push(|| format!("rack {r} is taken under epoch {epoch}"), next);
        }
    }

    fn order(&self, state: &State, d: usize, steps: &mut Steps<State>) {
        let desk = state.desks[d];
        if desk.belief != Belief::Waiting || state.attempts == self.attempts {
            return;
        }
        for rack in 0..RACKS {
            let mut next = state.clone();
            let (attempt, serial) = (state.attempts, desk.serial + 1);
            next.attempts += 1;
            next.desks[d].serial = serial;
            next.desks[d].belief = Belief::Ordered {
                rack,
                attempt,
                serial,
            };
            let to = state.racks[rack].epoch;
            next.mail.insert(Order {
                rack,
                to,
                epoch: desk.epoch,
                serial,
                attempt,
            });
            let label = format!(
                "home {} orders attempt {attempt} from rack {rack}",
                desk.epoch
            );
            steps.push(|| label, next);
        }
    }

    /// An owner asks a rack what it holds.
    fn count(&self, state: &State, d: usize, steps: &mut Steps<State>) {
        let desk = state.desks[d];
        let serial = desk.serial + 1;
        for r in 0..RACKS {
            let rack = &state.racks[r];
            if (desk.epoch, serial) <= rack.heard {
                continue;
            }
            let mut next = state.clone();
            next.desks[d].serial = serial;
            next.racks[r].heard = (desk.epoch, serial);
            let holds = rack.running.iter().next().copied();
            next.desks[d].belief = match (desk.belief, holds) {
                (Belief::Unknown { .. }, Some(attempt)) => Belief::Ordered {
                    rack: r,
                    attempt,
                    serial,
                },
                (Belief::Unknown { asked }, None) => {
                    let asked = asked | 1 << r;
                    let all = asked.count_ones() as usize == RACKS || !self.guards.count_all;
                    if all {
                        Belief::Waiting
                    } else {
                        Belief::Unknown { asked }
                    }
                }
                (Belief::Ordered { rack, attempt, .. }, _) if rack == r => {
                    let held = state.racks[r].running.contains(&attempt);
                    if held { desk.belief } else { Belief::Waiting }
                }
                (belief, _) => belief,
            };
            if next.desks[d].belief == desk.belief {
                continue;
            }
            steps.push(
                || format!("home {} asks rack {r} what it holds", desk.epoch),
                next,
            );
        }
        if !self.guards.doubt
            && let Belief::Ordered { .. } = desk.belief
        {
            let mut next = state.clone();
            next.desks[d].belief = Belief::Waiting;
            steps.push(
                || format!("home {} takes silence for not placed", desk.epoch),
                next,
            );
        }
    }

    fn deliver(&self, state: &State, steps: &mut Steps<State>) {
        for &Order {
            rack: r,
            to,
            epoch,
            serial,
            attempt,
        } in &state.mail
        {
            let rack = &state.racks[r];
            if to != rack.epoch && self.guards.addressed {
                continue;
            }
            if self.guards.seniority && (epoch, serial) <= rack.heard {
                continue;
            }
            if rack.seen.contains(&attempt) {
                continue;
            }
            let mut next = state.clone();
            let rack = &mut next.racks[r];
            rack.heard = rack.heard.max((epoch, serial));
            rack.seen.insert(attempt);
            rack.running.insert(attempt);
            steps.push(
                || format!("rack {r} starts attempt {attempt} for home {epoch}"),
                next,
            );
        }
    }

    /// A run is lost with its worker.
    fn lose(&self, state: &State, steps: &mut Steps<State>) {
        for r in 0..RACKS {
            for attempt in &state.racks[r].running {
                let mut next = state.clone();
                next.racks[r].running.remove(attempt);
                steps.push(|| format!("attempt {attempt} dies on rack {r}"), next);
            }
        }
    }
}

impl Spec for Tasks {
    type State = State;

    fn first(&self) -> State {
        let rack = Rack {
            epoch: 0,
            heard: (0, 0),
            running: BTreeSet::new(),
            seen: BTreeSet::new(),
        };
        State {
            home: 1,
            desks: vec![Desk {
                epoch: 1,
                serial: 0,
                belief: Belief::Waiting,
            }],
            racks: vec![rack; RACKS],
            mail: BTreeSet::new(),
            attempts: 0,
            handovers: 0,
        }
    }

    fn steps(&self, state: &State, steps: &mut Steps<State>) {
        self.depose(state, steps);
        for d in 0..state.desks.len() {
            self.order(state, d, steps);
            self.count(state, d, steps);
        }
        self.deliver(state, steps);
        self.lose(state, steps);
    }

    fn bad(&self, state: &State) -> Option<&'static str> {
        let running: usize = state.racks.iter().map(|rack| rack.running.len()).sum();
        (running > 1).then_some("two attempts at the task run at once")
    }
}
