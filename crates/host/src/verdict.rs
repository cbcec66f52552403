//! Whether an owner that a host lost the link to is lost for all, or for this host only.

use std::fmt;

/// What came back when a host was asked whether it hears a pool's owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
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
    /// How many answered [`Answer::Hears`].
    pub hears: u32,
    /// How many answered [`Answer::DoesNotHear`].
    pub does_not_hear: u32,
    /// How many answered [`Answer::Refused`].
    pub refused: u32,
    /// How many answered [`Answer::TimedOut`].
    pub timed_out: u32,
}

impl FromIterator<Answer> for Tally {
    fn from_iter<I: IntoIterator<Item = Answer>>(answers: I) -> Self {
        let mut tally = Self::default();
        for answer in answers {
            let count = match answer {
                Answer::Hears => &mut tally.hears,
                Answer::DoesNotHear => &mut tally.does_not_hear,
                Answer::Refused => &mut tally.refused,
                Answer::TimedOut => &mut tally.timed_out,
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
}

/// What is known of an owner without a link to it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Evidence {
    /// What its heirs answered.
    pub witnesses: Tally,
}

impl Evidence {
    /// What follows from it.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        if self.witnesses.hears > 0 {
            return Verdict::Alive;
        }
        Verdict::Lost
    }
}
