//! Claims: a non-idempotent request runs at most once, and the answer "not run" is true.
//!
//! One request is submitted twice, through two entries. Two placers own the rack one after the
//! other. The table fences claims by the rack's row, and its answer can be lost after the write has
//! taken effect. Start commands are delayed without bound and duplicated. A worker enforces a new
//! epoch only after the new owner has adopted it, so until then a command of the old owner can still
//! start work there.

use std::collections::BTreeSet;

use crate::{Spec, Successors};

/// Number of submissions of the request.
pub const SUBMISSIONS: usize = 2;
/// Number of placers.
pub const PLACERS: usize = 2;
/// Number of workers.
pub const WORKERS: usize = 2;

/// Safeguards. The protocol has all of them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Guards {
    /// A request is claimed before it is started.
    pub claim: bool,
    /// A claim fails if the rack has another owner. The search shows that no violation follows
    /// without this check: it only lets the answer be "not run" where it would otherwise be "may
    /// have run".
    pub claim_checks_owner: bool,
    /// An owner remembers the requests that it received, so that a second submission joins the
    /// first.
    pub deduplicate: bool,
    /// After a lost answer the entry answers "may have run", even if a later answer is "not run".
    pub track_lost_answers: bool,
    /// A start command without an answer is voided at its worker before "not run" is answered.
    pub void_unanswered: bool,
}

impl Guards {
    /// All safeguards.
    pub const ALL: Self = Self {
        claim: true,
        claim_checks_owner: true,
        deduplicate: true,
        track_lost_answers: true,
        void_unanswered: true,
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

/// Answer to a caller.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Answer {
    Done,
    NotRun,
    MayHaveRun,
}

/// Progress of the request at an owner.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Progress {
    #[default]
    NotReceived,
    Received,
    Claimed,
    Sent {
        worker: usize,
    },
    Ended(Option<Answer>),
}

#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
struct Placer {
    epoch: u8,
    progress: Progress,
    /// Submissions that wait for this owner, as a bit mask.
    submissions: u8,
}

/// State of a submission at its entry.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Submission {
    Open {
        answer_lost: bool,
        attempts: u8,
    },
    Waiting {
        placer: usize,
        answer_lost: bool,
        attempts: u8,
    },
    Answered(Answer),
}

/// The whole system.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct State {
    epoch: u8,
    claim: Option<u8>,
    placers: [Placer; PLACERS],
    submissions: [Submission; SUBMISSIONS],
    /// Epoch that each worker enforces.
    worker_epochs: [u8; WORKERS],
    /// Start commands that each worker has run or voided: (epoch, whether it was run).
    seen: [BTreeSet<(u8, bool)>; WORKERS],
    /// Start commands in flight: (worker, epoch).
    in_flight: BTreeSet<(usize, u8)>,
    runs: u8,
}

