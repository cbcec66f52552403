//! The configuration as hosts send it to each other.

use std::io::{Read as _, Write as _};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt as _, Snafu, ensure};

use crate::catalog::Catalog;

/// Most bytes of a configuration once it is unpacked.
const UNPACKED_MOST: u64 = 64 << 20;

/// Why a configuration can't be packed or unpacked.
#[derive(Debug, Snafu)]
pub enum PackError {
    /// It is no base64.
    #[snafu(display("the text is no base64: {source}"))]
    Text {
        /// What is wrong with it.
        source: base64::DecodeError,
    },
    /// It is not compressed as it should be.
    #[snafu(display("the compression is broken: {source}"))]
    Compression {
        /// What is wrong with it.
        source: std::io::Error,
    },
    /// It is no configuration.
    #[snafu(display("the configuration can't be read or written: {source}"))]
    Json {
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// It is longer than [`UNPACKED_MOST`].
    #[snafu(display("more than {most} bytes"))]
    TooLarge {
        /// The bound, in bytes.
        most: u64,
    },
}

/// A configuration, compressed.
///
/// ```
/// use host::{Catalog, packed::Packed};
///
/// let catalog = Catalog { version: 7, ..Catalog::default() };
/// let packed = Packed::try_from(&catalog).unwrap();
/// assert_eq!(Catalog::try_from(&packed).unwrap(), catalog);
/// ```
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Packed {
    /// Its version.
    pub version: u64,
    /// DEFLATE over JSON, as base64.
    pub text: String,
}

impl TryFrom<&Catalog> for Packed {
    type Error = PackError;

    fn try_from(catalog: &Catalog) -> Result<Self, PackError> {
        let json = serde_json::to_vec(catalog).context(JsonSnafu)?;
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&json).context(CompressionSnafu)?;
        let bytes = encoder.finish().context(CompressionSnafu)?;
        Ok(Self {
            version: catalog.version,
            text: STANDARD.encode(bytes),
        })
    }
}

impl TryFrom<&Packed> for Catalog {
    type Error = PackError;

    fn try_from(packed: &Packed) -> Result<Self, PackError> {
        let bytes = STANDARD.decode(&packed.text).context(TextSnafu)?;
        let mut json = Vec::new();
        let mut decoder = DeflateDecoder::new(bytes.as_slice()).take(UNPACKED_MOST + 1);
        decoder.read_to_end(&mut json).context(CompressionSnafu)?;
        let fits = json.len() as u64 <= UNPACKED_MOST;
        ensure!(
            fits,
            TooLargeSnafu {
                most: UNPACKED_MOST
            }
        );
        serde_json::from_slice(&json).context(JsonSnafu)
    }
}
