//! RPC methods that this daemon serves to other daemons.

use std::sync::Arc;

use gg_peer::{PeerApiServer, PendingSubscriptionSink, RpcResult, SubscriptionResult, async_trait};
use gg_program::EndReason;
use gg_protocol::{
    Answer, Code, Failure, JournalId, Name, ProgramId, ProgramView, StartReply, StartRequest,
    StepEvent, StepRequest,
    peer::{ConfigUpdates, Probe, ProbeReply, SlotRelease, SlotReply, SlotRequest},
};
use tokio::sync::mpsc;

use crate::{
    adopt,
    home::{Home, HomeCell},
    lock::lock,
    shared::Shared,
};

/// Events buffered for a slow peer.
const EVENT_BUFFER: usize = 256;

/// Server of the peer API.
pub(crate) struct Api {
    pub(crate) shared: Arc<Shared>,
    pub(crate) homes: HomeCell,
}

impl Api {
    /// Returns the home if it owns programs created in journal `birth`.
    async fn home_of(&self, birth: &JournalId) -> Result<Arc<Home>, Failure> {
        let not_here =
            || Failure::unknown(Code::HomeUnavailable, "this daemon does not own the program");
        let home = self.homes.get().ok_or_else(not_here)?;
        match home.resolve_ownership(birth).await {
            true => Ok(home),
            false => Err(not_here()),
        }
    }
}

#[async_trait]
impl PeerApiServer for Api {
    async fn probe(&self, probe: Probe) -> RpcResult<ProbeReply> {
        let Probe { from, config, suspects } = probe;
        self.shared.membership.record_response(&from.instance, &from, config, &suspects);
        Ok(ProbeReply {
            journal: self.shared.journal_id(),
            config: self.shared.config.get().revision,
            suspects: self.shared.membership.suspects(),
        })
    }

    async fn config(&self, version: u64) -> RpcResult<ConfigUpdates> {
        Ok(ConfigUpdates { documents: self.shared.config.get().newer(version) })
    }

    async fn start(&self, request: StartRequest) -> RpcResult<Result<StartReply, Failure>> {
        let home = match &request.parent {
            Some(parent) => self.home_of(&parent.birth).await,
            None => self
                .homes
                .get()
                .ok_or_else(|| Failure::unexecuted(Code::HomeUnavailable, "no home is open here")),
        };
        Ok(match home {
            Ok(home) => home.start(request).await,
            Err(failure) => Err(failure),
        })
    }

    async fn step(
        &self,
        pending: PendingSubscriptionSink,
        request: StepRequest,
    ) -> SubscriptionResult {
        let sink = pending.accept().await?;
        let (out, mut events) = mpsc::channel(EVENT_BUFFER);
        match self.home_of(&request.program.birth).await {
            Ok(home) => {
                tokio::spawn(async move { home.step(request, out).await });
            }
            Err(failure) => {
                let _ = out.send(StepEvent::Failed(failure)).await;
                drop(out);
            }
        }
        loop {
            let event = tokio::select! {
                event = events.recv() => event,
                () = sink.closed() => break,
            };
            let Some(event) = event else { break };
            let text = serde_json::value::to_raw_value(&event)?;
            if sink.send(text).await.is_err() {
                break;
            }
        }
        Ok(())
    }

    async fn read(
        &self,
        program: ProgramId,
        customer: Option<Name>,
    ) -> RpcResult<Result<ProgramView, Failure>> {
        Ok(match self.home_of(&program.birth).await {
            Ok(home) => home.read(&program, customer.as_ref()).await,
            Err(failure) => Err(failure),
        })
    }

    async fn turn(
        &self,
        program: ProgramId,
        customer: Name,
        turn: u32,
    ) -> RpcResult<Result<Answer, Failure>> {
        Ok(match self.home_of(&program.birth).await {
            Ok(home) => home.turn(&program, &customer, turn),
            Err(failure) => Err(failure),
        })
    }

    async fn end(
        &self,
        program: ProgramId,
        customer: Option<Name>,
    ) -> RpcResult<Result<(), Failure>> {
        Ok(match self.home_of(&program.birth).await {
            Ok(home) => home.end(&program, customer.as_ref(), EndReason::Caller).await,
            Err(failure) => Err(failure),
        })
    }

    async fn acquire(&self, request: SlotRequest) -> RpcResult<SlotReply> {
        Ok(self.shared.dispatcher.acquire(request).await)
    }

    async fn release(&self, release: SlotRelease) -> RpcResult<()> {
        self.shared.dispatcher.release(&release);
        Ok(())
    }

    async fn adopt(&self, journal: JournalId) -> RpcResult<bool> {
        let Some(home) = self.homes.get() else { return Ok(false) };
        match adopt::adopt(&home, &journal).await {
            Ok(adopted) => Ok(adopted),
            Err(err) => {
                log::warn!("event=adopt_failed journal={journal} error={err:?}");
                Ok(false)
            }
        }
    }

    async fn hold(&self, journal: JournalId, number: u64, records: Vec<String>) -> RpcResult<bool> {
        Ok(self.shared.copies.hold(journal, number, records))
    }

    async fn held(&self, journal: JournalId) -> RpcResult<Vec<(u64, String)>> {
        Ok(self.shared.copies.collect(&journal))
    }

    async fn unhold(&self, journal: JournalId, upto: u64) -> RpcResult<()> {
        self.shared.copies.remove(&journal, upto);
        Ok(())
    }

    async fn crashed(&self, fingerprint: String, crashes: Vec<String>) -> RpcResult<()> {
        lock(&self.shared.quarantine).record(&fingerprint, crashes);
        Ok(())
    }
}
