//! Object store interface of the platform, used for coordination.

use bytes::Bytes;

use crate::{Listing, Object, PlatformError, When};

/// Store of versioned objects with conditional writes.
///
/// A call that fails with [`PlatformError::Unavailable`] may have been executed.
pub trait ObjectStore: Clone + Send + Sync + 'static {
    /// Reads an object. Returns `None` if it doesn't exist.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Object>, PlatformError>> + Send;

    /// Writes an object if the condition `when` holds, and returns its new
    /// version.
    fn put(
        &self,
        key: &str,
        body: Bytes,
        when: When,
    ) -> impl Future<Output = Result<u64, PlatformError>> + Send;

    /// Deletes an object. Succeeds if it doesn't exist.
    fn delete(&self, key: &str) -> impl Future<Output = Result<(), PlatformError>> + Send;

    /// Lists the objects whose keys begin with `prefix`, sorted by key.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Listing, PlatformError>> + Send;
}
