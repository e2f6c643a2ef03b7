//! Freshness of the directory as reported by several ledger instances.

use std::time::{Duration, Instant};

use gg_platform::{FRESH_TIME, Freshness};

#[test]
fn one_source_disconnected() {
    let (mut freshness, start) = (Freshness::default(), Instant::now());
    for round in 0..20 {
        let now = start + Duration::from_millis(300 * round);
        assert!(!freshness.record(true, now));
        assert!(!freshness.record(false, now), "another instance is up to date");
    }
}

#[test]
fn all_sources_disconnected() {
    let (mut freshness, start) = (Freshness::default(), Instant::now());
    assert!(freshness.record(false, start), "no up-to-date response yet");
    freshness.record(true, start);
    assert!(!freshness.record(false, start + FRESH_TIME / 2));
    assert!(freshness.record(false, start + FRESH_TIME));
    assert!(!freshness.record(true, start + FRESH_TIME * 2), "the directory is reachable again");
}
