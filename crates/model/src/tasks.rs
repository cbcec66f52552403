//! Tasks: two attempts at one task never run at once, even while the owner of the job changes.
//!
//! The owner of the job's home rack changes. Two racks can run the task, and their owners change as
//! well. Start commands are delayed without bound and duplicated; each names the epoch of the rack
//! that it is addressed to. A rack's owner knows which attempts run there. A new one learns them
//! from the workers, and the owner of the home rack from the table.

use std::collections::BTreeSet;

use crate::{Spec, Successors};

/// Number of racks that can run the task.
pub const RACKS: usize = 2;

/// Safeguards. The protocol has all of them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Guards {
    /// A rack's owner rejects commands that are older than the last message that it received.
    pub reject_older: bool,
    /// A command names the rack's epoch, and a later owner of the rack rejects it.
    pub check_rack_epoch: bool,
    /// A new owner of a rack learns the owners of the home racks from the table.
    pub learn_home_owners: bool,
    /// A new owner of the home rack queries all racks before it starts the task again.
    pub query_all_racks: bool,
    /// After an unanswered command the rack is queried before the task is started again.
    pub verify_unanswered: bool,
}

impl Guards {
    /// All safeguards.
    pub const ALL: Self = Self {
        reject_older: true,
        check_rack_epoch: true,
        learn_home_owners: true,
        query_all_racks: true,
        verify_unanswered: true,
    };
}

/// The specification.
#[derive(Clone, Copy, Debug)]
pub struct Tasks {
    /// Which safeguards are in place.
    pub guards: Guards,
    /// Highest epoch of the home rack.
    pub home_epochs: u8,
    /// Maximum number of attempts.
    pub attempts: u8,
    /// Maximum number of ownership changes of the racks.
    pub handovers: u8,
}

/// The task as the home rack's owner knows it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum TaskView {
    /// An earlier owner may have started it. `queried` is a bit mask of the racks queried so far.
    Unknown { queried: u8 },
    /// It waits for a start.
    Waiting,
    /// A start command was sent to this rack, or the rack was found to run this attempt.
    Commanded {
        rack: usize,
        attempt: u8,
        serial: u8,
    },
}

/// An owner of the home rack.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct HomeOwner {
    epoch: u8,
    serial: u8,
    view: TaskView,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Rack {
    epoch: u8,
    /// Epoch and serial of the last message that its owner received from an owner of the home rack.
    last_message: (u8, u8),
    /// Attempts that run on its workers.
    running: BTreeSet<u8>,
    /// Attempts that its workers have started.
    started: BTreeSet<u8>,
}

/// A start command in flight.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Command {
    rack: usize,
    /// Epoch of the rack's owner that the command is addressed to.
    rack_epoch: u8,
    /// Epoch of the home rack's owner that sends the command.
    epoch: u8,
    serial: u8,
    attempt: u8,
}

/// The whole system.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    home_epoch: u8,
    /// Owners of the home rack, including deposed ones, which may still act.
    home_owners: Vec<HomeOwner>,
    racks: Vec<Rack>,
    /// Start commands in flight.
    in_flight: BTreeSet<Command>,
    attempts: u8,
    handovers: u8,
}

impl Tasks {
    fn change_owners(&self, state: &State, successors: &mut Successors<State>) {
        if state.home_epoch < self.home_epochs {
            let mut next = state.clone();
            next.home_epoch += 1;
            let view = TaskView::Unknown { queried: 0 };
            next.home_owners.push(HomeOwner {
                epoch: next.home_epoch,
                serial: 0,
                view,
            });
            let home_epoch = next.home_epoch;
            successors.push(|| format!("the home rack has owner {home_epoch}"), next);
        }
        if state.handovers == self.handovers {
            return;
        }
        for r in 0..RACKS {
            let mut next = state.clone();
            next.handovers += 1;
            let rack = &mut next.racks[r];
            rack.epoch += 1;
            rack.last_message = if self.guards.learn_home_owners {
                (state.home_epoch, 0)
            } else {
                (0, 0)
            };
            let epoch = rack.epoch;
            successors.push(
                || format!("rack {r} is taken over under epoch {epoch}"),
                next,
            );
        }
    }

