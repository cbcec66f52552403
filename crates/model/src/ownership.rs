//! Ownership of a rack: a key never runs in two places.
//!
//! There are two placers, three workers and one key. Messages that change a worker are delayed
//! without bound, duplicated and lost. A paused placer is one that makes no transition for a while;
//! a command that it decided on before the pause is a message that is delivered after it. A worker
//! that restarts loses its memory.
//!
//! Some events need no transition of their own, because others cover them:
//!
//! * A reply arrives at once or never: a late one only shortens the authority of its receiver.
//! * An adoption that was sent long ago is the same as one that is sent now: the sender never
//!   forgets the worker's incarnation that it knows, and the worker can't tell the two apart.
//! * A lost message is one that is never delivered.
//! * An outage of the table is a period in which no placer takes over the rack or confirms an
//!   incarnation. A takeover whose answer is lost makes no placer the owner.
//! * An owner learns a worker's incarnation at the moment at which the row is written or read. If
//!   the worker restarts between the two, the adoption names an old incarnation and is refused.
//! * The first placer to take over the rack is placer 0: the placers differ in nothing but number.
//!
//! Times are stored as remaining ticks, so the search needs no last tick and covers histories of
//! any length. The workers' rule is the production code ([`worker::EpochFence`]). The owner's rules are
//! restated here; `tests/conformance.rs` compares them with `cell::fence` on random histories.

use worker::EpochFence;

use crate::{Spec, Successors};

/// Number of placers.
pub const PLACERS: usize = 2;
/// Number of workers in the rack.
pub const WORKERS: usize = 3;
/// Maximum duration of a run, in ticks.
pub const RUN_TICKS: u8 = 1;
/// Maximum number of start commands in one history.
pub const MAX_STARTS: usize = 2;

/// Remaining ticks of the authority that each worker's acknowledgement gives; `None` for a worker
/// that was not adopted.
pub type Acks = [Option<u8>; WORKERS];

/// Safeguards. The protocol has all of them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Guards {
    /// Workers reject commands of other epochs.
    pub fence: bool,
    /// Commands carry the latest time at which they may be executed.
    pub not_after: bool,
    /// Owners need acknowledgements of a majority of workers, not just of one.
    pub majority: bool,
    /// A new owner that has not fenced all workers waits.
    pub takeover_delay: bool,
    /// A restarted worker is adopted only after the row has been read again.
    pub confirm: bool,
    /// Commands name the incarnation of the worker that they are addressed to.
    pub incarnation: bool,
    /// A new owner does not start the key while an adopted worker runs it.
    pub keep_clear_of_runs: bool,
}

impl Guards {
    /// All safeguards.
    pub const ALL: Self = Self {
        fence: true,
        not_after: true,
        majority: true,
        takeover_delay: true,
        confirm: true,
        incarnation: true,
        keep_clear_of_runs: true,
    };
}

/// The specification.
#[derive(Clone, Copy, Debug)]
pub struct Ownership {
    /// Which safeguards are in place.
    pub guards: Guards,
    /// Ticks for which one round of acknowledgements lets an owner act. Between fencing a majority
    /// and its first action a new owner waits for this time plus [`RUN_TICKS`].
    pub authority: u8,
    /// Highest epoch.
    pub epochs: u8,
    /// Maximum number of restarts of workers.
    pub restarts: u8,
}

/// The whole system.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    epoch: u8,
    placers: [Placer; PLACERS],
    workers: [Worker; WORKERS],
    /// Start commands that were sent, by the number of the attempt.
    starts: [Option<Start>; MAX_STARTS],
    restarts: u8,
}

#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
struct Placer {
    /// Its epoch; 0 if it never took over the rack.
    epoch: u8,
    /// Whether it regards itself as the active owner.
    active: bool,
    /// Incarnations of the workers that it may adopt; 0 for none.
    incarnations: [u8; WORKERS],
    acks: Acks,
    /// Remaining ticks of the takeover delay, which begins when a majority is fenced.
    takeover_delay: Option<u8>,
    /// Ticks for which the key may still be running.
    key_busy_ticks: u8,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Worker {
    slot: EpochFence,
    /// Remaining ticks of its run of the key; 0 if it does not run it.
    run_ticks_left: u8,
    /// Attempts that it has started, as a bit mask.
    started: u8,
}

/// A start command in flight. It can be delivered at any time, and more than once.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Start {
    worker: usize,
    epoch: u8,
    incarnation: u8,
    /// Ticks until it is too late; `None` once that time has passed.
    ticks_left: Option<u8>,
}

