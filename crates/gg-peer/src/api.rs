//! RPC interface between daemons.

use gg_protocol::{
    Answer, Failure, JournalId, Name, ProgramId, ProgramView, StartReply, StartRequest, StepEvent,
    StepRequest,
    peer::{ConfigUpdates, Probe, ProbeReply, SlotRelease, SlotReply, SlotRequest},
};
use jsonrpsee::{
    core::{RpcResult, SubscriptionResult},
    proc_macros::rpc,
};

/// Methods that daemons call on each other.
#[rpc(server, client)]
pub trait PeerApi {
    /// Checks liveness, and exchanges configuration versions and unreachable
    /// instances.
    #[method(name = "probe")]
    async fn probe(&self, probe: Probe) -> RpcResult<ProbeReply>;

    /// Returns the configuration documents newer than `version`.
    #[method(name = "config")]
    async fn config(&self, version: u64) -> RpcResult<ConfigUpdates>;

    /// Accepts a program with this daemon as its home.
    #[method(name = "start")]
    async fn start(&self, request: StartRequest) -> RpcResult<Result<StartReply, Failure>>;

    /// Executes a step of a program of this home.
    #[subscription(name = "step" => "step_event", unsubscribe = "step_stop", item = StepEvent)]
    async fn step(&self, request: StepRequest) -> SubscriptionResult;

    /// Returns the state of a program of this home.
    #[method(name = "read")]
    async fn read(
        &self,
        program: ProgramId,
        customer: Option<Name>,
    ) -> RpcResult<Result<ProgramView, Failure>>;

    /// Returns the answer of a finished turn.
    #[method(name = "turn")]
    async fn turn(
        &self,
        program: ProgramId,
        customer: Name,
        turn: u32,
    ) -> RpcResult<Result<Answer, Failure>>;

    /// Ends a program of this home.
    #[method(name = "end")]
    async fn end(
        &self,
        program: ProgramId,
        customer: Option<Name>,
    ) -> RpcResult<Result<(), Failure>>;

    /// Waits for a slot on a replica that this daemon dispatches for.
    #[method(name = "acquire")]
    async fn acquire(&self, request: SlotRequest) -> RpcResult<SlotReply>;

    /// Releases a slot, or removes a request from the queue.
    #[method(name = "release")]
    async fn release(&self, release: SlotRelease) -> RpcResult<()>;

    /// Asks this daemon to adopt a journal whose owner is stopping. Returns
    /// whether this daemon now owns the journal.
    #[method(name = "adopt")]
    async fn adopt(&self, journal: JournalId) -> RpcResult<bool>;

    /// Stores copies of records that are not yet written to the platform, under
    /// a number chosen by the journal's owner. Returns whether they were stored.
    #[method(name = "hold")]
    async fn hold(&self, journal: JournalId, number: u64, records: Vec<String>) -> RpcResult<bool>;

    /// Returns the copies stored for a journal, with their numbers.
    #[method(name = "held")]
    async fn held(&self, journal: JournalId) -> RpcResult<Vec<(u64, String)>>;

    /// Deletes the copies stored for a journal, up to and including a number.
    #[method(name = "unhold")]
    async fn unhold(&self, journal: JournalId, upto: u64) -> RpcResult<()>;

    /// Reports the crashes that occurred while requests with the fingerprint
    /// `content` were in flight.
    #[method(name = "crashed")]
    async fn crashed(&self, content: String, crashes: Vec<String>) -> RpcResult<()>;
}
