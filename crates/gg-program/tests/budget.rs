//! Budgets: what is set aside, spent and forfeited.

use gg_program::{Budget, Cover};
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
    /// Calls that are covered first never spend beyond what is set aside,
    /// and never beyond the limit, whenever the owner is lost.
    #[test]
    fn never_overspent(limit in 1_u64..5_000, steps in steps()) {
        let mut budget = Budget {
            limit,
            reserved: Budget::first_block(limit),
            ..Budget::default()
        };
        let mut running = Vec::new();
        for step in steps {
            match step {
                Step::Begin(bound) => match budget.cover(bound) {
                    None => prop_assert!(budget.spent + budget.pending + bound > limit),
                    Some(cover) => {
                        if let Cover::Reserve { total } = cover {
                            prop_assert!(total > budget.reserved && total <= limit);
                            budget.reserved = total;
                        }
                        budget.begin(bound);
                        running.push(bound);
                    }
                },
                Step::Finish(used) => if let Some(bound) = running.pop() {
                    budget.end(bound);
                    budget.charge(used.min(bound));
                },
                Step::Crash => {
                    budget.forfeit();
                    running.clear();
                }
            }
            prop_assert!(budget.spent + budget.pending <= budget.reserved);
            prop_assert!(budget.reserved <= limit.max(Budget::first_block(limit)));
        }
    }
}
