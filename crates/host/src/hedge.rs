//! Hedged calls: a call is repeated when its answer is overdue, and late answers are still accepted.
//!
//! Some answers of workers get lost, and on a congested network they arrive late. A poll reports the ends of runs, and if its
//! answer is lost, the ends are not seen until the timeout. So the poll is repeated as soon as its answer is overdue. Answers to
//! earlier calls are accepted whenever they arrive.

use std::time::Duration;

use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use futures::{FutureExt as _, StreamExt as _};

/// Maximum number of timed-out calls whose answers are still awaited.
const MAX_LATE_CALLS: usize = 4;

/// Weight of one call in the moving average of lost answers, which makes it an average over about the last hundred calls.
const NEWEST_WEIGHT: f64 = 0.01;
/// Share of lost answers above which the loss rate is high. A few workers that are down don't reach it.
const HIGH_LOSS_SHARE: f64 = 0.03;

/// Moving average of the share of lost answers over the calls to many hosts. Late answers don't count as lost: additional calls
/// would delay them further.
///
/// ```
/// use host::hedge::LossRate;
///
/// let mut lost = LossRate::default();
/// (0..400).for_each(|call| lost.record(call % 100 == 0));
/// assert!(!lost.is_high());
/// (0..400).for_each(|call| lost.record(call % 15 == 0));
/// assert!(lost.is_high());
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct LossRate {
    share: f64,
}

impl LossRate {
    /// Records whether the answer to a call was lost.
    pub fn record(&mut self, lost: bool) {
        let call = if lost { 1.0 } else { 0.0 };
        self.share += NEWEST_WEIGHT * (call - self.share);
    }

    /// Whether so many answers are lost that a poll should not wait long: what it would report is delayed for as long as a lost
    /// poll waits.
    #[must_use]
    pub fn is_high(&self) -> bool {
        self.share > HIGH_LOSS_SHARE
    }
}

/// The call that an answer belongs to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Attempt {
    /// The one that was sent last.
    Current,
    /// An earlier one.
    Earlier,
}

/// Outcome of a hedged call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The first call was answered in time.
    InTime,
    /// The first call was answered after its answer was overdue: the network is congested, or one of the two hosts overloaded.
    Late,
    /// The second call was answered and the first one wasn't, so one answer is lost.
    Lost,
    /// Neither call was answered.
    Unanswered,
}

/// Hedges calls of one kind to one host. Keeps those that were not answered in time.
pub struct Hedge<T> {
    /// Timed-out calls that yield their number and answer.
    late: FuturesUnordered<BoxFuture<'static, (u64, T)>>,
    /// Number of calls made, which is also the number of the last one.
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
    /// Makes the call `first`. If it is not answered within `overdue`, makes a second one if `repeat` returns one. Waits up to
    /// `timeout` in all. Every answer that arrives meanwhile is passed to `handle`, also those to calls of earlier invocations.
    ///
    /// # Errors
    /// The first error that `handle` returns.
    pub async fn call<E>(
        &mut self,
        first: BoxFuture<'static, T>,
        repeat: impl FnOnce() -> Option<BoxFuture<'static, T>>,
        overdue: Duration,
        timeout: Duration,
        mut handle: impl FnMut(T, Attempt) -> Result<(), E>,
    ) -> Result<Outcome, E> {
        if self
            .wait_for_answer(first, overdue, None, &mut handle)
            .await?
            == Some(Attempt::Current)
        {
            return Ok(Outcome::InTime);
        }
        let first = Some(self.calls);
        let left = timeout.saturating_sub(overdue);
        let answered = match repeat() {
            Some(second) => {
                self.wait_for_answer(second, left, first, &mut handle)
                    .await?
            }
            None => self.wait_for_late_answer(left, first, &mut handle).await?,
        };
        Ok(match answered {
            Some(Attempt::Earlier) => Outcome::Late,
            Some(Attempt::Current) => Outcome::Lost,
            None => Outcome::Unanswered,
        })
    }

    /// Makes a call and waits for its answer or the one to the call with the number `first`, and handles answers to other calls
    /// meanwhile. Returns which of the two was answered, or `None` after the timeout.
    async fn wait_for_answer<E>(
        &mut self,
        call: BoxFuture<'static, T>,
        timeout: Duration,
        first: Option<u64>,
        handle: &mut impl FnMut(T, Attempt) -> Result<(), E>,
    ) -> Result<Option<Attempt>, E> {
        self.calls += 1;
        let number = self.calls;
        let mut call = call.map(move |answer| (number, answer)).boxed();
        let timeout = tokio::time::sleep(timeout);
        tokio::pin!(timeout);
        loop {
            tokio::select! {
                // An answer that has arrived takes precedence over the timeout, however late this task is scheduled.
                biased;
                (_, answer) = &mut call => {
                    handle(answer, Attempt::Current)?;
                    return Ok(Some(Attempt::Current));
                }
                Some((number, answer)) = self.late.next(), if !self.late.is_empty() => {
                    handle(answer, Attempt::Earlier)?;
                    if first == Some(number) {
                        self.keep_late(call);
                        return Ok(Some(Attempt::Earlier));
                    }
                }
                () = &mut timeout => {
                    self.keep_late(call);
                    return Ok(None);
                }
            }
        }
    }

    /// Waits for the answer to the call with the number `first`, and handles answers to other calls meanwhile.
    async fn wait_for_late_answer<E>(
        &mut self,
        timeout: Duration,
        first: Option<u64>,
        handle: &mut impl FnMut(T, Attempt) -> Result<(), E>,
    ) -> Result<Option<Attempt>, E> {
        let timeout = tokio::time::sleep(timeout);
        tokio::pin!(timeout);
        loop {
            tokio::select! {
                biased;
                Some((number, answer)) = self.late.next(), if !self.late.is_empty() => {
                    handle(answer, Attempt::Earlier)?;
                    if first == Some(number) {
                        return Ok(Some(Attempt::Earlier));
                    }
                }
                () = &mut timeout => return Ok(None),
            }
        }
    }

    /// Keeps a timed-out call, whose answer may still arrive; drops it if too many are kept.
    fn keep_late(&mut self, call: BoxFuture<'static, (u64, T)>) {
        if self.late.len() < MAX_LATE_CALLS {
            self.late.push(call);
        }
    }
}
