//! The compressed configuration that hosts send to each other.

use std::io::{Read as _, Write as _};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt as _, Snafu, ensure};

use crate::catalog::Catalog;

/// Maximum size of an unpacked configuration in bytes.
const MAX_UNPACKED_BYTES: u64 = 64 << 20;

/// Why a configuration can't be packed or unpacked.
#[derive(Debug, Snafu)]
pub enum PackError {
    /// The text is not valid base64.
    #[snafu(display("packed configuration is not valid base64: {source}"))]
    Text {
        /// The decoder's error.
        source: base64::DecodeError,
    },
    /// The data can't be compressed or decompressed.
    #[snafu(display("compression of the configuration failed: {source}"))]
    Compression {
        /// The codec's error.
        source: std::io::Error,
    },
    /// The configuration can't be encoded as JSON, or the unpacked data can't be parsed as a configuration.
    #[snafu(display("configuration can't be encoded or parsed as JSON: {source}"))]
    Json {
        /// The parser's error.
        source: serde_json::Error,
    },
    /// The unpacked data is larger than the limit.
    #[snafu(display("unpacked configuration is larger than {max_bytes} bytes"))]
    TooLarge {
        /// The limit in bytes.
        max_bytes: u64,
    },
}

/// A compressed configuration.
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
    /// Version of the configuration.
    pub version: u64,
    /// The configuration as JSON, compressed with DEFLATE and encoded as base64.
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
        let mut decoder = DeflateDecoder::new(bytes.as_slice()).take(MAX_UNPACKED_BYTES + 1);
        decoder.read_to_end(&mut json).context(CompressionSnafu)?;
        let fits = json.len() as u64 <= MAX_UNPACKED_BYTES;
        ensure!(
            fits,
            TooLargeSnafu {
                max_bytes: MAX_UNPACKED_BYTES
            }
        );
        serde_json::from_slice(&json).context(JsonSnafu)
    }
}
