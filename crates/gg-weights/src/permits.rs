//! Permits stored in one platform object and changed by conditional updates. A
//! permit expires, so that a holder that crashed does not keep it.

use std::time::Duration;

use gg_platform::{ObjectStore, PlatformError, When};
use gg_protocol::{Name, clock::wall_ms};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// Key of the platform object.
const PERMITS_KEY: &str = "weights/permits";

/// Settings of the permits.
#[derive(Clone, Debug)]
pub struct PermitSettings {
    /// Maximum number of concurrent loads.
    pub count: usize,
    /// Time after which a permit expires unless it is renewed.
    pub lifetime: Duration,
}

impl Default for PermitSettings {
    fn default() -> Self {
        PermitSettings { count: 4, lifetime: Duration::from_secs(300) }
    }
}

quick_error! {
    /// Error of a permit operation.
    #[derive(Debug)]
    pub enum PermitError {
        /// All permits are held by others.
        Exhausted {
            display("all permits are in use")
        }
        /// A platform call failed.
        Platform(err: PlatformError) {
            from()
            display("{err}")
        }
    }
}

#[derive(Debug, Default, Serialize, Deserialize)]
struct Holders {
    holders: Vec<Holder>,
}

#[derive(Debug, Serialize, Deserialize)]
struct Holder {
    name: Name,
    until_ms: u64,
}

/// Permits shared by all daemons.
#[derive(Clone, Debug)]
pub struct Permits<S> {
    store: S,
    settings: PermitSettings,
}

impl<S: ObjectStore> Permits<S> {
    /// Creates a handle of the permits in `store`.
    pub fn new(store: S, settings: PermitSettings) -> Self {
        Permits { store, settings }
    }

    /// Acquires a permit for `name`, or renews the permit it holds.
    pub async fn acquire(&self, name: &Name) -> Result<(), PermitError> {
        let lifetime = self.settings.lifetime.as_millis() as u64;
        let count = self.settings.count;
        self.update(|holders| {
            holders.retain(|holder| holder.name != *name);
            if holders.len() >= count {
                return false;
            }
            holders.push(Holder { name: name.clone(), until_ms: wall_ms() + lifetime });
            true
        })
        .await
    }

    /// Releases the permit of `name`.
    pub async fn release(&self, name: &Name) -> Result<(), PermitError> {
        self.update(|holders| {
            holders.retain(|holder| holder.name != *name);
            true
        })
        .await
    }

    async fn update(
        &self,
        mut update: impl FnMut(&mut Vec<Holder>) -> bool,
    ) -> Result<(), PermitError> {
        loop {
            let found = self.store.get(PERMITS_KEY).await?;
            let when = found.as_ref().map_or(When::Absent, |found| When::Version(found.version));
            let body = found.map(|found| found.body).unwrap_or_default();
            let mut holders: Holders = serde_json::from_slice(&body).unwrap_or_default();
            holders.holders.retain(|holder| holder.until_ms > wall_ms());
            if !update(&mut holders.holders) {
                return Err(PermitError::Exhausted);
            }
            let body = serde_json::to_vec(&holders).unwrap_or_default();
            match self.store.put(PERMITS_KEY, body.into(), when).await {
                Ok(_) => return Ok(()),
                Err(PlatformError::Conflict(_)) => {}
                Err(err) => return Err(err.into()),
            }
        }
    }
}
