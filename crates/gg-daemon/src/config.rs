//! The configuration in force in this daemon.

use std::sync::{Arc, RwLock};

use gg_dispatch::Quarantine;
use gg_protocol::{
    Customer, Document, Name, Profile, Upstream, UpstreamKind,
    config::{Documents, RANKS, Versioned},
};
use indexmap::IndexMap;
use subtle::ConstantTimeEq;
use tokio::sync::watch;

/// Key prefix of configuration objects in the platform.
pub(crate) const CONFIG_PREFIX: &str = "config/";

/// A consistent, immutable set of documents.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Highest version of any document.
    pub revision: u64,
    documents: Documents,
    customers: IndexMap<String, Name>,
}

impl Config {
    /// Documents newer than `version`.
    pub(crate) fn newer(&self, version: u64) -> Vec<(Name, Versioned)> {
        let newer = self.documents.iter().filter(|(_, versioned)| versioned.version > version);
        newer.map(|(key, versioned)| (key.clone(), versioned.clone())).collect()
    }

    /// All documents, by key such as `profile/urgent`.
    pub(crate) fn documents(&self) -> &Documents {
        &self.documents
    }

    /// A document by key.
    pub(crate) fn document(&self, key: &str) -> Option<&Document> {
        self.documents.get(key).map(|versioned| &versioned.doc.current.document)
    }

    /// A profile by name.
    pub fn profile(&self, name: &str) -> Option<&Profile> {
        match self.document(&format!("profile/{name}"))? {
            Document::Profile(profile) => Some(profile),
            _ => None,
        }
    }

    /// A customer by name.
    pub fn customer(&self, name: &str) -> Option<&Customer> {
        match self.document(&format!("customer/{name}"))? {
            Document::Customer(customer) => Some(customer),
            _ => None,
        }
    }

    /// The customer that the API key belongs to.
    pub fn customer_of(&self, key: &str) -> Option<Name> {
        let digest = blake3::hash(key.as_bytes()).to_hex();
        let (stored, name) = self.customers.get_key_value(digest.as_str())?;
        let equal: bool = stored.as_bytes().ct_eq(digest.as_bytes()).into();
        equal.then(|| name.clone())
    }

    /// An upstream by name.
    pub fn upstream(&self, name: &str) -> Option<&Upstream> {
        match self.document(&format!("upstream/{name}"))? {
            Document::Upstream(upstream) => Some(upstream),
            _ => None,
        }
    }

    /// All upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = (Name, &Upstream)> {
        self.documents.iter().filter_map(|(key, versioned)| {
            let name = key.strip_prefix("upstream/")?;
            match &versioned.doc.current.document {
                Document::Upstream(upstream) => Some((name.into(), upstream)),
                _ => None,
            }
        })
    }

    /// Engines that serve `model`.
    pub fn engines(&self, model: &str) -> Vec<(Name, &Upstream)> {
        let serves = |upstream: &Upstream| upstream.models.iter().any(|served| served == model);
        let engines = self
            .upstreams()
            .filter(|(_, upstream)| upstream.kind == UpstreamKind::Engine && serves(upstream));
        engines.collect()
    }

    /// Names of all engines.
    pub fn all_engines(&self) -> Vec<Name> {
        let engines =
            self.upstreams().filter(|(_, upstream)| upstream.kind == UpstreamKind::Engine);
        engines.map(|(name, _)| name).collect()
    }

    /// Replicas of a service.
    pub fn services(&self, service: &str) -> Vec<(Name, &Upstream)> {
        let replicas = self.upstreams().filter(|(_, upstream)| {
            upstream.kind == UpstreamKind::Service && upstream.service == service
        });
        replicas.collect()
    }

    /// Floors by rank: minimum shares of engine time.
    pub(crate) fn floors(&self) -> [f64; RANKS] {
        let mut floors = [0.0_f64; RANKS];
        for versioned in self.documents.values() {
            if let Document::Profile(profile) = &versioned.doc.current.document {
                let floor = &mut floors[usize::from(profile.rank.0).min(RANKS - 1)];
                *floor = floor.max(f64::from(profile.floor_percent) / 100.0);
            }
        }
        floors
    }

    fn insert_document(&mut self, key: Name, versioned: Versioned) {
        self.revision = self.revision.max(versioned.version);
        let name: Name = key.split_once('/').map_or(&*key, |(_, name)| name).into();
        self.customers.retain(|_, owner| *owner != name || !key.starts_with("customer/"));
        if let Document::Customer(customer) = &versioned.doc.current.document {
            for digest in &customer.keys {
                self.customers.insert(digest.to_ascii_lowercase(), name.clone());
            }
        }
        self.documents.insert(key, versioned);
    }
}

/// Holder of the configuration in force; versions only increase.
#[derive(Debug)]
pub struct ConfigCell {
    current: RwLock<Arc<Config>>,
    revision: watch::Sender<u64>,
}

impl Default for ConfigCell {
    fn default() -> Self {
        ConfigCell { current: RwLock::default(), revision: watch::Sender::new(0) }
    }
}

impl ConfigCell {
    /// The configuration in force.
    pub fn get(&self) -> Arc<Config> {
        self.current.read().unwrap_or_else(|poisoned| poisoned.into_inner()).clone()
    }

    /// Applies the documents that are newer than the current ones. Returns the
    /// keys that changed.
    pub fn apply(&self, updates: Vec<(Name, Versioned)>) -> Vec<Name> {
        let mut current = self.current.write().unwrap_or_else(|poisoned| poisoned.into_inner());
        let newer = |(key, versioned): &(Name, Versioned)| {
            let stored = current.documents.get(key).map_or(0, |stored| stored.version);
            versioned.version > stored
        };
        let updates: Vec<(Name, Versioned)> = updates.into_iter().filter(newer).collect();
        if updates.is_empty() {
            return Vec::new();
        }
        let mut next = Config::clone(&current);
        let mut changed = Vec::new();
        for (key, versioned) in updates {
            log::info!("event=config_in_force key={key} version={}", versioned.version);
            changed.push(key.clone());
            next.insert_document(key, versioned);
        }
        let revision = next.revision;
        *current = Arc::new(next);
        drop(current);
        self.revision.send_replace(revision);
        changed
    }

    /// A receiver that is notified when the highest version changes.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.revision.subscribe()
    }
}

/// Key of the object that lists the crashes of a request fingerprint, one per
/// line.
pub(crate) fn crash_key(fingerprint: &str) -> String {
    format!("{CRASH_PREFIX}{fingerprint}")
}

/// Key prefix of crash objects in the platform.
pub(crate) const CRASH_PREFIX: &str = "crash/";

/// Merges stored crashes into the quarantine. Earlier versions stored only the
/// number of crashes.
pub(crate) fn merge_crashes(quarantine: &mut Quarantine, key: &str, body: &[u8]) {
    let Some(fingerprint) = key.strip_prefix(CRASH_PREFIX) else { return };
    let text = String::from_utf8_lossy(body);
    match text.parse::<u32>() {
        Ok(count) => quarantine.record(fingerprint, (0..count).map(|n| format!("unnamed/{n}"))),
        Err(_) => quarantine.record(fingerprint, text.lines().map(str::to_owned)),
    }
}
