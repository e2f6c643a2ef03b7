//! Tracks the clients that poll for updates and sums their overload statistics.
//! One instance sees only some clients at a time, which is enough to compute
//! shares. Performs no I/O.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use gg_protocol::{Name, OverloadStats};

/// A client that has not polled for this long is dropped. Each client polls
/// some instance every few hundred ms, so nearly all of them poll every
/// instance within this time.
const CLIENT_TTL: Duration = Duration::from_secs(10);

/// Time for which the statistics of a client count.
const STATS_TTL: Duration = Duration::from_secs(1);

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
}

impl PollingClients {
    /// Records a poll by `name` and its overload statistics. Returns the number
    /// of polling clients.
    pub fn record(&mut self, name: Name, overload: OverloadReport, now: Instant) -> u32 {
        self.clients.insert(name, PollingClient { polled_at: now, overload });
        self.clients
            .retain(|_, client| now.saturating_duration_since(client.polled_at) < CLIENT_TTL);
        u32::try_from(self.clients.len()).unwrap_or(u32::MAX)
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
