//! Accounts of a configuration version by the digests of their keys.

use std::{collections::HashMap, sync::Arc};

use gg_protocol::Name;
use indexmap::IndexMap;

use crate::{Account, Credential, KeyDigest};

/// Number of parts of the index by key. A version that changes few accounts
/// copies only the parts that hold their keys.
const PARTS: usize = 64;

type Part = HashMap<KeyDigest, Arc<Account>>;

/// The accounts of one version. Versions share what is the same in both.
#[derive(Clone, Debug, Default)]
pub(crate) struct AccountIndex {
    accounts: Arc<IndexMap<Name, Arc<Account>>>,
    parts: Vec<Arc<Part>>,
}

impl AccountIndex {
    /// Whether there are no accounts.
    pub(crate) fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Number of accounts.
    pub(crate) fn len(&self) -> usize {
        self.accounts.len()
    }

    /// The account with a key.
    pub(crate) fn find(&self, credential: &Credential) -> Option<&Arc<Account>> {
        let digest = credential.digest();
        let part = self.parts.get(digest.spread() % PARTS)?;
        part.get(digest)
    }

    /// The account with a name.
    pub(crate) fn named(&self, name: &str) -> Option<&Arc<Account>> {
        self.accounts.get(name)
    }

    /// Returns the index of the next version, which has these accounts. A key
    /// that several accounts hold belongs to the last of them.
    pub(crate) fn updated(&self, accounts: Vec<Account>) -> Self {
        let is_same = accounts.len() == self.accounts.len()
            && accounts.iter().zip(self.accounts.values()).all(|(new, known)| *new == **known);
        if is_same {
            return self.clone();
        }
        let mut added = Vec::new();
        let mut next = IndexMap::with_capacity(accounts.len());
        for account in accounts {
            let known = self.accounts.get(&account.name).filter(|known| ***known == account);
            let account = known.cloned().unwrap_or_else(|| {
                let account = Arc::new(account);
                added.push(account.clone());
                account
            });
            next.insert(account.name.clone(), account);
        }
        let is_dropped = |known: &&Arc<Account>| {
            next.get(&known.name).is_none_or(|account| !Arc::ptr_eq(account, known))
        };
        let dropped: Vec<Arc<Account>> =
            self.accounts.values().filter(is_dropped).cloned().collect();
        let mut parts = self.parts.clone();
        if self.has_shared_keys() || parts.is_empty() {
            parts = vec![Arc::default(); PARTS];
            insert(&mut parts, next.values());
        } else {
            remove(&mut parts, &dropped);
            insert(&mut parts, added.iter());
        }
        AccountIndex { accounts: Arc::new(next), parts }
    }

    /// Whether a key belongs to several accounts. What an account drops may then
    /// still belong to another one.
    fn has_shared_keys(&self) -> bool {
        let keys: usize = self.accounts.values().map(|account| account.keys.len()).sum();
        keys != self.parts.iter().map(|part| part.len()).sum::<usize>()
    }
}

fn remove(parts: &mut [Arc<Part>], dropped: &[Arc<Account>]) {
    for key in dropped.iter().flat_map(|account| &account.keys) {
        Arc::make_mut(&mut parts[key.spread() % PARTS]).remove(key);
    }
}

fn insert<'a>(parts: &mut [Arc<Part>], added: impl Iterator<Item = &'a Arc<Account>>) {
    for account in added {
        for key in &account.keys {
            Arc::make_mut(&mut parts[key.spread() % PARTS]).insert(*key, account.clone());
        }
    }
}
