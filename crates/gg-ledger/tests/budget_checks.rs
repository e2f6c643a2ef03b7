//! What members know of a program's account together, whichever of them were
//! away when its turns ran.

use std::collections::HashMap;

use gg_ledger::{AccountReport, BudgetCheck, Index, LogEntry, LogTime, MergedAccount};
use proptest::{collection::vec, prelude::*};

/// What one turn of the test does.
#[derive(Clone, Debug)]
struct Step {
    /// Members that are away while the turn is opened, and while it ends.
    away: (usize, usize),
    /// Tokens that the turn reserves, and spends of them.
    tokens: (u32, u32),
    /// Whether the turn ends before the next one is opened, later, or never.
    end: End,
    /// Whether a gap that is seen is closed.
    is_reconciled: bool,
}

#[derive(Clone, Copy, Debug)]
enum End {
    Now,
    Later,
    Never,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let tokens = (1_u32..100).prop_flat_map(|most| (Just(most), 0..=most));
    let end = prop_oneof![4 => Just(End::Now), 1 => Just(End::Later), 1 => Just(End::Never)];
    let step = ((0_usize..32, 0_usize..32), tokens, end, any::<bool>());
    let step = step.prop_map(|(away, tokens, end, is_reconciled)| Step {
        away,
        tokens,
        end,
        is_reconciled,
    });
    vec(step, 1..60)
}

/// Members of a set of `2 * tolerated + 1`, of which at most `tolerated` are
/// away, chosen by the bits of a number.
fn present(tolerated: usize, away: usize) -> Vec<usize> {
    let all = 2 * tolerated + 1;
    let away: Vec<usize> =
        (0..all).filter(|number| away >> number & 1 == 1).take(tolerated).collect();
    (0..all).filter(|number| !away.contains(number)).collect()
}

struct Model {
    members: Vec<Index>,
    /// Members of an earlier version, by the bits of a number.
    earlier: usize,
    budget: u64,
    /// What each admitted turn counts for: reserved until it ends, then spent.
    counted: HashMap<String, u64>,
    /// Tokens that clients got, and those reserved for running turns.
    open: Vec<(String, u32)>,
}

const PROGRAM: &str = "program";

impl Model {
    fn apply(&mut self, members: &[usize], entry: &LogEntry) {
        for member in members {
            self.members[*member].apply(entry.clone(), LogTime::BEGIN);
        }
    }

    fn settle(&mut self, members: &[usize], turn: &str, tokens: u32) {
        let (program, turn) = (PROGRAM.into(), turn.into());
        self.apply(members, &LogEntry::Settle { program, turn, tokens });
    }

    fn is_earlier(&self, member: usize) -> bool {
        self.earlier >> member & 1 == 1
    }

    fn report(&self, member: usize, turn: &str) -> AccountReport {
        let report = self.members[member].report(PROGRAM, turn);
        AccountReport { settled: report.settled.filter(|_| !self.is_earlier(member)), ..report }
    }

    fn merge(&mut self, members: &[usize]) -> MergedAccount {
        let mut account = MergedAccount::default();
        for member in members {
            account.add(*member as u64, self.members[*member].account(PROGRAM));
        }
        for (member, missing) in account.missing() {
            let member = member as usize;
            // Earlier versions read one of the turns.
            let read = if self.is_earlier(member) { 1 } else { missing.len() };
            for (turn, tokens) in missing.into_iter().take(read) {
                self.settle(&[member], &turn, tokens);
            }
        }
        account
    }

    /// Opens a turn as a client does. Returns whether it was admitted.
    fn open(&mut self, members: &[usize], turn: &str, step: &Step) -> bool {
        let tokens = step.tokens.0;
        let mut check = BudgetCheck::default();
        for member in members {
            check.add(self.report(*member, turn));
        }
        let reserve = LogEntry::Reserve { program: PROGRAM.into(), turn: turn.into(), tokens };
        self.apply(members, &reserve);
        let sum: u64 = self.counted.values().sum();
        assert!(check.spent_max() >= sum, "{} of {sum}", check.spent_max());
        if check.spent_max() + u64::from(tokens) <= self.budget {
            if check.has_gap() && step.is_reconciled {
                self.merge(members);
            }
            return true;
        }
        let others = self.merge(members).others(turn);
        assert!(others >= sum, "{others} of {sum}");
        let is_admitted = others + u64::from(tokens) <= self.budget;
        if !is_admitted {
            // Members that are away may keep a reservation that is refused.
            self.settle(members, turn, 0);
        }
        is_admitted
    }
}

