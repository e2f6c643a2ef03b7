//! Clients that ask for news: how many there are, and how the answers that
//! they pass on fare. A decision type: one instance sees only some clients at
//! a time, which is enough for shares.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use gg_protocol::{Name, Strain};

/// A client that has not asked for this long is gone. Each asks some instance
/// every few hundred ms, so in this time nearly all come by here.
const CLIENT_TTL: Duration = Duration::from_secs(10);

/// What a client told counts for this long.
const STATS_TTL: Duration = Duration::from_secs(1);

/// Strain of a client's services.
pub type Strains = Vec<(Name, Strain)>;

/// Clients by name.
#[derive(Clone, Debug, Default)]
pub struct PollingClients {
    clients: HashMap<Name, PollingClient>,
}

#[derive(Clone, Debug)]
struct PollingClient {
    polled_at: Instant,
    strains: Strains,
}

impl PollingClients {
    /// Takes in that `name` asks and tells how its answers fare; returns how
    /// many clients there are.
    pub fn record(&mut self, name: Name, strains: Strains, now: Instant) -> u32 {
        self.clients.insert(name, PollingClient { polled_at: now, strains });
        self.clients
            .retain(|_, client| now.saturating_duration_since(client.polled_at) < CLIENT_TTL);
        u32::try_from(self.clients.len()).unwrap_or(u32::MAX)
    }

    /// How the answers of all clients that asked lately fare, for the services
    /// that `name` told of. Those that told nothing have nothing under way.
    pub fn strains(&self, name: &str, now: Instant) -> Strains {
        let Some(client) = self.clients.get(name) else { return Strains::new() };
        let is_recent =
            |client: &&PollingClient| now.saturating_duration_since(client.polled_at) < STATS_TTL;
        let recent: Vec<&PollingClient> = self.clients.values().filter(is_recent).collect();
        let sum = |service: &Name| {
            let mut sum = Strain::default();
            let reported = recent.iter().flat_map(|client| &client.strains);
            reported
                .filter(|(reported, _)| reported == service)
                .for_each(|(_, strain)| sum.add(strain));
            Strain { tellers: recent.len() as f32, ..sum }
        };
        client.strains.iter().map(|(service, _)| (service.clone(), sum(service))).collect()
    }
}
