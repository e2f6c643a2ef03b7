//! Polling clients and the overload statistics that they share.

use std::time::{Duration, Instant};

use gg_ledger::PollingClients;
use gg_protocol::OverloadStats;

fn stats(in_flight: f32) -> OverloadStats {
    OverloadStats {
        started: 10.0,
        late: 2.0,
        in_flight,
        reporters: 1.0,
        ..OverloadStats::default()
    }
}

#[test]
fn sums_reported_services() {
    let now = Instant::now();
    let mut polling_clients = PollingClients::default();
    polling_clients.record("a".into(), vec![("chat".into(), stats(3.0))], now);
    polling_clients.record(
        "b".into(),
        vec![("chat".into(), stats(5.0)), ("tool".into(), stats(1.0))],
        now,
    );
    assert_eq!(polling_clients.record("c".into(), Vec::new(), now), 3);
    let [(service, sum)] = &polling_clients.overload("a", now)[..] else { panic!("one service") };
    assert_eq!((&**service, sum.started, sum.late), ("chat", 20.0, 4.0));
    // The third client has no requests in flight there.
    assert_eq!((sum.in_flight, sum.reporters), (8.0, 3.0));
    assert!(polling_clients.overload("c", now).is_empty(), "it has reported no services");
}

#[test]
fn inactive_clients_expire() {
    let start = Instant::now();
    let mut polling_clients = PollingClients::default();
    polling_clients.record("a".into(), vec![("chat".into(), stats(3.0))], start);
    let later = start + Duration::from_secs(2);
    assert_eq!(polling_clients.record("b".into(), vec![("chat".into(), stats(5.0))], later), 2);
    let sum = polling_clients.overload("b", later)[0].1;
    assert_eq!((sum.in_flight, sum.reporters), (5.0, 1.0), "outdated statistics are ignored");
    assert_eq!(polling_clients.record("b".into(), Vec::new(), start + Duration::from_secs(60)), 1);
}
