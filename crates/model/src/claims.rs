//! Claims: a non-idempotent request runs at most once, and "not run" is true.
//!
//! One request is asked twice, through two entries. Two placers own the rack one after the other;
//! the table fences claims by the rack's row, and may lose an answer after the write took effect.
//! Start commands are delayed without bound and duplicated; the worker honours the epoch only once
//! the new owner has adopted it, so an old owner's command can still start work there before that.

use std::collections::BTreeSet;

use crate::{Spec, Steps};

/// Number of asks.
pub const ASKS: usize = 2;
/// Number of placers.
pub const PLACERS: usize = 2;
/// Number of workers.
pub const WORKERS: usize = 2;

/// Safeguards; the protocol has them all.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Guards {
    /// A request is claimed before it is started.
    pub claim: bool,
    /// A claim fails if the rack has another owner. The search shows that nothing untrue follows
    /// without it; it spares callers a "may have run" where "not run" can be said.
    pub claim_checks_owner: bool,
    /// An owner remembers what it was asked, so that the second ask joins the first.
    pub memory: bool,
    /// An answer that was lost counts as "may have run", even if a later one says "not run".
    pub ledger: bool,
    /// A start that brought no answer is voided at its worker before "not run" is said.
    pub void: bool,
}

impl Guards {
    /// All safeguards.
    pub const ALL: Self = Self {
        claim: true,
        claim_checks_owner: true,
        memory: true,
        ledger: true,
        void: true,
    };
}

/// The specification.
#[derive(Clone, Copy, Debug)]
pub struct Claims {
    /// Which safeguards are in place.
    pub guards: Guards,
    /// Highest epoch.
    pub epochs: u8,
}

/// What a caller was told.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Told {
    Done,
    NotRun,
    MayHaveRun,
}

/// What an owner knows of the request.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Progress {
    #[default]
    Unheard,
    Heard,
    Claimed,
    Sent {
        worker: usize,
    },
    Ended(Option<Told>),
}

#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
struct Placer {
    epoch: u8,
    progress: Progress,
    /// The asks that wait for this owner, as bits.
    asks: u8,
}

/// Where an ask stands at its entry.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Ask {
    Open {
        lost: bool,
        tries: u8,
    },
    Waiting {
        placer: usize,
        lost: bool,
        tries: u8,
    },
    Told(Told),
}

/// The whole system.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    epoch: u8,
    claim: Option<u8>,
    placers: [Placer; PLACERS],
    asks: [Ask; ASKS],
    /// Epoch that each worker obeys.
    slots: [u8; WORKERS],
    /// Attempts that each worker ran or voided: (epoch, ran).
    seen: [BTreeSet<(u8, bool)>; WORKERS],
    /// Starts under way: (worker, epoch).
    mail: BTreeSet<(usize, u8)>,
    runs: u8,
}

impl Claims {
    fn take(&self, state: &State, steps: &mut Steps<State>) {
        if state.epoch == self.epochs {
            return;
        }
        for p in 0..PLACERS {
            let mut next = state.clone();
            next.epoch += 1;
            next.placers[p] = Placer {
                epoch: next.epoch,
                ..Placer::default()
            };
            // Asks that waited for the same process in its former life get no answer.
            for ask in &mut next.asks {
                if let Ask::Waiting { placer, tries, .. } = *ask
                    && placer == p
                {
                    *ask = Ask::Open { lost: true, tries };
                }
            }
            let epoch = next.epoch;
            steps.push(|| format!("p{p} takes epoch {epoch}"), next);
        }
    }

    fn adopt(&self, state: &State, steps: &mut Steps<State>) {
        for w in 0..WORKERS {
            if state.slots[w] < state.epoch {
                let mut next = state.clone();
                next.slots[w] = state.epoch;
                steps.push(
                    || format!("w{w} is adopted under epoch {}", state.epoch),
                    next,
                );
            }
        }
    }

