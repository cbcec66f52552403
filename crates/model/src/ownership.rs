//! Ownership of a rack: a key never runs in two places.
//!
//! Two placers, three workers, one key. Messages that change a worker are delayed without bound,
//! duplicated and lost; a placer that is paused is one that takes no step for a while, and a step
//! that was decided before a pause is a message that is delivered after it. Workers restart with
//! their memory lost.
//!
//! Some things need no step of their own, because others cover them:
//!
//! * A reply comes at once or never: a late one only makes its receiver promise less.
//! * An adoption that was sent long ago is one that is sent now: its sender never takes back what
//!   it knows of the worker's life, and the worker can't tell the two apart.
//! * A message that is lost is one that is never delivered.
//! * An outage of the table is a time in which nobody takes the rack or confirms a life; a take
//!   whose answer is lost makes nobody an owner.
//! * A worker is greeted at the moment at which the row is taken or read: if it restarts between
//!   the two, the adoption names a life that is over, and is refused.
//! * The first to take the rack is placer 0; the names are nothing but names.
//!
//! Times are what is left of them, in ticks, so the search needs no last tick: it covers histories
//! of any length. The workers' rule is the code's own ([`worker::Slot`]); the owner's rules are
//! restated here, and `tests/conformance.rs` holds them against `cell::fence` on random histories.

use worker::Slot;

use crate::{Spec, Steps};

/// Number of placers.
pub const PLACERS: usize = 2;
/// Number of workers in the rack.
pub const WORKERS: usize = 3;
/// Ticks that a run may take.
pub const RUN: u8 = 1;
/// Starts that are sent in one history, at most.
pub const STARTS: usize = 2;

/// What is left of the authority that each worker's acknowledgement gives; `None` for a worker
/// that was not adopted.
pub type Proof = [Option<u8>; WORKERS];

/// Safeguards; the protocol has them all.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Guards {
    /// Workers turn away commands of other epochs.
    pub fence: bool,
    /// Commands carry their last permitted moment.
    pub not_after: bool,
    /// Owners need a majority of workers, not just one.
    pub majority: bool,
    /// A new owner that has not fenced all workers waits.
    pub wait: bool,
    /// A worker that has restarted is adopted only after the row was read again.
    pub confirm: bool,
    /// Commands name the life of the worker that they are meant for.
    pub life: bool,
    /// A new owner keeps clear of the key while an adopted worker runs it.
    pub occupied: bool,
}

impl Guards {
    /// All safeguards.
    pub const ALL: Self = Self {
        fence: true,
        not_after: true,
        majority: true,
        wait: true,
        confirm: true,
        life: true,
        occupied: true,
    };
}

/// The specification.
#[derive(Clone, Copy, Debug)]
pub struct Ownership {
    /// Which safeguards are in place.
    pub guards: Guards,
    /// Ticks that one round of acknowledgements lets an owner act. From fencing a majority to the
    /// first action a new owner waits this long and [`RUN`].
    pub authority: u8,
    /// Highest epoch.
    pub epochs: u8,
    /// Restarts of workers.
    pub restarts: u8,
}

/// The whole system.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    epoch: u8,
    placers: [Placer; PLACERS],
    workers: [Worker; WORKERS],
    /// Starts that were sent, by the number of the attempt.
    starts: [Option<Start>; STARTS],
    restarts: u8,
}

#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
struct Placer {
    /// Its epoch; 0 if it never took the rack.
    epoch: u8,
    /// Whether it may act, as far as it knows.
    active: bool,
    /// Lives of the workers that it may adopt; 0 for none.
    lives: [u8; WORKERS],
    proof: Proof,
    /// Ticks to wait since a majority was fenced.
    wait: Option<u8>,
    /// The key may be worked on for so long.
    busy: u8,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Worker {
    slot: Slot,
    /// It runs the key for so long; 0 if it does not.
    runs: u8,
    /// Attempts that it has seen, as bits.
    seen: u8,
}

/// A start command under way; it can be delivered at any time, and more than once.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Start {
    worker: usize,
    epoch: u8,
    life: u8,
    /// Ticks until it is too late; `None` once it is.
    left: Option<u8>,
}