    fn send_command(&self, state: &State, h: usize, successors: &mut Successors<State>) {
        let home_owner = state.home_owners[h];
        if home_owner.view != TaskView::Waiting || state.attempts == self.attempts {
            return;
        }
        for rack in 0..RACKS {
            let mut next = state.clone();
            let (attempt, serial) = (state.attempts, home_owner.serial + 1);
            next.attempts += 1;
            next.home_owners[h].serial = serial;
            next.home_owners[h].view = TaskView::Commanded {
                rack,
                attempt,
                serial,
            };
            let rack_epoch = state.racks[rack].epoch;
            next.in_flight.insert(Command {
                rack,
                rack_epoch,
                epoch: home_owner.epoch,
                serial,
                attempt,
            });
            let label = format!(
                "home epoch {} sends attempt {attempt} to rack {rack}",
                home_owner.epoch
            );
            successors.push(|| label, next);
        }
    }

    /// An owner queries the racks for the attempts that run there.
    fn query_racks(&self, state: &State, h: usize, successors: &mut Successors<State>) {
        let home_owner = state.home_owners[h];
        let serial = home_owner.serial + 1;
        for r in 0..RACKS {
            let rack = &state.racks[r];
            if (home_owner.epoch, serial) <= rack.last_message {
                continue;
            }
            let mut next = state.clone();
            next.home_owners[h].serial = serial;
            next.racks[r].last_message = (home_owner.epoch, serial);
            let holds = rack.running.iter().next().copied();
            next.home_owners[h].view = match (home_owner.view, holds) {
                (TaskView::Unknown { .. }, Some(attempt)) => TaskView::Commanded {
                    rack: r,
                    attempt,
                    serial,
                },
                (TaskView::Unknown { queried }, None) => {
                    let queried = queried | 1 << r;
                    let all =
                        queried.count_ones() as usize == RACKS || !self.guards.query_all_racks;
                    if all {
                        TaskView::Waiting
                    } else {
                        TaskView::Unknown { queried }
                    }
                }
                (TaskView::Commanded { rack, attempt, .. }, _) if rack == r => {
                    let held = state.racks[r].running.contains(&attempt);
                    if held {
                        home_owner.view
                    } else {
                        TaskView::Waiting
                    }
                }
                (view, _) => view,
            };
            if next.home_owners[h].view == home_owner.view {
                continue;
            }
            successors.push(
                || format!("home epoch {} queries rack {r}", home_owner.epoch),
                next,
            );
        }
        if !self.guards.verify_unanswered
            && let TaskView::Commanded { .. } = home_owner.view
        {
            let mut next = state.clone();
            next.home_owners[h].view = TaskView::Waiting;
            successors.push(
                || {
                    format!(
                        "home epoch {} treats the missing answer as not started",
                        home_owner.epoch
                    )
                },
                next,
            );
        }
    }

    fn deliver(&self, state: &State, successors: &mut Successors<State>) {
        for &Command {
            rack: r,
            rack_epoch,
            epoch,
            serial,
            attempt,
        } in &state.in_flight
        {
            let rack = &state.racks[r];
            if rack_epoch != rack.epoch && self.guards.check_rack_epoch {
                continue;
            }
            if self.guards.reject_older && (epoch, serial) <= rack.last_message {
                continue;
            }
            if rack.started.contains(&attempt) {
                continue;
            }
            let mut next = state.clone();
            let rack = &mut next.racks[r];
            rack.last_message = rack.last_message.max((epoch, serial));
            rack.started.insert(attempt);
            rack.running.insert(attempt);
            successors.push(
                || format!("rack {r} starts attempt {attempt} for home epoch {epoch}"),
                next,
            );
        }
    }

    /// A run is lost when its worker crashes.
    fn lose_run(&self, state: &State, successors: &mut Successors<State>) {
        for r in 0..RACKS {
            for attempt in &state.racks[r].running {
                let mut next = state.clone();
                next.racks[r].running.remove(attempt);
                successors.push(|| format!("attempt {attempt} is lost on rack {r}"), next);
            }
        }
    }
}

impl Spec for Tasks {
    type State = State;

    fn initial(&self) -> State {
        let rack = Rack {
            epoch: 0,
            last_message: (0, 0),
            running: BTreeSet::new(),
            started: BTreeSet::new(),
        };
        State {
            home_epoch: 1,
            home_owners: vec![HomeOwner {
                epoch: 1,
                serial: 0,
                view: TaskView::Waiting,
            }],
            racks: vec![rack; RACKS],
            in_flight: BTreeSet::new(),
            attempts: 0,
            handovers: 0,
        }
    }

    fn successors(&self, state: &State, successors: &mut Successors<State>) {
        self.change_owners(state, successors);
        for h in 0..state.home_owners.len() {
            self.send_command(state, h, successors);
            self.query_racks(state, h, successors);
        }
        self.deliver(state, successors);
        self.lose_run(state, successors);
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        let running: usize = state.racks.iter().map(|rack| rack.running.len()).sum();
        (running > 1).then_some("two attempts at the task run at once")
    }
}
