//! The ledger machines restart one after the other while a program runs. The
//! tokens that the program's clients receive have to stay within its budget.

use std::{thread, time::Duration};

use crate::{
    client::Turn,
    deployment::{Deployment, TURN_TOKENS},
};

/// Turns that the budget holds.
const BUDGET_TURNS: u64 = 20;

/// Turns while the first, and while the second machine is down.
const TURNS_WHILE_DOWN: u64 = 9;

/// Time between the end of a process and its next start.
const DOWN_TIME: Duration = Duration::from_millis(2_000);

/// Time between two restarts: `contact-ms` + `catch-up-s` + 0.6 s.
const BETWEEN: Duration = Duration::from_millis(8_500);

/// Time that a process has after SIGTERM (`grace-s`).
const GRACE: Duration = Duration::from_secs(8);

/// Refusals after which the program is given up, as the budget is spent.
const REFUSALS_MAX: u32 = 3;

/// Returns whether the rule held.
pub fn run(deployment: &mut Deployment, has_trouble: bool) -> bool {
    let budget = BUDGET_TURNS * TURN_TOKENS;
    let record = deployment.record.clone();
    let mut program = Program { turns: 0, tokens: 0, refused: 0, previous: None };
    for number in 0..deployment.ledgers.len() {
        if has_trouble {
            deployment.ledgers[number].stop(GRACE);
        }
        let is_last = number + 1 == deployment.ledgers.len();
        let turns = if is_last { u64::MAX } else { TURNS_WHILE_DOWN };
        for _ in 0..turns {
            if program.refused >= REFUSALS_MAX || program.turns > 4 * BUDGET_TURNS {
                break;
            }
            program.step(deployment, budget);
        }
        record.say(&format!(
            "phase={number} turns={} tokens={} refused={}",
            program.turns, program.tokens, program.refused
        ));
        if has_trouble {
            thread::sleep(DOWN_TIME);
            deployment.ledgers[number].start(false);
            thread::sleep(if is_last { Duration::ZERO } else { BETWEEN });
        }
    }
    let limit = budget + TURN_TOKENS;
    record.say(&format!(
        "tokens={} budget={budget} most_of_a_turn={TURN_TOKENS} limit={limit}",
        program.tokens
    ));
    program.tokens <= limit
}

struct Program {
    turns: u64,
    tokens: u64,
    refused: u32,
    previous: Option<String>,
}

impl Program {
    /// Sends the next turn, which continues the last one that was answered whole.
    fn step(&mut self, deployment: &Deployment, budget: u64) {
        let fronts = deployment.fronts();
        let gateway = fronts[self.turns as usize % fronts.len()];
        let id = deployment.client.id();
        let turn = Turn {
            program: "p-budget",
            previous: self.previous.as_deref(),
            budget,
            most: TURN_TOKENS,
            input_bytes: 0,
        };
        let answer = deployment.client.turn(gateway, &id, turn);
        self.tokens += answer.events() * crate::deployment::EVENT_TOKENS;
        self.refused = if answer.status == 402 { self.refused + 1 } else { 0 };
        if answer.is_served() {
            self.turns += 1;
            self.previous = Some(id);
        } else {
            thread::sleep(Duration::from_millis(100));
        }
    }
}
