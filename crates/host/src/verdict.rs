//! Whether an owner that a host lost the link to is lost for all, or for this host only.
//!
//! Answers the load in which the host's own line is full: neither beats nor answers come through, and the owner works. That no
//! answer came says as much about the line as about the owner, so it counts only beside a call on the same line that was
//! answered, or after a while. Where the owner and all its heirs have ended, their machines refuse connections, which is an
//! answer; where they have lost power, the store still answers.

use std::fmt;
use std::time::Duration;

/// Without an answer from any other host a host whose line works stands back for this long, and asks again meanwhile.
const CUT_OFF_LIMIT: Duration = Duration::from_secs(1);
/// A host whose line doesn't work, as far as it knows, stands back for this long. It is less than workers' leases last.
const LINE_FULL_LIMIT: Duration = Duration::from_secs(5);

/// What came back when a host was asked whether it hears a pool's owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WitnessAnswer {
    /// It hears the owner, or is it.
    Hears,
    /// It is alive and doesn't hear the owner.
    DoesNotHear,
    /// Its machine refused the connection: the process has ended.
    Refused,
    /// Nothing came in time.
    TimedOut,
}

/// Answers of the hosts that were asked, counted.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Tally {
    /// How many answered [`WitnessAnswer::Hears`].
    pub hears: u32,
    /// How many answered [`WitnessAnswer::DoesNotHear`].
    pub does_not_hear: u32,
    /// How many answered [`WitnessAnswer::Refused`].
    pub refused: u32,
    /// How many answered [`WitnessAnswer::TimedOut`].
    pub timed_out: u32,
}

impl FromIterator<WitnessAnswer> for Tally {
    fn from_iter<I: IntoIterator<Item = WitnessAnswer>>(answers: I) -> Self {
        let mut tally = Self::default();
        for answer in answers {
            let count = match answer {
                WitnessAnswer::Hears => &mut tally.hears,
                WitnessAnswer::DoesNotHear => &mut tally.does_not_hear,
                WitnessAnswer::Refused => &mut tally.refused,
                WitnessAnswer::TimedOut => &mut tally.timed_out,
            };
            *count += 1;
        }
        tally
    }
}

impl Tally {
    /// How many hosts were asked.
    #[must_use]
    pub fn asked(&self) -> u32 {
        self.answered() + self.timed_out
    }

    /// How many answered, whatever they said.
    #[must_use]
    pub fn answered(&self) -> u32 {
        self.hears + self.does_not_hear + self.refused
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "of {} asked {} hear the owner, {} don't, {} refused, {} timed out",
            self.asked(),
            self.hears,
            self.does_not_hear,
            self.refused,
            self.timed_out
        )
    }
}

/// What a host concludes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The owner works: only this host doesn't hear it.
    Alive,
    /// The owner is lost: another host has to take the pool.
    Lost,
    /// It can't be told yet: others go first, and this host asks again.
    Unsure,
}

/// What is known of an owner without a link to it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Evidence {
    /// What the owner's own address answered; `None` if the others had answered by then.
    pub owner: Option<WitnessAnswer>,
    /// What its heirs answered.
    pub witnesses: Tally,
    /// The store answered in half the time that the others had: an answer of theirs takes two round trips, one of the store's
    /// takes one.
    pub store_answered: bool,
    /// The owner's row was written by it since it could first not be told whether it is lost.
    pub rewritten: bool,
    /// Time since then.
    pub unsure_for: Duration,
}

impl Evidence {
    /// What follows from it.
    ///
    /// ```
    /// use host::verdict::{WitnessAnswer, Evidence, Verdict};
    ///
    /// let silent = Evidence { witnesses: [WitnessAnswer::TimedOut; 7].into_iter().collect(), ..Evidence::default() };
    /// assert_eq!(silent.verdict(), Verdict::Unsure);
    /// let ended = Evidence { owner: Some(WitnessAnswer::Refused), ..silent };
    /// assert_eq!(ended.verdict(), Verdict::Lost);
    /// ```
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        if self.owner == Some(WitnessAnswer::Hears) || self.witnesses.hears > 0 {
            return Verdict::Alive;
        }
        if matches!(
            self.owner,
            Some(WitnessAnswer::DoesNotHear | WitnessAnswer::Refused)
        ) {
            return Verdict::Lost;
        }
        if self.witnesses.answered() > self.witnesses.timed_out {
            return Verdict::Lost;
        }
        if self.rewritten {
            return Verdict::Alive;
        }
        if self.unsure_for >= self.limit() {
            return Verdict::Lost;
        }
        Verdict::Unsure
    }

    /// How long a host stands back that got few answers.
    fn limit(&self) -> Duration {
        match (self.store_answered, self.witnesses.answered()) {
            (false, _) => LINE_FULL_LIMIT,
            (true, 0) => CUT_OFF_LIMIT,
            (true, _) => Duration::ZERO,
        }
    }
}

impl fmt::Display for Evidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (store, ms) = (self.store_answered, self.unsure_for.as_millis());
        write!(f, "{}", self.witnesses)?;
        match self.owner {
            Some(answer) => write!(f, "; the owner: {answer:?}")?,
            None => f.write_str("; the owner hadn't answered")?,
        }
        write!(f, "; the store answered: {store}; unsure for {ms} ms")
    }
}
