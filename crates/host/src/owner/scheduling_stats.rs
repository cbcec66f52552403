//! Statistics of scheduling passes.

use std::time::Duration;

/// Scheduling passes since the last log line about them.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SchedulingStats {
    /// Number of passes.
    pub passes: u32,
    /// Number of commands that the passes gave.
    pub commands: usize,
    /// Duration of the longest pass.
    pub longest: Duration,
    sum: Duration,
}

impl SchedulingStats {
    /// Adds a pass that took this long and gave this many commands.
    pub(super) fn add(&mut self, took: Duration, commands: usize) {
        self.passes += 1;
        self.commands += commands;
        self.longest = self.longest.max(took);
        self.sum += took;
    }

    /// Mean duration of a pass.
    pub(super) fn mean(&self) -> Duration {
        self.sum / self.passes.max(1)
    }
}