/// How long an owner may act, given what is left of each acknowledgement.
#[must_use]
pub fn authority(proof: &Proof, needed: usize) -> u8 {
    let mut left: Vec<u8> = proof.iter().flatten().copied().collect();
    left.sort_unstable_by(|a, b| b.cmp(a));
    left.get(needed - 1).copied().unwrap_or(0)
}

/// Whether a new owner may act.
#[must_use]
pub fn ready(proof: &Proof, wait: Option<u8>) -> bool {
    proof.iter().all(Option::is_some) || wait == Some(0)
}

impl Ownership {
    const fn needed(&self) -> usize {
        if self.guards.majority {
            WORKERS / 2 + 1
        } else {
            1
        }
    }

    fn take(&self, state: &State, p: usize, steps: &mut Steps<State>) {
        let first = state.epoch == 0 && p > 0;
        let owner = state.epoch > 0 && state.placers[p].epoch == state.epoch;
        if state.epoch == self.epochs || first || owner {
            return;
        }
        let mut next = state.clone();
        next.epoch += 1;
        let epoch = next.epoch;
        let lives = state.workers.map(|worker| worker.slot.incarnation() as u8);
        next.placers[p] = Placer {
            epoch,
            lives,
            ..Placer::default()
        };
        steps.push(|| format!("p{p} takes epoch {epoch}"), next);
    }

    fn greet(&self, state: &State, p: usize, steps: &mut Steps<State>) {
        let placer = &state.placers[p];
        let confirmed = placer.epoch == state.epoch || !self.guards.confirm;
        for w in 0..WORKERS {
            let life = state.workers[w].slot.incarnation() as u8;
            if placer.epoch > 0 && placer.lives[w] != life && confirmed {
                let mut next = state.clone();
                next.placers[p].lives[w] = life;
                steps.push(|| format!("p{p} greets w{w}, life {life}"), next);
            }
        }
    }

    /// Adoptions and heartbeats.
    fn ask(&self, state: &State, p: usize, steps: &mut Steps<State>) {
        let placer = &state.placers[p];
        let epoch = placer.epoch;
        for w in 0..WORKERS {
            let obeys = state.workers[w].slot.epoch() == u64::from(epoch);
            if obeys && placer.proof[w].is_some() {
                if placer.proof[w] != Some(self.authority) {
                    let mut next = state.clone();
                    next.placers[p].proof[w] = Some(self.authority);
                    steps.push(|| format!("w{w} answers the heartbeat of p{p}"), next);
                }
                continue;
            }
            if placer.lives[w] > 0 {
                self.adopt(state, p, w, steps);
            }
        }
    }

    fn act(&self, state: &State, p: usize, steps: &mut Steps<State>) {
        let placer = &state.placers[p];
        let left = authority(&placer.proof, self.needed());
        if left == 0 {
            return;
        }
        let epoch = placer.epoch;
        if !placer.active {
            let waited = !self.guards.wait && placer.wait.is_some();
            if ready(&placer.proof, placer.wait) || waited {
                let mut next = state.clone();
                next.placers[p].active = true;
                next.placers[p].wait = None;
                steps.push(|| format!("p{p} becomes active under epoch {epoch}"), next);
            }
            return;
        }
        let Some(attempt) = state.starts.iter().position(Option::is_none) else {
            return;
        };
        if placer.busy > 0 {
            return;
        }
        for worker in 0..WORKERS {
            let mut next = state.clone();
            let life = placer.lives[worker];
            next.starts[attempt] = Some(Start {
                worker,
                epoch,
                life,
                left: Some(left),
            });
            next.placers[p].busy = left + RUN;
            steps.push(
                || format!("p{p} sends a start to w{worker}, in time for {left}"),
                next,
            );
        }
    }