impl Claims {
    fn take_over(&self, state: &State, successors: &mut Successors<State>) {
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
            // Submissions that wait for the previous incarnation of the process get no answer.
            for submission in &mut next.submissions {
                if let Submission::Waiting {
                    placer, attempts, ..
                } = *submission
                    && placer == p
                {
                    *submission = Submission::Open {
                        answer_lost: true,
                        attempts,
                    };
                }
            }
            let epoch = next.epoch;
            successors.push(|| format!("p{p} takes over under epoch {epoch}"), next);
        }
    }

    fn adopt(&self, state: &State, successors: &mut Successors<State>) {
        for w in 0..WORKERS {
            if state.worker_epochs[w] < state.epoch {
                let mut next = state.clone();
                next.worker_epochs[w] = state.epoch;
                successors.push(
                    || format!("w{w} is adopted under epoch {}", state.epoch),
                    next,
                );
            }
        }
    }

    fn submit(&self, state: &State, successors: &mut Successors<State>) {
        for s in 0..SUBMISSIONS {
            match state.submissions[s] {
                Submission::Open {
                    answer_lost,
                    attempts,
                } if attempts < 2 => {
                    for p in (0..PLACERS).filter(|p| state.placers[*p].epoch > 0) {
                        self.receive(state, s, p, answer_lost, attempts, successors);
                    }
                }
                Submission::Waiting {
                    placer, attempts, ..
                } => {
                    let mut next = state.clone();
                    next.submissions[s] = Submission::Open {
                        answer_lost: true,
                        attempts,
                    };
                    next.placers[placer].submissions &= !(1 << s);
                    successors.push(
                        || format!("the connection of submission {s} to p{placer} breaks"),
                        next,
                    );
                }
                Submission::Open { answer_lost, .. } => {
                    self.abandon(state, s, answer_lost, successors);
                }
                Submission::Answered(_) => {}
            }
        }
    }

    fn receive(
        &self,
        state: &State,
        s: usize,
        p: usize,
        answer_lost: bool,
        attempts: u8,
        successors: &mut Successors<State>,
    ) {
        let mut next = state.clone();
        let attempts = attempts + 1;
        next.submissions[s] = Submission::Waiting {
            placer: p,
            answer_lost,
            attempts,
        };
        let placer = &mut next.placers[p];
        placer.submissions |= 1 << s;
        let again = placer.progress != Progress::NotReceived && !self.guards.deduplicate;
        if placer.progress == Progress::NotReceived || again {
            placer.progress = Progress::Received;
        }
        successors.push(|| format!("submission {s} reaches p{p}"), next);
    }

    /// Answers a submission whose entry has no attempt left.
    fn abandon(
        &self,
        state: &State,
        s: usize,
        answer_lost: bool,
        successors: &mut Successors<State>,
    ) {
        let mut next = state.clone();
        let answer = if answer_lost && self.guards.track_lost_answers {
            Answer::MayHaveRun
        } else {
            Answer::NotRun
        };
        next.submissions[s] = Submission::Answered(answer);
        successors.push(
            || format!("the entry answers submission {s}: {answer:?}"),
            next,
        );
    }

    fn advance(&self, state: &State, p: usize, successors: &mut Successors<State>) {
        let placer = state.placers[p];
        match placer.progress {
            Progress::NotReceived => {}
            Progress::Received => self.claim(state, p, successors),
            Progress::Claimed => {
                for w in (0..WORKERS).filter(|w| state.worker_epochs[*w] >= placer.epoch) {
                    let mut next = state.clone();
                    next.in_flight.insert((w, placer.epoch));
                    next.placers[p].progress = Progress::Sent { worker: w };
                    successors.push(|| format!("p{p} sends the start command to w{w}"), next);
                }
                let mut next = state.clone();
                next.placers[p].progress = Progress::Ended(Some(Answer::NotRun));
                successors.push(
                    || format!("p{p} abandons the request before the start"),
                    next,
                );
            }
            Progress::Sent { worker } => self.resolve(state, p, worker, successors),
            Progress::Ended(answer) => self.reply(state, p, answer, successors),
        }
    }

    fn claim(&self, state: &State, p: usize, successors: &mut Successors<State>) {
        let epoch = state.placers[p].epoch;
        let mut next = state.clone();
        if !self.guards.claim {
            next.placers[p].progress = Progress::Claimed;
            successors.push(|| format!("p{p} does not claim"), next);
            return;
        }
        let owner = state.epoch == epoch || !self.guards.claim_checks_owner;
        if !owner {
            next.placers[p].progress = Progress::Ended(Some(Answer::NotRun));
            successors.push(|| format!("the claim of p{p} fails: another owner"), next);
            return;
        }
        match state.claim {
            Some(other) if other != epoch => {
                next.placers[p].progress = Progress::Ended(Some(Answer::MayHaveRun));
                successors.push(
                    || format!("the claim of p{p} fails: claimed under {other}"),
                    next,
                );
            }
            _ => {
                next.claim = Some(epoch);
                let mut lost = next.clone();
                // The request was not started, so "not run" is true although the claim is stored.
                lost.placers[p].progress = Progress::Ended(Some(Answer::NotRun));
                successors.push(
                    || format!("the claim of p{p} is written, the answer is lost"),
                    lost,
                );
                next.placers[p].progress = Progress::Claimed;
                successors.push(|| format!("p{p} claims under epoch {epoch}"), next);
            }
        }
    }

    /// Ends the request after its start command: with the result, as not run, or as unknown.
    fn resolve(&self, state: &State, p: usize, w: usize, successors: &mut Successors<State>) {
        let epoch = state.placers[p].epoch;
        let end = |answer: Answer, label: String, successors: &mut Successors<State>| {
            let mut next = state.clone();
            next.placers[p].progress = Progress::Ended(Some(answer));
            successors.push(|| label, next);
        };
        if state.seen[w].contains(&(epoch, true)) {
            end(Answer::Done, format!("w{w} answers p{p}"), successors);
        }
        end(
            Answer::MayHaveRun,
            format!("w{w} is unreachable for p{p}"),
            successors,
        );
        if state.worker_epochs[w] > epoch {
            // Only a refusal of this command shows that it was not started. The command may be
            // delivered again, but the worker's epoch never decreases.
            if !state.seen[w].contains(&(epoch, true)) {
                end(
                    Answer::NotRun,
                    format!("w{w} refuses p{p}: fenced"),
                    successors,
                );
            }
            return;
        }
        if state.seen[w].contains(&(epoch, true)) {
            return;
        }
        if self.guards.void_unanswered {
            let mut next = state.clone();
            next.seen[w].insert((epoch, false));
            next.placers[p].progress = Progress::Ended(Some(Answer::NotRun));
            successors.push(|| format!("p{p} voids the start at w{w}"), next);
        } else {
            end(
                Answer::NotRun,
                format!("p{p} treats the missing answer of w{w} as not run"),
                successors,
            );
        }
    }

    fn reply(
        &self,
        state: &State,
        p: usize,
        answer: Option<Answer>,
        successors: &mut Successors<State>,
    ) {
        let Some(answer) = answer else {
            return;
        };
        for s in 0..SUBMISSIONS {
            let Submission::Waiting {
                placer,
                answer_lost,
                attempts,
            } = state.submissions[s]
            else {
                continue;
            };
            if placer != p {
                continue;
            }
            let mut next = state.clone();
            next.placers[p].submissions &= !(1 << s);
            next.submissions[s] = match answer {
                Answer::NotRun if attempts < 2 => Submission::Open {
                    answer_lost,
                    attempts,
                },
                Answer::NotRun if answer_lost && self.guards.track_lost_answers => {
                    Submission::Answered(Answer::MayHaveRun)
                }
                answer => Submission::Answered(answer),
            };
            // A request that certainly did not run may be submitted again.
            if answer == Answer::NotRun && next.placers[p].submissions == 0 {
                next.placers[p].progress = Progress::NotReceived;
            }
            successors.push(|| format!("p{p} answers submission {s}: {answer:?}"), next);
        }
    }

    fn deliver(&self, state: &State, successors: &mut Successors<State>) {
        for &(w, epoch) in &state.in_flight {
            let known = state.seen[w].iter().any(|(e, _)| *e == epoch);
            if epoch == state.worker_epochs[w] && !known {
                let mut next = state.clone();
                next.seen[w].insert((epoch, true));
                next.runs += 1;
                successors.push(|| format!("w{w} runs the request for epoch {epoch}"), next);
            }
        }
    }
}

