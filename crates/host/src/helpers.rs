//! Which host asks the advisor.
//!
//! Answers the load in which an owner has far more questions than one host can ask: the advisor serves one call at a time for each
//! host, so others ask for the owner. Half of them are in another region or have a thin line, and the way there and back costs
//! more than a short question, but little against a long one. So short questions go where the answer is back soonest, by what a
//! host has to ask already and by how much later than reckoned its answers came before; long ones go to the hosts that are
//! farthest, as long as one of those is free, and leave the near ones to the short.

use std::cmp::Reverse;

use pool::Ms;

/// Each answer counts this part of the running mean.
const NEWEST: Ms = 4;
/// An answer that failed or came very late counts as this late, so that one outage doesn't set a host aside for long.
const LATE_MOST: Ms = 1_000;

/// What is known of one host that asks the advisor.
#[derive(Clone, Copy, Debug, Default)]
pub struct Helper {
    /// The advisor is done with its questions by then.
    pub busy: Ms,
    /// How much later its answers come, in milliseconds; `None` if it was not asked yet.
    late: Option<Ms>,
}

/// A question is short if it takes no longer, in milliseconds.
const SHORT: Ms = 150;
/// A question that takes this many times as long as the way to a host may as well go there.
const LONG: Ms = 3;

/// Place of a host in the choice; the smallest is taken.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Place {
    /// When the answer would be back, or when the host is free, but for the time that the question itself takes.
    free: Ms,
    /// For long questions, how near it is.
    near: Reverse<Ms>,
}

/// A question that was given to a host: when its answer would be there without the way.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Due(pub Ms);

impl Helper {
    /// Its place in the choice for a question that takes this long. `away` is the time in which the platform answers the host, in
    /// milliseconds: as long as it was not asked, the way to it counts as much again.
    #[must_use]
    pub fn place(&self, now: Ms, away: Ms, takes: Ms) -> Place {
        let late = self.late.unwrap_or(away.min(LATE_MOST) * 2);
        let free = self.busy.max(now);
        if takes > late * LONG && takes > SHORT {
            return Place {
                free,
                near: Reverse(late),
            };
        }
        Place {
            free: free + late,
            near: Reverse(0),
        }
    }

    /// It is given a question that takes this long.
    pub fn ask(&mut self, now: Ms, takes: Ms) -> Due {
        self.busy = self.busy.max(now) + takes;
        Due(self.busy)
    }

    /// The answer is there, or it failed.
    pub fn answered(&mut self, now: Ms, due: Due) {
        let late = now.saturating_sub(due.0).min(LATE_MOST);
        self.late = Some(match self.late {
            None => late,
            Some(before) => (before * (NEWEST - 1) + late) / NEWEST,
        });
    }
}
