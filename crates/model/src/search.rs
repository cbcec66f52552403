//! The search.

use std::cell::Cell;

use pathfinding::directed::bfs::bfs;

use crate::{Spec, Steps};

/// What a search has found.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Found {
    /// No state is bad; so many were visited.
    Holds {
        /// Number of states.
        states: usize,
    },
    /// The shortest way to a bad state.
    Bad {
        /// What is untrue in it.
        what: &'static str,
        /// What happens, step by step.
        trace: Vec<String>,
    },
}

impl Found {
    /// Whether no state is bad.
    #[must_use]
    pub const fn holds(&self) -> bool {
        matches!(self, Self::Holds { .. })
    }
}

/// Searches a specification, nearest states first, so that the first bad one has the shortest
/// trace.
pub fn search<S: Spec>(spec: &S) -> Found {
    let states = Cell::new(0);
    let next = |state: &S::State| {
        states.set(states.get() + 1);
        let mut steps = Steps::new(false);
        spec.steps(state, &mut steps);
        steps.into_states()
    };
    let path = bfs(&spec.first(), next, |state| spec.bad(state).is_some());
    let Some(path) = path else {
        return Found::Holds {
            states: states.get(),
        };
    };
    let label = |pair: &[S::State]| {
        let mut steps = Steps::new(true);
        spec.steps(&pair[0], &mut steps);
        steps.label(&pair[1]).unwrap_or_default().to_owned()
    };
    let trace = path.windows(2).map(label).collect();
    let what = path
        .last()
        .and_then(|state| spec.bad(state))
        .unwrap_or_default();
    Found::Bad { what, trace }
}
