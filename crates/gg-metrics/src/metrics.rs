//! The writing side.

use std::sync::Arc;

use cadence::{Counted, CountedExt, Gauged, StatsdClient, Timed};

use crate::Registry;

/// Prefix of all names.
const PREFIX: &str = "greengagefork";

/// Writer of metrics; clones write to the same registry.
#[derive(Clone, Debug)]
pub struct Metrics {
    client: Arc<StatsdClient>,
}

impl Metrics {
    /// A writer to `registry`.
    pub fn new(registry: &Registry) -> Self {
        Metrics { client: Arc::new(StatsdClient::from_sink(PREFIX, registry.clone())) }
    }

    /// Counts one event. Writing into memory never fails.
    pub fn count(&self, name: &str, tags: &[(&str, &str)]) {
        match tags {
            [] => drop(self.client.incr(name)),
            _ => self.add(name, 1, tags),
        }
    }

    /// Counts several events.
    pub fn add(&self, name: &str, count: u64, tags: &[(&str, &str)]) {
        let counter = self.client.count_with_tags(name, count);
        tags.iter().fold(counter, |counter, (key, value)| counter.with_tag(key, value)).send();
    }

    /// Records a time in microseconds into a latency histogram.
    pub fn time(&self, name: &str, micros: u64, tags: &[(&str, &str)]) {
        let timer = self.client.time_with_tags(name, micros);
        tags.iter().fold(timer, |timer, (key, value)| timer.with_tag(key, value)).send();
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64, tags: &[(&str, &str)]) {
        let gauge = self.client.gauge_with_tags(name, value);
        tags.iter().fold(gauge, |gauge, (key, value)| gauge.with_tag(key, value)).send();
    }
}
