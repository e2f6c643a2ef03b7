//! Token budgets: reservation, spending and a change of owner.

use gg_program::{Budget, Coverage};
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Step {
    Begin(u64),
    Finish(u64),
    Crash,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (1_u64..400).prop_map(Step::Begin),
        3 => (0_u64..400).prop_map(Step::Finish),
        1 => Just(Step::Crash),
    ];
    prop::collection::vec(step, 0..60)
}

proptest! {
    /// Calls that are covered before they start never spend more than the
    /// reserved tokens or the limit, even if the owner crashes at any step.
    #[test]
    fn spending_stays_within_reservation(limit in 1_u64..5_000, steps in steps()) {
        let mut budget = Budget {
            limit,
            reserved: Budget::first_block(limit),
            ..Budget::default()
        };
        let mut in_flight = Vec::new();
        for step in steps {
            match step {
                Step::Begin(bound) => match budget.check_coverage(bound) {
                    None => prop_assert!(budget.spent + budget.pending + bound > limit),
                    Some(coverage) => {
                        if let Coverage::Reserve { total } = coverage {
                            prop_assert!(total > budget.reserved && total <= limit);
                            budget.reserved = total;
                        }
                        budget.begin(bound);
                        in_flight.push(bound);
                    }
                },
                Step::Finish(used) => if let Some(bound) = in_flight.pop() {
                    budget.settle(bound, used.min(bound));
                },
                Step::Crash => {
                    budget.charge_reserved();
                    in_flight.clear();
                }
            }
            prop_assert!(budget.spent + budget.pending <= budget.reserved);
            prop_assert!(budget.reserved <= limit.max(Budget::first_block(limit)));
        }
    }
}
