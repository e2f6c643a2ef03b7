//! Short requests to a program's home, in this process or in another daemon.

use std::sync::Arc;

use gg_peer::{PeerApiClient, PeerError, WsClient};
use gg_program::EndReason;
use gg_protocol::{Answer, Failure, Name, ProgramId, ProgramView, StartReply, StartRequest};

use crate::home::Home;

/// Response of another daemon's home, or the error of the call to it.
type PeerResult<T> = Result<Result<T, Failure>, PeerError>;

/// A request that a home answers with one reply.
pub(crate) trait HomeRequest: Sync {
    /// Reply of the home.
    type Reply: Send;

    /// Sends the request to the home in this process.
    fn at_home(
        &self,
        home: &Arc<Home>,
    ) -> impl Future<Output = Result<Self::Reply, Failure>> + Send;

    /// Sends the request to the home in another daemon.
    fn at_peer(&self, client: &WsClient) -> impl Future<Output = PeerResult<Self::Reply>> + Send;
}

impl HomeRequest for StartRequest {
    type Reply = StartReply;

    async fn at_home(&self, home: &Arc<Home>) -> Result<StartReply, Failure> {
        home.start(self.clone()).await
    }

    async fn at_peer(&self, client: &WsClient) -> PeerResult<StartReply> {
        Ok(client.start(self.clone()).await?)
    }
}

/// Request for the view of a program.
pub(crate) struct Read {
    pub(crate) program: ProgramId,
    pub(crate) customer: Option<Name>,
}

impl HomeRequest for Read {
    type Reply = ProgramView;

    async fn at_home(&self, home: &Arc<Home>) -> Result<ProgramView, Failure> {
        home.read(&self.program, self.customer.as_ref()).await
    }

    async fn at_peer(&self, client: &WsClient) -> PeerResult<ProgramView> {
        Ok(client.read(self.program.clone(), self.customer.clone()).await?)
    }
}

/// Request for the answer of a finished turn.
pub(crate) struct ReadTurn {
    pub(crate) program: ProgramId,
    pub(crate) customer: Name,
    pub(crate) turn: u32,
}

impl HomeRequest for ReadTurn {
    type Reply = Answer;

    async fn at_home(&self, home: &Arc<Home>) -> Result<Answer, Failure> {
        home.turn(&self.program, &self.customer, self.turn)
    }

    async fn at_peer(&self, client: &WsClient) -> PeerResult<Answer> {
        Ok(client.turn(self.program.clone(), self.customer.clone(), self.turn).await?)
    }
}

/// Request to end a program.
pub(crate) struct End {
    pub(crate) program: ProgramId,
    pub(crate) customer: Option<Name>,
}

impl HomeRequest for End {
    type Reply = ();

    async fn at_home(&self, home: &Arc<Home>) -> Result<(), Failure> {
        home.end(&self.program, self.customer.as_ref(), EndReason::Caller).await
    }

    async fn at_peer(&self, client: &WsClient) -> PeerResult<()> {
        Ok(client.end(self.program.clone(), self.customer.clone()).await?)
    }
}
