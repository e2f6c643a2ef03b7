//! Clients that ask for news, to tell how many there are.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use gg_protocol::Name;

/// A client that has not asked for this long is gone. Each asks some instance
/// every few hundred ms, so in this time nearly all come by here.
const ASKER_TIME: Duration = Duration::from_secs(10);

/// Names of clients by when they last asked.
#[derive(Clone, Debug, Default)]
pub struct Askers {
    asked: HashMap<Name, Instant>,
}

impl Askers {
    /// Takes in that `name` asks; returns how many clients there are.
    pub fn note(&mut self, name: Name, now: Instant) -> u32 {
        self.asked.insert(name, now);
        self.asked.retain(|_, at| now.saturating_duration_since(*at) < ASKER_TIME);
        u32::try_from(self.asked.len()).unwrap_or(u32::MAX)
    }
}
