//! Rank, floor, deadline and fairness of the queue.

use std::time::{Duration, Instant};

use gg_dispatch::{RankQueue, Waiting};
use gg_protocol::{Rank, config::RANKS};

fn call(rank: u8, customer: &str, deadline_ms: u64, item: u32) -> Waiting<u32> {
    Waiting {
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
fn urgent_first() {
    let now = Instant::now();
    let mut queue = RankQueue::new([0.0; RANKS], now);
    queue.push(call(1, "a", 9_000, 1));
    queue.push(call(0, "a", 9_000, 2));
    assert_eq!(queue.pop(0, now).map(|call| call.item), Some(2));
    assert_eq!(queue.pop(0, now).map(|call| call.item), Some(1));
    assert!(queue.pop(0, now).is_none());
}

/// In a flood of urgent calls the lower rank gets its share of engine time,
/// also when its calls are five times as long.
#[test]
fn floor_in_flood() {
    let mut now = Instant::now();
    let mut queue = RankQueue::new(floors(1, 0.2), now);
    let mut time = [0.0; 2];
    for item in 0..2_000 {
        queue.push(call(0, "a", 900_000, item));
        queue.push(call(1, "a", 900_000, item));
    }
    for _ in 0..1_000 {
        let taken = queue.pop(0, now).expect("a call");
        let took = if taken.rank == Rank(1) { 500.0 } else { 100.0 };
        queue.charge(taken.rank, &taken.customer, took - 100.0, now);
        time[usize::from(taken.rank.0)] += took;
        now += Duration::from_millis(took as u64);
    }
    let share = time[1] / (time[0] + time[1]);
    assert!(share >= 0.9 * 0.2, "the lower rank got {share} of the time");
    assert!(share <= 0.2 + 0.1, "the lower rank got {share} of the time");
}

#[test]
fn idle_share_is_lent() {
    let now = Instant::now();
    let mut queue = RankQueue::new(floors(1, 0.2), now);
    for item in 0..50 {
        queue.push(call(0, "a", 9_000, item));
    }
    let taken: Vec<u32> = std::iter::from_fn(|| queue.pop(0, now).map(|call| call.item)).collect();
    assert_eq!(taken.len(), 50);
}

#[test]
fn least_slack_first() {
    let now = Instant::now();
    let mut queue = RankQueue::new([0.0; RANKS], now);
    queue.push(call(0, "a", 5_000, 1));
    queue.push(call(0, "a", 3_000, 2));
    // Its deadline can't be met any more.
    queue.push(call(0, "a", 1_050, 3));
    queue.push(Waiting { under_way: true, ..call(0, "a", 8_000, 4) });
    let order: Vec<u32> =
        std::iter::from_fn(|| queue.pop(1_000, now).map(|call| call.item)).collect();
    assert_eq!(order, [4, 2, 1, 3]);
}

#[test]
fn customers_share() {
    let now = Instant::now();
    let mut queue = RankQueue::new([0.0; RANKS], now);
    for item in 0..100 {
        queue.push(call(0, "many", 90_000 + u64::from(item), item));
    }
    for item in 100..150 {
        queue.push(call(0, "few", 900_000, item));
    }
    let taken: Vec<u32> =
        std::iter::from_fn(|| queue.pop(0, now).map(|call| call.item)).take(100).collect();
    let few = taken.iter().filter(|item| **item >= 100).count();
    assert!((40..=60).contains(&few), "the small customer got {few} of 100");
}

#[test]
fn leavers_are_gone() {
    let now = Instant::now();
    let mut queue = RankQueue::new([0.0; RANKS], now);
    queue.push(call(0, "a", 9_000, 1));
    queue.push(call(0, "a", 9_000, 2));
    assert_eq!(queue.remove(|item| *item == 1).len(), 1);
    assert_eq!(queue.pop(0, now).map(|call| call.item), Some(2));
}