    fn adopt(&self, state: &State, p: usize, w: usize, steps: &mut Steps<State>) {
        let Placer { epoch, lives, .. } = state.placers[p];
        let life = lives[w];
        let mut next = state.clone();
        let slot = &mut next.workers[w].slot;
        if slot.adopt(epoch.into(), life.into()).is_err() {
            if self.guards.fence || u64::from(life) != slot.incarnation() {
                return;
            }
            *slot = Slot::new(life.into());
            _ = slot.adopt(epoch.into(), life.into());
        }
        let changes = next.workers[w] != state.workers[w];
        if changes {
            steps.push(
                || format!("w{w} is adopted under epoch {epoch}, no answer"),
                next.clone(),
            );
        }
        let needed = self.needed();
        let placer = &mut next.placers[p];
        placer.proof[w] = Some(self.authority);
        let fenced = placer.proof.iter().flatten().count();
        if fenced >= needed && placer.wait.is_none() && !placer.active {
            placer.wait = Some(self.authority + RUN);
        }
        if self.guards.occupied {
            placer.busy = placer.busy.max(state.workers[w].runs);
        }
        steps.push(
            || format!("w{w} is adopted by p{p} under epoch {epoch}"),
            next,
        );
    }

    fn deliver(&self, state: &State, steps: &mut Steps<State>) {
        for (attempt, start) in state.starts.iter().enumerate() {
            if let Some(start) = start {
                self.start(state, attempt, *start, steps);
            }
        }
    }

    fn start(&self, state: &State, attempt: usize, start: Start, steps: &mut Steps<State>) {
        let Start {
            worker: w,
            epoch,
            life,
            left,
        } = start;
        let worker = &state.workers[w];
        let same = u64::from(life) == worker.slot.incarnation();
        // A new life begins its time anew, so nothing that was meant for an earlier one is late.
        let late = left.is_none() && same && self.guards.not_after;
        let life = if self.guards.life {
            life.into()
        } else {
            worker.slot.incarnation()
        };
        let admitted = match worker.slot.admit(epoch.into(), life, late.into(), 0) {
            Ok(()) => true,
            Err(worker::Refusal::Fenced { .. }) => !self.guards.fence,
            Err(_) => false,
        };
        if !admitted || worker.seen & (1 << attempt) != 0 {
            return;
        }
        let mut next = state.clone();
        next.workers[w].seen |= 1 << attempt;
        next.workers[w].runs = RUN;
        steps.push(|| format!("w{w} starts the key for epoch {epoch}"), next);
    }

    fn restart(&self, state: &State, steps: &mut Steps<State>) {
        for w in 0..WORKERS {
            let slot = &state.workers[w].slot;
            if state.restarts < self.restarts && slot.epoch() > 0 {
                let mut next = state.clone();
                let slot = Slot::new(slot.incarnation() + 1);
                next.restarts += 1;
                next.workers[w] = Worker {
                    slot,
                    runs: 0,
                    seen: 0,
                };
                steps.push(|| format!("w{w} restarts"), next);
            }
        }
    }

    fn tick(&self, state: &State, steps: &mut Steps<State>) {
        let mut next = state.clone();
        for placer in &mut next.placers {
            placer.busy = placer.busy.saturating_sub(1);
            placer.wait = placer.wait.map(|left| left.saturating_sub(1));
            placer.proof = placer
                .proof
                .map(|left| left.map(|left| left.saturating_sub(1)));
        }
        for worker in &mut next.workers {
            worker.runs = worker.runs.saturating_sub(1);
        }
        for start in next.starts.iter_mut().flatten() {
            start.left = start.left.and_then(|left| left.checked_sub(1));
        }
        steps.push(|| "a tick".to_owned(), next);
    }
}

impl Spec for Ownership {
    type State = State;

    fn first(&self) -> State {
        let worker = Worker {
            slot: Slot::new(1),
            runs: 0,
            seen: 0,
        };
        State {
            epoch: 0,
            placers: [Placer::default(); PLACERS],
            workers: [worker; WORKERS],
            starts: [None; STARTS],
            restarts: 0,
        }
    }

    fn steps(&self, state: &State, steps: &mut Steps<State>) {
        for p in 0..PLACERS {
            self.take(state, p, steps);
            if state.placers[p].epoch > 0 {
                self.greet(state, p, steps);
                self.ask(state, p, steps);
                self.act(state, p, steps);
            }
        }
        self.deliver(state, steps);
        self.restart(state, steps);
        self.tick(state, steps);
    }

    fn bad(&self, state: &State) -> Option<&'static str> {
        let running = state
            .workers
            .iter()
            .filter(|worker| worker.runs > 0)
            .count();
        (running > 1).then_some("the key runs in two places")
    }
}
