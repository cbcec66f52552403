//! Distinguishes a refused connection from other failures.

use std::error::Error;
use std::io;

/// Whether a call failed because the connection was refused: no process listens at the address, so nothing was
/// sent. No other failure proves that.
///
/// ```
/// use std::io::{Error, ErrorKind};
///
/// assert!(wire::is_connection_refused(&Error::from(ErrorKind::ConnectionRefused)));
/// assert!(!wire::is_connection_refused(&Error::from(ErrorKind::ConnectionReset)));
/// ```
#[must_use]
pub fn is_connection_refused(error: &(dyn Error + 'static)) -> bool {
    let mut cause = Some(error);
    while let Some(error) = cause {
        let io = error.downcast_ref::<io::Error>();
        if io.is_some_and(|e| e.kind() == io::ErrorKind::ConnectionRefused) {
            return true;
        }
        cause = error.source();
    }
    false
}
