//! Queue order: rank, floor, deadline and fairness.

use std::time::{Duration, Instant};

use gg_dispatch::{QueuedCall, RankQueue};
use gg_protocol::{Rank, config::RANKS};

fn call(rank: u8, customer: &str, deadline_ms: u64, item: u32) -> QueuedCall<u32> {
    QueuedCall {
        rank: Rank(rank),
        customer: customer.into(),
        under_way: false,
        deadline_ms,
        cost_ms: 100,
        alone: false,
        item,
    }
}

fn floors(rank: usize, share: f64) -> [f64; RANKS] {
    let mut floors = [0.0; RANKS];
    floors[rank] = share;
    floors
}

#[test]
fn urgent_rank_first() {
    let now = Instant::now();
    let mut queue = RankQueue::new([0.0; RANKS], now);
    queue.push(call(1, "a", 9_000, 1));
    queue.push(call(0, "a", 9_000, 2));
    assert_eq!(queue.pop(0, now).map(|call| call.item), Some(2));
    assert_eq!(queue.pop(0, now).map(|call| call.item), Some(1));
    assert!(queue.pop(0, now).is_none());
}

/// Under a burst of urgent calls, the lower rank gets its floor share of
/// engine time, even if its calls take five times as long.
#[test]
fn floor_holds_during_burst() {
    let mut now = Instant::now();
    let mut queue = RankQueue::new(floors(1, 0.2), now);
    let mut used_ms = [0.0; 2];
    for item in 0..2_000 {
        queue.push(call(0, "a", 900_000, item));
        queue.push(call(1, "a", 900_000, item));
    }
    for _ in 0..1_000 {
        let popped = queue.pop(0, now).expect("a call");
        let actual_ms = if popped.rank == Rank(1) { 500.0 } else { 100.0 };
        queue.charge(popped.rank, &popped.customer, actual_ms - 100.0, now);
        used_ms[usize::from(popped.rank.0)] += actual_ms;
        now += Duration::from_millis(actual_ms as u64);
    }
    let share = used_ms[1] / (used_ms[0] + used_ms[1]);
    assert!(share >= 0.9 * 0.2, "the lower rank got {share} of the time");
    assert!(share <= 0.2 + 0.1, "the lower rank got {share} of the time");
}

#[test]
fn unused_floor_is_available() {
    let now = Instant::now();
    let mut queue = RankQueue::new(floors(1, 0.2), now);
    for item in 0..50 {
        queue.push(call(0, "a", 9_000, item));
    }
    let popped: Vec<u32> = std::iter::from_fn(|| queue.pop(0, now).map(|call| call.item)).collect();
    assert_eq!(popped.len(), 50);
}

#[test]
fn started_then_earliest_deadline_first() {
    let now = Instant::now();
    let mut queue = RankQueue::new([0.0; RANKS], now);
    queue.push(call(0, "a", 5_000, 1));
    queue.push(call(0, "a", 3_000, 2));
    // This call can no longer meet its deadline.
    queue.push(call(0, "a", 1_050, 3));
    queue.push(QueuedCall { under_way: true, ..call(0, "a", 8_000, 4) });
    let order: Vec<u32> =
        std::iter::from_fn(|| queue.pop(1_000, now).map(|call| call.item)).collect();
    assert_eq!(order, [4, 2, 1, 3]);
}

#[test]
fn customers_share_equally() {
    let now = Instant::now();
    let mut queue = RankQueue::new([0.0; RANKS], now);
    for item in 0..100 {
        queue.push(call(0, "many", 90_000 + u64::from(item), item));
    }
    for item in 100..150 {
        queue.push(call(0, "few", 900_000, item));
    }
    let popped: Vec<u32> =
        std::iter::from_fn(|| queue.pop(0, now).map(|call| call.item)).take(100).collect();
    let few = popped.iter().filter(|item| **item >= 100).count();
    assert!((40..=60).contains(&few), "the small customer got {few} of 100");
}

#[test]
fn removed_calls_are_not_popped() {
    let now = Instant::now();
    let mut queue = RankQueue::new([0.0; RANKS], now);
    queue.push(call(0, "a", 9_000, 1));
    queue.push(call(0, "a", 9_000, 2));
    assert_eq!(queue.remove(|item| *item == 1).len(), 1);
    assert_eq!(queue.pop(0, now).map(|call| call.item), Some(2));
}
