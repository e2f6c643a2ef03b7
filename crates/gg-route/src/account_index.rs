//! Accounts of a configuration version by name and by the digests of their keys.

use std::{
    borrow::Borrow,
    collections::HashMap,
    hash::{BuildHasher, Hash, RandomState},
    iter,
    sync::{Arc, LazyLock},
};

use gg_protocol::Name;

use crate::{Account, Credential, KeyDigest};

/// Number of parts of a map. A version that changes few accounts copies only the
/// parts that contain them.
const PARTS: usize = 64;

/// Spreads keys over the parts of a map; the same for all versions.
static SPREAD: LazyLock<RandomState> = LazyLock::new(RandomState::new);

/// A map to accounts in parts that copies share.
#[derive(Clone, Debug)]
struct SharedMap<K> {
    parts: Vec<Arc<HashMap<K, Arc<Account>>>>,
}

impl<K> Default for SharedMap<K> {
    fn default() -> Self {
        SharedMap { parts: iter::repeat_with(Arc::default).take(PARTS).collect() }
    }
}

impl<K: Clone + Eq + Hash> SharedMap<K> {
    fn get<Q>(&self, key: &Q) -> Option<&Arc<Account>>
    where
        K: Borrow<Q>,
        Q: Eq + Hash + ?Sized,
    {
        self.parts[place(key)].get(key)
    }

    fn len(&self) -> usize {
        self.parts.iter().map(|part| part.len()).sum()
    }

    fn insert(&mut self, key: K, account: &Arc<Account>) {
        Arc::make_mut(&mut self.parts[place(&key)]).insert(key, account.clone());
    }

    fn remove(&mut self, key: &K) {
        Arc::make_mut(&mut self.parts[place(key)]).remove(key);
    }
}

fn place(key: &(impl Hash + ?Sized)) -> usize {
    SPREAD.hash_one(key) as usize % PARTS
}

/// The accounts of one version. Versions share what is the same in both.
#[derive(Clone, Debug, Default)]
pub(crate) struct AccountIndex {
    /// In the order in which they are listed.
    accounts: Arc<Vec<Arc<Account>>>,
    names: SharedMap<Name>,
    keys: SharedMap<KeyDigest>,
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
        self.keys.get(credential.digest())
    }

    /// The account with a name.
    pub(crate) fn named(&self, name: &str) -> Option<&Arc<Account>> {
        self.names.get(name)
    }

    /// Returns the index of the next version, which has these accounts. A name
    /// that is listed several times counts as the last of them, and a key that
    /// several accounts hold belongs to the last of these.
    pub(crate) fn updated(&self, accounts: Vec<Account>) -> Self {
        let unchanged = |place: usize, account: &Account| {
            let known = self.accounts.get(place).filter(|known| ***known == *account);
            known.or_else(|| self.named(&account.name).filter(|known| ***known == *account))
        };
        let next: Vec<Arc<Account>> = accounts
            .into_iter()
            .enumerate()
            .map(|(place, account)| match unchanged(place, &account) {
                Some(known) => known.clone(),
                None => Arc::new(account),
            })
            .collect();
        let mut index = AccountIndex { accounts: Arc::new(next), ..self.clone() };
        index.replace_changed(&self.accounts);
        if self.has_duplicates() || index.has_duplicates() {
            index.rebuild();
        }
        index
    }

    /// Replaces the accounts of the former version in the maps.
    fn replace_changed(&mut self, former: &[Arc<Account>]) {
        let accounts = self.accounts.clone();
        let (dropped, added) = differences(former, &accounts);
        for account in dropped {
            self.names.remove(&account.name);
            account.keys.iter().for_each(|key| self.keys.remove(key));
        }
        for account in added {
            self.insert(account);
        }
    }

    fn insert(&mut self, account: &Arc<Account>) {
        self.names.insert(account.name.clone(), account);
        account.keys.iter().for_each(|key| self.keys.insert(*key, account));
    }

    /// Whether a name or a key is listed several times. What counts then depends
    /// on accounts that did not change as well.
    fn has_duplicates(&self) -> bool {
        let keys: usize = self.accounts.iter().map(|account| account.keys.len()).sum();
        self.names.len() != self.accounts.len() || self.keys.len() != keys
    }

    fn rebuild(&mut self) {
        let accounts = self.accounts.clone();
        self.names = SharedMap::default();
        self.keys = SharedMap::default();
        accounts.iter().for_each(|account| self.names.insert(account.name.clone(), account));
        for account in accounts.iter() {
            if self.named(&account.name).is_some_and(|last| Arc::ptr_eq(last, account)) {
                self.insert(account);
            }
        }
    }
}

/// Accounts of two lists between what both have at their start and their end,
/// and of these those that stand at another place in the other list.
fn differences<'a>(
    former: &'a [Arc<Account>],
    next: &'a [Arc<Account>],
) -> (Vec<&'a Arc<Account>>, Vec<&'a Arc<Account>>) {
    let is_same = |(a, b): &(&Arc<Account>, &Arc<Account>)| Arc::ptr_eq(a, b);
    let start = former.iter().zip(next).take_while(is_same).count();
    let (former, next) = (&former[start..], &next[start..]);
    let end = former.iter().rev().zip(next.iter().rev()).take_while(is_same).count();
    let (former, next) = (&former[..former.len() - end], &next[..next.len() - end]);
    let elsewhere = |accounts: &'a [Arc<Account>], other: &[Arc<Account>]| {
        let is_elsewhere = |(place, account): &(usize, &Arc<Account>)| {
            other.get(*place).is_none_or(|other| !Arc::ptr_eq(account, other))
        };
        accounts.iter().enumerate().filter(is_elsewhere).map(|(_, account)| account).collect()
    };
    (elsewhere(former, next), elsewhere(next, former))
}
