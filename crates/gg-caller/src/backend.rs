//! What the interface needs from the daemon behind it.

use gg_protocol::{
    Answer, Failure, Name, ProgramId, ProgramView, StartReply, StartRequest, StepEvent, StepRequest,
};
use tokio::sync::mpsc;

/// Carries out what callers ask for.
pub trait Backend: Clone + Send + Sync + 'static {
    /// The customer whose key this is.
    fn customer(&self, key: &str) -> Option<Name>;

    /// Whether a configuration is known; without one no key is.
    fn is_configured(&self) -> bool;

    /// Accepts a program.
    fn start(
        &self,
        request: StartRequest,
    ) -> impl Future<Output = Result<StartReply, Failure>> + Send;

    /// Carries out a step. Dropping the receiver tells that the caller has
    /// gone.
    fn step(&self, request: StepRequest) -> mpsc::Receiver<StepEvent>;

    /// Reads a program.
    fn read(
        &self,
        program: ProgramId,
        customer: Name,
    ) -> impl Future<Output = Result<ProgramView, Failure>> + Send;

    /// Reads the answer of a finished turn.
    fn turn(
        &self,
        program: ProgramId,
        customer: Name,
        turn: u32,
    ) -> impl Future<Output = Result<Answer, Failure>> + Send;

    /// Ends a program.
    fn end(
        &self,
        program: ProgramId,
        customer: Name,
    ) -> impl Future<Output = Result<(), Failure>> + Send;
}
