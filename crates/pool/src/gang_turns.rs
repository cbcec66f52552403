//! Turns of gangs at the limits of their customers, without network or clock.
//!
//! A gang needs resources for all its members at once, but small tasks of its customer take whatever the limit leaves. So a gang
//! that has waited gets a turn: until the turn ends, other tasks of the customer leave free what the gang needs, unless they end
//! before it can start (backfilling). Guards against a reservation that outlasts its use: a gang that can't start beside what won't end gets no
//! turn, a turn is bounded in time, and between two turns the customer's other tasks start freely.

use resource::Size;
use rustc_hash::FxHashMap;

use crate::customer::{CustomerId, Limit};
use crate::task::{Ms, StageKey};

/// A gang that has waited this long for its customer's limit may get a turn. The time doubles with each turn in which it didn't
/// start, up to [`MAX_DOUBLINGS`] times.
const GANG_PATIENCE: Ms = 1_000;
/// Bounds the time between two turns of a gang.
const MAX_DOUBLINGS: u32 = 5;
/// A turn may last as long as the gang has waited before it, and at least this long.
const MIN_TURN: Ms = 2_000;
/// A turn ends if the gang hasn't started this long after the limit allowed it: it lacks workers or advice.
const START_TIMEOUT: Ms = 1_500;

/// Minimum time between two updates of the turns, for which all runs of the customers are looked at.
const UPDATE_INTERVAL: Ms = 100;

/// Resources in use that are expected to be released after this time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Release {
    /// Time until then, in milliseconds.
    pub after: Ms,
    /// The resources.
    pub size: Size,
}

/// Time until a gang fits within a limit beside what is still in use then; `None` if that isn't expected ever.
pub(crate) fn time_to_fit(
    limit: Limit,
    mut used: Size,
    gang: Size,
    mut releases: Vec<Release>,
) -> Option<Ms> {
    if limit.allows(used, gang) {
        return Some(0);
    }
    releases.sort_by_key(|release| release.after);
    for release in releases {
        used = used.saturating_minus(release.size);
        if limit.allows(used, gang) {
            return Some(release.after);
        }
    }
    None
}

/// A gang that waits for its customer's limit.
#[derive(Clone, Debug)]
pub struct GangWait {
    /// The gang.
    pub stage: StageKey,
    /// Its customer.
    pub customer: CustomerId,
    /// Resources of all its members.
    pub size: Size,
    /// Expected duration of the gang, in milliseconds.
    pub duration: Ms,
    /// Time for which it has waited for the limit, in milliseconds.
    pub waited: Ms,
    /// Number of turns in which it didn't start.
    pub turns: u32,
    /// Time until it fits within the limit, in milliseconds; `None` if it can't beside what won't end.
    pub fits_after: Option<Ms>,
}

impl GangWait {
    /// Whether it has waited long enough for its next turn.
    pub(crate) fn is_due(&self) -> bool {
        self.waited >= GANG_PATIENCE << self.turns.min(MAX_DOUBLINGS)
    }

    /// The longest time that its turn may last.
    fn max_turn(&self) -> Ms {
        self.waited.max(MIN_TURN)
    }
}

/// Why a turn began or ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TurnChange {
    /// It began.
    Began,
    /// The gang started, was cancelled, or can't start for another reason than the limit.
    Over,
    /// The gang doesn't fit within the limit any more beside what won't end.
    Blocked,
    /// The limit allowed the gang, but it didn't start.
    NotStarted,
    /// What runs took longer than the turn may last.
    TimedOut,
}

impl TurnChange {
    /// Short name for logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Began => "began",
            Self::Over => "over",
            Self::Blocked => "blocked",
            Self::NotStarted => "not_started",
            Self::TimedOut => "timed_out",
        }
    }
}

/// The beginning or end of a gang's turn, for the log.
#[derive(Clone, Debug)]
pub struct GangTurnEvent {
    /// The gang, as of the latest scheduling pass in which it waited.
    pub gang: GangWait,
    /// What happened.
    pub change: TurnChange,
    /// Time since the turn began, in milliseconds.
    pub lasted: Ms,
}

/// The present turn of a customer's gang.
#[derive(Clone, Debug)]
pub(crate) struct Turn {
    /// The gang.
    pub gang: GangWait,
    /// When it is expected to fit within the limit.
    pub fits_at: Ms,
    /// When the turn began.
    began: Ms,
    /// The turn ends at this time at the latest.
    ends: Ms,
    /// Since when the limit has allowed the gang.
    fits_since: Option<Ms>,
}

impl Turn {
    fn new(now: Ms, gang: GangWait) -> Self {
        Self {
            fits_at: now + gang.fits_after.unwrap_or(0),
            began: now,
            ends: now + gang.max_turn(),
            fits_since: None,
            gang,
        }
    }

