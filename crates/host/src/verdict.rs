//! Failure detection: whether an owner to which a host has lost its link has failed, or only this host is cut off from it.
//!
//! When the host's own network connection is saturated, neither heartbeats nor answers arrive although the owner works. A
//! missing answer says as much about the connection as about the owner, so it counts only beside a call over the same
//! connection that was answered, or after some time. If the processes of the owner and of all its successors have ended, their
//! machines refuse connections, which is an answer; if these machines have lost power, the store still answers.

use std::fmt;
use std::time::Duration;

/// A host whose connection works but that got no answer from any other host waits this long before it considers the owner lost,
/// and asks again meanwhile.
const NO_ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// The same for a host whose connection doesn't work as far as it knows. It is shorter than the leases of workers, so that the
/// pool is taken over before they lapse.
const NO_CONNECTION_TIMEOUT: Duration = Duration::from_secs(5);

/// The result of asking another host whether it receives heartbeats of a pool's owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WitnessAnswer {
    /// It receives them, or is the owner.
    Hears,
    /// It is running and doesn't receive them.
    DoesNotHear,
    /// Its machine refused the connection, so the process has ended.
    Refused,
    /// There was no answer in time.
    TimedOut,
}

/// The answers of the hosts that were asked, counted by kind.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Tally {
    /// Number of answers [`WitnessAnswer::Hears`].
    pub hears: u32,
    /// Number of answers [`WitnessAnswer::DoesNotHear`].
    pub does_not_hear: u32,
    /// Number of answers [`WitnessAnswer::Refused`].
    pub refused: u32,
    /// Number of hosts without an answer, [`WitnessAnswer::TimedOut`].
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
    /// Number of hosts that were asked.
    #[must_use]
    pub fn asked(&self) -> u32 {
        self.answered() + self.timed_out
    }

    /// Number of hosts that answered, whatever the answer.
    #[must_use]
    pub fn answered(&self) -> u32 {
        self.hears + self.does_not_hear + self.refused
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "of {} hosts asked, {} hear the owner, {} don't, {} refused, {} timed out",
            self.asked(),
            self.hears,
            self.does_not_hear,
            self.refused,
            self.timed_out
        )
    }
}

/// The conclusion of a host about an owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The owner works, and only this host is cut off from it.
    Alive,
    /// The owner has failed, and another host has to take over the pool.
    Lost,
    /// The evidence isn't sufficient yet. This host asks again; another host may take over meanwhile.
    Unsure,
}

/// What is known about an owner to which this host has no link.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Evidence {
    /// The answer from the owner's own address; `None` if the successors' answers came first and were sufficient.
    pub owner: Option<WitnessAnswer>,
    /// The answers of its successors.
    pub witnesses: Tally,
    /// The store answered within half of the timeout for the hosts: an answer of a host takes two round trips, one of the
    /// store takes one.
    pub store_answered: bool,
    /// The owner has written its row since the first [`Verdict::Unsure`] about it.
    pub rewritten: bool,
    /// Time since the first [`Verdict::Unsure`].
    pub unsure_for: Duration,
}

impl Evidence {
    /// The conclusion from this evidence.
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
        if self.unsure_for >= self.timeout() {
            return Verdict::Lost;
        }
        Verdict::Unsure
    }

    /// How long a host that got few answers waits before it considers the owner lost.
    fn timeout(&self) -> Duration {
        match (self.store_answered, self.witnesses.answered()) {
            (false, _) => NO_CONNECTION_TIMEOUT,
            (true, 0) => NO_ANSWER_TIMEOUT,
            (true, _) => Duration::ZERO,
        }
    }
}

impl fmt::Display for Evidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (store, ms) = (self.store_answered, self.unsure_for.as_millis());
        write!(f, "{}", self.witnesses)?;
        match self.owner {
            Some(answer) => write!(f, "; answer of the owner: {answer:?}")?,
            None => f.write_str("; no answer of the owner yet")?,
        }
        write!(f, "; store answered: {store}; unsure for {ms} ms")
    }
}
