//! The model of a replica's prefix cache, and the programs in progress.

use std::time::{Duration, Instant};

use gg_gateway::{PrefixCache, Programs};
use gg_route::PromptPart;

fn prompt(parts: &[(&str, u32)]) -> Vec<PromptPart> {
    parts.iter().map(|(id, tokens)| PromptPart { id: (*id).into(), tokens: *tokens }).collect()
}

#[test]
fn longest_cached_prefix() {
    let mut cache = PrefixCache::default();
    let first = prompt(&[("shared", 1_000), ("a", 200)]);
    assert_eq!(cache.uncached_tokens(&first, 100_000), 1_200);
    cache.record_prompt(&first, 100_000, 1);
    let next = prompt(&[("shared", 1_000), ("a", 200), ("b", 50)]);
    assert_eq!(cache.uncached_tokens(&next, 100_000), 50);
    let other = prompt(&[("shared", 1_000), ("c", 30), ("a", 200)]);
    assert_eq!(
        cache.uncached_tokens(&other, 100_000),
        230,
        "parts after an uncached one are processed again"
    );
}

/// The last part of a conversation's prompt keeps its id and grows.
#[test]
fn grown_part_is_partly_cached() {
    let mut cache = PrefixCache::default();
    cache.record_prompt(&prompt(&[("shared", 1_000), ("line", 200)]), 100_000, 1);
    let grown = prompt(&[("shared", 1_000), ("line", 700)]);
    assert_eq!(cache.uncached_tokens(&grown, 100_000), 500);
    let branch = prompt(&[("shared", 1_000), ("line", 700), ("helper", 40)]);
    assert_eq!(cache.uncached_tokens(&branch, 100_000), 540);
}

/// A cache of 1,000 tokens evicts the least recently used part first.
#[test]
fn least_recently_used_is_evicted() {
    let mut cache = PrefixCache::default();
    for part in ["a", "b", "x", "a"] {
        cache.record_prompt(&prompt(&[(part, 300)]), 1_000, 1);
    }
    cache.record_prompt(&prompt(&[("y", 500)]), 1_000, 1);
    assert_eq!(cache.uncached_tokens(&prompt(&[("a", 300)]), 1_000), 0, "it was recently used");
    assert_eq!(cache.uncached_tokens(&prompt(&[("b", 300)]), 1_000), 300);
}

#[test]
fn other_gateways_fill_the_cache() {
    let mut cache = PrefixCache::default();
    cache.record_prompt(&prompt(&[("a", 100)]), 1_000, 8);
    cache.record_prompt(&prompt(&[("b", 100)]), 1_000, 8);
    cache.record_prompt(&prompt(&[("c", 100)]), 1_000, 8);
    assert_eq!(
        cache.uncached_tokens(&prompt(&[("a", 100)]), 1_000),
        100,
        "eight gateways filled the cache"
    );
}

/// The number of tracked parts does not grow with the number of prompts.
#[test]
fn tracked_parts_are_bounded() {
    let mut cache = PrefixCache::default();
    for turn in 0..50_000 {
        cache.record_prompt(&prompt(&[("shared", 10), (&format!("t{turn}"), 1)]), u64::MAX, 1);
    }
    assert_eq!(cache.uncached_tokens(&prompt(&[("shared", 10)]), u64::MAX), 0);
    let tracked = (0..50_000)
        .filter(|turn| cache.uncached_tokens(&prompt(&[(&format!("t{turn}"), 1)]), u64::MAX) == 0)
        .count();
    assert!(tracked <= 1_024, "{tracked}");
}

#[test]
fn programs() {
    let (mut programs, now) = (Programs::default(), Instant::now());
    programs.record(&"p".into(), now);
    assert!(programs.is_active("p", now + Duration::from_secs(30)));
    assert!(!programs.is_active("p", now + Duration::from_secs(61)));
    assert!(!programs.is_active("q", now));
    for other in 0..20_000 {
        programs.record(&format!("o{other}").as_str().into(), now);
    }
    assert!(!programs.is_active("p", now), "the oldest entries are dropped first");
    assert!(programs.is_active("o19999", now));
}
