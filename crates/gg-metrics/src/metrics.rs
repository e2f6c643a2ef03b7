//! Recording of metrics.

use std::sync::Arc;

use cadence::{Counted, CountedExt, Gauged, StatsdClient, Timed};

use crate::Registry;

/// Prefix of all metric names.
const PREFIX: &str = "greengagefork";

/// Recorder of metrics. Clones write to the same registry.
#[derive(Clone, Debug)]
pub struct Metrics {
    client: Arc<StatsdClient>,
}

impl Metrics {
    /// Creates a recorder that writes to `registry`.
    pub fn new(registry: &Registry) -> Self {
        Metrics { client: Arc::new(StatsdClient::from_sink(PREFIX, registry.clone())) }
    }

    /// Adds 1 to a counter. Writing to memory never fails.
    pub fn count(&self, name: &str, tags: &[(&str, &str)]) {
        match tags {
            [] => drop(self.client.incr(name)),
            _ => self.add(name, 1, tags),
        }
    }

    /// Adds `count` to a counter.
    pub fn add(&self, name: &str, count: u64, tags: &[(&str, &str)]) {
        let counter = self.client.count_with_tags(name, count);
        tags.iter().fold(counter, |counter, (key, value)| counter.with_tag(key, value)).send();
    }

    /// Adds a duration in microseconds to a latency histogram.
    pub fn time(&self, name: &str, micros: u64, tags: &[(&str, &str)]) {
        let timer = self.client.time_with_tags(name, micros);
        tags.iter().fold(timer, |timer, (key, value)| timer.with_tag(key, value)).send();
    }

    /// Sets a gauge to `value`.
    pub fn gauge(&self, name: &str, value: u64, tags: &[(&str, &str)]) {
        let gauge = self.client.gauge_with_tags(name, value);
        tags.iter().fold(gauge, |gauge, (key, value)| gauge.with_tag(key, value)).send();
    }
}