    fn ask(&self, state: &State, steps: &mut Steps<State>) {
        for a in 0..ASKS {
            match state.asks[a] {
                Ask::Open { lost, tries } if tries < 2 => {
                    for p in (0..PLACERS).filter(|p| state.placers[*p].epoch > 0) {
                        self.arrive(state, a, p, lost, tries, steps);
                    }
                }
                Ask::Waiting { placer, tries, .. } => {
                    let mut next = state.clone();
                    next.asks[a] = Ask::Open { lost: true, tries };
                    next.placers[placer].asks &= !(1 << a);
                    steps.push(
                        || format!("the connection of ask {a} to p{placer} breaks"),
                        next,
                    );
                }
                Ask::Open { lost, .. } => self.give_up(state, a, lost, steps),
                Ask::Told(_) => {}
            }
        }
    }

    fn arrive(
        &self,
        state: &State,
        a: usize,
        p: usize,
        lost: bool,
        tries: u8,
        steps: &mut Steps<State>,
    ) {
        let mut next = state.clone();
        let tries = tries + 1;
        next.asks[a] = Ask::Waiting {
            placer: p,
            lost,
            tries,
        };
        let placer = &mut next.placers[p];
        placer.asks |= 1 << a;
        let again = placer.progress != Progress::Unheard && !self.guards.memory;
        if placer.progress == Progress::Unheard || again {
            placer.progress = Progress::Heard;
        }
        steps.push(|| format!("ask {a} reaches p{p}"), next);
    }

    /// An entry that has no try left says what it may say.
    fn give_up(&self, state: &State, a: usize, lost: bool, steps: &mut Steps<State>) {
        let mut next = state.clone();
        let told = if lost && self.guards.ledger {
            Told::MayHaveRun
        } else {
            Told::NotRun
        };
        next.asks[a] = Ask::Told(told);
        steps.push(|| format!("ask {a} is told {told:?}"), next);
    }

    fn work(&self, state: &State, p: usize, steps: &mut Steps<State>) {
        let placer = state.placers[p];
        match placer.progress {
            Progress::Unheard => {}
            Progress::Heard => self.claim(state, p, steps),
            Progress::Claimed => {
                for w in (0..WORKERS).filter(|w| state.slots[*w] >= placer.epoch) {
                    let mut next = state.clone();
                    next.mail.insert((w, placer.epoch));
                    next.placers[p].progress = Progress::Sent { worker: w };
                    steps.push(|| format!("p{p} sends the start to w{w}"), next);
                }
                let mut next = state.clone();
                next.placers[p].progress = Progress::Ended(Some(Told::NotRun));
                steps.push(|| format!("p{p} gives up before the start"), next);
            }
            Progress::Sent { worker } => self.resolve(state, p, worker, steps),
            Progress::Ended(told) => self.tell(state, p, told, steps),
        }
    }

    fn claim(&self, state: &State, p: usize, steps: &mut Steps<State>) {
        let epoch = state.placers[p].epoch;
        let mut next = state.clone();
        if !self.guards.claim {
            next.placers[p].progress = Progress::Claimed;
            steps.push(|| format!("p{p} does not claim"), next);
            return;
        }
        let owner = state.epoch == epoch || !self.guards.claim_checks_owner;
        if !owner {
            next.placers[p].progress = Progress::Ended(Some(Told::NotRun));
            steps.push(|| format!("the claim of p{p} fails: another owner"), next);
            return;
        }
        match state.claim {
            Some(other) if other != epoch => {
                next.placers[p].progress = Progress::Ended(Some(Told::MayHaveRun));
                steps.push(
                    || format!("the claim of p{p} fails: claimed under {other}"),
                    next,
                );
            }
            _ => {
                next.claim = Some(epoch);
                let mut lost = next.clone();
                // Not started: it may be told so, although the claim stands there.
                lost.placers[p].progress = Progress::Ended(Some(Told::NotRun));
                steps.push(
                    || format!("the claim of p{p} is written, the answer is lost"),
                    lost,
                );
                next.placers[p].progress = Progress::Claimed;
                steps.push(|| format!("p{p} claims under epoch {epoch}"), next);
            }
        }
    }

