//! The interface between daemons.

use gg_protocol::{
    Answer, Failure, JournalId, Name, ProgramId, ProgramView, StartReply, StartRequest, StepEvent,
    StepRequest,
    peer::{ConfigNews, Probe, ProbeReply, SlotRelease, SlotReply, SlotRequest},
};
use jsonrpsee::{
    core::{RpcResult, SubscriptionResult},
    proc_macros::rpc,
};

/// What daemons ask of each other.
#[rpc(server, client)]
pub trait PeerApi {
    /// Checks liveness and exchanges news.
    #[method(name = "probe")]
    async fn probe(&self, probe: Probe) -> RpcResult<ProbeReply>;

    /// Configuration documents newer than `version`.
    #[method(name = "config")]
    async fn config(&self, version: u64) -> RpcResult<ConfigNews>;

    /// Accepts a program at this home.
    #[method(name = "start")]
    async fn start(&self, request: StartRequest) -> RpcResult<Result<StartReply, Failure>>;

    /// Carries out a step at this home.
    #[subscription(name = "step" => "step_event", unsubscribe = "step_stop", item = StepEvent)]
    async fn step(&self, request: StepRequest) -> SubscriptionResult;

    /// Reads a program of this home.
    #[method(name = "read")]
    async fn read(
        &self,
        program: ProgramId,
        customer: Option<Name>,
    ) -> RpcResult<Result<ProgramView, Failure>>;

    /// Reads the answer of a finished turn.
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

    /// Gives a slot back, or leaves the queue.
    #[method(name = "release")]
    async fn release(&self, release: SlotRelease) -> RpcResult<()>;

    /// Asks this daemon to adopt a journal whose owner is stopping.
    #[method(name = "adopt")]
    async fn adopt(&self, journal: JournalId) -> RpcResult<bool>;

    /// Keeps copies of records that the platform has not taken yet, under a
    /// number of their owner's.
    #[method(name = "hold")]
    async fn hold(&self, journal: JournalId, number: u64, records: Vec<String>) -> RpcResult<bool>;

    /// Hands out the copies kept for a journal, with their numbers.
    #[method(name = "held")]
    async fn held(&self, journal: JournalId) -> RpcResult<Vec<(u64, String)>>;

    /// Drops the copies kept for a journal up to a number.
    #[method(name = "unhold")]
    async fn unhold(&self, journal: JournalId, upto: u64) -> RpcResult<()>;

    /// Tells which crashes a content was in.
    #[method(name = "crashed")]
    async fn crashed(&self, content: String, crashes: Vec<String>) -> RpcResult<()>;
}
