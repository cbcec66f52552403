//! Packed configurations that can't be unpacked.

use std::io::Write as _;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use flate2::Compression;
use flate2::write::DeflateEncoder;
use host::Catalog;
use host::packed::{PackError, Packed};

fn packed(json: &[u8]) -> Packed {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(json).expect("in memory");
    Packed {
        version: 7,
        text: STANDARD.encode(encoder.finish().expect("in memory")),
    }
}

/// Guards against hosts that accept an invalid configuration, or crash because of it.
#[test]
fn an_invalid_configuration_is_an_error() {
    let text = |text: &str| Packed {
        version: 7,
        text: text.to_owned(),
    };
    let read = |packed: &Packed| Catalog::try_from(packed).expect_err("it is wrong");
    assert!(matches!(read(&text("%")), PackError::Text { .. }));
    assert!(matches!(
        read(&text(&STANDARD.encode([0xff; 8]))),
        PackError::Compression { .. }
    ));
    assert!(matches!(read(&packed(b"[1")), PackError::Json { .. }));
}

/// Guards against a short text that unpacks to more than the host has memory for.
#[test]
fn a_configuration_that_unpacks_to_too_many_bytes_is_an_error() {
    let long = packed(&vec![b' '; (64 << 20) + 1]);
    let error = Catalog::try_from(&long).expect_err("it is too long");
    assert!(matches!(error, PackError::TooLarge { .. }), "{error}");
}
