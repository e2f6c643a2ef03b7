//! Checks the keys of requests against the configuration in force.

use std::sync::Arc;

use gg_protocol::{Code, Failure};
use gg_route::{Account, Credential, RouteTable};
use rand::Rng;

use crate::{IdentityError, identify, identify_again, state::State};

/// Time after which a client may retry whose key could not be checked. The next
/// confirmation of the configuration is due with the next poll of the ledger
/// instances.
const OUTDATED_RETRY_MS: u64 = 300;

impl<D> State<D> {
    /// The account for which a request runs.
    pub(crate) fn identify(
        &self,
        table: &RouteTable,
        is_public: bool,
        credential: Option<&Credential>,
    ) -> Result<Option<Arc<Account>>, Failure> {
        identify(table, is_public, credential, true).map_err(|err| self.refuse_key(err, credential))
    }

    /// Checks a request that was accepted for `account` once more before it is
    /// sent.
    pub(crate) fn identify_again(
        &self,
        is_public: bool,
        account: &Account,
        credential: Option<&Credential>,
    ) -> Result<(), Failure> {
        let Some(table) = self.table() else { return Ok(()) };
        identify_again(&table, is_public, account, credential, true)
            .map_err(|err| self.refuse_key(err, credential))
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
                let retry_ms = rand::rng().random_range(OUTDATED_RETRY_MS..2 * OUTDATED_RETRY_MS);
                Failure::unexecuted(Code::PlatformUnavailable, message).retry_in(retry_ms)
            }
        }
    }
}
