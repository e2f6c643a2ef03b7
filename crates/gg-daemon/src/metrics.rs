//! Counters and timers, sent to a statsd server if one is set.

use std::net::UdpSocket;

use cadence::{
    BufferedUdpMetricSink, CountedExt, NopMetricSink, QueuingMetricSink, StatsdClient, Timed,
};

/// Prefix of all metrics.
const PREFIX: &str = "greengagefork";

/// Sender of metrics; sends nothing without an address.
#[derive(Debug)]
pub(crate) struct Metrics {
    client: StatsdClient,
}

impl Metrics {
    pub(crate) fn new(address: &str, instance: &str) -> Self {
        let client = udp_client(address, instance)
            .unwrap_or_else(|| StatsdClient::from_sink(PREFIX, NopMetricSink));
        Metrics { client }
    }

    /// Counts one event.
    pub(crate) fn count(&self, name: &str) {
        let _ = self.client.incr(name);
    }

    /// Records a time in ms.
    pub(crate) fn time(&self, name: &str, ms: u64) {
        let _ = self.client.time(name, ms);
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
    Some(StatsdClient::builder(PREFIX, queue).with_tag("instance", instance).build())
}
