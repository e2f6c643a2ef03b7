//! Counters and timers, sent to a statsd server or served as text.

use std::net::UdpSocket;

use cadence::{
    BufferedUdpMetricSink, CountedExt, NopMetricSink, QueuingMetricSink, StatsdClient, Timed,
};
use gg_metrics::Registry;
use gg_settings::LogSettings;

/// Prefix of all metric names.
const METRIC_PREFIX: &str = "greengagefork";

/// Recorder of metrics. Discards them if neither a metrics address nor a
/// statsd address is configured.
#[derive(Debug)]
pub(crate) struct Metrics {
    client: StatsdClient,
    registry: Registry,
    /// Time units per millisecond: the registry expects times in microseconds,
    /// statsd in milliseconds.
    time_factor: u64,
}

impl Metrics {
    pub(crate) fn new(settings: &LogSettings, instance: &str) -> Self {
        let registry = Registry::default();
        let client = match settings.metrics.is_empty() {
            false => StatsdClient::from_sink(METRIC_PREFIX, registry.clone()),
            true => udp_client(&settings.statsd, instance)
                .unwrap_or_else(|| StatsdClient::from_sink(METRIC_PREFIX, NopMetricSink)),
        };
        let time_factor = if settings.metrics.is_empty() { 1 } else { 1_000 };
        Metrics { client, registry, time_factor }
    }

    /// The registry that is served on the metrics address.
    pub(crate) fn registry(&self) -> Registry {
        self.registry.clone()
    }

    /// Counts one event. Send errors are ignored, so that metrics never fail a
    /// call.
    pub(crate) fn count(&self, name: &str) {
        let _ = self.client.incr(name);
    }

    /// Records a time in ms.
    pub(crate) fn time(&self, name: &str, ms: u64) {
        let _ = self.client.time(name, ms * self.time_factor);
    }
}

fn udp_client(address: &str, instance: &str) -> Option<StatsdClient> {
    if address.is_empty() {
        return None;
    }
    let socket = UdpSocket::bind("127.0.0.1:0").ok()?;
    socket.set_nonblocking(true).ok()?;
    let sink = BufferedUdpMetricSink::from(address, socket).ok()?;
    let queue = QueuingMetricSink::with_capacity(sink, 4096);
    Some(StatsdClient::builder(METRIC_PREFIX, queue).with_tag("instance", instance).build())
}
