//! Tells a refused connection from other failures.

use std::error::Error;
use std::io;

/// Whether a call failed because the connection was refused: nothing was sent, and no process
/// listens there. It is the one failure that shows so much.
///
/// ```
/// use std::io::{Error, ErrorKind};
///
/// assert!(wire::refused(&Error::from(ErrorKind::ConnectionRefused)));
/// assert!(!wire::refused(&Error::from(ErrorKind::ConnectionReset)));
/// ```
#[must_use]
pub fn refused(error: &(dyn Error + 'static)) -> bool {
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
