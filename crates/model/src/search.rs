//! Breadth-first search of a specification's states.

use std::cell::Cell;

use pathfinding::directed::bfs::bfs;

use crate::{Spec, Successors};

/// Result of a search.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SearchResult {
    /// Every reachable state satisfies the invariants.
    Holds {
        /// Number of states visited.
        states: usize,
    },
    /// A reachable state violates an invariant.
    Violated {
        /// Description of the violation.
        violation: &'static str,
        /// Labels of the transitions on a shortest path to the state.
        trace: Vec<String>,
    },
}

impl SearchResult {
    /// Whether every reachable state satisfies the invariants.
    #[must_use]
    pub const fn holds(&self) -> bool {
        matches!(self, Self::Holds { .. })
    }
}

/// Searches a specification breadth first, so that the first violation found has a shortest trace.
pub fn search<S: Spec>(spec: &S) -> SearchResult {
    let states = Cell::new(0);
    let next = |state: &S::State| {
        states.set(states.get() + 1);
        let mut successors = Successors::new(false);
        spec.successors(state, &mut successors);
        successors.into_states()
    };
    let path = bfs(&spec.initial(), next, |state| {
        spec.violation(state).is_some()
    });
    let Some(path) = path else {
        return SearchResult::Holds {
            states: states.get(),
        };
    };
    let label = |pair: &[S::State]| {
        let mut successors = Successors::new(true);
        spec.successors(&pair[0], &mut successors);
        successors.label(&pair[1]).unwrap_or_default().to_owned()
    };
    let trace = path.windows(2).map(label).collect();
    let violation = path
        .last()
        .and_then(|state| spec.violation(state))
        .unwrap_or_default();
    SearchResult::Violated { violation, trace }
}
