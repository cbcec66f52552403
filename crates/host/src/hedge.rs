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

/// Part that one call counts in the share of overdue answers: the last hundred or so decide.
const NEWEST: f64 = 0.01;
/// From this share on overdue answers are common. A few workers that are down don't come to it.
const COMMON: f64 = 0.03;

/// How common overdue answers are among many hosts.
///
/// ```
/// use host::hedge::Overdue;
///
/// let mut overdue = Overdue::default();
/// (0..400).for_each(|call| overdue.note(call % 100 == 0));
/// assert!(!overdue.is_common());
/// (0..400).for_each(|call| overdue.note(call % 15 == 0));
/// assert!(overdue.is_common());
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Overdue {
    share: f64,
}

impl Overdue {
    /// A call was answered, in time or not.
    pub fn note(&mut self, overdue: bool) {
        let call = if overdue { 1.0 } else { 0.0 };
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
    /// Makes a call and takes its answer; calls once more if that is not there after `overdue`, and waits until `due` in all.
    /// `false` if no answer to either came.
    ///
    /// # Errors
    /// What `take` says of an answer.
    pub async fn ask<E>(
        &mut self,
        first: BoxFuture<'static, T>,
        again: impl FnOnce() -> BoxFuture<'static, T>,
        overdue: Duration,
        due: Duration,
        mut take: impl FnMut(T, Call) -> Result<(), E>,
    ) -> Result<bool, E> {
        Ok(self.answer(first, overdue, &mut take).await?
            || self
                .answer(again(), due.saturating_sub(overdue), &mut take)
                .await?)
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
