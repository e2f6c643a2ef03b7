//! Reserves tokens in the root program's budget before a call is sent.

use std::sync::Arc;

use gg_program::{Coverage, Record};
use gg_protocol::{Code, Failure};

use super::{Step, failures::mark_not_executed};
use crate::{home::HostedProgram, lock::lock};

impl Step {
    /// Reserves `bound` tokens in the root program's budget and makes the
    /// reservation durable.
    pub(super) async fn reserve(&self, bound: u64) -> Result<Reservation, Failure> {
        let root = lock(&self.hosted.program).start.root.clone();
        let Some(root) = self.home.hosted(&root) else {
            return Err(Failure::unexecuted(Code::ProgramEnded, "the root program has ended"));
        };
        let guard = root.reserve.lock().await;
        let coverage = {
            let mut program = lock(&root.program);
            let coverage = program.budget.check_coverage(bound).ok_or_else(|| {
                let available = program.budget.available();
                let message = format!("the call may need {bound} tokens and {available} are left");
                Failure::unexecuted(Code::BudgetExhausted, message)
                    .help("ask for fewer max_tokens, or start a program under another profile")
            })?;
            program.budget.begin(bound);
            coverage
        };
        let reservation = Reservation { root: root.clone(), bound };
        if let Coverage::Reserve { total } = coverage {
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
            durable.map_err(mark_not_executed)?;
        }
        drop(guard);
        Ok(reservation)
    }
}

/// Tokens reserved for one call.
pub(super) struct Reservation {
    root: Arc<HostedProgram>,
    bound: u64,
}

impl Reservation {
    /// Charges the tokens that the call used, up to the reservation.
    pub(super) fn charge(&self, tokens: u64) {
        lock(&self.root.program).budget.charge(tokens.min(self.bound));
    }
}
