//! Short requests to a program's home, wherever it is.

use std::sync::Arc;

use gg_peer::{PeerApiClient, PeerError, WsClient};
use gg_program::EndReason;
use gg_protocol::{Answer, Failure, Name, ProgramId, ProgramView, StartReply, StartRequest};

use crate::home::Home;

/// What a home answered, if it could be asked.
type Asked<T> = Result<Result<T, Failure>, PeerError>;

/// A request that a home answers at once.
pub(crate) trait Question: Sync {
    /// The answer.
    type Reply: Send;

    /// Asks the home in this process.
    fn at_home(
        &self,
        home: &Arc<Home>,
    ) -> impl Future<Output = Result<Self::Reply, Failure>> + Send;

    /// Asks the home in another daemon.
    fn at_peer(&self, client: &WsClient) -> impl Future<Output = Asked<Self::Reply>> + Send;
}

impl Question for StartRequest {
    type Reply = StartReply;

    async fn at_home(&self, home: &Arc<Home>) -> Result<StartReply, Failure> {
        home.start(self.clone()).await
    }

    async fn at_peer(&self, client: &WsClient) -> Asked<StartReply> {
        Ok(client.start(self.clone()).await?)
    }
}

/// Reads a program.
pub(crate) struct Read {
    pub(crate) program: ProgramId,
    pub(crate) customer: Option<Name>,
}

impl Question for Read {
    type Reply = ProgramView;

    async fn at_home(&self, home: &Arc<Home>) -> Result<ProgramView, Failure> {
        home.read(&self.program, self.customer.as_ref()).await
    }

    async fn at_peer(&self, client: &WsClient) -> Asked<ProgramView> {
        Ok(client.read(self.program.clone(), self.customer.clone()).await?)
    }
}

/// Reads the answer of a finished turn.
pub(crate) struct ReadTurn {
    pub(crate) program: ProgramId,
    pub(crate) customer: Name,
    pub(crate) turn: u32,
}

impl Question for ReadTurn {
    type Reply = Answer;

    async fn at_home(&self, home: &Arc<Home>) -> Result<Answer, Failure> {
        home.turn(&self.program, &self.customer, self.turn)
    }

    async fn at_peer(&self, client: &WsClient) -> Asked<Answer> {
        Ok(client.turn(self.program.clone(), self.customer.clone(), self.turn).await?)
    }
}

/// Ends a program.
pub(crate) struct End {
    pub(crate) program: ProgramId,
    pub(crate) customer: Option<Name>,
}

impl Question for End {
    type Reply = ();

    async fn at_home(&self, home: &Arc<Home>) -> Result<(), Failure> {
        home.end(&self.program, self.customer.as_ref(), EndReason::Caller).await
    }

    async fn at_peer(&self, client: &WsClient) -> Asked<()> {
        Ok(client.end(self.program.clone(), self.customer.clone()).await?)
    }
}
