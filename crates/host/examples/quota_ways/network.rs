//! Messages that are late or lost.

use rand::Rng as _;
use rand_chacha::ChaCha8Rng;

/// Share of messages that are lost.
const LOSS: f64 = 0.05;

/// Messages under way, with their receivers.
pub(crate) struct Network<M> {
    /// Time of arrival, receiving pool, message.
    under_way: Vec<(u64, usize, M)>,
    pub(crate) sent: u64,
}

impl<M> Network<M> {
    pub(crate) fn new() -> Self {
        Self {
            under_way: Vec::new(),
            sent: 0,
        }
    }

    pub(crate) fn send(&mut self, rng: &mut ChaCha8Rng, now: u64, to: usize, message: M) {
        self.sent += 1;
        if !rng.random_bool(LOSS) {
            let at = now + rng.random_range(1..=25);
            self.under_way.push((at, to, message));
        }
    }

    /// Messages that arrive by now.
    pub(crate) fn receive(&mut self, now: u64) -> Vec<(usize, M)> {
        let arrived = self.under_way.extract_if(.., |(at, _, _)| *at <= now);
        arrived.map(|(_, to, message)| (to, message)).collect()
    }
}
