//! An amount as it is written by people, before it is checked.

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// An amount as written in a job or a configuration.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Raw {
    /// Processor cores; fractions are allowed, in steps of a thousandth.
    pub cores: f64,
    /// Memory in MiB.
    pub memory_mib: u64,
    /// Whole accelerators.
    pub accelerators: u32,
}

/// Why an amount was not accepted.
#[derive(Clone, Debug, PartialEq, Snafu)]
pub enum Error {
    /// The number of cores is negative, not finite, or beyond [`Raw::MAX_CORES`].
    #[snafu(display("cores must lie between 0 and {}, not {cores}", Raw::MAX_CORES))]
    Cores {
        /// The number that was given.
        cores: f64,
    },
    /// More memory than any host could have.
    #[snafu(display("memory_mib must be at most {}, not {memory_mib}", Raw::MAX_MEMORY_MIB))]
    Memory {
        /// The number that was given, in MiB.
        memory_mib: u64,
    },
    /// Nothing at all is asked for.
    #[snafu(display("a size must ask for some cores, memory or accelerators"))]
    Empty,
}

impl Raw {
    /// Most cores that one size may name.
    pub const MAX_CORES: f64 = 4096.0;
    /// Most memory that one size may name, in MiB (64 TiB).
    pub const MAX_MEMORY_MIB: u64 = 64 * 1024 * 1024;
}
