//! Remembers which replicas ended lately. A replica that ends again and again is
//! trusted less when it is back; one whose entry was only missing for a while is
//! not new. Performs no I/O.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use gg_route::{Upstream, UpstreamId};
use indexmap::IndexMap;

/// Time for which an end counts; flapping replicas are down and up by turns every
/// few seconds.
const END_TTL: Duration = Duration::from_secs(30);

/// Addresses that are remembered; the oldest ones are dropped.
const ADDRESSES_MAX: usize = 512;

/// Recent ends of replicas, by address.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    ends: IndexMap<SocketAddr, Vec<(UpstreamId, Instant)>>,
}

impl Departures {
    /// Records that a replica's entry is gone, or that another incarnation took
    /// its place.
    pub fn record(&mut self, upstream: &Upstream, now: Instant) {
        let ends = self.ends.entry(upstream.address).or_default();
        ends.retain(|(_, at)| is_recent(*at, now));
        ends.push((upstream.id.clone(), now));
        if self.ends.len() > ADDRESSES_MAX {
            self.ends.retain(|_, ends| ends.iter().any(|(_, at)| is_recent(*at, now)));
        }
        if self.ends.len() > ADDRESSES_MAX {
            self.ends.shift_remove_index(0);
        }
    }

    /// Whether this incarnation was listed before: only its entry was missing.
    pub fn is_known(&self, upstream: &Upstream) -> bool {
        let is_same = |(id, _): &(UpstreamId, Instant)| *id == upstream.id && id.started_ms > 0;
        self.ends.get(&upstream.address).is_some_and(|ends| ends.iter().any(is_same))
    }

    /// Number of replicas that ended lately at the address of this one, under the
    /// same name.
    pub fn recent_ends(&self, upstream: &Upstream, now: Instant) -> u32 {
        let Some(ends) = self.ends.get(&upstream.address) else { return 0 };
        let is_same =
            |(id, at): &&(UpstreamId, Instant)| id.name == upstream.id.name && is_recent(*at, now);
        u32::try_from(ends.iter().filter(is_same).count()).unwrap_or(u32::MAX)
    }
}

fn is_recent(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) < END_TTL
}