    /// The owner hears of the run, or that there was none, or nothing.
    fn resolve(&self, state: &State, p: usize, w: usize, steps: &mut Steps<State>) {
        let epoch = state.placers[p].epoch;
        let end = |told: Told, label: String, steps: &mut Steps<State>| {
            let mut next = state.clone();
            next.placers[p].progress = Progress::Ended(Some(told));
            steps.push(|| label, next);
        };
        if state.seen[w].contains(&(epoch, true)) {
            end(Told::Done, format!("w{w} answers p{p}"), steps);
        }
        end(
            Told::MayHaveRun,
            format!("w{w} can't be asked by p{p}"),
            steps,
        );
        if state.slots[w] > epoch {
            // Only a refusal of this very command shows that it was not started, and the
            // command may be delivered again; but the slot never goes back.
            if !state.seen[w].contains(&(epoch, true)) {
                end(Told::NotRun, format!("w{w} refuses p{p}: fenced"), steps);
            }
            return;
        }
        if state.seen[w].contains(&(epoch, true)) {
            return;
        }
        if self.guards.void {
            let mut next = state.clone();
            next.seen[w].insert((epoch, false));
            next.placers[p].progress = Progress::Ended(Some(Told::NotRun));
            steps.push(|| format!("p{p} voids the start at w{w}"), next);
        } else {
            end(
                Told::NotRun,
                format!("p{p} takes silence of w{w} for not run"),
                steps,
            );
        }
    }

    fn tell(&self, state: &State, p: usize, told: Option<Told>, steps: &mut Steps<State>) {
        let Some(told) = told else {
            return;
        };
        for a in 0..ASKS {
            let Ask::Waiting {
                placer,
                lost,
                tries,
            } = state.asks[a]
            else {
                continue;
            };
            if placer != p {
                continue;
            }
            let mut next = state.clone();
            next.placers[p].asks &= !(1 << a);
            next.asks[a] = match told {
                Told::NotRun if tries < 2 => Ask::Open { lost, tries },
                Told::NotRun if lost && self.guards.ledger => Ask::Told(Told::MayHaveRun),
                told => Ask::Told(told),
            };
            // What certainly did not run may be asked again.
            if told == Told::NotRun && next.placers[p].asks == 0 {
                next.placers[p].progress = Progress::Unheard;
            }
            steps.push(|| format!("p{p} answers ask {a}: {told:?}"), next);
        }
    }

    fn deliver(&self, state: &State, steps: &mut Steps<State>) {
        for &(w, epoch) in &state.mail {
            let known = state.seen[w].iter().any(|(e, _)| *e == epoch);
            if epoch == state.slots[w] && !known {
                let mut next = state.clone();
                next.seen[w].insert((epoch, true));
                next.runs += 1;
                steps.push(|| format!("w{w} runs it for epoch {epoch}"), next);
            }
        }
    }
}

impl Spec for Claims {
    type State = State;

    fn first(&self) -> State {
        State {
            epoch: 0,
            claim: None,
            placers: [Placer::default(); PLACERS],
            asks: [Ask::Open {
                lost: false,
                tries: 0,
            }; ASKS],
            slots: [0; WORKERS],
            seen: [BTreeSet::new(), BTreeSet::new()],
            mail: BTreeSet::new(),
            runs: 0,
        }
    }

    fn steps(&self, state: &State, steps: &mut Steps<State>) {
        self.take(state, steps);
        self.adopt(state, steps);
        self.ask(state, steps);
        for p in 0..PLACERS {
            self.work(state, p, steps);
        }
        self.deliver(state, steps);
    }

    fn bad(&self, state: &State) -> Option<&'static str> {
        if state.runs > 1 {
            return Some("it ran twice");
        }
        let told = |wanted| state.asks.iter().all(|ask| *ask == Ask::Told(wanted));
        if told(Told::NotRun) && state.runs > 0 {
            return Some("every ask was told that it did not run, and it ran");
        }
        let done = state.asks.contains(&Ask::Told(Told::Done));
        (done && state.runs == 0).then_some("an ask was told that it ran, and it did not")
    }
}
