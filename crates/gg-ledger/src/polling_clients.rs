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

    /// How the answers of all clients that asked lately fare, for the services
    /// that `name` told of. Those that told nothing have nothing under way.
    pub fn strains(&self, name: &str, now: Instant) -> Strains {
        let Some(asker) = self.asked.get(name) else { return Strains::new() };
        let is_recent = |asker: &&Asker| now.saturating_duration_since(asker.at) < STRAIN_TIME;
        let recent: Vec<&Asker> = self.asked.values().filter(is_recent).collect();
        let sum = |service: &Name| {
            let mut sum = Strain::default();
            let told = recent.iter().flat_map(|asker| &asker.strains);
            told.filter(|(told, _)| told == service).for_each(|(_, strain)| sum.add(strain));
            Strain { tellers: recent.len() as f32, ..sum }
        };
        asker.strains.iter().map(|(service, _)| (service.clone(), sum(service))).collect()
    }
}
