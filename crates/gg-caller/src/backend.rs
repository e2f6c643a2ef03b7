//! Interface between the HTTP server and the daemon.

use gg_protocol::{
    Answer, Failure, Name, ProgramId, ProgramView, StartReply, StartRequest, StepEvent, StepRequest,
};
use tokio::sync::mpsc;

/// Executes the requests of callers.
pub trait Backend: Clone + Send + Sync + 'static {
    /// Returns the customer that `key` belongs to.
    fn customer(&self, key: &str) -> Option<Name>;

    /// Whether a configuration is loaded. Without one, no key is known.
    fn is_configured(&self) -> bool;

    /// Accepts a program.
    fn start(
        &self,
        request: StartRequest,
    ) -> impl Future<Output = Result<StartReply, Failure>> + Send;

    /// Executes a step. Dropping the receiver signals that the caller has
    /// disconnected.
    fn step(&self, request: StepRequest) -> mpsc::Receiver<StepEvent>;

    /// Returns the state of a program.
    fn read(
        &self,
        program: ProgramId,
        customer: Name,
    ) -> impl Future<Output = Result<ProgramView, Failure>> + Send;

    /// Returns the answer of a finished turn.
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
