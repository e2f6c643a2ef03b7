//! Client accounts: their keys, rank and request rate.

use std::fmt;

use gg_protocol::Name;
use ring::digest::{SHA256, SHA256_OUTPUT_LEN, digest};
use subtle::ConstantTimeEq;

/// Number of bytes of a digest that logs show.
const FINGERPRINT_BYTES: usize = 4;

/// A client account: whose requests the holders of its keys send.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Name given by the operators. Upstreams learn it, and not the key.
    pub name: Name,
    /// Keys that are valid for the account.
    pub keys: Vec<KeyDigest>,
    /// Rank of its requests, which goes before their route's.
    pub rank: Option<u8>,
    /// Request rate that it may use; `None` without a limit.
    pub rate: Option<AccountRate>,
}

/// Request rate of an account over all gateways together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountRate {
    /// Requests per second.
    pub per_second: f64,
    /// Requests beyond these in one window.
    pub burst: f64,
}

/// SHA-256 digest of an account's key.
#[derive(Clone, Copy)]
pub struct KeyDigest([u8; SHA256_OUTPUT_LEN]);

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn of(key: &str) -> Self {
        let mut bytes = [0; SHA256_OUTPUT_LEN];
        bytes.copy_from_slice(digest(&SHA256, key.as_bytes()).as_ref());
        KeyDigest(bytes)
    }

    /// Value by which digests are spread over parts of an index.
    pub(crate) fn spread(&self) -> usize {
        usize::from(self.0[0])
    }
}

impl PartialEq for KeyDigest {
    /// Compares in constant time.
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for KeyDigest {}

impl std::hash::Hash for KeyDigest {
    fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

impl fmt::Display for KeyDigest {
    /// Writes the key's fingerprint, the beginning of its digest.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0[..FINGERPRINT_BYTES].iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({self})")
    }
}

/// What a client presented as its key. Holds the digest only, so that no log
/// line can show the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Credential(KeyDigest);

impl Credential {
    /// Reads a key that a client presented.
    pub fn from_key(key: &str) -> Self {
        Credential(KeyDigest::of(key))
    }

    /// Digest of the key.
    pub fn digest(&self) -> &KeyDigest {
        &self.0
    }
}
