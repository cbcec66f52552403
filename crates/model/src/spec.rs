//! What a specification is.

use std::fmt::Debug;
use std::hash::Hash;

/// A specification: pure data and a successor function.
pub trait Spec {
    /// A state of the whole system.
    type State: Clone + Debug + Eq + Hash;

    /// The state in which everything begins.
    fn first(&self) -> Self::State;

    /// Everything that can happen next.
    fn steps(&self, state: &Self::State, steps: &mut Steps<Self::State>);

    /// What is untrue in this state that must always hold, if anything.
    fn bad(&self, state: &Self::State) -> Option<&'static str>;
}

/// Collects what can happen next; labels are made only when somebody reads them.
#[derive(Debug)]
pub struct Steps<S> {
    labelled: bool,
    labels: Vec<String>,
    states: Vec<S>,
}

impl<S> Steps<S> {
    /// Collects states, and labels if they are wanted.
    #[must_use]
    pub const fn new(labelled: bool) -> Self {
        Self {
            labelled,
            labels: Vec::new(),
            states: Vec::new(),
        }
    }

    /// Something can happen.
    pub fn push(&mut self, label: impl FnOnce() -> String, state: S) {
        if self.labelled {
            self.labels.push(label());
        }
        self.states.push(state);
    }

    /// The states that can come next.
    #[must_use]
    pub fn into_states(self) -> Vec<S> {
        self.states
    }
}

impl<S: PartialEq> Steps<S> {
    /// The label of the step to this state.
    #[must_use]
    pub fn label(&self, to: &S) -> Option<&str> {
        let at = self.states.iter().position(|state| state == to)?;
        self.labels.get(at).map(String::as_str)
    }
}
