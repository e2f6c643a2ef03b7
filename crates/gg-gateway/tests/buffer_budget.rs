//! Memory budget for buffered responses.

use gg_gateway::{BufferBudget, Reservation};
use proptest::prelude::*;

/// The size, in bytes, from which on the largest responses are cut.
const BUDGET: usize = 16 << 20;

/// Limit for all responses, in bytes.
const LIMIT: usize = 24 << 20;

/// Reservations of eight responses that fill the budget.
fn large(budget: &BufferBudget) -> Vec<Reservation> {
    (0..8)
        .map(|_| {
            let mut large = budget.reservation();
            assert!(large.grow(BUDGET / 8));
            large
        })
        .collect()
}

/// While a few endless responses fill the budget, they are cut, not the others.
#[test]
fn large_responses_are_cut_first() {
    let budget = BufferBudget::default();
    let mut small: Vec<Reservation> = (0..20).map(|_| budget.reservation()).collect();
    let mut large = large(&budget);
    assert!(small.iter_mut().all(|small| small.grow(4 << 10)), "small responses go on");
    assert!(large.iter_mut().all(|large| !large.grow(200)), "large ones are cut");
    drop(large);
    assert_eq!(budget.bytes(), 20 * (4 << 10), "memory of cut responses is free again");
}

/// New work is refused before any response is given up.
#[test]
fn new_work_is_refused_first() {
    let budget = BufferBudget::default();
    assert!(budget.has_room());
    let mut responses: Vec<Reservation> = (0..100).map(|_| budget.reservation()).collect();
    while budget.has_room() {
        assert!(responses.iter_mut().all(|response| response.grow(1 << 10)));
    }
    assert!(budget.bytes() < BUDGET);
    responses.truncate(50);
    assert!(budget.has_room());
}

proptest! {
    /// The limit holds although responses that are cut free their memory late, but for
    /// the pieces at which they are cut.
    #[test]
    fn total_is_bounded(pieces in prop::collection::vec((0..40_usize, 1..100_000_usize), 1..2_000)) {
        let budget = BufferBudget::default();
        let mut responses: Vec<Reservation> = (0..40).map(|_| budget.reservation()).collect();
        let mut is_cut = [false; 40];
        for (index, bytes) in pieces {
            if !is_cut[index] {
                is_cut[index] = !responses[index].grow(bytes);
            }
            prop_assert!(budget.bytes() <= LIMIT + 40 * 100_000);
        }
    }
}
