//! Tokens set aside in the root program's budget before a call is sent.

use std::sync::Arc;

use gg_program::{Cover, Record};
use gg_protocol::{Code, Failure};

use super::{Step, failures::not_run_yet};
use crate::{home::Resident, lock::lock};

impl Step {
    /// Sets `bound` tokens aside in the root's budget, durably.
    pub(super) async fn reserve(&self, bound: u64) -> Result<Reservation, Failure> {
        let root = lock(&self.resident.program).start.root.clone();
        let Some(root) = self.home.resident(&root) else {
            return Err(Failure::not_run(Code::ProgramEnded, "the root program has ended"));
        };
        let guard = root.reserve.lock().await;
        let cover = {
            let mut program = lock(&root.program);
            let cover = program.budget.cover(bound).ok_or_else(|| {
                let left = program.budget.left();
                let message = format!("the call may need {bound} tokens and {left} are left");
                Failure::not_run(Code::BudgetExhausted, message)
                    .help("ask for fewer max_tokens, or start a program under another profile")
            })?;
            program.budget.begin(bound);
            cover
        };
        let reservation = Reservation { root: root.clone(), bound };
        if let Cover::Reserve { total } = cover {
            let (submitted, records) = {
                let mut program = lock(&root.program);
                let id = program.id().clone();
                let records = [Record::Reserved { program: id, total }];
                let submitted = self.home.journal.submit(&records);
                if submitted.is_ok() {
                    program.budget.reserved = program.budget.reserved.max(total);
                }
                (submitted, records)
            };
            let durable = self.home.durable(submitted, &records).await;
            durable.map_err(not_run_yet)?;
        }
        drop(guard);
        Ok(reservation)
    }
}

/// Tokens set aside for one call; given back when dropped.
pub(super) struct Reservation {
    root: Arc<Resident>,
    bound: u64,
}

impl Reservation {
    /// Charges what the call used.
    pub(super) fn charge(&self, tokens: u64) {
        lock(&self.root.program).budget.charge(tokens.min(self.bound));
    }
}