/// Returns the ticks for which an owner may act, given the remaining ticks of each acknowledgement.
#[must_use]
pub fn authority(acks: &Acks, needed: usize) -> u8 {
    let mut ticks_left: Vec<u8> = acks.iter().flatten().copied().collect();
    ticks_left.sort_unstable_by(|a, b| b.cmp(a));
    ticks_left.get(needed - 1).copied().unwrap_or(0)
}

/// Whether a new owner may act.
#[must_use]
pub fn ready(acks: &Acks, takeover_delay: Option<u8>) -> bool {
    acks.iter().all(Option::is_some) || takeover_delay == Some(0)
}

impl Ownership {
    const fn needed(&self) -> usize {
        if self.guards.majority {
            WORKERS / 2 + 1
        } else {
            1
        }
    }

    fn take_over(&self, state: &State, p: usize, successors: &mut Successors<State>) {
        let first = state.epoch == 0 && p > 0;
        let owner = state.epoch > 0 && state.placers[p].epoch == state.epoch;
        if state.epoch == self.epochs || first || owner {
            return;
        }
        let mut next = state.clone();
        next.epoch += 1;
        let epoch = next.epoch;
        let incarnations = state.workers.map(|worker| worker.slot.incarnation() as u8);
        next.placers[p] = Placer {
            epoch,
            incarnations,
            ..Placer::default()
        };
        successors.push(|| format!("p{p} takes over under epoch {epoch}"), next);
    }

    fn confirm_restart(&self, state: &State, p: usize, successors: &mut Successors<State>) {
        let placer = &state.placers[p];
        let confirmed = placer.epoch == state.epoch || !self.guards.confirm;
        for w in 0..WORKERS {
            let incarnation = state.workers[w].slot.incarnation() as u8;
            if placer.epoch > 0 && placer.incarnations[w] != incarnation && confirmed {
                let mut next = state.clone();
                next.placers[p].incarnations[w] = incarnation;
                successors.push(
                    || format!("p{p} confirms incarnation {incarnation} of w{w}"),
                    next,
                );
            }
        }
    }

    /// Adopts workers and sends heartbeats to those adopted.
    fn contact_workers(&self, state: &State, p: usize, successors: &mut Successors<State>) {
        let placer = &state.placers[p];
        let epoch = placer.epoch;
        for w in 0..WORKERS {
            let enforces_epoch = state.workers[w].slot.epoch() == u64::from(epoch);
            if enforces_epoch && placer.acks[w].is_some() {
                if placer.acks[w] != Some(self.authority) {
                    let mut next = state.clone();
                    next.placers[p].acks[w] = Some(self.authority);
                    successors.push(|| format!("w{w} answers the heartbeat of p{p}"), next);
                }
                continue;
            }
            if placer.incarnations[w] > 0 {
                self.adopt(state, p, w, successors);
            }
        }
    }

    fn act(&self, state: &State, p: usize, successors: &mut Successors<State>) {
        let placer = &state.placers[p];
        let ticks_left = authority(&placer.acks, self.needed());
        if ticks_left == 0 {
            return;
        }
        let epoch = placer.epoch;
        if !placer.active {
            let waited = !self.guards.takeover_delay && placer.takeover_delay.is_some();
            if ready(&placer.acks, placer.takeover_delay) || waited {
                let mut next = state.clone();
                next.placers[p].active = true;
                next.placers[p].takeover_delay = None;
                successors.push(|| format!("p{p} becomes active under epoch {epoch}"), next);
            }
            return;
        }
        let Some(attempt) = state.starts.iter().position(Option::is_none) else {
            return;
        };
        if placer.key_busy_ticks > 0 {
            return;
        }
        for worker in 0..WORKERS {
            let mut next = state.clone();
            let incarnation = placer.incarnations[worker];
            next.starts[attempt] = Some(Start {
                worker,
                epoch,
                incarnation,
                ticks_left: Some(ticks_left),
            });
            next.placers[p].key_busy_ticks = ticks_left + RUN_TICKS;
            successors.push(
                || format!("p{p} sends a start to w{worker}, valid for {ticks_left} ticks"),
                next,
            );
        }
    }

