//! Gateways through which replicas can be reached. Performs no I/O.

use std::time::{Duration, Instant};

use gg_ledger::TunnelOffer;
use gg_protocol::Name;
use rand::{Rng, seq::IteratorRandom};

/// A peer that failed to open a tunnel is not asked again within this time.
const FAILED_TIME: Duration = Duration::from_secs(1);

/// Tunnels that a peer may carry more than another one before a path through a
/// further data centre is preferred.
const REMOTE_TUNNELS: u32 = 8;

/// Another gateway that offers tunnels.
#[derive(Clone, Debug, PartialEq)]
pub struct TunnelPeer {
    /// Where it accepts tunnels.
    pub offer: TunnelOffer,
    /// Tunnels that it carries, as it last reported, and those opened since.
    pub tunnels: u32,
    failed_at: Option<Instant>,
}

/// Known peers.
#[derive(Clone, Debug, Default)]
pub struct TunnelPeers {
    peers: Vec<TunnelPeer>,
    updated_at: Option<Instant>,
}

impl TunnelPeers {
    /// Replaces the known peers by those that ledger instances list now.
    pub fn update(&mut self, offers: Vec<TunnelOffer>, now: Instant) {
        let known = std::mem::take(&mut self.peers);
        for offer in offers {
            if self.peers.iter().any(|peer| peer.offer == offer) {
                continue;
            }
            let known = known.iter().find(|peer| peer.offer == offer).cloned();
            self.peers.push(known.unwrap_or(TunnelPeer { offer, tunnels: 0, failed_at: None }));
        }
        self.updated_at = Some(now);
    }

    /// When the peers were last listed.
    pub fn updated_at(&self) -> Option<Instant> {
        self.updated_at
    }

    /// Number of known peers.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Whether no peer is known.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Selects a peer for a tunnel from data centre `from` to a replica in `to`,
    /// the better of two random ones, so that peers share the load although no
    /// gateway knows all of it.
    pub fn choose(
        &self,
        (from, to): (&str, &str),
        tried: &[Name],
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<TunnelOffer> {
        let is_usable = |peer: &&TunnelPeer| {
            let has_failed = peer.failed_at.is_some_and(|at| now.duration_since(at) < FAILED_TIME);
            !has_failed && !tried.contains(&peer.offer.instance)
        };
        let drawn = self.peers.iter().filter(is_usable).choose_multiple(rng, 2);
        let cost = |peer: &&&TunnelPeer| {
            let centre = &*peer.offer.centre;
            let is_detour = centre != from && centre != to;
            peer.tunnels + if is_detour { REMOTE_TUNNELS } else { 0 }
        };
        drawn.iter().min_by_key(cost).map(|peer| peer.offer.clone())
    }

    /// Records that a peer opened a tunnel and now carries `tunnels`.
    pub fn record_opened(&mut self, instance: &str, tunnels: u32) {
        if let Some(peer) = self.find(instance) {
            peer.tunnels = tunnels;
            peer.failed_at = None;
        }
    }

    /// Records that a peer did not open a tunnel, for a reason of its own.
    pub fn record_failed(&mut self, instance: &str, now: Instant) {
        if let Some(peer) = self.find(instance) {
            peer.failed_at = Some(now);
        }
    }

    fn find(&mut self, instance: &str) -> Option<&mut TunnelPeer> {
        self.peers.iter_mut().find(|peer| &*peer.offer.instance == instance)
    }
}