proptest! {
    /// Turns never spend more than the budget, whoever is away. Once no turn is
    /// running and all members are present, what is left is granted.
    #[test]
    fn budget_holds(
        tolerated in 1_usize..=2,
        earlier in prop_oneof![Just(0), 0_usize..32],
        budget in 50_u64..1_500,
        steps in steps(),
    ) {
        let members = (0..2 * tolerated + 1).map(|_| Index::default()).collect();
        let mut model =
            Model { members, earlier, budget, counted: HashMap::new(), open: Vec::new() };
        let mut granted = 0;
        for (number, step) in steps.iter().enumerate() {
            let turn = format!("turn-{number}");
            let quorum = present(tolerated, step.away.0);
            if model.open(&quorum, &turn, step) {
                model.counted.insert(turn.clone(), u64::from(step.tokens.0));
                match step.end {
                    End::Now => {
                        let reached = present(tolerated, step.away.1);
                        model.settle(&reached, &turn, step.tokens.1);
                        granted += u64::from(step.tokens.1);
                        model.counted.insert(turn, u64::from(step.tokens.1));
                    }
                    End::Later => model.open.push((turn, step.tokens.1)),
                    End::Never => {}
                }
            }
            let reserved: u64 = model.counted.values().sum();
            prop_assert!(reserved <= budget, "{reserved} of {budget}");
            if step.away.1 % 3 == 0 {
                for (turn, tokens) in std::mem::take(&mut model.open) {
                    let reached = present(tolerated, step.away.1);
                    model.settle(&reached, &turn, tokens);
                    granted += u64::from(tokens);
                    model.counted.insert(turn, u64::from(tokens));
                }
            }
        }
        prop_assert!(granted <= budget, "{granted} of {budget}");
        let all: Vec<usize> = (0..model.members.len()).collect();
        let sum: u64 = model.counted.values().sum();
        prop_assert_eq!(model.merge(&all).others(""), sum, "all members together");
        let mut check = BudgetCheck::default();
        all.iter().for_each(|member| check.add(model.report(*member, "")));
        prop_assert!(!check.has_gap(), "members differ after a merge");
    }

    /// Members that hold the same turns agree, in whichever order these came.
    #[test]
    fn order_is_irrelevant(turns in vec((0_u8..30, 0_u32..50), 0..40)) {
        let settle = |(turn, tokens): &(u8, u32)| LogEntry::Settle {
            program: PROGRAM.into(),
            turn: format!("turn-{turn}").into(),
            tokens: *tokens + u32::from(*turn),
        };
        let turns: HashMap<u8, u32> = turns.into_iter().collect();
        let mut forward = Index::default();
        let mut backward = Index::default();
        let mut ordered: Vec<(u8, u32)> = turns.into_iter().collect();
        ordered.iter().for_each(|turn| forward.apply(settle(turn), LogTime::BEGIN));
        ordered.reverse();
        ordered.iter().for_each(|turn| backward.apply(settle(turn), LogTime::BEGIN));
        ordered.iter().for_each(|turn| backward.apply(settle(turn), LogTime::BEGIN));
        prop_assert_eq!(forward.report(PROGRAM, "other"), backward.report(PROGRAM, "other"));
        for (turn, tokens) in ordered {
            let own = format!("turn-{turn}");
            let report = forward.report(PROGRAM, &own);
            let without = backward.report(PROGRAM, "other").others
                - u64::from(tokens + u32::from(turn));
            prop_assert_eq!(report.others, without);
            prop_assert_eq!(report.settled.map(|settled| settled.tokens), Some(without));
        }
    }
}
