//! Answers of ledger instances about the directory.

use std::time::{Duration, Instant};

use gg_platform::{FRESH_TIME, Freshness};

#[test]
fn one_cut_off() {
    let (mut freshness, start) = (Freshness::default(), Instant::now());
    for round in 0..20 {
        let now = start + Duration::from_millis(300 * round);
        assert!(!freshness.note(true, now));
        assert!(!freshness.note(false, now), "another instance is up to date");
    }
}

#[test]
fn all_cut_off() {
    let (mut freshness, start) = (Freshness::default(), Instant::now());
    assert!(freshness.note(false, start), "nothing was heard yet");
    freshness.note(true, start);
    assert!(!freshness.note(false, start + FRESH_TIME / 2));
    assert!(freshness.note(false, start + FRESH_TIME));
    assert!(!freshness.note(true, start + FRESH_TIME * 2), "it is back");
}
