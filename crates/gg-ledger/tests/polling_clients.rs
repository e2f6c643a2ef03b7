//! Polling clients and the overload statistics that they share.

use std::time::{Duration, Instant};

use gg_ledger::{PollingClients, TunnelOffer};
use gg_protocol::OverloadStats;
use rand::{SeedableRng, rngs::StdRng};

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

#[test]
fn recent_offers_of_others_are_listed() {
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(1);
    let mut polling_clients = PollingClients::default();
    let mut poll = |name: &str, offers: bool, now| {
        let offer = TunnelOffer {
            instance: name.into(),
            centre: "a".into(),
            address: ([127, 0, 0, 1], 7100).into(),
        };
        polling_clients.record(name.into(), Vec::new(), now);
        polling_clients.record_offer(name, offers.then_some(offer));
        let offers = polling_clients.sample_offers(name, now, &mut rng);
        let mut names: Vec<String> =
            offers.iter().map(|offer| offer.instance.to_string()).collect();
        names.sort();
        names
    };
    poll("a", true, start);
    assert_eq!(poll("b", true, start), ["a"]);
    assert_eq!(poll("c", false, start), ["a", "b"]);
    assert_eq!(poll("a", false, start), ["b"], "it has withdrawn its offer");
    assert!(poll("c", false, start + Duration::from_secs(3)).is_empty(), "offers expire");
    let many: Vec<String> = (0..50).map(|number| format!("n-{number}")).collect();
    let later = start + Duration::from_secs(4);
    let mut listed = Vec::new();
    for name in &many {
        listed = poll(name, true, later);
    }
    assert_eq!(listed.len(), 8, "a sample");
}
