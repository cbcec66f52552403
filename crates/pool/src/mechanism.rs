//! Mechanisms of the scheduler that can be disabled one by one, to measure what each contributes.
//!
//! All are enabled unless an operator disables them. No safety property depends on any of them.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

/// A mechanism that can be disabled.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Mechanism {
    /// Waiting work is served by rank; disabled: in the order of arrival.
    Order,
    /// Work that can no longer have any value goes last.
    OrderHopeless,
    /// The priorities of queues count.
    OrderPriority,
    /// Work that can meet its objective goes before late work.
    OrderLate,
    /// Less remaining work goes before more.
    OrderWork,
    /// Jobs that a customer sends beyond its weight go after those that are owed.
    ShareOwed,
    /// Of work with the same priority, that of the customer with the lowest use relative to its weight goes first.
    ShareUse,
    /// A gang that waits for its customer's limit is reserved what the customer's other tasks release.
    GangQuota,
    /// Work of low priority leaves free, of its customer's limit, what work of higher priority has used lately.
    QuotaReserve,
    /// A task starts on the worker with the lowest cost; disabled: on the first by id that has capacity.
    BestFit,
    /// Work and free capacity are measured in the scarce dimensions; disabled: in processors.
    Scarcity,
    /// Advisor queries name as many workers as the observed approval rate demands; disabled: all that have capacity.
    AdviceShare,
    /// Advisor queries name more workers than needed where that adds little time.
    AdviceCheap,
    /// The advisor is queried before there is free capacity.
    AdviceAhead,
    /// Workers with a high failure score get one task at a time.
    Doubt,
    /// Stalled tasks are stopped and started elsewhere.
    Standstill,
    /// Best-effort tasks are slowed down while they disturb latency-sensitive ones.
    Pace,
    /// Tasks are moved away from workers that are about to leave.
    Evacuation,
    /// Start commands without an answer are sent again.
    RepeatOrders,
    /// The next poll of a worker that reported ends is delayed, so that it reports several ends at once.
    GatherEnds,
    /// Polls of workers pause while their ends can't be stored.
    HoldPause,
    /// Owners name successors.
    Heirs,
    /// A host that has lost contact with an owner asks other hosts whether they receive its heartbeats.
    Witnesses,
    /// The host that a pool's row names as owner takes the pool at once after its own restart.
    Restart,
    /// The owner writes a job's row as well if the store is slow to answer the host that accepted the job.
    JointInserts,
    /// A host that reaches neither the store nor an owner refuses jobs at once.
    EarlyRefusal,
    /// A job's row names the epoch of the owner for which the job was accepted.
    JobEpochs,
    /// A new owner starts with the jobs that it could read.
    PartialJobs,
}

use Mechanism::{
    AdviceAhead, AdviceCheap, AdviceShare, BestFit, Doubt, EarlyRefusal, Evacuation, GangQuota,
    GatherEnds, Heirs, HoldPause, JobEpochs, JointInserts, Order, OrderHopeless, OrderLate,
    OrderPriority, OrderWork, Pace, PartialJobs, QuotaReserve, RepeatOrders, Restart, Scarcity,
    ShareOwed, ShareUse, Standstill, Witnesses,
};

impl Mechanism {
    /// All mechanisms, with the names that operators use.
    pub const ALL: [(Self, &str); 28] = [
        (Order, "order"),
        (OrderHopeless, "order-hopeless"),
        (OrderPriority, "order-priority"),
        (OrderLate, "order-late"),
        (OrderWork, "order-work"),
        (ShareOwed, "share-owed"),
        (ShareUse, "share-use"),
        (GangQuota, "gang-quota"),
        (QuotaReserve, "quota-reserve"),
        (BestFit, "best-fit"),
        (Scarcity, "scarcity"),
        (AdviceShare, "advice-share"),
        (AdviceCheap, "advice-cheap"),
        (AdviceAhead, "advice-ahead"),
        (Doubt, "doubt"),
        (Standstill, "standstill"),
        (Pace, "pace"),
        (Evacuation, "evacuation"),
        (RepeatOrders, "repeat-orders"),
        (GatherEnds, "gather-ends"),
        (HoldPause, "hold-pause"),
        (Heirs, "heirs"),
        (Witnesses, "witnesses"),
        (Restart, "restart"),
        (JointInserts, "joint-inserts"),
        (EarlyRefusal, "early-refusal"),
        (JobEpochs, "job-epochs"),
        (PartialJobs, "partial-jobs"),
    ];

    /// The name that operators use.
    #[must_use]
    pub fn name(self) -> &'static str {
        let found = Self::ALL.iter().find(|(mechanism, _)| *mechanism == self);
        found.map_or("", |(_, name)| name)
    }
}

/// The error for a name that no mechanism has.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnknownMechanism(pub String);

impl fmt::Display for UnknownMechanism {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names = Mechanism::ALL.map(|(_, name)| name);
        write!(
            to,
            "unknown mechanism `{}`; expected one of: {}",
            self.0,
            names.join(", ")
        )
    }
}

impl std::error::Error for UnknownMechanism {}

impl FromStr for Mechanism {
    type Err = UnknownMechanism;

    /// ```
    /// use pool::Mechanism;
    ///
    /// assert_eq!("best-fit".parse(), Ok(Mechanism::BestFit));
    /// assert!("bestfit".parse::<Mechanism>().unwrap_err().to_string().contains("best-fit"));
    /// ```
    fn from_str(name: &str) -> Result<Self, UnknownMechanism> {
        let found = Self::ALL.iter().find(|(_, own)| *own == name);
        found
            .map(|(mechanism, _)| *mechanism)
            .ok_or_else(|| UnknownMechanism(name.to_owned()))
    }
}

/// Which mechanisms are disabled.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Switches {
    disabled: BTreeSet<Mechanism>,
}

impl Switches {
    /// Enables all mechanisms except these.
    #[must_use]
    pub fn without(disabled: impl IntoIterator<Item = Mechanism>) -> Self {
        Self {
            disabled: disabled.into_iter().collect(),
        }
    }

    /// Whether a mechanism is enabled.
    #[must_use]
    pub fn has(&self, mechanism: Mechanism) -> bool {
        !self.disabled.contains(&mechanism)
    }
}
