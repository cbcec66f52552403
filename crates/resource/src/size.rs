//! A validated amount of processors, memory and accelerators.

use serde::{Deserialize, Serialize};

use crate::raw::{Error, Raw};

/// A validated amount of processors, memory and accelerators.
///
/// ```
/// use resource::{Raw, Size};
///
/// let host = Size::try_from(Raw { cores: 16.0, memory_mib: 65_536, accelerators: 2 }).unwrap();
/// let task = Size::try_from(Raw { cores: 0.5, memory_mib: 1_024, accelerators: 0 }).unwrap();
/// assert!(task.fits(host));
/// assert_eq!(host.minus(task).unwrap().millicores, 15_500);
/// ```
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// Processor time, in thousandths of a core.
    #[serde(rename = "c")]
    pub millicores: u64,
    /// Memory, in MiB.
    #[serde(rename = "m")]
    pub memory_mib: u64,
    /// Number of accelerators.
    #[serde(rename = "a", default, skip_serializing_if = "is_zero")]
    pub accelerators: u64,
}

impl Size {
    /// No resources.
    pub const ZERO: Self = Self::new(0, 0, 0);

    /// Creates an amount from thousandths of a core, MiB of memory and a number of accelerators.
    #[must_use]
    pub const fn new(millicores: u64, memory_mib: u64, accelerators: u64) -> Self {
        Self {
            millicores,
            memory_mib,
            accelerators,
        }
    }

    /// Whether this amount can be allocated from `available`.
    #[must_use]
    pub const fn fits(self, available: Self) -> bool {
        self.millicores <= available.millicores
            && self.memory_mib <= available.memory_mib
            && self.accelerators <= available.accelerators
    }

    /// Sum of both amounts, per component.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self::new(
            self.millicores + other.millicores,
            self.memory_mib + other.memory_mib,
            self.accelerators + other.accelerators,
        )
    }

    /// Subtracts `other`; `None` if `other` does not fit into this amount.
    #[must_use]
    pub const fn minus(self, other: Self) -> Option<Self> {
        if !other.fits(self) {
            return None;
        }
        Some(Self::new(
            self.millicores - other.millicores,
            self.memory_mib - other.memory_mib,
            self.accelerators - other.accelerators,
        ))
    }

    /// Subtracts `other`; each component stops at zero.
    #[must_use]
    pub const fn saturating_minus(self, other: Self) -> Self {
        Self::new(
            self.millicores.saturating_sub(other.millicores),
            self.memory_mib.saturating_sub(other.memory_mib),
            self.accelerators.saturating_sub(other.accelerators),
        )
    }

    /// The larger of both amounts, per component.
    #[must_use]
    pub fn max_each(self, other: Self) -> Self {
        Self::new(
            self.millicores.max(other.millicores),
            self.memory_mib.max(other.memory_mib),
            self.accelerators.max(other.accelerators),
        )
    }

    /// The smaller of both amounts, per component.
    #[must_use]
    pub fn min_each(self, other: Self) -> Self {
        Self::new(
            self.millicores.min(other.millicores),
            self.memory_mib.min(other.memory_mib),
            self.accelerators.min(other.accelerators),
        )
    }

    /// This amount multiplied by `n`.
    #[must_use]
    pub const fn times(self, n: u64) -> Self {
        Self::new(
            self.millicores * n,
            self.memory_mib * n,
            self.accelerators * n,
        )
    }

    /// Dominant share: the largest of the three shares of `total` that this amount takes. Above 1 if it
    /// exceeds `total`.
    ///
    /// A resource that is requested but that `total` has none of counts as a share of 1.
    #[must_use]
    pub fn share(self, total: Self) -> f64 {
        let share = |used: u64, total: u64| match (used, total) {
            (0, _) => 0.0,
            (_, 0) => 1.0,
            (used, total) => used as f64 / total as f64,
        };
        share(self.millicores, total.millicores)
            .max(share(self.memory_mib, total.memory_mib))
            .max(share(self.accelerators, total.accelerators))
    }
}

impl TryFrom<Raw> for Size {
    type Error = Error;

    fn try_from(raw: Raw) -> Result<Self, Error> {
        if !raw.cores.is_finite() || !(0.0..=Raw::MAX_CORES).contains(&raw.cores) {
            return Err(Error::Cores { cores: raw.cores });
        }
        if raw.memory_mib > Raw::MAX_MEMORY_MIB {
            return Err(Error::Memory {
                memory_mib: raw.memory_mib,
            });
        }
        let millicores = (raw.cores * 1000.0).ceil() as u64;
        let size = Self::new(millicores, raw.memory_mib, u64::from(raw.accelerators));
        if size == Self::ZERO {
            return Err(Error::Empty);
        }
        Ok(size)
    }
}

impl std::iter::Sum for Size {
    fn sum<I: Iterator<Item = Self>>(iter: I) -> Self {
        iter.fold(Self::ZERO, Self::plus)
    }
}

fn is_zero(n: &u64) -> bool {
    *n == 0
}
