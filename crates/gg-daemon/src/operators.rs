//! Implementation of the operator API.

use std::sync::Arc;

use gg_operator::{
    Accepted, ChangeError, DaemonStatus, OperatorBackend, PeerStatus, VersionStatus,
};
use gg_platform::{ObjectStore, PlatformError, When};
use gg_protocol::{
    Doc, Document, Entry as Change, Failure, Name, ProgramId, ProgramView,
    config::{HISTORY_VERSIONS_MAX, Versioned},
};
use subtle::ConstantTimeEq;
use tokio_util::sync::CancellationToken;

use crate::{config::CONFIG_PREFIX, entry::Entry, home::HomeCell, shared::Shared};

/// Attempts to find out whether a change was accepted after the platform's
/// response was lost.
const READ_BACK_ATTEMPTS: usize = 20;

/// Delay between these attempts.
const READ_BACK_DELAY: std::time::Duration = std::time::Duration::from_millis(250);

/// Implementation of the operator API. Clones share their state.
#[derive(Clone)]
pub(crate) struct Operators {
    pub(crate) shared: Arc<Shared>,
    pub(crate) homes: HomeCell,
    pub(crate) entry: Entry,
    pub(crate) stop: CancellationToken,
}

impl OperatorBackend for Operators {
    fn is_operator(&self, key: &str) -> bool {
        let digests = &self.shared.settings.operator_keys;
        let presented = blake3::hash(key.as_bytes()).to_hex();
        let matches_key = |digest: &String| -> bool {
            digest.to_ascii_lowercase().as_bytes().ct_eq(presented.as_bytes()).into()
        };
        digests.is_empty() || digests.iter().any(matches_key)
    }

    fn is_ready(&self) -> bool {
        let configured = self.shared.config.get().revision > 0;
        self.homes.get().is_some() && configured && !self.shared.is_draining()
    }

    fn status(&self) -> DaemonStatus {
        let shared = &self.shared;
        let (programs, busy) = self.homes.get().map_or((0, 0), |home| home.load());
        let stalled = self.homes.get().is_some_and(|home| home.journal.is_stalled());
        let suspects = shared.membership.suspects();
        let peers = shared.membership.peers().into_iter().map(|peer| PeerStatus {
            suspected: suspects.contains(&peer.name),
            journal: shared.membership.journal(&peer.name).map(|journal| journal.to_string()),
            config: match peer.name == shared.settings.instance {
                true => shared.config.get().revision,
                false => shared.membership.config(&peer.name),
            },
            name: peer.name,
            centre: peer.centre,
        });
        DaemonStatus {
            instance: shared.settings.instance.clone(),
            centre: shared.settings.centre.clone(),
            journal: shared.journal_id().to_string(),
            ready: self.is_ready(),
            draining: shared.is_draining(),
            stalled,
            programs,
            busy,
            config: shared.config.get().revision,
            peers: peers.collect(),
            queues: shared.dispatcher.views(),
        }
    }

    fn documents(&self) -> Vec<(Name, Versioned)> {
        self.shared.config.get().newer(0)
    }

    fn versions(&self) -> Vec<VersionStatus> {
        let config = self.shared.config.get();
        let documents = config.documents().iter();
        documents
            .map(|(key, versioned)| VersionStatus { key: key.clone(), version: versioned.version })
            .collect()
    }

    async fn change(
        &self,
        key: Name,
        document: Document,
        expected: Option<u64>,
    ) -> Result<Accepted, ChangeError> {
        let object = format!("{CONFIG_PREFIX}{key}");
        let platform = &self.shared.platform;
        let stored_object = platform.get(&object).await.map_err(not_accepted)?;
        let stored = stored_object
            .as_ref()
            .map(|stored_object| serde_json::from_slice::<Doc>(&stored_object.body));
        let stored = stored.and_then(Result::ok);
        let version = stored_object.as_ref().map_or(0, |stored_object| stored_object.version);
        if expected.is_some_and(|expected| expected != version) {
            return Err(conflict(version, stored));
        }
        let nonce = format!("{:032x}", rand::random::<u128>());
        let doc = next_doc(stored, document, nonce.clone());
        let body = serde_json::to_vec(&doc).unwrap_or_default();
        let when = if version == 0 { When::Absent } else { When::Version(version) };
        let version = match platform.put(&object, body.into(), when).await {
            Ok(version) => version,
            Err(PlatformError::Refused(status)) => {
                return Err(ChangeError::NotAccepted(format!(
                    "the platform responded with status {status}"
                )));
            }
            // A conflict may come from this daemon's own write if the response to
            // its first attempt was lost.
            Err(_) => self.read_back(&object, &nonce).await?,
        };
        log::info!("event=config_accepted key={key} version={version}");
        self.shared.config.apply(vec![(key.clone(), Versioned { version, doc })]);
        Ok(Accepted { key, version })
    }

    async fn read(&self, program: ProgramId) -> Result<ProgramView, Failure> {
        self.entry.read_any(program).await
    }

    async fn end(&self, program: ProgramId) -> Result<(), Failure> {
        self.entry.end_program(program, None).await
    }

    fn drain(&self) {
        self.stop.cancel();
    }
}

impl Operators {
    /// Finds out whether the write with `nonce` was accepted.
    async fn read_back(&self, object: &str, nonce: &str) -> Result<u64, ChangeError> {
        for _ in 0..READ_BACK_ATTEMPTS {
            match self.shared.platform.get(object).await {
                Ok(Some(stored_object)) => {
                    let doc = serde_json::from_slice::<Doc>(&stored_object.body).ok();
                    return check_write(stored_object.version, doc, nonce);
                }
                Ok(None) => return Err(ChangeError::NotAccepted("the object was deleted".into())),
                Err(_) => tokio::time::sleep(READ_BACK_DELAY).await,
            }
        }
        Err(ChangeError::Unknown(
            "the platform's response was lost and the object can't be read".into(),
        ))
    }
}

fn check_write(version: u64, doc: Option<Doc>, nonce: &str) -> Result<u64, ChangeError> {
    let Some(doc) = doc else { return Err(conflict(version, None)) };
    if doc.current.nonce == nonce {
        return Ok(version);
    }
    // The write was accepted and has since been replaced by a later change.
    if doc.history.iter().any(|entry| entry.nonce == nonce) {
        return Ok(version);
    }
    Err(conflict(version, Some(doc)))
}

fn next_doc(stored: Option<Doc>, document: Document, nonce: String) -> Doc {
    let serial = stored.as_ref().map_or(1, |doc| doc.current.serial + 1);
    let mut history = Vec::new();
    if let Some(doc) = stored {
        history.push(doc.current);
        history.extend(doc.history);
        history.truncate(HISTORY_VERSIONS_MAX);
    }
    Doc { current: Change { serial, document, nonce }, history }
}

fn not_accepted(err: PlatformError) -> ChangeError {
    ChangeError::NotAccepted(err.to_string())
}

fn conflict(version: u64, doc: Option<Doc>) -> ChangeError {
    ChangeError::Conflict(version, doc.map(|doc| doc.current.document))
}
