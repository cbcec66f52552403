//! Asking again when an answer is overdue, and taking answers that come late.
//!
//! Answers the load in which workers leave a share of the calls unanswered, or the way to them is full and answers arrive late.
//! A call that brings news of ends is asked again as soon as its answer is overdue: most often that one answer is lost, and news
//! would wait for as long as it is awaited. Answers to earlier calls are taken whenever they come.

use std::time::Duration;

use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use futures::{FutureExt as _, StreamExt as _};

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
    /// With their numbers.
    late: FuturesUnordered<BoxFuture<'static, (u64, T)>>,
    /// How many calls were made.
    calls: u64,
}

impl<T> Default for Hedge<T> {
    fn default() -> Self {
        Self {
            late: FuturesUnordered::new(),
            calls: 0,
        }
    }
}

impl<T: Send + 'static> Hedge<T> {
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
        if self.answer(first, overdue, None, &mut take).await? == Some(Call::Present) {
            return Ok(Outcome::InTime);
        }
        let first = Some(self.calls);
        let left = due.saturating_sub(overdue);
        let answered = match again() {
            Some(again) => self.answer(again, left, first, &mut take).await?,
            None => self.late_answer(left, first, &mut take).await?,
        };
        Ok(match answered {
            Some(Call::Earlier) => Outcome::Late,
            Some(Call::Present) => Outcome::Lost,
            None => Outcome::Unanswered,
        })
    }

    /// Waits this long for the answer to a call or to the one with the number `first`, whichever comes first, and takes answers to
    /// earlier ones meanwhile; tells to which of the two it came.
    async fn answer<E>(
        &mut self,
        call: BoxFuture<'static, T>,
        due: Duration,
        first: Option<u64>,
        take: &mut impl FnMut(T, Call) -> Result<(), E>,
    ) -> Result<Option<Call>, E> {
        self.calls += 1;
        let number = self.calls;
        let mut call = call.map(move |answer| (number, answer)).boxed();
        let due = tokio::time::sleep(due);
        tokio::pin!(due);
        loop {
            tokio::select! {
                // An answer that is there counts, however late this host looks.
                biased;
                (_, answer) = &mut call => {
                    take(answer, Call::Present)?;
                    return Ok(Some(Call::Present));
                }
                Some((number, answer)) = self.late.next(), if !self.late.is_empty() => {
                    take(answer, Call::Earlier)?;
                    if first == Some(number) {
                        self.keep(call);
                        return Ok(Some(Call::Earlier));
                    }
                }
                () = &mut due => {
                    self.keep(call);
                    return Ok(None);
                }
            }
        }
    }

    /// Waits this long for the answer to the call with the number `first`, and takes those to earlier ones meanwhile.
    async fn late_answer<E>(
        &mut self,
        due: Duration,
        first: Option<u64>,
        take: &mut impl FnMut(T, Call) -> Result<(), E>,
    ) -> Result<Option<Call>, E> {
        let due = tokio::time::sleep(due);
        tokio::pin!(due);
        loop {
            tokio::select! {
                biased;
                Some((number, answer)) = self.late.next(), if !self.late.is_empty() => {
                    take(answer, Call::Earlier)?;
                    if first == Some(number) {
                        return Ok(Some(Call::Earlier));
                    }
                }
                () = &mut due => return Ok(None),
            }
        }
    }

    /// A call's answer is awaited beside those to come.
    fn keep(&mut self, call: BoxFuture<'static, (u64, T)>) {
        if self.late.len() < LATE_MOST {
            self.late.push(call);
        }
    }
}
