//! Reads the chain that a turn continues, from as many members as it takes.

use bytes::{Bytes, BytesMut};
use futures::{StreamExt, stream::FuturesUnordered};
use gg_protocol::Name;

use crate::{
    Chain, Ledger, LedgerError, OpenedTurn,
    link::Scope,
    node::lock,
    protocol::{Op, ReplyBody, TEXT_MAX_BYTES},
    view::PartitionView,
};

impl Ledger {
    /// Completes a chain of which a member knows only a part, or nothing.
    pub(crate) async fn history(
        &self,
        view: &PartitionView,
        previous: &Name,
        found: Option<Chain>,
    ) -> Result<OpenedTurn, LedgerError> {
        let mut upstream = found.as_ref().and_then(|chain| chain.upstream.clone());
        let mut missing = Some(previous.clone());
        let mut parts = Vec::new();
        let mut needs_history = false;
        let mut is_foreign = false;
        if let Some(chain) = found {
            missing = chain.missing;
            parts.push(chain.text);
        }
        while let Some(turn) = missing.take() {
            // A turn that a stored one continues was stored.
            let is_certain = turn != *previous;
            needs_history |= is_certain;
            let fetched = match is_foreign {
                true => Err(LedgerError::NoSuchTurn),
                false => self.fetch(view, &turn, is_certain).await,
            };
            let chain = match fetched {
                Err(LedgerError::NoSuchTurn) => {
                    is_foreign = true;
                    self.find(&turn, is_certain).await?
                }
                fetched => fetched?,
            };
            upstream = upstream.or(chain.upstream);
            parts.push(chain.text);
            missing = chain.missing;
        }
        if parts.iter().map(Bytes::len).sum::<usize>() > TEXT_MAX_BYTES {
            return Err(LedgerError::TooLong);
        }
        let history = match parts.len() {
            1 => parts.swap_remove(0),
            _ => {
                let mut joined = BytesMut::new();
                parts.iter().rev().for_each(|part| joined.extend_from_slice(part));
                joined.freeze()
            }
        };
        Ok(OpenedTurn { history, upstream, needs_history: needs_history || is_foreign })
    }

    /// Reads a chain from any member that knows its last turn. If it is certain
    /// that the turn was stored, no denial is conclusive: those members may lack
    /// it.
    async fn fetch(
        &self,
        view: &PartitionView,
        turn: &Name,
        is_certain: bool,
    ) -> Result<Chain, LedgerError> {
        let calls = view.links.iter().filter(|link| link.is_up()).map(async |link| {
            let reply = link.call(view.scope, Op::Fetch(turn.clone())).await;
            (link.member.disk, reply)
        });
        let is_conclusive = |not_found: &[u64]| !is_certain && view.set.has_read_quorum(not_found);
        self.first_chain(calls, turn, is_conclusive).await
    }

    /// Reads a chain from any partition that knows its last turn. No denial is
    /// conclusive if it is certain that the turn was stored.
    async fn find(&self, turn: &Name, is_certain: bool) -> Result<Chain, LedgerError> {
        let (layout, links) = {
            let state = lock(&self.state);
            let links: Vec<_> = state.links.all().filter(|link| link.is_up()).cloned().collect();
            (state.layout.clone(), links)
        };
        let epochs: Vec<u64> = layout.partitions.iter().map(|set| set.epoch).collect();
        let calls = links.iter().map(async |link| {
            let op = Op::Find { turn: turn.clone(), epochs: epochs.clone() };
            (link.member.disk, link.call(Scope { partition: 0, epoch: 0 }, op).await)
        });
        let is_conclusive = |not_found: &[u64]| {
            !is_certain && layout.partitions.iter().all(|set| set.has_read_quorum(not_found))
        };
        self.first_chain(calls, turn, is_conclusive).await
    }

    /// Returns the first reply that contains the turn, or an error once enough
    /// members report that they don't have it.
    async fn first_chain<F>(
        &self,
        calls: impl Iterator<Item = F>,
        turn: &Name,
        is_conclusive: impl Fn(&[u64]) -> bool,
    ) -> Result<Chain, LedgerError>
    where
        F: Future<Output = (u64, Result<ReplyBody, LedgerError>)>,
    {
        let mut calls: FuturesUnordered<F> = calls.collect();
        let mut not_found = Vec::new();
        while let Some((disk, reply)) = calls.next().await {
            match reply {
                Ok(ReplyBody::Fetched(chain)) if chain.missing.as_ref() != Some(turn) => {
                    return Ok(chain);
                }
                Ok(ReplyBody::Fetched(_)) => not_found.push(disk),
                Ok(ReplyBody::Full) => return Err(LedgerError::TooLong),
                Ok(other) => return Err(self.handle_refusal(disk, other)),
                Err(_) => {}
            }
            if is_conclusive(&not_found) {
                let disks: Vec<String> = not_found.iter().map(u64::to_string).collect();
                log::info!("event=turn_denied turn={turn} disks={}", disks.join(","));
                return Err(LedgerError::NoSuchTurn);
            }
        }
        Err(LedgerError::Unavailable("too few members know the chain"))
    }
}