    /// Applies the present state of the gang, `None` if it doesn't wait any more; returns how the turn ends, if it does.
    fn update(&mut self, now: Ms, gang: Option<&GangWait>) -> Option<TurnChange> {
        let Some(gang) = gang else {
            return Some(TurnChange::Over);
        };
        self.gang = gang.clone();
        let Some(after) = gang.fits_after else {
            return Some(TurnChange::Blocked);
        };
        self.fits_at = now + after;
        if after == 0 {
            self.fits_since.get_or_insert(now);
        }
        let stalled = |since: Ms| now.saturating_sub(since) >= START_TIMEOUT;
        if self.fits_since.is_some_and(stalled) {
            return Some(TurnChange::NotStarted);
        }
        (now >= self.ends).then_some(TurnChange::TimedOut)
    }
}

/// The time between two turns at the limit of a customer. It lasts as long as the turn before, and until another task of the customer
/// has started: the gang may use the whole limit for a while.
#[derive(Clone, Debug)]
struct Pause {
    /// The gang that had its turn.
    gang: StageKey,
    /// When the pause ends if another task has started.
    min_end: Ms,
    /// When it ends otherwise: the gang has ended by then.
    max_end: Ms,
    /// Whether a task of another step of the customer has started since.
    others_started: bool,
}

impl Pause {
    fn new(now: Ms, turn: &Turn) -> Self {
        let min_end = now + now.saturating_sub(turn.began);
        Self {
            gang: turn.gang.stage.clone(),
            min_end,
            max_end: min_end + turn.gang.duration,
            others_started: false,
        }
    }

    fn is_over(&self, now: Ms) -> bool {
        let end = if self.others_started {
            self.min_end
        } else {
            self.max_end
        };
        now >= end
    }
}

/// The turns of all customers' gangs; each customer has at most one at a time.
#[derive(Debug, Default)]
pub(crate) struct GangTurns {
    current: FxHashMap<CustomerId, Turn>,
    pauses: FxHashMap<CustomerId, Pause>,
    /// When the turns were last updated.
    updated_at: Option<Ms>,
    events: Vec<GangTurnEvent>,
}

impl GangTurns {
    /// The present turn of a customer's gang.
    pub(crate) fn of(&self, customer: &str) -> Option<&Turn> {
        self.current.get(customer)
    }

    /// Whether this gang has its turn.
    pub(crate) fn has_turn(&self, customer: &str, gang: &StageKey) -> bool {
        self.of(customer)
            .is_some_and(|turn| turn.gang.stage == *gang)
    }

    /// Whether the turns should be updated.
    pub(crate) fn are_due(&self, now: Ms) -> bool {
        let since = |updated_at| now.saturating_sub(updated_at);
        self.updated_at
            .is_none_or(|it| since(it) >= UPDATE_INTERVAL)
    }

    /// Ends and begins turns, given all gangs that wait, in the order in which they should start. Returns the gangs whose turns have
    /// ended and that still wait.
    pub(crate) fn update(&mut self, now: Ms, waiting: &[GangWait]) -> Vec<StageKey> {
        self.updated_at = Some(now);
        self.pauses.retain(|_, pause| !pause.is_over(now));
        let mut ended = Vec::new();
        for (customer, turn) in &mut self.current {
            let gang = waiting.iter().find(|gang| gang.stage == turn.gang.stage);
            let Some(change) = turn.update(now, gang) else {
                continue;
            };
            if change != TurnChange::Over {
                ended.push(turn.gang.stage.clone());
            }
            let pause = Pause::new(now, turn);
            self.pauses.insert(CustomerId::clone(customer), pause);
            self.events.push(GangTurnEvent {
                gang: turn.gang.clone(),
                change,
                lasted: now.saturating_sub(turn.began),
            });
        }
        self.current
            .retain(|customer, _| !self.pauses.contains_key(customer));
        for gang in waiting {
            let taken = self.current.contains_key(&gang.customer)
                || self.pauses.contains_key(&gang.customer);
            let soon = gang.fits_after.is_some_and(|it| it <= gang.max_turn());
            if taken || !soon || !gang.is_due() {
                continue;
            }
            let turn = Turn::new(now, gang.clone());
            self.current.insert(CustomerId::clone(&gang.customer), turn);
            self.events.push(GangTurnEvent {
                gang: gang.clone(),
                change: TurnChange::Began,
                lasted: 0,
            });
        }
        ended
    }

    /// Records that tasks of a step of this customer were started.
    pub(crate) fn record_start(&mut self, customer: &str, step: &StageKey) {
        if let Some(pause) = self.pauses.get_mut(customer) {
            pause.others_started |= pause.gang != *step;
        }
    }

    /// Returns and clears the events since the last call.
    pub(crate) fn take_events(&mut self) -> Vec<GangTurnEvent> {
        std::mem::take(&mut self.events)
    }
}
