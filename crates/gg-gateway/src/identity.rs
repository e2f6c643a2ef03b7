//! Decides for which client account a request runs. A pure type.

use std::sync::Arc;

use gg_protocol::Name;
use gg_route::{Account, Credential, RouteTable};

/// Separates an id from the account that it belongs to. Ids that clients send
/// are ASCII, so that none contains it.
const OWNER_SEPARATOR: char = '§';

/// Why a request runs for no account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdentityError {
    /// The client presented no key, or none that can be read.
    NoKey,
    /// No account holds the key.
    UnknownKey,
    /// The key went to another account, or accounts were abolished, while the
    /// request waited.
    Changed,
    /// The configuration is too old to tell whose the key is.
    Outdated,
}

impl IdentityError {
    /// Text used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            IdentityError::NoKey => "no_key",
            IdentityError::UnknownKey => "unknown_key",
            IdentityError::Changed => "changed_key",
            IdentityError::Outdated => "outdated_configuration",
        }
    }
}

/// The account for which a request runs; `None` if the configuration has no
/// accounts, or on a public route without a known key. `is_current` says
/// whether the configuration is recent enough to trust its keys.
pub fn identify(
    table: &RouteTable,
    is_public: bool,
    credential: Option<&Credential>,
    is_current: bool,
) -> Result<Option<Arc<Account>>, IdentityError> {
    if !table.has_accounts() {
        return Ok(None);
    }
    match credential {
        None if is_public => Ok(None),
        None => Err(IdentityError::NoKey),
        // Also on public routes: the request would run for a wrong account.
        Some(_) if !is_current => Err(IdentityError::Outdated),
        Some(credential) => match table.account(credential) {
            Some(account) => Ok(Some(account.clone())),
            None if is_public => Ok(None),
            None => Err(IdentityError::UnknownKey),
        },
    }
}

/// Checks a request that was accepted for `account` once more, with the
/// configuration that is in force now.
pub fn identify_again(
    table: &RouteTable,
    is_public: bool,
    account: &Account,
    credential: Option<&Credential>,
    is_current: bool,
) -> Result<(), IdentityError> {
    match identify(table, is_public, credential, is_current)? {
        Some(holder) if holder.name == account.name => Ok(()),
        _ => Err(IdentityError::Changed),
    }
}

/// The name under which an id of an account's client is known: programs, turns
/// and objects of two accounts are different ones, whatever ids their clients
/// choose.
pub fn owned_name(account: Option<&Account>, id: &Name) -> Name {
    match account {
        None => id.clone(),
        Some(account) => format!("{id}{OWNER_SEPARATOR}{}", account.name).into(),
    }
}
