//! The body of a request or an answer.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// Bytes, encoded as base64 inside JSON.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Body(pub Vec<u8>);

impl Body {
    /// Maximum size of a body that an entry accepts or a worker returns, in bytes.
    pub const MAX: usize = 64 * 1024;
}

impl From<&str> for Body {
    fn from(text: &str) -> Self {
        Self(text.as_bytes().to_vec())
    }
}

impl Serialize for Body {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Body {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Self).map_err(de::Error::custom)
    }
}
