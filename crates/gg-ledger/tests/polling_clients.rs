//! Polling clients and the overload statistics that they share.

use std::time::{Duration, Instant};

use gg_ledger::PollingClients;
use gg_protocol::Strain;

fn strain(under_way: f32) -> Strain {
    Strain { begun: 10.0, late: 2.0, under_way, tellers: 1.0, ..Strain::default() }
}

#[test]
fn sums_reported_services() {
    let now = Instant::now();
    let mut polling_clients = PollingClients::default();
    polling_clients.record("a".into(), vec![("chat".into(), strain(3.0))], now);
    polling_clients.record(
        "b".into(),
        vec![("chat".into(), strain(5.0)), ("tool".into(), strain(1.0))],
        now,
    );
    assert_eq!(polling_clients.record("c".into(), Vec::new(), now), 3);
    let [(service, sum)] = &polling_clients.strains("a", now)[..] else { panic!("one service") };
    assert_eq!((&**service, sum.begun, sum.late), ("chat", 20.0, 4.0));
    // The third client has no requests in flight there.
    assert_eq!((sum.under_way, sum.tellers), (8.0, 3.0));
    assert!(polling_clients.strains("c", now).is_empty(), "it has reported no services");
}

#[test]
fn inactive_clients_expire() {
    let start = Instant::now();
    let mut polling_clients = PollingClients::default();
    polling_clients.record("a".into(), vec![("chat".into(), strain(3.0))], start);
    let later = start + Duration::from_secs(2);
    assert_eq!(polling_clients.record("b".into(), vec![("chat".into(), strain(5.0))], later), 2);
    let sum = polling_clients.strains("b", later)[0].1;
    assert_eq!((sum.under_way, sum.tellers), (5.0, 1.0), "outdated statistics are ignored");
    assert_eq!(polling_clients.record("b".into(), Vec::new(), start + Duration::from_secs(60)), 1);
}
