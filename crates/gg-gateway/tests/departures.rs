//! What is remembered of replicas that ended lately.

use std::time::{Duration, Instant};

use gg_gateway::Departures;
use gg_route::{Upstream, UpstreamId, UpstreamState};

fn upstream(name: &str, started_ms: u64) -> Upstream {
    Upstream {
        id: UpstreamId { name: name.into(), started_ms },
        service: "model".into(),
        address: ([127, 0, 0, 1], 7000).into(),
        centre: "a".into(),
        slots: 8,
        state: UpstreamState::Ready,
    }
}

#[test]
fn lapsed_entry_is_known() {
    let now = Instant::now();
    let mut departures = Departures::default();
    departures.record(&upstream("one", 5), now);
    assert!(departures.is_known(&upstream("one", 5)));
    assert!(!departures.is_known(&upstream("one", 6)), "it started again");
    departures.record(&upstream("two", 0), now);
    assert!(!departures.is_known(&upstream("two", 0)), "its start is unknown");
}

#[test]
fn ends_are_counted() {
    let now = Instant::now();
    let mut departures = Departures::default();
    for started_ms in 1..4 {
        departures.record(&upstream("one", started_ms), now);
    }
    assert_eq!(departures.recent_ends(&upstream("one", 9), now), 3);
    assert_eq!(departures.recent_ends(&upstream("two", 9), now), 0, "another replica's address");
    let later = now + Duration::from_secs(31);
    assert_eq!(departures.recent_ends(&upstream("one", 9), later), 0);
}
