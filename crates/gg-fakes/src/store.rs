//! In-memory object store with seeded faults, for tests that need no network.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
};

use bytes::Bytes;
use gg_platform::{Item, Listing, Object, ObjectStore, PlatformError, When};

use crate::Random;

#[derive(Debug)]
struct State {
    objects: BTreeMap<String, (u64, Bytes)>,
    revision: u64,
    random: Random,
    refusal_rate: f64,
    loss_rate: f64,
}

/// A store that randomly refuses calls, or loses the response to a successful write.
#[derive(Clone, Debug)]
pub struct MemoryStore {
    state: Arc<Mutex<State>>,
}

impl MemoryStore {
    /// Creates a store without faults.
    pub fn new(seed: u64) -> Self {
        MemoryStore::with_faults(seed, 0.0, 0.0)
    }

    /// Creates a store that refuses calls and loses responses to writes with the
    /// given probabilities.
    pub fn with_faults(seed: u64, refusal_rate: f64, loss_rate: f64) -> Self {
        let random = Random::new(seed);
        let state =
            State { objects: BTreeMap::new(), revision: 0, random, refusal_rate, loss_rate };
        MemoryStore { state: Arc::new(Mutex::new(state)) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl State {
    fn maybe_fail(&mut self, probability: f64) -> Result<(), PlatformError> {
        match self.random.chance(probability) {
            true => Err(PlatformError::Unavailable("injected fault".into())),
            false => Ok(()),
        }
    }
}

impl ObjectStore for MemoryStore {
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        let mut state = self.lock();
        let refusal_rate = state.refusal_rate;
        state.maybe_fail(refusal_rate)?;
        let found = state.objects.get(key);
        Ok(found.map(|(version, body)| Object { version: *version, body: body.clone() }))
    }

    async fn put(&self, key: &str, body: Bytes, when: When) -> Result<u64, PlatformError> {
        let mut state = self.lock();
        let (refusal_rate, loss_rate) = (state.refusal_rate, state.loss_rate);
        state.maybe_fail(refusal_rate)?;
        let current = state.objects.get(key).map(|(version, _)| *version);
        let matches = match when {
            When::Absent => current.is_none(),
            When::Version(version) => current == Some(version),
        };
        if !matches {
            return Err(PlatformError::Conflict(current));
        }
        state.revision += 1;
        let revision = state.revision;
        state.objects.insert(key.to_owned(), (revision, body));
        state.maybe_fail(loss_rate)?;
        Ok(revision)
    }

    async fn delete(&self, key: &str) -> Result<(), PlatformError> {
        let mut state = self.lock();
        let refusal_rate = state.refusal_rate;
        state.maybe_fail(refusal_rate)?;
        state.revision += 1;
        state.objects.remove(key);
        Ok(())
    }

    async fn list(&self, prefix: &str) -> Result<Listing, PlatformError> {
        let mut state = self.lock();
        let refusal_rate = state.refusal_rate;
        state.maybe_fail(refusal_rate)?;
        let found = state.objects.range(prefix.to_owned()..);
        let found = found.take_while(|(key, _)| key.starts_with(prefix));
        let items = found.map(|(key, (version, _))| Item {
            key: key.clone(),
            version: *version,
            deleted: false,
        });
        Ok(Listing { revision: state.revision, items: items.collect() })
    }
}