impl Spec for Claims {
    type State = State;

    fn initial(&self) -> State {
        State {
            epoch: 0,
            claim: None,
            placers: [Placer::default(); PLACERS],
            submissions: [Submission::Open {
                answer_lost: false,
                attempts: 0,
            }; SUBMISSIONS],
            worker_epochs: [0; WORKERS],
            seen: [BTreeSet::new(), BTreeSet::new()],
            in_flight: BTreeSet::new(),
            runs: 0,
        }
    }

    fn successors(&self, state: &State, successors: &mut Successors<State>) {
        self.take_over(state, successors);
        self.adopt(state, successors);
        self.submit(state, successors);
        for p in 0..PLACERS {
            self.advance(state, p, successors);
        }
        self.deliver(state, successors);
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        if state.runs > 1 {
            return Some("the request ran twice");
        }
        let all_answered = |wanted| {
            state
                .submissions
                .iter()
                .all(|submission| *submission == Submission::Answered(wanted))
        };
        if all_answered(Answer::NotRun) && state.runs > 0 {
            return Some("every submission was answered \"not run\", but the request ran");
        }
        let done = state
            .submissions
            .contains(&Submission::Answered(Answer::Done));
        (done && state.runs == 0)
            .then_some("a submission was answered \"done\", but the request did not run")
    }
}
