//! Switches for the mechanisms that decisions consist of, to measure what each is worth.
//!
//! All are on unless an operator says otherwise. What must always hold depends on none of them.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

/// A mechanism that can be switched off.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Mechanism {
    /// Waiting work goes by rank; off: in the order of arrival.
    Order,
    /// Work that can't earn any more goes last.
    OrderHopeless,
    /// Queues have priorities.
    OrderPriority,
    /// Work within its objective goes before late work.
    OrderLate,
    /// Less work goes before more.
    OrderWork,
    /// Tasks go to the worker on which they cost least; off: to the first by name that has room.
    BestFit,
    /// Work and room are measured in what is scarce; off: in processors.
    Scarcity,
    /// Questions name as many workers as the share of yes demands; off: all that have room.
    AdviceShare,
    /// Questions name more workers where that adds little time.
    AdviceCheap,
    /// The advisor is asked before there is room.
    AdviceAhead,
    /// Workers that fail what they start get one task at a time.
    Doubt,
    /// Tasks that stand still are stopped and started elsewhere.
    Standstill,
    /// Tasks that fill are slowed down beside tasks that serve.
    Pace,
    /// Tasks leave workers that are about to leave.
    Evacuation,
    /// An order without an answer is sent once more.
    RepeatOrders,
    /// Further ends are awaited before a worker is looked at again.
    GatherEnds,
    /// Looks at workers pause while their ends can't be stored.
    HoldPause,
    /// Owners name heirs.
    Heirs,
    /// A host asks others whether they hear an owner that it has lost.
    Witnesses,
    /// The host that a pool's row names in an earlier life takes the pool at once.
    Restart,
    /// A job's row is written by the owner too when the store is slow to answer.
    JointInserts,
    /// A host that neither the store nor an owner serves refuses at once.
    EarlyRefusal,
    /// Rows of jobs name the epoch of the owner that they were accepted for.
    JobEpochs,
    /// A new owner begins with the jobs that it could read.
    PartialJobs,
}

use Mechanism::{
    AdviceAhead, AdviceCheap, AdviceShare, BestFit, Doubt, EarlyRefusal, Evacuation, GatherEnds,
    Heirs, HoldPause, JobEpochs, JointInserts, Order, OrderHopeless, OrderLate, OrderPriority,
    OrderWork, Pace, PartialJobs, RepeatOrders, Restart, Scarcity, Standstill, Witnesses,
};

impl Mechanism {
    /// All of them, with the names that operators use.
    pub const ALL: [(Self, &str); 24] = [
        (Order, "order"),
        (OrderHopeless, "order-hopeless"),
        (OrderPriority, "order-priority"),
        (OrderLate, "order-late"),
        (OrderWork, "order-work"),
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

/// A name that no mechanism has.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Unknown(pub String);

impl fmt::Display for Unknown {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names = Mechanism::ALL.map(|(_, name)| name);
        write!(
            to,
            "no mechanism is called {}; there are {}",
            self.0,
            names.join(", ")
        )
    }
}

impl std::error::Error for Unknown {}

impl FromStr for Mechanism {
    type Err = Unknown;

    /// ```
    /// use pool::Mechanism;
    ///
    /// assert_eq!("best-fit".parse(), Ok(Mechanism::BestFit));
    /// assert!("bestfit".parse::<Mechanism>().unwrap_err().to_string().contains("best-fit"));
    /// ```
    fn from_str(name: &str) -> Result<Self, Unknown> {
        let found = Self::ALL.iter().find(|(_, own)| *own == name);
        found
            .map(|(mechanism, _)| *mechanism)
            .ok_or_else(|| Unknown(name.to_owned()))
    }
}

/// The mechanisms that are switched off.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Switches {
    off: BTreeSet<Mechanism>,
}

impl Switches {
    /// All on but these.
    #[must_use]
    pub fn without(off: impl IntoIterator<Item = Mechanism>) -> Self {
        Self {
            off: off.into_iter().collect(),
        }
    }

    /// Whether a mechanism is on.
    #[must_use]
    pub fn has(&self, mechanism: Mechanism) -> bool {
        !self.off.contains(&mechanism)
    }
}
