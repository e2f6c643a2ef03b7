//! Clients that ask for news: how many there are, and how the answers that
//! they pass on fare. A decision type: one instance sees only some clients at
//! a time, which is enough for shares.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use gg_protocol::{Name, Strain};
use indexmap::IndexMap;

/// A client that has not asked for this long is gone. Each asks some instance
/// every few hundred ms, so in this time nearly all come by here.
const ASKER_TIME: Duration = Duration::from_secs(10);

/// What a client told counts for this long.
const STRAIN_TIME: Duration = Duration::from_secs(1);

/// Strain of a client's services.
pub type Strains = Vec<(Name, Strain)>;

/// Clients by name.
#[derive(Clone, Debug, Default)]
pub struct Askers {
    asked: HashMap<Name, Asker>,
}

#[derive(Clone, Debug)]
struct Asker {
    at: Instant,
    strains: Strains,
}

impl Askers {
    /// Takes in that `name` asks and tells how its answers fare; returns how
    /// many clients there are.
    pub fn note(&mut self, name: Name, strains: Strains, now: Instant) -> u32 {
        self.asked.insert(name, Asker { at: now, strains });
        self.asked.retain(|_, asker| now.saturating_duration_since(asker.at) < ASKER_TIME);
        u32::try_from(self.asked.len()).unwrap_or(u32::MAX)
    }

    /// How the answers of all clients that told lately fare.
    pub fn strains(&self, now: Instant) -> Strains {
        let recent = self
            .asked
            .values()
            .filter(|asker| now.saturating_duration_since(asker.at) < STRAIN_TIME);
        let mut sums: IndexMap<Name, Strain> = IndexMap::new();
        for (service, strain) in recent.flat_map(|asker| &asker.strains) {
            sums.entry(service.clone()).or_default().add(strain);
        }
        sums.into_iter().collect()
    }
}
