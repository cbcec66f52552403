//! A checked amount of processors, memory and accelerators.

use serde::{Deserialize, Serialize};

use crate::raw::{Error, Raw};

/// An amount of processors, memory and accelerators.
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
    /// Whole accelerators.
    #[serde(rename = "a", default, skip_serializing_if = "is_zero")]
    pub accelerators: u64,
}

impl Size {
    /// Nothing.
    pub const ZERO: Self = Self::new(0, 0, 0);

    /// An amount from its parts: thousandths of a core, MiB, accelerators.
    #[must_use]
    pub const fn new(millicores: u64, memory_mib: u64, accelerators: u64) -> Self {
        Self {
            millicores,
            memory_mib,
            accelerators,
        }
    }

    /// Whether this much can be taken out of `room`.
    #[must_use]
    pub const fn fits(self, room: Self) -> bool {
        self.millicores <= room.millicores
            && self.memory_mib <= room.memory_mib
            && self.accelerators <= room.accelerators
    }

    /// The sum of both.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self::new(
            self.millicores + other.millicores,
            self.memory_mib + other.memory_mib,
            self.accelerators + other.accelerators,
        )
    }

    /// What is left after `other` is taken out, or `None` if it does not fit.
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

    /// What is left after `other` is taken out, nothing going below zero.
    #[must_use]
    pub const fn saturating_minus(self, other: Self) -> Self {
        Self::new(
            self.millicores.saturating_sub(other.millicores),
            self.memory_mib.saturating_sub(other.memory_mib),
            self.accelerators.saturating_sub(other.accelerators),
        )
    }

    /// This amount `n` times.
    #[must_use]
    pub const fn times(self, n: u64) -> Self {
        Self::new(
            self.millicores * n,
            self.memory_mib * n,
            self.accelerators * n,
        )
    }

    /// The largest of the three shares of `whole` that this amount takes, 0 to 1 and beyond.
    ///
    /// An amount that `whole` has none of counts as a full share.
    #[must_use]
    pub fn share(self, whole: Self) -> f64 {
        let part = |used: u64, all: u64| match (used, all) {
            (0, _) => 0.0,
            (_, 0) => 1.0,
            (used, all) => used as f64 / all as f64,
        };
        part(self.millicores, whole.millicores)
            .max(part(self.memory_mib, whole.memory_mib))
            .max(part(self.accelerators, whole.accelerators))
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
