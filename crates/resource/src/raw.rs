//! An amount of resources as written by people, before validation.

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// An amount of resources as written in a job or a configuration, not validated yet.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Raw {
    /// Processor cores; fractions are rounded up to a thousandth of a core.
    pub cores: f64,
    /// Memory in MiB.
    pub memory_mib: u64,
    /// Number of accelerators.
    pub accelerators: u32,
}

/// Why an amount was rejected.
#[derive(Clone, Debug, PartialEq, Snafu)]
pub enum Error {
    /// The number of cores is negative, not finite, or beyond [`Raw::MAX_CORES`].
    #[snafu(display("cores must lie between 0 and {}, not {cores}", Raw::MAX_CORES))]
    Cores {
        /// The rejected value.
        cores: f64,
    },
    /// The memory exceeds [`Raw::MAX_MEMORY_MIB`], more than any host could have.
    #[snafu(display("memory_mib must be at most {}, not {memory_mib}", Raw::MAX_MEMORY_MIB))]
    Memory {
        /// The rejected value, in MiB.
        memory_mib: u64,
    },
    /// All three amounts are zero.
    #[snafu(display("a size must ask for some cores, memory or accelerators"))]
    Empty,
}

impl Raw {
    /// Largest number of cores in one amount.
    pub const MAX_CORES: f64 = 4096.0;
    /// Largest memory in one amount: 64 TiB.
    pub const MAX_MEMORY_MIB: u64 = 64 * 1024 * 1024;
}
