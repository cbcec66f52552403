//! The life cycle of owning a rack.
//!
//! ```text
//! watching -> greeting -> taking -> fencing -> active -> releasing -> watching
//!     ^___________|__________|_________|__________|  (refused, deposed)
//! ```

use resource::id;
use statig::blocking::IntoStateMachineExt as _;
use statig::blocking::StateMachine;
use statig::prelude::*;

/// An event in the life cycle of an owner.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// This process should own the rack.
    Assigned,
    /// The current incarnations of the workers are known.
    Greeted,
    /// The table has recorded this process as the owner under this epoch.
    Taken(id::Epoch),
    /// The table has rejected the change of owner, or can't be reached.
    Refused,
    /// No earlier owner can act any longer.
    Ready,
    /// Another process owns the rack.
    Deposed,
    /// Another process should own the rack.
    Unassigned,
    /// No work is in progress any more, and the rack's row shows no owner.
    Released,
}

/// Stage that a process has reached in the ownership of one rack. A rack's status contains the name
/// in lower case.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// It is not the owner.
    Watching,
    /// It asks the workers for their current incarnations before it takes the rack: an incarnation
    /// that is seen before the table has confirmed ownership can't have been adopted by a later
    /// owner.
    Greeting,
    /// It has asked the table for the rack.
    Taking,
    /// It is the owner, but earlier owners may still act.
    Fencing,
    /// It is the owner, and the only one that can act.
    Active,
    /// It accepts no new work, and gives up ownership once no work is in progress.
    Releasing,
}

/// State machine for the ownership of one rack by this process.
///
/// ```
/// use cell::{Event, Ownership, Stage};
///
/// let mut ownership = Ownership::new();
/// for event in [Event::Assigned, Event::Greeted, Event::Taken(7), Event::Ready] {
///     ownership.handle(&event);
/// }
/// assert_eq!(ownership.stage(), Stage::Active);
/// assert_eq!(ownership.epoch(), 7);
/// ownership.handle(&Event::Deposed);
/// assert_eq!(ownership.stage(), Stage::Watching);
/// ```
pub struct Ownership {
    machine: StateMachine<Machine>,
}

impl Ownership {
    /// A process that does not own the rack.
    #[must_use]
    pub fn new() -> Self {
        Self {
            machine: Machine::default().state_machine(),
        }
    }

    /// Applies an event. An event that is not expected in the current stage changes nothing.
    pub fn handle(&mut self, event: &Event) {
        self.machine.handle(event);
    }

    /// The current stage.
    #[must_use]
    pub fn stage(&self) -> Stage {
        match self.machine.state() {
            State::Watching {} => Stage::Watching,
            State::Greeting {} => Stage::Greeting,
            State::Taking {} => Stage::Taking,
            State::Fencing {} => Stage::Fencing,
            State::Active {} => Stage::Active,
            State::Releasing {} => Stage::Releasing,
        }
    }

    /// The epoch under which this process last took the rack; 0 if it never did.
    #[must_use]
    pub fn epoch(&self) -> id::Epoch {
        self.machine.inner().epoch
    }
}

impl Default for Ownership {
    fn default() -> Self {
        Self::new()
    }
}

#[derive(Default)]
struct Machine {
    epoch: id::Epoch,
}

#[state_machine(initial = "State::watching()")]
impl Machine {
    #[state]
    fn watching(event: &Event) -> Outcome<State> {
        match event {
            Event::Assigned => Transition(State::greeting()),
            _ => Handled,
        }
    }

    #[state]
    fn greeting(event: &Event) -> Outcome<State> {
        match event {
            Event::Greeted => Transition(State::taking()),
            Event::Refused | Event::Unassigned => Transition(State::watching()),
            _ => Handled,
        }
    }

    #[state]
    fn taking(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::Taken(epoch) => {
                self.epoch = *epoch;
                Transition(State::fencing())
            }
            Event::Refused => Transition(State::watching()),
            _ => Handled,
        }
    }

    #[state(superstate = "owning")]
    fn fencing(event: &Event) -> Outcome<State> {
        match event {
            Event::Ready => Transition(State::active()),
            _ => Super,
        }
    }

    #[state(superstate = "owning")]
    fn active(event: &Event) -> Outcome<State> {
        match event {
            // The owner takes its own rack again to change the roster.
            Event::Assigned => Transition(State::greeting()),
            _ => Super,
        }
    }

    #[state(superstate = "owning")]
    fn releasing(event: &Event) -> Outcome<State> {
        match event {
            Event::Released => Transition(State::watching()),
            Event::Unassigned => Handled,
            _ => Super,
        }
    }

    #[superstate]
    fn owning(event: &Event) -> Outcome<State> {
        match event {
            Event::Deposed => Transition(State::watching()),
            Event::Unassigned => Transition(State::releasing()),
            _ => Handled,
        }
    }
}
