//! Asking again when an answer is overdue, and taking answers that come late.
//!
//! Answers the load in which workers leave a share of the calls unanswered, or the way to them is full and answers arrive late.
//! A call that brings news of ends is asked again as soon as its answer is overdue: most often that one answer is lost, and news
//! would wait for as long as it is awaited. Answers to earlier calls are taken whenever they come.

use std::time::Duration;

use futures::StreamExt as _;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;

/// Calls whose answers are awaited although they were due.
const LATE_MOST: usize = 4;

/// Part that one call counts in the share of lost answers: the last hundred or so decide.
const NEWEST: f64 = 0.01;
/// From this share on lost answers are common. A few workers that are down don't come to it.
const COMMON: f64 = 0.03;

/// How common lost answers are among many hosts. Late ones don't count: more calls would make them later.
///
/// ```
/// use host::hedge::Lost;
///
/// let mut lost = Lost::default();
/// (0..400).for_each(|call| lost.note(call % 100 == 0));
/// assert!(!lost.is_common());
/// (0..400).for_each(|call| lost.note(call % 15 == 0));
/// assert!(lost.is_common());
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Lost {
    share: f64,
}

impl Lost {
    /// A call was made, and its answer was lost or not.
    pub fn note(&mut self, lost: bool) {
        let call = if lost { 1.0 } else { 0.0 };
        self.share += NEWEST * (call - self.share);
    }

    /// Whether so many are that a call should not wait long for news: each of them may be the one without an answer.
    #[must_use]
    pub fn is_common(&self) -> bool {
        self.share > COMMON
    }
}

/// An answer, and whether it is to the call at hand.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Call {
    /// To the call that was sent last.
    Present,
    /// To an earlier one.
    Earlier,
}

/// What became of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It was answered in time.
    InTime,
    /// An answer came after it was overdue: the way is full, or one of the two hosts has no time.
    Late,
    /// The second call was answered and the first one wasn't: one answer is lost.
    Lost,
    /// Neither was answered.
    Unanswered,
}

/// Calls of one kind to one host, and those of them that were not answered in time.
pub struct Hedge<T> {
    late: FuturesUnordered<BoxFuture<'static, T>>,
}

impl<T> Default for Hedge<T> {
    fn default() -> Self {
        Self {
            late: FuturesUnordered::new(),
        }
    }
}

impl<T> Hedge<T> {
    /// Makes a call and takes its answer; calls once more if that is not there after `overdue` and `again` gives a call, and waits
    /// until `due` in all.
    ///
    /// # Errors
    /// What `take` says of an answer.
    pub async fn ask<E>(
        &mut self,
        first: BoxFuture<'static, T>,
        again: impl FnOnce() -> Option<BoxFuture<'static, T>>,
        overdue: Duration,
        due: Duration,
        mut take: impl FnMut(T, Call) -> Result<(), E>,
    ) -> Result<Outcome, E> {
        if self.answer(first, overdue, &mut take).await? {
            return Ok(Outcome::InTime);
        }
        let left = due.saturating_sub(overdue);
        let mut late = false;
        let mut take = |answer, call| {
            late |= call == Call::Earlier;
            take(answer, call)
        };
        let answered = match again() {
            Some(again) => self.answer(again, left, &mut take).await?,
            None => self.first_late(left, &mut take).await?,
        };
        Ok(match (answered, late) {
            (_, true) => Outcome::Late,
            (true, false) => Outcome::Lost,
            (false, false) => Outcome::Unanswered,
        })
    }

    /// Waits this long for an answer to one of the earlier calls, and takes it. It is none to a second call.
    async fn first_late<E>(
        &mut self,
        due: Duration,
        take: &mut impl FnMut(T, Call) -> Result<(), E>,
    ) -> Result<bool, E> {
        let next = self.late.next();
        if let Ok(Some(answer)) = tokio::time::timeout(due, next).await {
            take(answer, Call::Earlier)?;
        }
        Ok(false)
    }

    /// Waits this long for the answer to a call, and takes those to earlier ones meanwhile.
    async fn answer<E>(
        &mut self,
        mut call: BoxFuture<'static, T>,
        due: Duration,
        take: &mut impl FnMut(T, Call) -> Result<(), E>,
    ) -> Result<bool, E> {
        let due = tokio::time::sleep(due);
        tokio::pin!(due);
        loop {
            tokio::select! {
                // An answer that is there counts, however late this host looks.
                biased;
                answer = &mut call => {
                    take(answer, Call::Present)?;
                    return Ok(true);
                }
                Some(answer) = self.late.next(), if !self.late.is_empty() => take(answer, Call::Earlier)?,
                () = &mut due => {
                    if self.late.len() < LATE_MOST {
                        self.late.push(call);
                    }
                    return Ok(false);
                }
            }
        }
    }
}