    fn adopt(&self, state: &State, p: usize, w: usize, successors: &mut Successors<State>) {
        let Placer {
            epoch,
            incarnations,
            ..
        } = state.placers[p];
        let incarnation = incarnations[w];
        let mut next = state.clone();
        let slot = &mut next.workers[w].slot;
        if slot.adopt(epoch.into(), incarnation.into()).is_err() {
            if self.guards.fence || u64::from(incarnation) != slot.incarnation() {
                return;
            }
            *slot = EpochFence::new(incarnation.into());
            _ = slot.adopt(epoch.into(), incarnation.into());
        }
        let changes = next.workers[w] != state.workers[w];
        if changes {
            successors.push(
                || format!("w{w} is adopted under epoch {epoch}, no answer"),
                next.clone(),
            );
        }
        let needed = self.needed();
        let placer = &mut next.placers[p];
        placer.acks[w] = Some(self.authority);
        let fenced = placer.acks.iter().flatten().count();
        if fenced >= needed && placer.takeover_delay.is_none() && !placer.active {
            placer.takeover_delay = Some(self.authority + RUN_TICKS);
        }
        if self.guards.keep_clear_of_runs {
            placer.key_busy_ticks = placer.key_busy_ticks.max(state.workers[w].run_ticks_left);
        }
        successors.push(
            || format!("w{w} is adopted by p{p} under epoch {epoch}"),
            next,
        );
    }

    fn deliver(&self, state: &State, successors: &mut Successors<State>) {
        for (attempt, start) in state.starts.iter().enumerate() {
            if let Some(start) = start {
                self.start(state, attempt, *start, successors);
            }
        }
    }

    fn start(
        &self,
        state: &State,
        attempt: usize,
        start: Start,
        successors: &mut Successors<State>,
    ) {
        let Start {
            worker: w,
            epoch,
            incarnation,
            ticks_left,
        } = start;
        let worker = &state.workers[w];
        let same = u64::from(incarnation) == worker.slot.incarnation();
        // A new incarnation starts a new clock, by which no command for an earlier one is late.
        let late = ticks_left.is_none() && same && self.guards.not_after;
        let incarnation = if self.guards.incarnation {
            incarnation.into()
        } else {
            worker.slot.incarnation()
        };
        let admitted = match worker.slot.admit(epoch.into(), incarnation, late.into(), 0) {
            Ok(()) => true,
            Err(worker::Refusal::Fenced { .. }) => !self.guards.fence,
            Err(_) => false,
        };
        if !admitted || worker.started & (1 << attempt) != 0 {
            return;
        }
        let mut next = state.clone();
        next.workers[w].started |= 1 << attempt;
        next.workers[w].run_ticks_left = RUN_TICKS;
        successors.push(|| format!("w{w} starts the key for epoch {epoch}"), next);
    }

    fn restart(&self, state: &State, successors: &mut Successors<State>) {
        for w in 0..WORKERS {
            let slot = &state.workers[w].slot;
            if state.restarts < self.restarts && slot.epoch() > 0 {
                let mut next = state.clone();
                let slot = EpochFence::new(slot.incarnation() + 1);
                next.restarts += 1;
                next.workers[w] = Worker {
                    slot,
                    run_ticks_left: 0,
                    started: 0,
                };
                successors.push(|| format!("w{w} restarts"), next);
            }
        }
    }

    fn tick(&self, state: &State, successors: &mut Successors<State>) {
        let mut next = state.clone();
        for placer in &mut next.placers {
            placer.key_busy_ticks = placer.key_busy_ticks.saturating_sub(1);
            placer.takeover_delay = placer
                .takeover_delay
                .map(|ticks_left| ticks_left.saturating_sub(1));
            placer.acks = placer
                .acks
                .map(|ticks_left| ticks_left.map(|ticks_left| ticks_left.saturating_sub(1)));
        }
        for worker in &mut next.workers {
            worker.run_ticks_left = worker.run_ticks_left.saturating_sub(1);
        }
        for start in next.starts.iter_mut().flatten() {
            start.ticks_left = start
                .ticks_left
                .and_then(|ticks_left| ticks_left.checked_sub(1));
        }
        successors.push(|| "a tick".to_owned(), next);
    }
}

impl Spec for Ownership {
    type State = State;

    fn initial(&self) -> State {
        let worker = Worker {
            slot: EpochFence::new(1),
            run_ticks_left: 0,
            started: 0,
        };
        State {
            epoch: 0,
            placers: [Placer::default(); PLACERS],
            workers: [worker; WORKERS],
            starts: [None; MAX_STARTS],
            restarts: 0,
        }
    }

    fn successors(&self, state: &State, successors: &mut Successors<State>) {
        for p in 0..PLACERS {
            self.take_over(state, p, successors);
            if state.placers[p].epoch > 0 {
                self.confirm_restart(state, p, successors);
                self.contact_workers(state, p, successors);
                self.act(state, p, successors);
            }
        }
        self.deliver(state, successors);
        self.restart(state, successors);
        self.tick(state, successors);
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        let running = state
            .workers
            .iter()
            .filter(|worker| worker.run_ticks_left > 0)
            .count();
        (running > 1).then_some("the key runs in two places")
    }
}
