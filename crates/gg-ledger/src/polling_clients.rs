//! Tracks the clients that poll for updates, sums their overload statistics and
//! lists those that offer tunnels. One instance sees only some clients at a time,
//! which is enough to compute shares and to find a few peers. Performs no I/O.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use gg_protocol::{Name, OverloadStats};
use rand::{Rng, seq::IteratorRandom};
use serde::{Deserialize, Serialize};

/// A client that has not polled for this long is dropped. Each client polls
/// some instance every few hundred ms, so nearly all of them poll every
/// instance within this time.
const CLIENT_TTL: Duration = Duration::from_secs(10);

/// Time for which the statistics of a client count.
const STATS_TTL: Duration = Duration::from_secs(1);

/// Time for which a client's offer of tunnels counts. A client that is cut off
/// itself withdraws its offer with the next poll.
const OFFER_TTL: Duration = Duration::from_secs(2);

/// Number of offers in one reply; enough to spread the load over peers.
const OFFERS_MAX: usize = 8;

/// A client's offer to carry connections of other clients to replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TunnelOffer {
    /// Name of the client.
    pub instance: Name,
    /// Its data centre.
    pub centre: Name,
    /// Where it accepts tunnels.
    pub address: SocketAddr,
}

/// Overload statistics of a client's services.
pub type OverloadReport = Vec<(Name, OverloadStats)>;

/// Polling clients by name.
#[derive(Clone, Debug, Default)]
pub struct PollingClients {
    clients: HashMap<Name, PollingClient>,
}

#[derive(Clone, Debug)]
struct PollingClient {
    polled_at: Instant,
    overload: OverloadReport,
    offer: Option<TunnelOffer>,
}

impl PollingClients {
    /// Records a poll by `name` and its overload statistics. Returns the number
    /// of polling clients.
    pub fn record(&mut self, name: Name, overload: OverloadReport, now: Instant) -> u32 {
        self.clients.insert(name, PollingClient { polled_at: now, overload, offer: None });
        self.clients
            .retain(|_, client| now.saturating_duration_since(client.polled_at) < CLIENT_TTL);
        u32::try_from(self.clients.len()).unwrap_or(u32::MAX)
    }

    /// Records that a client that has just polled offers tunnels, or no longer
    /// does.
    pub fn record_offer(&mut self, name: &str, offer: Option<TunnelOffer>) {
        if let Some(client) = self.clients.get_mut(name) {
            client.offer = offer;
        }
    }

    /// A random sample of the offers of clients other than `name`.
    pub fn sample_offers(&self, name: &str, now: Instant, rng: &mut impl Rng) -> Vec<TunnelOffer> {
        let offers = self.clients.iter().filter_map(|(client, state)| {
            let is_recent = now.saturating_duration_since(state.polled_at) < OFFER_TTL;
            state.offer.as_ref().filter(|_| is_recent && **client != *name)
        });
        offers.cloned().choose_multiple(rng, OFFERS_MAX)
    }

    /// Overload statistics of the services that `name` reported, summed over
    /// all recent clients. Clients that reported nothing for a service count as
    /// having no requests in flight there.
    pub fn overload(&self, name: &str, now: Instant) -> OverloadReport {
        let Some(client) = self.clients.get(name) else { return OverloadReport::new() };
        let is_recent =
            |client: &&PollingClient| now.saturating_duration_since(client.polled_at) < STATS_TTL;
        let recent: Vec<&PollingClient> = self.clients.values().filter(is_recent).collect();
        let sum = |service: &Name| {
            let mut sum = OverloadStats::default();
            let reported = recent.iter().flat_map(|client| &client.overload);
            reported
                .filter(|(reported, _)| reported == service)
                .for_each(|(_, stats)| sum.add(stats));
            OverloadStats { reporters: recent.len() as f32, ..sum }
        };
        client.overload.iter().map(|(service, _)| (service.clone(), sum(service))).collect()
    }
}
