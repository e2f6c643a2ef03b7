//! Checks the keys of requests against the configuration in force.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Instant,
};

use gg_platform::POLL_INTERVAL;
use gg_protocol::{Code, Failure};
use gg_route::{Account, Credential, RouteTable};
use rand::Rng;

use crate::{
    IdentityError, identify, identify_again,
    state::{State, millis_text},
};

impl<D> State<D> {
    /// The account for which a request runs. `trusts_keys` was determined before
    /// `table` was taken, which is then at least as recent.
    pub(crate) fn identify(
        &self,
        table: &RouteTable,
        trusts_keys: bool,
        is_public: bool,
        credential: Option<&Credential>,
    ) -> Result<Option<Arc<Account>>, Failure> {
        identify(table, is_public, credential, trusts_keys)
            .map_err(|err| self.refuse_key(err, credential))
    }

    /// Checks a request that was accepted for `account` once more before it is
    /// sent.
    pub(crate) fn identify_again(
        &self,
        is_public: bool,
        account: &Account,
        credential: Option<&Credential>,
    ) -> Result<(), Failure> {
        let trusts_keys = self.trusts_keys();
        let Some(table) = self.table() else { return Ok(()) };
        identify_again(&table, is_public, account, credential, trusts_keys)
            .map_err(|err| self.refuse_key(err, credential))
    }

    /// Checks a request without an account once more before it is sent: the key of
    /// one that was read before accounts were introduced is still in its head.
    pub(crate) fn check_keyless(&self, had_accounts: bool) -> Result<(), Failure> {
        let has_accounts = self.table().is_some_and(|table| table.has_accounts());
        match has_accounts && !had_accounts {
            true => Err(self.refuse_key(IdentityError::Changed, None)),
            false => Ok(()),
        }
    }

    /// Whether requests with a key are accepted, or need none.
    pub(crate) fn accepts_keys(&self) -> bool {
        self.table().is_none_or(|table| !table.has_accounts()) || self.trusts_keys()
    }

    /// Whether the configuration in use is recent enough to trust its keys.
    pub(crate) fn trusts_keys(&self) -> bool {
        let Some(age_max) = self.revocation.age_max() else { return true };
        let age = self.configuration_age(Instant::now());
        let is_trusted = self.revocation.is_current(age);
        if self.has_trusted_keys.swap(is_trusted, Ordering::Relaxed) != is_trusted {
            let age_ms = millis_text(age);
            let max_ms = age_max.as_millis();
            match is_trusted {
                true => log::info!("event=keys_trusted age_ms={age_ms} max_ms={max_ms}"),
                false => log::warn!("event=keys_not_trusted age_ms={age_ms} max_ms={max_ms}"),
            }
        }
        is_trusted
    }

    fn refuse_key(&self, err: IdentityError, credential: Option<&Credential>) -> Failure {
        self.metrics.count("keys_refused", &[("reason", err.as_str())]);
        let key = credential.map_or_else(|| "-".into(), |key| key.digest().to_string());
        match err {
            IdentityError::NoKey => {
                Failure::unexecuted(Code::Unauthorized, "the request carries no key")
            }
            IdentityError::UnknownKey => {
                Failure::unexecuted(Code::Unauthorized, format!("no account holds key {key}"))
            }
            IdentityError::Changed => {
                let message = format!("key {key} changed hands while the request waited");
                Failure::unexecuted(Code::PlatformUnavailable, message).retry_in(0)
            }
            IdentityError::Outdated => {
                let message = format!("the configuration is too old to check key {key}");
                // The next confirmation is due with the next poll of the ledger
                // instances.
                let interval_ms = POLL_INTERVAL.as_millis() as u64;
                let retry_ms = rand::rng().random_range(interval_ms / 2..interval_ms * 3 / 2);
                Failure::unexecuted(Code::PlatformUnavailable, message).retry_in(retry_ms)
            }
        }
    }
}
