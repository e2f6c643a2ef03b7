//! Freshness of the directory as reported by several ledger instances.

use std::time::{Duration, Instant};

use gg_platform::{Confirmed, FRESH_TIME, Freshness};

/// Age up to which a copy is fresh.
const MAX_AGE: Duration = Duration::from_millis(2_500);

fn confirmed(at: Instant) -> Option<Confirmed> {
    Some(Confirmed::at(at))
}

#[test]
fn one_source_disconnected() {
    let (mut freshness, start) = (Freshness::new(MAX_AGE), Instant::now());
    for round in 0..20 {
        let now = start + Duration::from_millis(300 * round);
        freshness.record(true, confirmed(now), now);
        freshness.record(false, confirmed(now), now);
        let remaining = freshness.remaining(now);
        assert_eq!(remaining, FRESH_TIME, "another instance is up to date");
    }
}

#[test]
fn all_sources_disconnected() {
    let (mut freshness, start) = (Freshness::new(MAX_AGE), Instant::now());
    let confirmed = confirmed(start + FRESH_TIME * 2);
    freshness.record(false, confirmed, start);
    assert!(!freshness.is_fresh(start), "no up-to-date response yet");
    freshness.record(true, confirmed, start);
    freshness.record(false, confirmed, start + FRESH_TIME / 2);
    assert!(freshness.is_fresh(start + FRESH_TIME / 2));
    freshness.record(false, confirmed, start + FRESH_TIME);
    assert!(!freshness.is_fresh(start + FRESH_TIME));
    freshness.record(true, confirmed, start + FRESH_TIME * 2);
    assert!(freshness.is_fresh(start + FRESH_TIME * 2));
}

/// Sources that respond, but whose copies are not confirmed any more.
#[test]
fn old_copies() {
    let (mut freshness, start) = (Freshness::new(MAX_AGE), Instant::now());
    freshness.record(true, confirmed(start), start);
    let just_before = start + MAX_AGE - Duration::from_millis(1);
    freshness.record(true, confirmed(start), just_before);
    assert_eq!(freshness.remaining(just_before), Duration::from_millis(1));
    freshness.record(true, confirmed(start), start + MAX_AGE);
    assert!(!freshness.is_fresh(start + MAX_AGE));
    let other = start + Duration::from_secs(1);
    freshness.record(true, confirmed(other), start + MAX_AGE);
    freshness.record(true, confirmed(start), start + MAX_AGE);
    assert!(freshness.is_fresh(start + MAX_AGE), "one source knows more than the others");
}

/// A source of an older version reports no age.
#[test]
fn unknown_age() {
    let (mut freshness, start) = (Freshness::new(MAX_AGE), Instant::now());
    freshness.record(true, None, start);
    assert!(!freshness.is_fresh(start), "nothing is confirmed");
}
