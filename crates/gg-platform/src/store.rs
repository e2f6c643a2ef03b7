//! The part of the platform that the coordination parts need.

use bytes::Bytes;

use crate::{Listing, Object, PlatformError, When};

/// Versioned objects with conditional updates.
///
/// A call that fails with [`PlatformError::Unavailable`] may have taken
/// effect.
pub trait ObjectStore: Clone + Send + Sync + 'static {
    /// Reads an object.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Object>, PlatformError>> + Send;

    /// Writes an object if `when` holds, and returns its new version.
    fn put(
        &self,
        key: &str,
        body: Bytes,
        when: When,
    ) -> impl Future<Output = Result<u64, PlatformError>> + Send;

    /// Removes an object; one that is not there is no error.
    fn delete(&self, key: &str) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Lists the objects whose keys begin with `prefix`, sorted by key.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Listing, PlatformError>> + Send;
}
