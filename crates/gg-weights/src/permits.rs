//! Permits agreed in one platform object by conditional update. A permit
//! expires, so a holder that dies does not keep it.

use std::time::Duration;

use gg_platform::{ObjectStore, PlatformError, When};
use gg_protocol::{Name, clock::wall_ms};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// Key of the object.
const KEY: &str = "weights/permits";

/// Settings of the permits.
#[derive(Clone, Debug)]
pub struct PermitSettings {
    /// Most loads at a time.
    pub count: usize,
    /// Life of a permit.
    pub life: Duration,
}

impl Default for PermitSettings {
    fn default() -> Self {
        PermitSettings { count: 4, life: Duration::from_secs(300) }
    }
}

quick_error! {
    /// Why there is no permit.
    #[derive(Debug)]
    pub enum PermitError {
        /// All permits are in use.
        Taken {
            display("all permits are in use")
        }
        /// The platform did not answer as needed.
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

/// Permits of all daemons together.
#[derive(Clone, Debug)]
pub struct Permits<S> {
    store: S,
    settings: PermitSettings,
}

impl<S: ObjectStore> Permits<S> {
    /// Permits kept in `store`.
    pub fn new(store: S, settings: PermitSettings) -> Self {
        Permits { store, settings }
    }

    /// Takes a permit for `name`, or renews the one it has.
    pub async fn take(&self, name: &Name) -> Result<(), PermitError> {
        let life = self.settings.life.as_millis() as u64;
        let count = self.settings.count;
        self.change(|holders| {
            holders.retain(|holder| holder.name != *name);
            if holders.len() >= count {
                return false;
            }
            holders.push(Holder { name: name.clone(), until_ms: wall_ms() + life });
            true
        })
        .await
    }

    /// Gives the permit of `name` back.
    pub async fn give(&self, name: &Name) -> Result<(), PermitError> {
        self.change(|holders| {
            holders.retain(|holder| holder.name != *name);
            true
        })
        .await
    }

    async fn change(
        &self,
        mut change: impl FnMut(&mut Vec<Holder>) -> bool,
    ) -> Result<(), PermitError> {
        loop {
            let found = self.store.get(KEY).await?;
            let when = found.as_ref().map_or(When::Absent, |found| When::Version(found.version));
            let body = found.map(|found| found.body).unwrap_or_default();
            let mut holders: Holders = serde_json::from_slice(&body).unwrap_or_default();
            holders.holders.retain(|holder| holder.until_ms > wall_ms());
            if !change(&mut holders.holders) {
                return Err(PermitError::Taken);
            }
            let body = serde_json::to_vec(&holders).unwrap_or_default();
            match self.store.put(KEY, body.into(), when).await {
                Ok(_) => return Ok(()),
                Err(PlatformError::Conflict(_)) => {}
                Err(err) => return Err(err.into()),
            }
        }
    }
}
