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

/// Prefix of configuration objects in the platform.
pub(crate) const PREFIX: &str = "config/";

/// A consistent set of documents, never changed once in force.
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

    /// The customer whose valid key this is.
    pub fn customer_of(&self, key: &str) -> Option<Name> {
        let digest = blake3::hash(key.as_bytes()).to_hex();
        let (known, name) = self.customers.get_key_value(digest.as_str())?;
        let equal: bool = known.as_bytes().ct_eq(digest.as_bytes()).into();
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

    /// Engines that are to hold `model`.
    pub fn engines(&self, model: &str) -> Vec<(Name, &Upstream)> {
        let holds = |upstream: &Upstream| upstream.models.iter().any(|held| held == model);
        let engines = self
            .upstreams()
            .filter(|(_, upstream)| upstream.kind == UpstreamKind::Engine && holds(upstream));
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

    /// Floors by rank, as shares of engine time.
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

    fn set(&mut self, key: Name, versioned: Versioned) {
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

/// Holder of the configuration in force; moves to higher versions only.
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
    /// What is in force now.
    pub fn get(&self) -> Arc<Config> {
        self.current.read().unwrap_or_else(|poisoned| poisoned.into_inner()).clone()
    }

    /// Puts those documents in force that are newer than the present ones.
    /// Returns the keys that changed.
    pub fn apply(&self, news: Vec<(Name, Versioned)>) -> Vec<Name> {
        let mut current = self.current.write().unwrap_or_else(|poisoned| poisoned.into_inner());
        let newer = |(key, versioned): &(Name, Versioned)| {
            let known = current.documents.get(key).map_or(0, |known| known.version);
            versioned.version > known
        };
        let news: Vec<(Name, Versioned)> = news.into_iter().filter(newer).collect();
        if news.is_empty() {
            return Vec::new();
        }
        let mut next = Config::clone(&current);
        let mut changed = Vec::new();
        for (key, versioned) in news {
            log::info!("event=config_in_force key={key} version={}", versioned.version);
            changed.push(key.clone());
            next.set(key, versioned);
        }
        let revision = next.revision;
        *current = Arc::new(next);
        drop(current);
        self.revision.send_replace(revision);
        changed
    }

    /// A receiver that sees every change of the highest version.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.revision.subscribe()
    }
}

/// Key of the object that names the crashes of a content, one a line.
pub(crate) fn crash_key(content: &str) -> String {
    format!("{CRASH_PREFIX}{content}")
}

/// Prefix of crashes in the platform.
pub(crate) const CRASH_PREFIX: &str = "crash/";

/// Takes stored crashes in. Earlier versions stored only how many there were.
pub(crate) fn read_crash(quarantine: &mut Quarantine, key: &str, body: &[u8]) {
    let Some(content) = key.strip_prefix(CRASH_PREFIX) else { return };
    let text = String::from_utf8_lossy(body);
    match text.parse::<u32>() {
        Ok(count) => quarantine.note(content, (0..count).map(|n| format!("unnamed/{n}"))),
        Err(_) => quarantine.note(content, text.lines().map(str::to_owned)),
    }
}
