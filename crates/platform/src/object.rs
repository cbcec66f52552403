//! The object store.

use async_trait::async_trait;

use crate::Error;

/// The platform's object store.
#[async_trait]
pub trait Objects: Send + Sync {
    /// Stores an object, replacing any object of this name.
    ///
    /// # Errors
    /// [`Error::Down`] or [`Error::Lost`].
    async fn put(&self, name: &str, value: Vec<u8>) -> Result<(), Error>;

    /// Reads the object of this name; `None` if it does not exist.
    ///
    /// # Errors
    /// [`Error::Down`] or [`Error::Lost`].
    async fn get(&self, name: &str) -> Result<Option<Vec<u8>>, Error>;
}
