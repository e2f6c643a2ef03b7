//! What the interface needs from the daemon behind it, and its messages.

use gg_protocol::{
    Document, Failure, Name, ProgramId, ProgramView, config::Versioned, peer::QueueView,
};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// State of one daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DaemonStatus {
    /// Its instance.
    pub instance: Name,
    /// Its data centre.
    pub centre: Name,
    /// Its journal.
    pub journal: String,
    /// Whether it takes new work.
    pub ready: bool,
    /// Whether a planned stop is under way.
    pub draining: bool,
    /// Whether the platform holds its journal up.
    pub stalled: bool,
    /// Programs at home here.
    pub programs: usize,
    /// Those with a step under way.
    pub busy: usize,
    /// Highest configuration version in force.
    pub config: u64,
    /// Daemons that it knows of.
    pub peers: Vec<PeerStatus>,
    /// Replicas that it dispatches for.
    pub queues: Vec<QueueView>,
}

/// A daemon as another one sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Its instance.
    pub name: Name,
    /// Its data centre.
    pub centre: Name,
    /// Its journal, as last heard.
    pub journal: Option<String>,
    /// Highest configuration version in force there, as last heard.
    pub config: u64,
    /// Whether it does not answer.
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

/// An accepted change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Accepted {
    /// Key of the document.
    pub key: Name,
    /// Its new version.
    pub version: u64,
}

quick_error! {
    /// Why a change was not, or may not have been, accepted.
    #[derive(Debug)]
    pub enum ChangeError {
        /// Another change came first; the version and content now.
        Conflict(version: u64, current: Option<Document>) {
            display("the document has changed; its version is {version} now")
        }
        /// It was not accepted and won't be.
        NotAccepted(text: String) {
            display("not accepted: {text}")
        }
        /// It may have been accepted.
        Unknown(text: String) {
            display("may have been accepted: {text}")
        }
    }
}

/// Carries out what operators ask for.
pub trait OperatorBackend: Clone + Send + Sync + 'static {
    /// Whether this is an operator's key.
    fn is_operator(&self, key: &str) -> bool;

    /// Whether the daemon takes new work.
    fn is_ready(&self) -> bool;

    /// State of the daemon.
    fn status(&self) -> DaemonStatus;

    /// All documents in force.
    fn documents(&self) -> Vec<(Name, Versioned)>;

    /// Versions of all documents in force.
    fn versions(&self) -> Vec<VersionStatus>;

    /// Changes a document; with `expected`, only if that is its version.
    fn change(
        &self,
        key: Name,
        document: Document,
        expected: Option<u64>,
    ) -> impl Future<Output = Result<Accepted, ChangeError>> + Send;

    /// Reads any program.
    fn read(&self, program: ProgramId)
    -> impl Future<Output = Result<ProgramView, Failure>> + Send;

    /// Ends any program.
    fn end(&self, program: ProgramId) -> impl Future<Output = Result<(), Failure>> + Send;

    /// Begins a planned stop.
    fn drain(&self);
}
