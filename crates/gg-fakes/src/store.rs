//! An object store in memory, with seeded faults, for tests of the parts
//! that need no network.

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
    refuse: f64,
    lose: f64,
}

/// A store whose calls fail, or take effect and lose their answer, at random.
#[derive(Clone, Debug)]
pub struct MemoryStore {
    state: Arc<Mutex<State>>,
}

impl MemoryStore {
    /// A store without faults.
    pub fn new(seed: u64) -> Self {
        MemoryStore::with_faults(seed, 0.0, 0.0)
    }

    /// A store that refuses calls, and loses answers of writes, with these
    /// probabilities.
    pub fn with_faults(seed: u64, refuse: f64, lose: f64) -> Self {
        let random = Random::new(seed);
        let state = State { objects: BTreeMap::new(), revision: 0, random, refuse, lose };
        MemoryStore { state: Arc::new(Mutex::new(state)) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl State {
    fn fail(&mut self, probability: f64) -> Result<(), PlatformError> {
        match self.random.chance(probability) {
            true => Err(PlatformError::Unavailable("fault".into())),
            false => Ok(()),
        }
    }
}

impl ObjectStore for MemoryStore {
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        let mut state = self.lock();
        let refuse = state.refuse;
        state.fail(refuse)?;
        let found = state.objects.get(key);
        Ok(found.map(|(version, body)| Object { version: *version, body: body.clone() }))
    }

    async fn put(&self, key: &str, body: Bytes, when: When) -> Result<u64, PlatformError> {
        let mut state = self.lock();
        let (refuse, lose) = (state.refuse, state.lose);
        state.fail(refuse)?;
        let current = state.objects.get(key).map(|(version, _)| *version);
        let holds = match when {
            When::Absent => current.is_none(),
            When::Version(version) => current == Some(version),
        };
        if !holds {
            return Err(PlatformError::Conflict(current));
        }
        state.revision += 1;
        let revision = state.revision;
        state.objects.insert(key.to_owned(), (revision, body));
        state.fail(lose)?;
        Ok(revision)
    }

    async fn delete(&self, key: &str) -> Result<(), PlatformError> {
        let mut state = self.lock();
        let refuse = state.refuse;
        state.fail(refuse)?;
        state.revision += 1;
        state.objects.remove(key);
        Ok(())
    }

    async fn list(&self, prefix: &str) -> Result<Listing, PlatformError> {
        let mut state = self.lock();
        let refuse = state.refuse;
        state.fail(refuse)?;
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
