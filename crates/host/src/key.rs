//! Keys of customers. Hosts keep and exchange only digests: whoever reads a log, a row or a frame learns no key.

use std::fmt;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq as _;

/// Maximum length of a key in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// SHA-256 digest of a key. Comparison takes the same time wherever two digests differ.
///
/// ```
/// use host::KeyDigest;
///
/// let digest = KeyDigest::of(b"a key");
/// assert_eq!(digest, KeyDigest::of(b"a key"));
/// assert_ne!(digest, KeyDigest::of(b"another key"));
/// assert_eq!(format!("{digest:?}"), "KeyDigest");
/// ```
#[derive(Clone, Copy)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The digest of a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// The first bytes of the digest, as a key of hash tables. They tell nothing about the key.
    pub(crate) fn prefix(&self) -> u64 {
        let [a, b, c, d, e, f, g, h, ..] = self.0;
        u64::from_be_bytes([a, b, c, d, e, f, g, h])
    }
}

impl PartialEq for KeyDigest {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for KeyDigest {}

impl fmt::Debug for KeyDigest {
    /// Shows no byte of the digest: keys that are easy to guess could be found from it.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest")
    }
}

impl Serialize for KeyDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD_NO_PAD.encode(self.0))
    }
}

impl<'de> Deserialize<'de> for KeyDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let bytes = STANDARD_NO_PAD.decode(text).ok();
        bytes
            .and_then(|bytes| Some(Self(bytes.try_into().ok()?)))
            .ok_or_else(|| D::Error::custom("not the digest of a key"))
    }
}
