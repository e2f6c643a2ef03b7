//! Messages of the operator API, and the trait that a daemon implements to serve
//! it.

use gg_protocol::{
    Document, Failure, Name, ProgramId, ProgramView, config::Versioned, peer::QueueView,
};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// State of one daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DaemonStatus {
    /// Name of its instance.
    pub instance: Name,
    /// Data centre of its instance.
    pub centre: Name,
    /// Identifier of its journal.
    pub journal: String,
    /// Whether it accepts new work.
    pub ready: bool,
    /// Whether a planned stop is in progress.
    pub draining: bool,
    /// Whether journal commits are stalled because the platform is unreachable.
    pub stalled: bool,
    /// Number of programs whose home is this daemon.
    pub programs: usize,
    /// Number of those programs with a step in progress.
    pub busy: usize,
    /// Highest configuration version in force.
    pub config: u64,
    /// Daemons in its membership view, including itself.
    pub peers: Vec<PeerStatus>,
    /// Queues of the replicas for which it is the dispatcher.
    pub queues: Vec<QueueView>,
}

/// State of a daemon as seen by another daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Name of its instance.
    pub name: Name,
    /// Data centre of its instance.
    pub centre: Name,
    /// Identifier of its journal, as last reported.
    pub journal: Option<String>,
    /// Highest configuration version in force there, as last reported.
    pub config: u64,
    /// Whether it is suspected of having failed, since it does not answer probes.
    pub suspected: bool,
}

/// Version of a document in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionStatus {
    /// Key of the document.
    pub key: Name,
    /// Its version.
    pub version: u64,
}

/// Accepted change of a document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Accepted {
    /// Key of the document.
    pub key: Name,
    /// Its new version.
    pub version: u64,
}

quick_error! {
    /// Errors of a change to a document.
    #[derive(Debug)]
    pub enum ChangeError {
        /// Another change was accepted first; holds the current version and
        /// content.
        Conflict(version: u64, current: Option<Document>) {
            display("the document has changed; its current version is {version}")
        }
        /// The change was not accepted and will not be.
        NotAccepted(text: String) {
            display("not accepted: {text}")
        }
        /// The outcome is unknown; the change may have been accepted.
        Unknown(text: String) {
            display("outcome unknown, the change may have been accepted: {text}")
        }
    }
}

/// Operations of the daemon behind the operator API.
pub trait OperatorBackend: Clone + Send + Sync + 'static {
    /// Returns whether `key` is a valid operator key.
    fn is_operator(&self, key: &str) -> bool;

    /// Returns whether the daemon accepts new work.
    fn is_ready(&self) -> bool;

    /// Returns the state of the daemon.
    fn status(&self) -> DaemonStatus;

    /// Returns all documents in force.
    fn documents(&self) -> Vec<(Name, Versioned)>;

    /// Returns the versions of all documents in force.
    fn versions(&self) -> Vec<VersionStatus>;

    /// Changes a document. With `expected`, fails with a conflict unless this is
    /// the current version.
    fn change(
        &self,
        key: Name,
        document: Document,
        expected: Option<u64>,
    ) -> impl Future<Output = Result<Accepted, ChangeError>> + Send;

    /// Reads the state of a program of any customer.
    fn read(&self, program: ProgramId)
    -> impl Future<Output = Result<ProgramView, Failure>> + Send;

    /// Ends a program of any customer.
    fn end(&self, program: ProgramId) -> impl Future<Output = Result<(), Failure>> + Send;

    /// Starts a planned stop.
    fn drain(&self);
}
