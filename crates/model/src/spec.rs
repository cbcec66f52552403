//! The interface of a specification.

use std::fmt::Debug;
use std::hash::Hash;

/// A specification: an initial state, a successor function and an invariant.
pub trait Spec {
    /// A state of the whole system.
    type State: Clone + Debug + Eq + Hash;

    /// The initial state.
    fn initial(&self) -> Self::State;

    /// Collects every state that can follow this one.
    fn successors(&self, state: &Self::State, successors: &mut Successors<Self::State>);

    /// Describes the invariant that this state violates, if any.
    fn violation(&self, state: &Self::State) -> Option<&'static str>;
}

/// Collects the successors of a state. Labels are formatted only if they are requested.
#[derive(Debug)]
pub struct Successors<S> {
    labelled: bool,
    labels: Vec<String>,
    states: Vec<S>,
}

impl<S> Successors<S> {
    /// Creates an empty collection, which keeps labels only if `labelled`.
    #[must_use]
    pub const fn new(labelled: bool) -> Self {
        Self {
            labelled,
            labels: Vec::new(),
            states: Vec::new(),
        }
    }

    /// Adds a successor with the label of the transition to it.
    pub fn push(&mut self, label: impl FnOnce() -> String, state: S) {
        if self.labelled {
            self.labels.push(label());
        }
        self.states.push(state);
    }

    /// Returns the collected states.
    #[must_use]
    pub fn into_states(self) -> Vec<S> {
        self.states
    }
}

impl<S: PartialEq> Successors<S> {
    /// Returns the label of the first transition to this state.
    #[must_use]
    pub fn label(&self, to: &S) -> Option<&str> {
        let at = self.states.iter().position(|state| state == to)?;
        self.labels.get(at).map(String::as_str)
    }
}
